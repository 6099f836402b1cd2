#include <galenarack/membership/gossiptransport.h>

#include <boost/asio/ip/address.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace Galenarack;
namespace asio = boost::asio;

namespace {

std::string longName(char c)
{
    return std::string(maxNameBytes, c);
}

/// @return an update with every field at its maximum size
MemberUpdate largestUpdate(char c)
{
    MemberUpdate update;
    update.name = longName(c);
    update.address = "ffff:ffff:ffff:ffff:ffff:ffff:ffff:fff" + std::string(1, c);
    update.failureDomain = longName('d');
    update.incarnation.value = ~0ULL;
    update.counter = ~0U;
    update.leaving = true;
    update.revision = ~0ULL;
    std::vector<UpstreamMark> marks(20, UpstreamMark{longName('u'), UpstreamMarkKind::Ejected});
    marks.push_back(UpstreamMark{longName('v'), UpstreamMarkKind::Leaving});
    update.marks = fittingMarks(marks);
    return update;
}

GossipMessage largestMessage()
{
    GossipMessage message;
    message.fleet = longName('f');
    message.kind = GossipKind::IndirectProbe;
    message.sequence = ~0U;
    message.sender = largestUpdate('a');
    message.target = longName('t');
    message.syncAfter = longName('s');
    message.updates = {largestUpdate('b')};
    message.updates[0].state = GossipState::Gone;
    return message;
}

MemberUpdate smallUpdate(const std::string &name, const std::string &address)
{
    MemberUpdate update;
    update.name = name;
    update.address = address;
    update.failureDomain = "kl-a";
    update.incarnation.value = 7;
    return update;
}

} // namespace

class GossipMessageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GossipMessageTest);
    CPPUNIT_TEST(largestMessageFitsAndRoundTrips);
    CPPUNIT_TEST(malformedDatagramsAreDropped);
    CPPUNIT_TEST(changedDatagramsNeverCrash);
    CPPUNIT_TEST(transportsExchangeAndDrop);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a datagram above the size limit, and against an estimated size below the encoded size.
    void largestMessageFitsAndRoundTrips()
    {
        const GossipMessage message = largestMessage();
        const std::string datagram = encodeGossip(message);
        CPPUNIT_ASSERT(datagram.size() <= encodedBound(message));
        CPPUNIT_ASSERT(encodedBound(message) <= maxGossipBytes);
        CPPUNIT_ASSERT(decodeGossip(datagram, longName('f')).value() == message);
        CPPUNIT_ASSERT(message.sender.marks.front().kind == UpstreamMarkKind::Leaving);
    }

    /// Guards against datagrams of other programs, fleets or protocol versions that change the member table.
    void malformedDatagramsAreDropped()
    {
        GossipMessage message;
        message.fleet = "fleet";
        message.sender = smallUpdate("vm-1", "10.0.0.1");
        const nlohmann::json good = nlohmann::json::from_cbor(encodeGossip(message));
        CPPUNIT_ASSERT(decodeGossip(encodeGossip(message), "fleet").ok());
        CPPUNIT_ASSERT(!decodeGossip(encodeGossip(message), "other").ok());
        CPPUNIT_ASSERT(!decodeGossip(std::string(maxGossipBytes + 1, '\0'), "fleet").ok());
        struct Row
        {
            const char *pointer;
            nlohmann::json value;
        };
        const Row rows[] = {
            {"/0", 2},
            {"/1", "other"},
            {"/2", 3},
            {"/3", -1},
            {"/4/0", ""},
            {"/4/0", "two words"},
            {"/4/0", std::string(maxNameBytes + 1, 'a')},
            {"/4/1", "not an address"},
            {"/4/1", "fe80::1%eth0"},
            {"/4/3", 0},
            {"/4/4", 4294967296},
            {"/4/5", 3},
            {"/4/5", 2},
            {"/4/6", "7"},
            {"/4", nlohmann::json::array({1})},
            {"/5", 1},
            {"/6", 1},
            {"/7", nullptr},
            {"/7", nlohmann::json::array({nullptr})},
        };
        for (const Row &row : rows) {
            nlohmann::json bad = good;
            bad[nlohmann::json::json_pointer(row.pointer)] = row.value;
            std::string datagram;
            nlohmann::json::to_cbor(bad, datagram);
            CPPUNIT_ASSERT_MESSAGE(bad.dump(), !decodeGossip(datagram, "fleet").ok());
        }
    }

    /// Guards against malformed datagrams that crash the process.
    void changedDatagramsNeverCrash()
    {
        CPPUNIT_ASSERT(rc::check("changed datagrams are read or refused", [] {
            std::string datagram = encodeGossip(largestMessage());
            datagram.resize(*rc::gen::inRange<std::size_t>(0, datagram.size() + 1));
            for (int i = 0; i < 3 && !datagram.empty(); ++i) {
                datagram[*rc::gen::inRange<std::size_t>(0, datagram.size())] = *rc::gen::arbitrary<char>();
            }
            const auto message = decodeGossip(datagram, longName('f'));
            const bool isRefusedOrValid = !message.ok() || message->sender.incarnation.value != 0;
            RC_ASSERT(isRefusedOrValid);
        }));
    }

    /// Guards against a transport that loses messages, replies to a forged address or stops after a malformed datagram.
    void transportsExchangeAndDrop()
    {
        asio::io_context context;
        const MemberUpdate first = smallUpdate("vm-1", "127.0.0.41");
        const MemberUpdate second = smallUpdate("vm-2", "127.0.0.42");
        MemberTable firstTable(first);
        MemberTable secondTable(second);
        GossipSystem firstSystem(firstTable, "fleet", first, GossipSettings(), std::mt19937_64(1));
        GossipSystem secondSystem(secondTable, "fleet", second, GossipSettings(), std::mt19937_64(2));
        GossipTransport firstTransport(context, firstSystem, "fleet", {asio::ip::make_address(first.address), 0});
        const std::uint16_t port = firstTransport.localEndpoint().port();
        GossipTransport secondTransport(context, secondSystem, "fleet", {asio::ip::make_address(second.address), port});
        asio::ip::udp::socket otherSocket(context, {asio::ip::make_address("127.0.0.43"), 0});

        GossipMessage forged;
        forged.fleet = "fleet";
        forged.sender = smallUpdate("vm-9", "127.0.0.42");
        otherSocket.send_to(asio::buffer(std::string("garbage")), firstTransport.localEndpoint());
        otherSocket.send_to(asio::buffer(encodeGossip(forged)), firstTransport.localEndpoint());
        const ListedVm listed{second.name, second.address, second.failureDomain, false};
        firstSystem.applyVmList({&listed, 1}, NodeClock::now());
        firstTransport.start();
        secondTransport.start();
        const auto isDone = [&] {
            const MemberRow *firstRow = secondTable.find(first.name);
            const MemberRow *secondRow = firstTable.find(second.name);
            return firstRow != nullptr && secondRow->state == MemberState::Live && firstTransport.traffic().dropped == 2;
        };
        for (int i = 0; i < 100 && !isDone(); ++i) {
            context.run_for(std::chrono::milliseconds(50));
        }
        CPPUNIT_ASSERT(isDone());
        CPPUNIT_ASSERT(firstTable.find("vm-9") == nullptr);
        CPPUNIT_ASSERT(firstTransport.traffic().sentBytes >= firstTransport.traffic().sentDatagrams * datagramHeaderBytes);
        firstTransport.stop();
        secondTransport.stop();
        context.run_for(std::chrono::seconds(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipMessageTest);
