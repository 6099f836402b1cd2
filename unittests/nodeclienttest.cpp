#include <galenarackctl/nodeclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Keeps a client that holds all bytes from using up the memory of the machine.
constexpr std::size_t maxEndlessBytes = 256 * 1024 * 1024;

/// What a test node sends.
struct NodeScript
{
    std::string response;
    bool resets = false; ///< Whether it resets the connection 50 ms after the response; otherwise it closes it.
    std::string endlessPart{}; ///< Bytes that it repeats after the response up to maxEndlessBytes; may be empty.
};

/// Answers one request on a loopback port, in a thread of its own.
class ScriptedNode
{
public:
    explicit ScriptedNode(NodeScript script)
        : script(std::move(script))
        , acceptor(this->context, {asio::ip::address_v4::loopback(), 0})
        , thread([this] {
            this->serve();
        })
    {
    }

    ~ScriptedNode()
    {
        this->join();
    }

    ScriptedNode(const ScriptedNode &) = delete;
    ScriptedNode &operator=(const ScriptedNode &) = delete;

    NodeAddress address() const
    {
        return {"127.0.0.1", std::to_string(this->acceptor.local_endpoint().port())};
    }

    /// Waits until the request has been answered.
    /// @return number of bytes sent as `endlessPart`
    std::size_t join()
    {
        if (this->thread.joinable()) {
            this->thread.join();
        }
        return this->endlessBytes;
    }

private:
    void serve()
    {
        boost::system::error_code error;
        tcp::socket socket = this->acceptor.accept();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        asio::write(socket, asio::buffer(this->script.response), error);
        while (!this->script.endlessPart.empty() && !error && this->endlessBytes < maxEndlessBytes) {
            this->endlessBytes += asio::write(socket, asio::buffer(this->script.endlessPart), error);
        }
        if (this->script.resets) {
            std::this_thread::sleep_for(50ms);
            socket.set_option(asio::socket_base::linger(true, 0), error);
            socket.close(error);
        }
    }

    NodeScript script;
    asio::io_context context;
    tcp::acceptor acceptor;
    std::size_t endlessBytes = 0;
    std::thread thread;
};

} // namespace

class NodeClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeClientTest);
    CPPUNIT_TEST(onlyWholeAndValidRepliesAreShown);
    CPPUNIT_TEST(endlessReplyIsDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a broken or interim response that is shown to operators as the reply of a node.
    void onlyWholeAndValidRepliesAreShown()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::string length = "Content-Length: 2\r\n";
        const struct
        {
            const char *name;
            NodeScript script;
            unsigned status; ///< Status that is shown; 0 when the node counts as one that did not answer.
        } table[] = {
            {"status 000", {"HTTP/1.1 000 None\r\n" + length + "\r\n{}"}, 0},
            {"status 099", {"HTTP/1.1 099 None\r\n" + length + "\r\n{}"}, 0},
            {"status 101", {"HTTP/1.1 101 Switching Protocols\r\n\r\n{}"}, 0},
            {"status 600", {"HTTP/1.1 600 None\r\n" + length + "\r\n{}"}, 0},
            {"no length, reset", {ok + "\r\n{}", true}, 0},
            {"length, reset", {ok + "Content-Length: 9\r\n\r\n{}", true}, 0},
            {"blank in a field name", {ok + "X Field: 1\r\n" + length + "\r\n{}"}, 0},
            {"control byte in a field name", {ok + "X-\x01: 1\r\n" + length + "\r\n{}"}, 0},
            {"transfer coding that is not chunked", {ok + "Transfer-Encoding: gzip\r\n\r\n{}"}, 0},
            {"length", {ok + length + "\r\n{}"}, 200},
            {"chunks", {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"}, 200},
            {"no length, closed", {ok + "\r\n{}"}, 200},
            {"interim response first", {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok + length + "\r\n{}"}, 200},
            {"not found", {"HTTP/1.1 404 Not Found\r\n" + length + "\r\n{}"}, 404},
        };
        std::string mismatches;
        for (const auto &row : table) {
            ScriptedNode node(row.script);
            const NodeAddress nodes[] = {node.address()};
            const NodeReply reply = queryNodes(nodes, "/status").front();
            if (reply.status != row.status || reply.failure.empty() != (row.status != 0)) {
                mismatches += std::string(row.name) + ": " + std::to_string(reply.status) + " " + reply.failure + "\n";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }

    /// Guards against a node that sends bytes without end, and whose client keeps them until the call has timed out. The bound is what
    /// the socket buffers of both ends may hold beside the limits.
    void endlessReplyIsDropped()
    {
        constexpr std::size_t maxSentBytes = 40 * 1024 * 1024;
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string filler(64 * 1024, 'x');
        const struct
        {
            const char *name;
            NodeScript script;
        } table[] = {
            {"header field", {"HTTP/1.1 200 OK\r\nX-Long: ", false, filler}},
            {"body without a length", {"HTTP/1.1 200 OK\r\n\r\n", false, filler}},
            {"chunk extension", {chunked + "2;a=", false, filler}},
            {"interim responses", {"", false, "HTTP/1.1 103 Early Hints\r\n\r\n"}},
        };
        std::string mismatches;
        for (const auto &row : table) {
            ScriptedNode node(row.script);
            const NodeAddress nodes[] = {node.address()};
            const NodeReply reply = queryNodes(nodes, "/status").front();
            const std::size_t bytes = node.join();
            if (reply.failure.empty() || bytes > maxSentBytes) {
                mismatches += std::string(row.name) + ": " + std::to_string(bytes) + " bytes\n";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeClientTest);
