#include "asiosupport.h"

#include <galenarack/core/errorkind.h>
#include <galenarack/home/slotadmission.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <list>
#include <thread>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// One request that wants a slot.
struct Request
{
    SlotAdmission::Claim claim;
    std::optional<absl::Status> result;
};

struct Wish
{
    std::string account = "a";
    Duration timeout = 1h;
    Duration expectedDuration = 0s;
    bool mayQueue = true;
};

/// Requests that start, end and give up in any order, driven by one loop.
struct Crowd
{
    Crowd(std::uint32_t slots, std::size_t queueLimit)
        : admission(this->context.get_executor(), slots, queueLimit)
    {
    }

    Request &start(const Wish &wish)
    {
        Request &request = this->requests.emplace_back();
        auto task = [](SlotAdmission &admission, Request &request, Wish wish) -> asio::awaitable<void> {
            request.result = co_await admission.acquire(
                request.claim, wish.account, NodeClock::now() + wish.timeout, wish.expectedDuration, wish.mayQueue);
        };
        asio::co_spawn(this->context, task(this->admission, request, wish), [](const std::exception_ptr &error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
        this->poll();
        return request;
    }

    void poll()
    {
        this->context.restart();
        this->context.poll();
    }

    std::size_t granted() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->requests, [](const Request &request) {
            return request.result && request.result->ok();
        }));
    }

    /// Ends the n-th request that has a result, which releases its slot if it holds one.
    void endOne(std::size_t n)
    {
        std::vector<std::list<Request>::iterator> ended;
        for (auto request = this->requests.begin(); request != this->requests.end(); ++request) {
            if (request->result) {
                ended.push_back(request);
            }
        }
        if (!ended.empty()) {
            this->requests.erase(ended[n % ended.size()]);
        }
    }

    void cancelOne(std::size_t n)
    {
        if (!this->requests.empty()) {
            std::next(this->requests.begin(), static_cast<std::ptrdiff_t>(n % this->requests.size()))->claim.cancel();
        }
    }

    asio::io_context context;
    SlotAdmission admission;
    std::list<Request> requests;
};

} // namespace

class SlotAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotAdmissionTest);
    CPPUNIT_TEST(neverMoreInFlightThanSlots);
    CPPUNIT_TEST(refusalsNameTheirCause);
    CPPUNIT_TEST(slowRouteDoesNotDropQuickRequest);
    CPPUNIT_TEST(moreSlotsAreGrantedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an upstream that gets more requests than it has slots, a slot that is lost, and a free slot that is
    /// not given to a waiting request.
    void neverMoreInFlightThanSlots()
    {
        CPPUNIT_ASSERT(rc::check("never more in flight than slots", [] {
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 5);
            Crowd crowd(slots, *rc::gen::inRange<std::size_t>(1, 8));
            const int steps = *rc::gen::inRange(1, 60);
            for (int i = 0; i < steps; ++i) {
                const auto n = *rc::gen::inRange<std::size_t>(0, 64);
                const Wish wish{"account-" + std::to_string(n % 3), n % 4 == 0 ? Duration(1ms) : Duration(1h), 0s, n % 8 != 1};
                switch (*rc::gen::inRange(0, 6)) {
                case 0:
                case 1:
                case 2:
                    crowd.start(wish);
                    break;
                case 3:
                    crowd.cancelOne(n);
                    break;
                case 4:
                    // Before the loop runs, so that a cancelled or expired request and a grant meet.
                    crowd.endOne(n);
                    crowd.cancelOne(n + 1);
                    break;
                default:
                    std::this_thread::sleep_for(1500us);
                }
                RC_ASSERT(crowd.admission.inFlight() <= slots);
                crowd.poll();
                RC_ASSERT(crowd.admission.inFlight() <= slots);
                RC_ASSERT(crowd.granted() == crowd.admission.inFlight());
                RC_ASSERT(crowd.admission.inFlight() == slots || crowd.admission.queued() == 0U);
            }
            while (!crowd.requests.empty()) {
                crowd.endOne(0);
                for (std::size_t i = 0; i < crowd.requests.size(); ++i) {
                    crowd.cancelOne(i);
                }
                crowd.poll();
            }
            RC_ASSERT(crowd.admission.inFlight() == 0U);
            RC_ASSERT(crowd.admission.queued() == 0U);
        }));
    }

    /// Guards against a refusal with a kind that misleads the ingress about a retry.
    void refusalsNameTheirCause()
    {
        Crowd crowd(1, 1);
        CPPUNIT_ASSERT(crowd.start({}).result->ok());
        CPPUNIT_ASSERT(errorKindOf(*crowd.start({.mayQueue = false}).result) == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(errorKindOf(*crowd.start({.timeout = 0s}).result) == ErrorKind::DeadlinePassed);
        Request &late = crowd.start({.timeout = 20ms});
        runUntil(crowd.context, [&late] {
            return late.result.has_value();
        });
        CPPUNIT_ASSERT(errorKindOf(*late.result) == ErrorKind::DeadlinePassed);
        Request &waiting = crowd.start({});
        CPPUNIT_ASSERT(errorKindOf(*crowd.start({}).result) == ErrorKind::Overloaded);
        waiting.claim.cancel();
        crowd.poll();
        CPPUNIT_ASSERT(errorKindOf(*waiting.result) == ErrorKind::DeadlinePassed);
        CPPUNIT_ASSERT_EQUAL(1U, crowd.admission.inFlight());
    }

    /// Guards against the usual time of one request's route being applied to the requests of other routes.
    void slowRouteDoesNotDropQuickRequest()
    {
        Crowd crowd(1, 8);
        crowd.start({});
        Request &quick = crowd.start({.timeout = 10min, .expectedDuration = 1ms});
        Request &hopeless = crowd.start({.timeout = 10min, .expectedDuration = 1h});
        Request &slow = crowd.start({.timeout = 3h, .expectedDuration = 1h});
        crowd.endOne(0);
        crowd.poll();
        CPPUNIT_ASSERT(quick.result.has_value() && quick.result->ok());
        crowd.endOne(0);
        crowd.poll();
        CPPUNIT_ASSERT(errorKindOf(*hopeless.result) == ErrorKind::DeadlinePassed);
        CPPUNIT_ASSERT(slow.result.has_value() && slow.result->ok());
    }

    /// Guards against requests that wait although a new revision gave the upstream more slots.
    void moreSlotsAreGrantedAtOnce()
    {
        Crowd crowd(1, 8);
        for (int i = 0; i < 4; ++i) {
            crowd.start({});
        }
        crowd.admission.setSlots(3);
        crowd.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, crowd.granted());
        crowd.admission.setSlots(1);
        crowd.endOne(0);
        crowd.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crowd.granted());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crowd.admission.queued());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SlotAdmissionTest);
