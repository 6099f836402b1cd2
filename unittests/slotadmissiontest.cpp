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

/// One request for a slot.
struct Request
{
    SlotAdmission::Claim claim;
    std::optional<absl::Status> result;
};

struct RequestOptions
{
    std::string account = "a";
    Duration timeout = 1h;
    Duration expectedDuration = 0s;
    bool mayQueue = true;
};

/// Starts, ends and cancels requests for the slots of one upstream, in any order, on one event loop.
struct AdmissionDriver
{
    AdmissionDriver(std::uint32_t slots, std::size_t queueLimit)
        : admission(this->context.get_executor(), slots, queueLimit)
    {
    }

    Request &start(const RequestOptions &options)
    {
        Request &request = this->requests.emplace_back();
        auto task = [](SlotAdmission &admission, Request &request, RequestOptions options) -> asio::awaitable<void> {
            request.result = co_await admission.acquire(
                request.claim, options.account, NodeClock::now() + options.timeout, options.expectedDuration, options.mayQueue);
        };
        asio::co_spawn(this->context, task(this->admission, request, options), [](const std::exception_ptr &error) {
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
    CPPUNIT_TEST(refusalsReportTheirCause);
    CPPUNIT_TEST(slowRouteDoesNotDropQuickRequest);
    CPPUNIT_TEST(moreSlotsAreGrantedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an upstream that runs more requests than it has slots, a slot that is never released, and a free slot
    /// that is not granted to a waiting request.
    void neverMoreInFlightThanSlots()
    {
        CPPUNIT_ASSERT(rc::check("never more in flight than slots", [] {
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 5);
            AdmissionDriver driver(slots, *rc::gen::inRange<std::size_t>(1, 8));
            const int steps = *rc::gen::inRange(1, 60);
            for (int i = 0; i < steps; ++i) {
                const auto n = *rc::gen::inRange<std::size_t>(0, 64);
                const RequestOptions options{"account-" + std::to_string(n % 3), n % 4 == 0 ? Duration(1ms) : Duration(1h), 0s, n % 8 != 1};
                switch (*rc::gen::inRange(0, 6)) {
                case 0:
                case 1:
                case 2:
                    driver.start(options);
                    break;
                case 3:
                    driver.cancelOne(n);
                    break;
                case 4:
                    // Both happen before the event loop runs, so that a request is cancelled or expires while a slot is
                    // granted to it.
                    driver.endOne(n);
                    driver.cancelOne(n + 1);
                    break;
                default:
                    std::this_thread::sleep_for(1500us);
                }
                RC_ASSERT(driver.admission.inFlight() <= slots);
                driver.poll();
                RC_ASSERT(driver.admission.inFlight() <= slots);
                RC_ASSERT(driver.granted() == driver.admission.inFlight());
                RC_ASSERT(driver.admission.inFlight() == slots || driver.admission.queued() == 0U);
            }
            while (!driver.requests.empty()) {
                driver.endOne(0);
                for (std::size_t i = 0; i < driver.requests.size(); ++i) {
                    driver.cancelOne(i);
                }
                driver.poll();
            }
            RC_ASSERT(driver.admission.inFlight() == 0U);
            RC_ASSERT(driver.admission.queued() == 0U);
        }));
    }

    /// Guards against a refusal with an error kind from which the ingress concludes wrongly whether a retry helps.
    void refusalsReportTheirCause()
    {
        AdmissionDriver driver(1, 1);
        CPPUNIT_ASSERT(driver.start({}).result->ok());
        CPPUNIT_ASSERT(errorKindOf(*driver.start({.mayQueue = false}).result) == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(errorKindOf(*driver.start({.timeout = 0s}).result) == ErrorKind::DeadlinePassed);
        Request &late = driver.start({.timeout = 20ms});
        runUntil(driver.context, [&late] {
            return late.result.has_value();
        });
        CPPUNIT_ASSERT(errorKindOf(*late.result) == ErrorKind::DeadlinePassed);
        Request &waiting = driver.start({});
        CPPUNIT_ASSERT(errorKindOf(*driver.start({}).result) == ErrorKind::Overloaded);
        waiting.claim.cancel();
        driver.poll();
        CPPUNIT_ASSERT(errorKindOf(*waiting.result) == ErrorKind::DeadlinePassed);
        CPPUNIT_ASSERT_EQUAL(1U, driver.admission.inFlight());
    }

    /// Guards against the expected duration of one request's route being applied to the requests of other routes.
    void slowRouteDoesNotDropQuickRequest()
    {
        AdmissionDriver driver(1, 8);
        driver.start({});
        Request &quick = driver.start({.timeout = 10min, .expectedDuration = 1ms});
        Request &tooLate = driver.start({.timeout = 10min, .expectedDuration = 1h});
        Request &slow = driver.start({.timeout = 3h, .expectedDuration = 1h});
        driver.endOne(0);
        driver.poll();
        CPPUNIT_ASSERT(quick.result.has_value() && quick.result->ok());
        driver.endOne(0);
        driver.poll();
        CPPUNIT_ASSERT(errorKindOf(*tooLate.result) == ErrorKind::DeadlinePassed);
        CPPUNIT_ASSERT(slow.result.has_value() && slow.result->ok());
    }

    /// Guards against requests that go on waiting after a new revision gave the upstream more slots.
    void moreSlotsAreGrantedAtOnce()
    {
        AdmissionDriver driver(1, 8);
        for (int i = 0; i < 4; ++i) {
            driver.start({});
        }
        driver.admission.setSlots(3);
        driver.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, driver.granted());
        driver.admission.setSlots(1);
        driver.endOne(0);
        driver.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, driver.granted());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.admission.queued());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SlotAdmissionTest);
