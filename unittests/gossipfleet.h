#pragma once

#include <galenarack/membership/gossipsystem.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace Galenarack {

/// Simulates the gossip systems of a whole fleet on a datagram network in virtual time. Every message is encoded and decoded.
class GossipFleet
{
public:
    /// One node and its traffic.
    struct Node
    {
        std::unique_ptr<MemberTable> table;
        std::unique_ptr<GossipSystem> system;
        bool running = true;
        TimePoint frozenUntil; ///< End of a pause of the process; messages that arrive earlier wait in the socket.
        std::uint64_t sentBytes = 0; ///< Bytes sent, including IP and UDP headers.
        std::uint64_t receivedBytes = 0; ///< Bytes received, including IP and UDP headers.
        std::uint64_t sentMessages = 0;
        std::size_t largest = 0; ///< Size of the largest datagram sent, in bytes.
    };

    /// @param knowEachOther whether every node starts with the VM list of the whole fleet
    GossipFleet(std::size_t size, std::uint64_t seed, bool knowEachOther = true)
        : random(seed)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->list.push_back(ListedVm{"vm-" + std::to_string(i), addressOf(i), "kl-" + std::string(1, char('a' + i % 6))});
            this->nodes.emplace_back();
            this->startNode(i);
        }
        for (std::size_t i = 0; i < size && knowEachOther; ++i) {
            this->nodes[i].system->applyVmList(this->list, this->now);
        }
    }

    /// Starts a node with a new incarnation that knows only the VM list.
    void startNode(std::size_t index)
    {
        const ListedVm &vm = this->list[index];
        MemberUpdate self;
        self.name = vm.name;
        self.address = vm.address;
        self.failureDomain = vm.failureDomain;
        self.incarnation = Incarnation{this->random() | 1U};
        Node &node = this->nodes[index];
        node.table = std::make_unique<MemberTable>(self);
        node.system = std::make_unique<GossipSystem>(*node.table, "fleet", self, GossipSettings(), std::mt19937_64(this->random()));
        node.system->applyVmList(this->list, this->now);
        node.running = true;
        node.frozenUntil = TimePoint();
        this->events.push(Event{this->now + Duration(this->random() % tickPeriod.count()), this->nextOrder++, index, {}});
    }

    /// Runs until `duration` has passed or `done` returns true, which is checked every tick period.
    /// @return the elapsed virtual time
    Duration run(Duration duration, const std::function<bool()> &done = nullptr)
    {
        const TimePoint start = this->now;
        TimePoint nextCheck = start;
        while (!this->events.empty() && this->events.top().time <= start + duration) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            this->handle(event);
            if (done && this->now >= nextCheck) {
                nextCheck = this->now + tickPeriod;
                if (done()) {
                    return this->now - start;
                }
            }
        }
        this->now = start + duration;
        return duration;
    }

    /// @return whether every other running node has the node `index` in `state`
    bool allSee(std::size_t index, MemberState state) const
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (i != index && this->nodes[i].running && this->stateAt(i, index) != state) {
                return false;
            }
        }
        return true;
    }

    MemberState stateAt(std::size_t observer, std::size_t index) const
    {
        const MemberRow *row = this->nodes[observer].table->find(this->list[index].name);
        return row == nullptr ? MemberState::Unknown : row->state;
    }

    /// @return whether every running node is live in the tables of all other running nodes
    bool converged() const
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (this->nodes[i].running && !this->allSee(i, MemberState::Live)) {
                return false;
            }
        }
        return true;
    }

    /// @return pairs of an observer and a node not in `expected` that became gone in its table since the last call
    std::vector<std::pair<std::size_t, std::string>> popUnexpectedlyGone(const std::set<std::string> &expected = {})
    {
        std::vector<std::pair<std::size_t, std::string>> found;
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            for (const MemberChange &change : this->nodes[i].table->popChanges()) {
                if (change.after == MemberState::Gone && !expected.contains(change.name)) {
                    found.emplace_back(i, change.name);
                }
            }
        }
        return found;
    }

    void resetTraffic()
    {
        for (Node &node : this->nodes) {
            node.sentBytes = node.receivedBytes = node.sentMessages = 0;
            node.largest = 0;
        }
    }

    void send(const std::vector<GossipDelivery> &deliveries, std::size_t from)
    {
        Node &node = this->nodes[from];
        for (const GossipDelivery &delivery : deliveries) {
            const std::string datagram = encodeGossip(delivery.message);
            node.sentBytes += datagram.size() + datagramHeaderBytes;
            node.largest = std::max(node.largest, datagram.size());
            ++node.sentMessages;
            const std::size_t to = indexOf(delivery.address);
            if (this->cuts.contains({from, to}) || (this->lossPercent > 0 && this->random() % 100 < this->lossPercent)) {
                continue;
            }
            const Duration latency(500 + this->random() % 1500);
            this->events.push(Event{this->now + latency, this->nextOrder++, to, datagram});
        }
    }

    static constexpr Duration tickPeriod = std::chrono::milliseconds(100);

    TimePoint now = TimePoint(std::chrono::hours(1));
    std::vector<Node> nodes;
    std::vector<ListedVm> list;
    std::set<std::pair<std::size_t, std::size_t>> cuts; ///< Interrupted directions: sender and receiver.
    unsigned lossPercent = 0;
    std::mt19937_64 random;

private:
    /// Arrival of a datagram, or a tick when the datagram is empty.
    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::size_t node = 0;
        std::string datagram;

        bool operator<(const Event &other) const
        {
            return std::pair(this->time, this->order) > std::pair(other.time, other.order);
        }
    };

    static std::string addressOf(std::size_t index)
    {
        return "10.9." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
    }

    static std::size_t indexOf(const std::string &address)
    {
        const std::size_t dot = address.rfind('.');
        const std::size_t high = std::stoul(address.substr(address.rfind('.', dot - 1) + 1));
        return high * 250 + std::stoul(address.substr(dot + 1)) - 1;
    }

    void handle(const Event &event)
    {
        Node &node = this->nodes[event.node];
        if (!node.running) {
            return;
        }
        if (this->now < node.frozenUntil) {
            this->events.push(Event{node.frozenUntil, event.order, event.node, event.datagram});
            return;
        }
        if (event.datagram.empty()) {
            this->send(node.system->tick(this->now), event.node);
            this->events.push(Event{this->now + tickPeriod, this->nextOrder++, event.node, {}});
            return;
        }
        node.receivedBytes += event.datagram.size() + datagramHeaderBytes;
        const auto message = decodeGossip(event.datagram, "fleet");
        if (!message.ok()) {
            throw std::logic_error(message.status().ToString());
        }
        this->send(node.system->receive(*message, this->now), event.node);
    }

    std::priority_queue<Event> events;
    std::uint64_t nextOrder = 0;
};

} // namespace Galenarack
