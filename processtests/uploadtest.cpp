#include "support/platformfleet.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <string_view>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Limit of a request's body in the configuration.
constexpr std::size_t maxBodyBytes = 64 * 1024 * 1024;

/// Default of `--memory_mb`.
constexpr std::size_t memoryKb = 256 * 1024;

/// Node that takes the uploads, and whose upstream belongs to the service of the route.
constexpr unsigned uploadNode = 1;

} // namespace

/// Long bodies of callers' requests.
class UploadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UploadTest);
    CPPUNIT_TEST(uploadsKeepTheMemoryLimit);
    CPPUNIT_TEST(repeatedUploadsKeepTheMemoryLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a node that exceeds the memory of its process, and is killed with all requests in progress, because several
    /// callers upload bodies at the same time that are each within the limit of the configuration.
    void uploadsKeepTheMemoryLimit()
    {
        const struct
        {
            const char *name;
            std::size_t bytes;
            unsigned count;
            bool isChunked;
            unsigned served; ///< Least number of uploads that are answered 200.
        } table[] = {
            {"three long bodies", 60 * 1024 * 1024, 3, false, 1},
            {"three long chunked bodies", 60 * 1024 * 1024, 3, true, 0},
            {"many bodies", 8 * 1024 * 1024, 24, false, 1},
        };
        for (const auto &row : table) {
            PlatformFleet fleet(2);
            fleet.maxBodyBytes = maxBodyBytes;
            CPPUNIT_ASSERT(fleet.startAll());
            fleet.publishConfig("/read/");
            fleet.runFor(1s);
            unsigned open = row.count;
            unsigned served = 0;
            unsigned lookups = 0;
            for (unsigned i = 0; i < row.count; ++i) {
                asio::co_spawn(
                    fleet.context,
                    [&fleet, &row, &open, &served, i]() -> asio::awaitable<void> {
                        served += co_await upload(fleet, uploadNode, "u" + std::to_string(i), row.bytes, row.isChunked) == 200 ? 1 : 0;
                        --open;
                    },
                    asio::detached);
            }
            while (open > 0) {
                CPPUNIT_ASSERT_MESSAGE(row.name, fleet.processes[uploadNode]->isRunning());
                const CallResult result = fleet.sendAndWait(uploadNode, "GET", "/read/x", "l" + std::to_string(lookups++));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200U, result.status);
            }
            const std::size_t peak = peakMemoryKb(fleet.processes[uploadNode]->processId());
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + ": peak " + std::to_string(peak) + " KB", peak > 0 && peak < memoryKb);
            CPPUNIT_ASSERT_MESSAGE(row.name, served >= row.served);
        }
    }

    /// Guards against a node that exceeds the memory of its process because the bodies of uploads that have ended still take it: blocks
    /// that are freed among others in use stay in the heap.
    void repeatedUploadsKeepTheMemoryLimit()
    {
        constexpr unsigned nodeCount = 4;
        constexpr unsigned callersPerNode = 2;
        constexpr unsigned rounds = 8;
        constexpr std::array<std::size_t, 3> sizes = {33'000'000, 24'000'000, 30'000'000};
        PlatformFleet fleet(nodeCount);
        fleet.maxBodyBytes = maxBodyBytes;
        CPPUNIT_ASSERT(fleet.startAll());
        fleet.publishConfig("/read/");
        fleet.runFor(1s);
        unsigned open = nodeCount * callersPerNode;
        unsigned served = 0;
        for (unsigned caller = 0; caller < nodeCount * callersPerNode; ++caller) {
            asio::co_spawn(
                fleet.context,
                [&fleet, &sizes, &open, &served, caller]() -> asio::awaitable<void> {
                    for (unsigned round = 0; round < rounds; ++round) {
                        const std::string id = "r" + std::to_string(caller) + "-" + std::to_string(round);
                        const std::size_t bytes = sizes[(caller + round) % sizes.size()];
                        served += co_await upload(fleet, caller % nodeCount, id, bytes, false) == 200 ? 1 : 0;
                    }
                    --open;
                },
                asio::detached);
        }
        while (open > 0) {
            fleet.runFor(20ms);
        }
        std::string peaks;
        bool isExceeded = false;
        for (const auto &process : fleet.processes) {
            CPPUNIT_ASSERT(process->isRunning());
            const std::size_t peak = peakMemoryKb(process->processId());
            isExceeded = isExceeded || peak == 0 || peak >= memoryKb;
            peaks += std::to_string(peak) + " KB ";
        }
        CPPUNIT_ASSERT_MESSAGE("peaks " + peaks, !isExceeded);
        CPPUNIT_ASSERT(served > 0);
    }

private:
    /// Sends a body in pieces.
    /// @return status of the answer, 0 without one
    static asio::awaitable<unsigned> upload(PlatformFleet &fleet, unsigned node, std::string id, std::size_t bytes, bool isChunked)
    {
        constexpr std::size_t pieceBytes = 256 * 1024;
        const std::string piece(pieceBytes, 'x');
        StandIns::Tcp::socket socket(fleet.context);
        co_await socket.async_connect(fleet.callerAddress(node, true), asTuple);
        const std::string framing = isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + std::to_string(bytes);
        const std::string head = "POST /write/x HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: " + id
                                 + "\r\nDeadline-Ms: 6000\r\nConnection: close\r\n" + framing + "\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head), asTuple);
        for (std::size_t sent = 0; sent < bytes; sent += pieceBytes) {
            const std::string before = isChunked ? "40000\r\n" : "";
            const std::string after = isChunked ? "\r\n" : "";
            const std::array<asio::const_buffer, 3> buffers = {asio::buffer(before), asio::buffer(piece), asio::buffer(after)};
            const auto [error, length] = co_await asio::async_write(socket, buffers, asTuple);
            if (error) {
                break;
            }
        }
        if (isChunked) {
            co_await asio::async_write(socket, asio::buffer(std::string_view("0\r\n\r\n")), asTuple);
        }
        std::string answer;
        const auto [error, length] = co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", asTuple);
        constexpr std::string_view version = "HTTP/1.1 ";
        const bool hasStatus = !error && answer.starts_with(version);
        co_return hasStatus ? static_cast<unsigned>(std::stoul(answer.substr(version.size(), 3))) : 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadTest);
