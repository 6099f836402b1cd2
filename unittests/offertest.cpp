#include <galenarack/proxy/offer.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

Offer sample()
{
    Offer offer;
    offer.upstream = "i-1";
    offer.requestId = "9c41d07be2a35f68";
    offer.route = "reports by month";
    offer.idempotent = true;
    offer.allowTrial = true;
    offer.isRepeat = true;
    offer.allowUnhealthy = true;
    offer.priority = 2;
    offer.remaining = 2900ms;
    offer.target = 800ms;
    offer.expected = 320ms;
    offer.maxQueueWait = 80ms;
    offer.callerService = "reports";
    offer.failureDomain = "a";
    offer.registryPosition = {3, 9'000'000'000};
    offer.knownLimit = 2.5;
    return offer;
}

} // namespace

class OfferTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OfferTest);
    CPPUNIT_TEST(roundTripsOffer);
    CPPUNIT_TEST(roundTripsAnyRequestId);
    CPPUNIT_TEST(roundTripsReport);
    CPPUNIT_TEST(rejectsMalformed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a flag or duration that is read back as another one.
    void roundTripsOffer()
    {
        HeaderList headers;
        sample().appendTo(headers);
        const auto offer = Offer::fromHeaders(headers);
        CPPUNIT_ASSERT(offer.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), offer->upstream);
        CPPUNIT_ASSERT_EQUAL(std::string("9c41d07be2a35f68"), offer->requestId);
        CPPUNIT_ASSERT_EQUAL(std::string("reports by month"), offer->route);
        CPPUNIT_ASSERT(offer->idempotent && offer->allowTrial && offer->isRepeat && offer->allowUnhealthy);
        CPPUNIT_ASSERT_EQUAL(2U, offer->priority);
        CPPUNIT_ASSERT(offer->remaining == Duration(2900ms) && offer->target == Duration(800ms));
        CPPUNIT_ASSERT(offer->expected == Duration(320ms) && offer->maxQueueWait == Duration(80ms));
        CPPUNIT_ASSERT_EQUAL(std::string("reports"), offer->callerService);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), offer->failureDomain);
        CPPUNIT_ASSERT(offer->registryPosition == RegistryPosition({3, 9'000'000'000}));
        CPPUNIT_ASSERT(offer->knownLimit == 2.5);

        Offer plain = sample();
        plain.knownLimit.reset();
        plain.registryPosition = {0, 7};
        plain.idempotent = plain.allowTrial = plain.isRepeat = plain.allowUnhealthy = false;
        HeaderList plainHeaders;
        plain.appendTo(plainHeaders);
        const auto read = Offer::fromHeaders(plainHeaders);
        CPPUNIT_ASSERT(read.ok() && !read->idempotent && !read->allowTrial && !read->isRepeat && !read->allowUnhealthy);
        CPPUNIT_ASSERT(!read->knownLimit);
        CPPUNIT_ASSERT(read->registryPosition == RegistryPosition({0, 7}));
    }

    /// Guards against a request that no home accepts, or whose response is taken for that of another one, because its id has odd
    /// characters or is missing.
    void roundTripsAnyRequestId()
    {
        for (const char *id : {"", "-", "%2D", "two words", "a,b;c=d", "%", "%zz", "100%", "\xc3\xa9", "9c41d07be2a35f68"}) {
            Offer offer = sample();
            offer.requestId = id;
            HeaderList headers;
            offer.appendTo(headers);
            const auto read = Offer::fromHeaders(headers);
            CPPUNIT_ASSERT_MESSAGE(id, read.ok());
            CPPUNIT_ASSERT_EQUAL(std::string(id), read->requestId);
        }
    }

    /// Guards against an outcome or a value of a report that the ingress reads back as another one, for each outcome.
    void roundTripsReport()
    {
        for (int outcome = 0; outcome <= static_cast<int>(OfferOutcome::Withdrawn); ++outcome) {
            OfferReport report;
            report.outcome = static_cast<OfferOutcome>(outcome);
            report.load = UpstreamLoad{2, 5, 3, 0.25, 1.5, 0.4};
            const bool isLimited = outcome % 2 == 0;
            report.load.limit = isLimited ? std::optional(0.8) : std::nullopt;
            report.load.limitWait = isLimited ? 1250ms : 0ms;
            if (isLimited) {
                report.leaving = LeavingMark{1'700'000'000'000, 1'700'000'009'000};
            }
            report.runDuration = 321ms;
            report.retryAfter = 77ms;
            HeaderList headers;
            report.appendTo(headers);
            const auto read = OfferReport::fromHeaders(headers);
            CPPUNIT_ASSERT(read.has_value());
            CPPUNIT_ASSERT(read->outcome == report.outcome);
            CPPUNIT_ASSERT(!offerOutcomeName(read->outcome).empty());
            CPPUNIT_ASSERT_EQUAL(5U, read->load.waiting);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, read->load.grayProbability, 0.01);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, read->load.slowness, 0.01);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, read->load.shedShare, 0.01);
            CPPUNIT_ASSERT(read->load.limit == report.load.limit && read->load.limitWait == report.load.limitWait);
            CPPUNIT_ASSERT_EQUAL(isLimited, read->leaving.has_value());
            CPPUNIT_ASSERT(!isLimited || read->leaving->sentMs == report.leaving->sentMs);
            CPPUNIT_ASSERT(!isLimited || read->leaving->startTimeMs == report.leaving->startTimeMs);
            CPPUNIT_ASSERT(read->runDuration == report.runDuration && read->retryAfter == report.retryAfter);
        }
    }

    /// Guards against a malformed message that is read as an offer or report with zero values.
    void rejectsMalformed()
    {
        const char *const texts[] = {"", "i-1", "i-1 id 1 2 3 4 5 x", "i-1 id 1 2 3 4 5", "i-1 id 1 2 3 4 5 6 7", "i-1 id 1 2 -3 4 5 6"};
        for (const char *text : texts) {
            HeaderList headers;
            headers.add("galenarack-offer", text);
            headers.add("galenarack-origin", "reports a");
            CPPUNIT_ASSERT_MESSAGE(text, !Offer::fromHeaders(headers).ok());
        }
        HeaderList report;
        report.add("galenarack-report", "99 0 0 0 0 0 0 0 0");
        CPPUNIT_ASSERT(!OfferReport::fromHeaders(report));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OfferTest);
