#include <galenarack/core/errorkind.h>
#include <galenarack/peer/forwardmeta.h>
#include <galenarack/peer/peercontrol.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace Galenarack;

namespace {

/// Generates a number within the range of the fields. As a time in milliseconds it is up to about 30,000 years.
std::int64_t anyNumber()
{
    return *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000'000);
}

ForwardMeta anyMeta(bool repeatable)
{
    ForwardMeta meta;
    meta.id = RequestId{Incarnation{static_cast<std::uint64_t>(anyNumber()) + 1}, static_cast<std::uint64_t>(anyNumber())};
    meta.addressedTo = Incarnation{static_cast<std::uint64_t>(anyNumber()) + 1};
    meta.receivedMs = anyNumber();
    meta.expiryMs = anyNumber();
    meta.account = "account-" + std::to_string(anyNumber());
    meta.upstream = "upstream-" + std::to_string(anyNumber());
    meta.revision = static_cast<std::uint64_t>(anyNumber());
    meta.routeClass = *rc::gen::inRange(0U, 10'000U);
    meta.repeatable = repeatable;
    meta.insist = *rc::gen::arbitrary<bool>();
    meta.mayQueue = *rc::gen::arbitrary<bool>();
    meta.serviceMedianUs = anyNumber();
    if (!repeatable) {
        meta.fingerprint = RequestFingerprint{static_cast<std::uint64_t>(anyNumber()), static_cast<std::uint64_t>(anyNumber())};
        meta.key = IdempotencyKey{"vm-1", Incarnation{9}, fromMilliseconds(anyNumber()), static_cast<std::uint64_t>(anyNumber())};
    }
    return meta;
}

/// @return `headers` without the field `name`, or with `value` as its value
HeaderList changed(const HeaderList &headers, std::string_view name, std::optional<std::string_view> value)
{
    HeaderList result;
    for (const HeaderField &field : headers.all()) {
        if (field.name != name) {
            result.add(field.name, field.value);
        } else if (value) {
            result.add(name, *value);
        }
    }
    return result;
}

HeaderList someHeaders()
{
    ForwardMeta meta;
    meta.id = RequestId{Incarnation{1}, 2};
    meta.addressedTo = Incarnation{3};
    meta.expiryMs = 5000;
    meta.account = "a";
    meta.upstream = "u";
    meta.key = IdempotencyKey{"vm-1", Incarnation{9}, fromMilliseconds(7), 8};
    HeaderList headers;
    meta.appendTo(headers);
    return headers;
}

NodeReport someReport()
{
    NodeReport report;
    report.fleet = "fleet";
    report.vm = "vm-1";
    report.incarnation = Incarnation{~0ULL};
    report.clockMs = 123456789;
    report.revision = 42;
    report.leaving = true;
    UpstreamReport upstream{HealthState::Ejected, HealthCause::Latency, 1.5F, 0.25F, 3, 7, 4, 2, std::chrono::microseconds(25'000)};
    report.upstreams.push_back({"upstream-1", upstream});
    return report;
}

void requireSame(const UpstreamReport &a, const UpstreamReport &b)
{
    CPPUNIT_ASSERT(a.healthState == b.healthState && a.cause == b.cause && a.inFlight == b.inFlight && a.queued == b.queued);
    CPPUNIT_ASSERT(a.slots == b.slots && a.routeClass == b.routeClass && a.latency == b.latency);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(a.severity, b.severity, 1e-4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(a.weight, b.weight, 1e-4);
}

} // namespace

class PeerMetaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerMetaTest);
    CPPUNIT_TEST(forwardMetaRoundTrips);
    CPPUNIT_TEST(malformedForwardMetaIsRefused);
    CPPUNIT_TEST(upstreamReportRoundTrips);
    CPPUNIT_TEST(malformedUpstreamReportIsIgnored);
    CPPUNIT_TEST(nodeReportRoundTrips);
    CPPUNIT_TEST(malformedNodeReportIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a home that decides about a request by other metadata than the ingress sent.
    void forwardMetaRoundTrips()
    {
        CPPUNIT_ASSERT(rc::check("fields round trip", [] {
            const ForwardMeta meta = anyMeta(*rc::gen::arbitrary<bool>());
            HeaderList headers;
            meta.appendTo(headers);
            const auto read = ForwardMeta::fromHeaders(headers);
            RC_ASSERT(read.ok());
            RC_ASSERT(read->id == meta.id && read->addressedTo == meta.addressedTo && read->key == meta.key);
            RC_ASSERT(read->receivedMs == meta.receivedMs && read->expiryMs == meta.expiryMs && read->revision == meta.revision);
            RC_ASSERT(read->account == meta.account && read->upstream == meta.upstream && read->routeClass == meta.routeClass);
            RC_ASSERT(read->repeatable == meta.repeatable && read->insist == meta.insist && read->mayQueue == meta.mayQueue);
            RC_ASSERT(read->serviceMedianUs == meta.serviceMedianUs);
            RC_ASSERT(read->fingerprint.high == meta.fingerprint.high && read->fingerprint.low == meta.fingerprint.low);
        }));
    }

    /// Guards against a default value for a missing or malformed field, e.g. a request that is treated as repeatable.
    void malformedForwardMetaIsRefused()
    {
        const HeaderList headers = someHeaders();
        CPPUNIT_ASSERT(ForwardMeta::fromHeaders(headers).ok());
        for (const HeaderField &field : headers.all()) {
            std::vector<std::optional<std::string_view>> values = {"x", "", "-1", "99999999999999999999", "1 ", "1,1"};
            if (field.name == PeerHeader::account || field.name == PeerHeader::upstream) {
                values.clear();
            }
            if (field.name != PeerHeader::key) {
                values.emplace_back(std::nullopt);
            }
            for (const auto &value : values) {
                const auto read = ForwardMeta::fromHeaders(changed(headers, field.name, value));
                CPPUNIT_ASSERT_MESSAGE(field.name + "=" + std::string(value.value_or("(none)")), !read.ok());
                CPPUNIT_ASSERT(errorKindOf(read.status()) == ErrorKind::InvalidRequest);
                CPPUNIT_ASSERT(messageOf(read.status()).find(field.name) != std::string::npos);
            }
        }
        // A time whose conversion to microseconds overflows.
        CPPUNIT_ASSERT(!ForwardMeta::fromHeaders(changed(headers, PeerHeader::expiryMs, "9223372036854775807")).ok());
    }

    /// Guards against a health state that is changed by encoding and decoding on its way to an ingress.
    void upstreamReportRoundTrips()
    {
        const UpstreamReport report = someReport().upstreams[0].report;
        HeaderList headers;
        appendReport(report, headers);
        requireSame(report, reportFromHeaders(headers).value());
    }

    /// Guards against an incomplete report that replaces a complete one.
    void malformedUpstreamReportIsIgnored()
    {
        HeaderList headers;
        appendReport(UpstreamReport(), headers);
        for (const HeaderField &field : headers.all()) {
            CPPUNIT_ASSERT(!reportFromHeaders(changed(headers, field.name, std::nullopt)));
            for (const std::string &value : {std::string(), field.value + ",1", "x" + field.value, field.value + "x", std::string(",,,")}) {
                CPPUNIT_ASSERT_MESSAGE(field.name + "=" + value, !reportFromHeaders(changed(headers, field.name, value)));
            }
        }
        CPPUNIT_ASSERT(!reportFromHeaders(HeaderList()));
    }

    /// Guards against a hello or heartbeat that is decoded to other values than were encoded.
    void nodeReportRoundTrips()
    {
        const NodeReport report = someReport();
        const NodeReport read = NodeReport::decode(report.encode()).value();
        CPPUNIT_ASSERT(read.version == report.version && read.fleet == report.fleet && read.vm == report.vm);
        CPPUNIT_ASSERT(read.incarnation == report.incarnation && read.clockMs == report.clockMs);
        CPPUNIT_ASSERT(read.revision == report.revision && read.leaving == report.leaving);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.upstreams.size());
        CPPUNIT_ASSERT_EQUAL(report.upstreams[0].upstream, read.upstreams[0].upstream);
        requireSame(report.upstreams[0].report, read.upstreams[0].report);
    }

    /// Guards against malformed data on the peer port that crashes the process or is accepted as a report.
    void malformedNodeReportIsRefused()
    {
        const std::string bytes = someReport().encode();
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            CPPUNIT_ASSERT(!NodeReport::decode(bytes.substr(0, length)).ok());
        }
        CPPUNIT_ASSERT(!NodeReport::decode(bytes + "x").ok());
        // Items with a huge declared length, and items nested as deep as the largest body allows.
        const std::string huge(8, '\x7f');
        for (const std::string &wrong :
             {std::string(1024 * 1024, '\x81'), std::string(1024 * 1024, '\x9f'), "\x5b" + huge, "\x9b" + huge}) {
            CPPUNIT_ASSERT(errorKindOf(NodeReport::decode(wrong).status()) == ErrorKind::InvalidRequest);
        }
        CPPUNIT_ASSERT(rc::check("changed bytes never crash", [&bytes] {
            std::string other = bytes;
            for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
                other[*rc::gen::inRange<std::size_t>(0, other.size())] = *rc::gen::arbitrary<char>();
            }
            const auto read = NodeReport::decode(other);
            RC_ASSERT(read.ok() || errorKindOf(read.status()) == ErrorKind::InvalidRequest);
        }));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerMetaTest);
