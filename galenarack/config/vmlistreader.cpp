#include <galenarack/config/vmlistreader.h>

#include <boost/asio/co_spawn.hpp>

#include <utility>

namespace Galenarack {

VmListReader::VmListReader(const boost::asio::any_io_executor &executor,
                           const ServiceSettings &settings,
                           ListCallback listCallback,
                           ProblemCallback problem,
                           std::uint64_t seed)
    : executor(executor)
    , listCallback(std::move(listCallback))
    , problem(std::move(problem))
    , watch(executor, settings, "vms", seed)
{
}

void VmListReader::start()
{
    auto self = this->shared_from_this();
    auto handler = [this](std::string value) {
        return this->applyList(std::move(value));
    };
    boost::asio::co_spawn(
        this->executor, this->watch.run(std::move(handler), [](bool /*replied*/) {}), [self](const std::exception_ptr &error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
}

void VmListReader::stop()
{
    this->watch.stop();
}

boost::asio::awaitable<bool> VmListReader::applyList(std::string json)
{
    absl::StatusOr<std::vector<VmEntry>> vms = parseVmList(json);
    if (vms.ok()) {
        this->listCallback(std::move(*vms));
    } else {
        this->problem(vms.status());
    }
    co_return true;
}

} // namespace Galenarack
