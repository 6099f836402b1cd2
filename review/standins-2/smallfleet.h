#pragma once

#include "fleet.h"

namespace Review {

/// Part of the traffic of a route.
struct Share
{
    std::string service;
    unsigned weight = 1;
};

/// A route of the configuration.
struct Route
{
    std::string host;
    std::string prefix;
    std::string kind = "safe";
    std::vector<Share> shares; ///< One service, or several with their weights.
    unsigned timeoutMs = 3000;
    unsigned targetMs = 1500;
    unsigned maxAttempts = 2;
    unsigned priority = 1;
};

/// @return the value of op/config
std::string configText(unsigned version, const std::vector<Route> &routes, const std::vector<std::string> &services);

/// A small deployment on loopback addresses: a store, and machines with a server and a node each. The machines stand in the zones
/// kl-a, kl-b and kl-c by turns.
class SmallFleet
{
public:
    /// @param services service of the server on each machine, in order
    /// @param logFolder folder for the output of the nodes
    SmallFleet(const std::vector<std::string> &services,
               unsigned slots,
               Backend::Behaviour behaviour,
               Backend::Observer observer,
               const std::string &logFolder);

    /// Writes a configuration; its acknowledgement is the return.
    void configure(unsigned version, const std::vector<Route> &routes, const std::vector<std::string> &services);

    Store &platformStore()
    {
        return *this->store;
    }

    /// @return the path from the first machine to the store
    Relay &firstMachinesPath()
    {
        return *this->relay;
    }

    Backend &backend(std::size_t index)
    {
        return *this->backends.at(index);
    }

    /// Starts the nodes and waits until they are ready.
    /// @return false after 15 s
    bool start();

    /// Ends the nodes and the process with this exit code; the threads of the stand-ins end with it.
    [[noreturn]] void finish(int exitCode);

    Node &node(std::size_t index)
    {
        return *this->nodes.at(index);
    }

    std::size_t size() const
    {
        return this->machines.size();
    }

private:
    std::string logFolder;
    std::vector<NodeSettings> machines;
    std::unique_ptr<Store> store;
    std::unique_ptr<Relay> relay;
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<std::unique_ptr<Node>> nodes;
};

/// @return whether the disruption is part of this run: TROUBLE is not 0
bool hasTrouble();

/// @return a new folder for the output of the nodes, below that of the system for temporary files
std::string makeTemporaryFolder();

} // namespace Review
