#include <galenarack/home/fairqueue.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>

using namespace Galenarack;

namespace {

constexpr std::size_t accountCount = 4;

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

/// The queue under test beside a model of its content. Each operation runs on both and checks that they agree.
struct CheckedQueue
{
    struct Waiting
    {
        FairQueue::Ticket ticket;
        TimePoint expiry;
    };

    explicit CheckedQueue(std::size_t limit)
        : limit(limit)
        , queue(limit)
    {
    }

    std::size_t limit;
    FairQueue queue;
    std::array<std::vector<Waiting>, accountCount> waiting;
    /// served[a][b]: number of requests of account a that were popped since account b was served or began to wait.
    std::array<std::array<int, accountCount>, accountCount> served{};
    FairQueue::Ticket next = 1;
    TimePoint now = at(0);

    static std::string name(std::size_t account)
    {
        return "account-" + std::to_string(account);
    }

    /// Removes a ticket from the model. Fails when the ticket is not waiting, so that no ticket leaves the queue twice.
    /// @param mustBeNewest whether to fail when the account has a newer ticket
    /// @return the account of the ticket
    std::size_t removeWaiting(FairQueue::Ticket ticket, bool mustBeNewest)
    {
        for (std::size_t account = 0; account < accountCount; ++account) {
            auto &entries = this->waiting[account];
            const auto entry = std::ranges::find(entries, ticket, &Waiting::ticket);
            if (entry != entries.end()) {
                RC_ASSERT(!mustBeNewest || std::next(entry) == entries.end());
                entries.erase(entry);
                if (entries.empty()) {
                    this->resetServed(account);
                }
                return account;
            }
        }
        RC_FAIL("a ticket left the queue that was not waiting");
    }

    void resetServed(std::size_t account)
    {
        for (std::size_t other = 0; other < accountCount; ++other) {
            this->served[other][account] = 0;
        }
    }

    std::size_t total() const
    {
        std::size_t sum = 0;
        for (const auto &entries : this->waiting) {
            sum += entries.size();
        }
        return sum;
    }

    void push(std::size_t account, TimePoint expiry)
    {
        const FairQueue::Ticket ticket = this->next++;
        this->waiting[account].push_back({ticket, expiry});
        const auto dropped = this->queue.push(ticket, name(account), expiry);
        RC_ASSERT(dropped.has_value() == (this->total() > this->limit));
        if (dropped) {
            std::size_t longest = 0;
            for (const auto &entries : this->waiting) {
                longest = std::max(longest, entries.size());
            }
            const std::size_t droppedFrom = this->removeWaiting(*dropped, true);
            RC_ASSERT(this->waiting[droppedFrom].size() + 1 == longest);
        }
    }

    void pop(Duration expectedDuration)
    {
        std::vector<FairQueue::Ticket> expired;
        const auto ticket = this->queue.pop(this->now, expectedDuration, expired);
        for (const FairQueue::Ticket late : expired) {
            RC_ASSERT(this->expiryOf(late) <= this->now + expectedDuration);
            this->removeWaiting(late, false);
        }
        if (!ticket) {
            RC_ASSERT(this->total() == 0U);
            return;
        }
        RC_ASSERT(this->expiryOf(*ticket) > this->now + expectedDuration);
        const std::size_t account = this->removeWaiting(*ticket, false);
        this->resetServed(account);
        for (std::size_t other = 0; other < accountCount; ++other) {
            if (other != account && !this->waiting[other].empty()) {
                RC_ASSERT(++this->served[account][other] <= 1);
            }
        }
    }

    TimePoint expiryOf(FairQueue::Ticket ticket) const
    {
        for (const auto &entries : this->waiting) {
            const auto entry = std::ranges::find(entries, ticket, &Waiting::ticket);
            if (entry != entries.end()) {
                return entry->expiry;
            }
        }
        RC_FAIL("a ticket was returned that was not waiting");
    }

    void remove(FairQueue::Ticket ticket)
    {
        const std::size_t before = this->total();
        if (this->queue.remove(ticket)) {
            this->removeWaiting(ticket, false);
            RC_ASSERT(this->total() + 1 == before);
        }
    }
};

} // namespace

class FairQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTest);
    CPPUNIT_TEST(boundedFairAndInTime);
    CPPUNIT_TEST(loweredLimitKeepsWaitingRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a queue that grows beyond its limit, an account with many requests that displaces or starves others,
    /// and a request that is popped too late, twice or never.
    void boundedFairAndInTime()
    {
        CPPUNIT_ASSERT(rc::check("bounded, fair and in time", [] {
            CheckedQueue checked(*rc::gen::inRange<std::size_t>(1, 12));
            const int steps = *rc::gen::inRange(1, 120);
            for (int i = 0; i < steps; ++i) {
                checked.now += std::chrono::milliseconds(*rc::gen::inRange(0, 8));
                switch (*rc::gen::inRange(0, 6)) {
                case 0:
                case 1:
                case 2:
                    checked.push(*rc::gen::inRange<std::size_t>(0, accountCount),
                                 checked.now + std::chrono::milliseconds(*rc::gen::inRange(0, 120)));
                    break;
                case 3:
                case 4:
                    checked.pop(std::chrono::milliseconds(*rc::gen::inRange(0, 30)));
                    break;
                default:
                    checked.remove(*rc::gen::inRange<FairQueue::Ticket>(1, checked.next + 1));
                }
                RC_ASSERT(checked.queue.size() == checked.total());
                RC_ASSERT(checked.queue.size() <= checked.limit);
            }
        }));
    }

    /// Guards against a new revision with a lower limit that drops requests which are already waiting.
    void loweredLimitKeepsWaitingRequests()
    {
        FairQueue queue(3);
        for (FairQueue::Ticket ticket = 1; ticket <= 3; ++ticket) {
            CPPUNIT_ASSERT(!queue.push(ticket, "a", at(1000)));
        }
        queue.setLimit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue.size());
        CPPUNIT_ASSERT(queue.push(4, "b", at(1000)) == FairQueue::Ticket{3});
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);
