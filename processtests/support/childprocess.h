#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Galenarack {

/// A child process that is killed when this object is destroyed or the test process ends.
/// Its standard output is a pipe that readLine() reads; its standard error is appended to a file.
class ChildProcess
{
public:
    /// Starts a program. Must be called from the main thread: the kernel kills the child when the thread that started it ends.
    /// @param program path of the program
    /// @param errorFile file that standard error is appended to
    /// @throws std::system_error when the process cannot be started
    ChildProcess(const std::filesystem::path &program, const std::vector<std::string> &arguments, const std::filesystem::path &errorFile);

    /// Kills the child and waits for it.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ChildProcess(ChildProcess &&) = delete;
    ChildProcess &operator=(ChildProcess &&) = delete;

    /// Sends a signal, unless the child is known to have ended.
    void signal(int number);

    /// Kills the child with SIGKILL and waits for it.
    void kill();

    /// Waits until the child has ended, for `timeout` at most.
    /// @return exit status of the child, or 128 plus the number of the signal that ended it; std::nullopt on time-out
    std::optional<int> wait(std::chrono::milliseconds timeout);

    /// @return whether the child is still running
    bool isRunning();

    /// @return next line of standard output without the line feed; std::nullopt at the end of the output or on time-out
    std::optional<std::string> readLine(std::chrono::milliseconds timeout);

    pid_t processId() const
    {
        return this->pid;
    }

private:
    pid_t pid = -1;
    int outputPipe = -1;
    std::string outputBuffer;
    std::optional<int> exitStatus;
};

/// @return largest resident size that the process has had, in KB
std::size_t peakMemoryKb(pid_t process);

/// @return path of a program in the build folder, e.g. "standin-load"
std::filesystem::path programPath(const std::string &name);

} // namespace Galenarack
