#include <galenarack/core/logsink.h>
#include <galenarack/core/scopeguard.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

/// @return the bytes that one read() returns; empty when there are none
std::string readAvailable(int descriptor)
{
    std::array<char, 65536> bytes{};
    const ssize_t length = read(descriptor, bytes.data(), bytes.size());
    return {bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0))};
}

struct RateCase
{
    double linesPerSecond;
    double burst;
    int lineCount; ///< Number of lines offered, one every 10 ms.
    int minAdmitted; ///< Lower bound of the admitted lines.
    int maxAdmitted; ///< Upper bound of the admitted lines.
};

} // namespace

class LogSinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogSinkTest);
    CPPUNIT_TEST(neverBlocksOnReader);
    CPPUNIT_TEST(boundsRate);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a log pipe without a reader that blocks the process or exhausts its memory. Dropped lines must be reported
    /// once the pipe is read.
    void neverBlocksOnReader()
    {
        std::array<int, 2> pipe{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipe.data()));
        const ScopeGuard closePipe([&pipe] {
            close(pipe[0]);
            close(pipe[1]);
        });
        CPPUNIT_ASSERT_EQUAL(0, fcntl(pipe[0], F_SETFL, O_NONBLOCK));
        LogLimits limits;
        limits.bufferBytes = 8192;
        LogSink sink(pipe[1], limits);
        const std::string line(500, 'x');
        for (int i = 0; i < 2000; ++i) {
            sink.write(line, "request refused");
        }
        CPPUNIT_ASSERT(sink.droppedCount() > 1000);
        std::string text;
        for (int i = 0; i < 10; ++i) {
            text += readAvailable(pipe[0]);
            sink.flush();
        }
        CPPUNIT_ASSERT(text.starts_with(line + "\n"));
        CPPUNIT_ASSERT(text.find("{\"level\":\"warn\",\"component\":\"log\",\"message\":\"lines left out\"") != std::string::npos);
        CPPUNIT_ASSERT(text.find("\"request refused\":") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), sink.droppedCount());
    }

    /// Guards against a log volume that grows with the load.
    void boundsRate()
    {
        const RateCase cases[] = {{10, 20, 1000, 115, 125}, {200, 400, 100, 100, 100}, {1, 2, 500, 6, 8}};
        for (const RateCase &row : cases) {
            LogLimits limits;
            limits.linesPerSecond = row.linesPerSecond;
            limits.burst = row.burst;
            LogSink sink(STDOUT_FILENO, limits);
            const auto start = LogSink::Clock::now();
            int admitted = 0;
            for (int i = 0; i < row.lineCount; ++i) {
                admitted += sink.admit("request answered", start + i * 10ms) ? 1 : 0;
            }
            CPPUNIT_ASSERT(admitted >= row.minAdmitted && admitted <= row.maxAdmitted);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogSinkTest);
