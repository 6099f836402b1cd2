#pragma once

#include <galenarack/core/log.h>
#include <galenarack/fleet/fleetview.h>
#include <galenarack/home/upstreampool.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/peer/peersession.h>
#include <galenarack/policy/admissionqueue.h>
#include <galenarack/policy/connectbackoff.h>
#include <galenarack/policy/grayfailurefilter.h>
#include <galenarack/policy/movingshare.h>
#include <galenarack/policy/retryallowance.h>
#include <galenarack/proxy/dialect.h>
#include <galenarack/proxy/offer.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Galenarack {

/// Home of the upstream on this VM: decides about each offered request, waits for a slot and runs the work.
class HomeService
{
public:
    /// @param vm address of this VM, by which the upstream's entry is found
    /// @param upstream address of the upstream on this VM
    /// @param retry bound on repeats of the whole fleet
    HomeService(boost::asio::any_io_executor executor,
                boost::asio::ip::address vm,
                const boost::asio::ip::tcp::endpoint &upstream,
                const Dialect &dialect,
                const RetryBound &retry,
                const FleetView &view);

    /// Answers an offer. The response carries an OfferReport.
    boost::asio::awaitable<PeerResponse> handle(std::shared_ptr<PeerCall> call);

    /// Drops requests that can no longer end in time and takes what overdue requests show. Call it every 100 ms.
    void tick(TimePoint now);

    /// The node is leaving: from now on takes only work that will have ended by a time.
    void drainUntil(TimePoint end);

    /// Tells that a request from this VM has failed. The upstream may have sent it while it ran other work, so a failure of
    /// work that was running then need not be the upstream's own.
    /// @param started when the request was taken up
    void requestFailed(TimePoint started);

    /// @return slots in use and requests that wait
    HomeLoad currentLoad() const;

    /// @return offers that are waiting or running
    std::size_t inProgress() const
    {
        return this->waiters.size() + this->runs.size();
    }

private:
    /// An offer that waits for a slot.
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : signal(executor, boost::asio::steady_timer::time_point::max())
        {
        }
        boost::asio::steady_timer signal; ///< Never expires by itself; cancelled to wake the offer.
        bool granted = false;
        bool expired = false;
        bool handedBack = false; ///< The upstream or the node is leaving.
        Offer offer;
    };

    /// A request that the upstream works on.
    struct Run
    {
        TimePoint started;
        Duration expected{};
        std::string failureDomain; ///< Of the ingress.
        std::string requestId;
        bool countedOverdue = false;
    };

    boost::asio::awaitable<OfferEnd> waitForSlot(const AdmissionRequest &request, PeerCall &call, Duration &retryAfter, const Offer &offer);
    boost::asio::awaitable<PeerResponse> run(const Offer &offer, PeerCall &call, TimePoint deadline, std::uint64_t ticket);
    OfferEnd admissionOf(const Offer &offer, TimePoint now, Duration &retryAfter);
    bool mayRepeat(const Offer &offer, std::string_view service, TimePoint now) const;
    bool isLeaving(const Offer &offer, TimePoint now) const;
    bool isTrusted(const Offer &offer, TimePoint now) const;
    OfferEnd classify(const absl::StatusOr<PeerResponse> &response) const;
    void learn(const Offer &offer, OfferEnd end, unsigned status, TimePoint started, TimePoint now);
    PeerRequest toUpstreamRequest(const Offer &offer, PeerRequest request, Duration remaining) const;
    PeerResponse ended(const Offer &offer, OfferEnd end, Duration retryAfter);
    UpstreamLoad load(std::string_view failureDomain, TimePoint now) const;
    void advance(TimePoint now);
    void forgetEarlierRun(const UpstreamEntry &own, TimePoint now);
    void observe(std::string_view failureDomain, RequestEvidence evidence, std::string_view requestId, TimePoint now);
    const UpstreamEntry *entry() const;

    boost::asio::any_io_executor executor;
    boost::asio::ip::address vm;
    Dialect dialect;
    const FleetView &view;
    UpstreamPool pool;
    AdmissionQueue queue;
    GrayFailureFilter trust; ///< In the run of the upstream that is named by the next two.
    std::string judgedUpstream; ///< Id.
    std::int64_t judgedBornMs = 0; ///< Start of the run, Unix time.
    ConnectBackoff connectPause;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    std::map<std::uint64_t, Run> runs;
    std::uint64_t nextTicket = 1;
    double slowness = 1; ///< Moving average of actual over usual duration.
    TimePoint lastTrial;
    TimePoint lastFailureStarted; ///< Latest start of a request from this VM that has failed.
    RetryAllowance repeats;
    MovingShare shed; ///< Of the requests that the upstream rejects.
    std::optional<TimePoint> drainEnd; ///< Set while the node is leaving.
    Log log{"home"};
};

} // namespace Galenarack
