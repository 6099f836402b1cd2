#pragma once

#include "support.h"

namespace Review {

/// What happens to the store's answers while a backend leaves.
enum class StoreTrouble {
    LostAnswer, ///< The answer to one of three watches is lost, some seconds before the backend leaves.
    CutWatches, ///< Waiting watches are cut three times, two seconds apart; the backend leaves after the first cut.
};

/// A small deployment in which one of two backends of a service leaves as planned, while clients send non-idempotent requests. Counts
/// the requests that reach the leaving backend later than `drain-ms` after the store's acknowledgement, and those that are cut when
/// it exits.
class LeavingCase
{
public:
    LeavingCase(StoreTrouble trouble, const std::string &network, Record &record, const std::string &logs);

    /// @return exit status of the case
    int run();

private:
    void putEntry(std::size_t machine, const std::string &state);
    Server::Handler backend(std::size_t machine);
    void sendUntil(std::size_t node, int client, long end);
    void prepareLostAnswer();
    void cutWatches();
    /// The last machine's backend leaves: reported as draining, or without a report, when its entry is removed.
    void leave();
    int judge();

    StoreTrouble trouble;
    Record &record;
    std::mutex mutex;
    Store store;
    std::atomic<bool> mayLose = false;
    std::atomic<long> leftAt = 0; ///< Time of the store's acknowledgement, 0 before.
    int arrivals = 0;
    int lateArrivals = 0;
    long latest = 0;
    std::set<std::string> lateIds;
    std::map<std::string, int> statuses;
    std::vector<std::unique_ptr<Server>> apps;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace Review
