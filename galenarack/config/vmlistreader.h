#pragma once

#include <galenarack/config/keywatch.h>
#include <galenarack/config/vmlist.h>

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <vector>

namespace Galenarack {

/// Watches the VM list at the service. Create it with std::make_shared; its coroutine keeps it alive until it ends.
class VmListReader : public std::enable_shared_from_this<VmListReader>
{
public:
    /// Called with each new valid list.
    using ListCallback = std::function<void(std::vector<VmEntry> vms)>;

    /// Called with the error when a new list is invalid; the preceding list stays valid.
    using ProblemCallback = std::function<void(const absl::Status &problem)>;

    /// @param seed seed of the random source for jitter; different on each node
    VmListReader(const boost::asio::any_io_executor &executor,
                 const ServiceSettings &settings,
                 ListCallback listCallback,
                 ProblemCallback problem,
                 std::uint64_t seed);

    /// Starts watching the service.
    void start();

    /// Cancels the watch and closes the connection to the service.
    void stop();

    ReaderCounters counters() const
    {
        return this->watch.counters();
    }

private:
    boost::asio::awaitable<bool> applyList(std::string json);

    boost::asio::any_io_executor executor;
    ListCallback listCallback;
    ProblemCallback problem;
    KeyWatch watch;
};

} // namespace Galenarack
