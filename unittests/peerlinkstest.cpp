#include "asiosupport.h"

#include <galenarack/proxy/peerlinks.h>

#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t bodyLimit = std::size_t{64} * 1024 * 1024;

/// @return a port that was free a moment ago
std::uint16_t freePort(asio::io_context &context)
{
    return tcp::acceptor(context, anyLoopbackPort()).local_endpoint().port();
}

} // namespace

class PeerLinksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLinksTest);
    CPPUNIT_TEST(responseThatIsBeingWrittenCountsAsOpen);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a leaving node that takes itself for idle and ends while another node has read only a part of a response.
    void responseThatIsBeingWrittenCountsAsOpen()
    {
        const struct
        {
            const char *name;
            std::size_t bytes; ///< Size of the response.
            bool isRead; ///< Whether the other node reads.
            bool isAnswering;
        } table[] = {
            {"large response, read", 16UL * 1024 * 1024, true, false},
            {"large response, not read", 16UL * 1024 * 1024, false, true},
        };
        for (const auto &row : table) {
            asio::io_context context;
            unsigned answered = 0;
            const std::uint16_t port = freePort(context);
            PeerLinks links(context.get_executor(),
                            port,
                            bodyLimit,
                            [&answered, &row](const std::shared_ptr<PeerCall> &) -> asio::awaitable<PeerResponse> {
                                PeerResponse response;
                                response.status = 200;
                                response.body = std::string(row.bytes, 'x');
                                ++answered;
                                co_return response;
                            });
            const tcp::endpoint address(asio::ip::address_v4::loopback(), port);
            CPPUNIT_ASSERT_MESSAGE(row.name, links.listen(address).ok());
            CPPUNIT_ASSERT_MESSAGE(row.name, !links.isAnswering());
            tcp::socket socket(context);
            socket.connect(address);
            PeerLimits limits;
            limits.bodyBytes = bodyLimit;
            const auto client = std::make_shared<PeerSession>(std::move(socket), PeerSession::Role::Client, limits, PeerHandler());
            if (row.isRead) {
                client->start();
            }
            PeerRequest request;
            request.method = "GET";
            request.path = "/";
            std::size_t received = 0;
            asio::co_spawn(
                context,
                [client, &request, &received]() -> asio::awaitable<void> {
                    const auto response = co_await client->request(std::move(request), NodeClock::now() + testTimeout);
                    received = response.ok() ? response->body.size() : 0;
                },
                asio::detached);
            runUntil(context, [&answered] {
                return answered == 1;
            });
            if (row.isRead) {
                runUntil(context, [&links] {
                    return !links.isAnswering();
                });
                runUntil(context, [&received] {
                    return received > 0;
                });
            } else {
                runFor(context, 500ms);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isAnswering, links.isAnswering());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isRead ? row.bytes : 0, received);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinksTest);
