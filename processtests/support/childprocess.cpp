#include "childprocess.h"

#include <cerrno>
#include <csignal>
#include <fstream>
#include <string_view>
#include <system_error>
#include <thread>

#include <fcntl.h>
#include <linux/close_range.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Galenarack {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto pollInterval = std::chrono::milliseconds(5);
constexpr int startFailureExitCode = 127;

std::system_error lastError(const char *what)
{
    return {errno, std::generic_category(), what};
}

/// Runs in the child between fork and exec, where only async-signal-safe calls are allowed.
[[noreturn]] void execute(char *const *arguments, pid_t parent, int output, int errors)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The parent may have ended before prctl() took effect; then the child would never be killed.
    if (getppid() != parent || dup2(output, STDOUT_FILENO) < 0 || dup2(errors, STDERR_FILENO) < 0) {
        _exit(startFailureExitCode);
    }
    // An inherited socket of an in-process stand-in would stay open after the stand-in has closed it.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    execv(arguments[0], arguments);
    _exit(startFailureExitCode);
}

} // namespace

ChildProcess::ChildProcess(const std::filesystem::path &program,
                           const std::vector<std::string> &arguments,
                           const std::filesystem::path &errorFile)
{
    std::vector<std::string> texts = {program.string()};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);

    int pipeEnds[2] = {-1, -1};
    if (pipe2(pipeEnds, O_CLOEXEC) != 0) {
        throw lastError("pipe2");
    }
    const int errors = open(errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = getpid();
    this->pid = errors < 0 ? -1 : fork();
    if (this->pid == 0) {
        execute(pointers.data(), parent, pipeEnds[1], errors);
    }
    const int startError = errno;
    close(pipeEnds[1]);
    if (errors >= 0) {
        close(errors);
    }
    this->outputPipe = pipeEnds[0];
    if (this->pid < 0) {
        close(this->outputPipe);
        throw std::system_error(startError, std::generic_category(), "cannot start " + program.string());
    }
}

ChildProcess::~ChildProcess()
{
    this->kill();
    close(this->outputPipe);
}

void ChildProcess::signal(int number)
{
    // The kernel does not reuse the process id before waitpid() has reported the end of the child.
    if (!this->exitStatus) {
        ::kill(this->pid, number);
    }
}

void ChildProcess::kill()
{
    this->signal(SIGKILL);
    this->wait(std::chrono::hours(1));
}

std::optional<int> ChildProcess::wait(std::chrono::milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    while (!this->exitStatus) {
        int status = 0;
        const pid_t ended = waitpid(this->pid, &status, WNOHANG);
        if (ended == this->pid) {
            this->exitStatus = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
        } else if (ended < 0 && errno != EINTR) {
            throw lastError("waitpid");
        } else if (Clock::now() >= end) {
            break;
        } else {
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return this->exitStatus;
}

bool ChildProcess::isRunning()
{
    return !this->wait(std::chrono::milliseconds(0));
}

std::optional<std::string> ChildProcess::readLine(std::chrono::milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    while (true) {
        const auto lineEnd = this->outputBuffer.find('\n');
        if (lineEnd != std::string::npos) {
            std::string line = this->outputBuffer.substr(0, lineEnd);
            this->outputBuffer.erase(0, lineEnd + 1);
            return line;
        }
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
        pollfd entry{this->outputPipe, POLLIN, 0};
        if (remaining <= 0 || poll(&entry, 1, static_cast<int>(remaining)) <= 0) {
            return std::nullopt;
        }
        char bytes[4096];
        const ssize_t size = read(this->outputPipe, bytes, sizeof bytes);
        if (size <= 0) {
            return std::nullopt;
        }
        this->outputBuffer.append(bytes, static_cast<std::size_t>(size));
    }
}

std::filesystem::path programPath(const std::string &name)
{
    return std::filesystem::path(GALENARACK_BINARY_DIR) / name;
}

std::size_t peakMemoryKb(pid_t process)
{
    constexpr std::string_view name = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size()));
        }
    }
    return 0;
}

} // namespace Galenarack
