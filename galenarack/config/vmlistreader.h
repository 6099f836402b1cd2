#pragma once

#include <galenarack/config/keywatch.h>
#include <galenarack/config/vmlist.h>

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <vector>

namespace Galenarack {

/// Watches the VM list at the service. Create with std::make_shared; its coroutine keeps it alive until it ends.
class VmListReader : public std::enable_shared_from_this<VmListReader>
{
public:
    /// Takes each new list.
    using ListCallback = std::function<void(std::vector<VmEntry> vms)>;

    /// Takes errors in a list; the list before stays valid.
    using ProblemCallback = std::function<void(const absl::Status &problem)>;

    /// @param seed seed of the random source for jitter; different on each node
    VmListReader(const boost::asio::any_io_executor &executor,
                 const ServiceSettings &settings,
                 ListCallback listCallback,
                 ProblemCallback problem,
                 std::uint64_t seed);

    /// Starts to watch the service.
    void start();

    /// Ends all calls soon.
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
