#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Galenarack {

/// A child process that ends with this object, and with the test process at the latest.
/// Standard output is a pipe for readLine(); standard error goes to a file.
class ChildProcess
{
public:
    /// Starts a program. Call from the main thread: the child ends when the thread that started it ends.
    /// @param program path of the program
    /// @throws std::system_error when the process cannot be started
    ChildProcess(const std::filesystem::path &program, const std::vector<std::string> &arguments, const std::filesystem::path &errorFile);

    /// Kills the child and waits for it.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ChildProcess(ChildProcess &&) = delete;
    ChildProcess &operator=(ChildProcess &&) = delete;

    /// Sends a signal, unless the child has ended.
    void signal(int number);

    /// Kills the child with SIGKILL and waits for it.
    void kill();

    /// Waits for the end of the child.
    /// @return its exit status, or 128 and the signal that ended it; nothing after `timeout`
    std::optional<int> wait(std::chrono::milliseconds timeout);

    /// @return whether the child has not ended
    bool isRunning();

    /// @return the next line of standard output without its end; nothing at the end of the output or after `timeout`
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

/// Path of a program that the build made, e.g. "standin-load".
std::filesystem::path programPath(const std::string &name);

} // namespace Galenarack
