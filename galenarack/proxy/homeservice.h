#pragma once

#include <galenarack/core/log.h>
#include <galenarack/fleet/fleetview.h>
#include <galenarack/fleet/revisiontracker.h>
#include <galenarack/home/upstreampool.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/peer/peersession.h>
#include <galenarack/policy/admissionqueue.h>
#include <galenarack/policy/connectbackoff.h>
#include <galenarack/policy/drainschedule.h>
#include <galenarack/policy/grayfailurefilter.h>
#include <galenarack/policy/movingshare.h>
#include <galenarack/policy/retryallowance.h>
#include <galenarack/proxy/dialect.h>
#include <galenarack/proxy/offer.h>
#include <galenarack/proxy/upstreamnotice.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Galenarack {

/// Home of the upstream on this VM: admits or declines each offered request, queues it for a slot and runs it on the upstream.
class HomeService
{
public:
    /// @param vm address of this VM; selects the entry of its upstream in the fleet view
    /// @param upstream address of the upstream on this VM
    /// @param responseBytes maximum size of all responses of the upstream in transit, in bytes
    /// @param retry fleet-wide limit on repeats
    /// @param view learns which upstream has said that it leaves
    /// @param revisions learns the registry revisions of other nodes from their offers
    HomeService(boost::asio::any_io_executor executor,
                boost::asio::ip::address vm,
                const boost::asio::ip::tcp::endpoint &upstream,
                const Dialect &dialect,
                std::size_t responseBytes,
                const RetryBound &retry,
                FleetView &view,
                RevisionTracker &revisions);

    /// Handles an offer. The response carries an OfferReport, unless the offer is malformed.
    boost::asio::awaitable<PeerResponse> handle(std::shared_ptr<PeerCall> call);

    /// Expires queued requests that can no longer end before their deadline, counts overdue requests as evidence of a gray
    /// failure, and declines queued requests when the upstream is leaving. Call it every 100 ms.
    void tick(TimePoint now);

    /// Called when the node is leaving: from now on accepts only work that surely ends before the process does, and that is expected
    /// to end before callers and other nodes know.
    void drain(const DrainSchedule &schedule);

    /// Records that a request from this VM has failed. The upstream on this VM may have sent it as part of other work, so an
    /// error response to work that was running when the request started isn't counted as a failure of the upstream itself.
    /// @param started when this node received the failed request
    void recordLocalFailure(TimePoint started);

    /// @return slots in use, queued requests and total slots
    HomeLoad currentLoad() const;

    /// @return number of offers that are waiting or running
    std::size_t inProgress() const
    {
        return this->waiters.size() + this->runs.size();
    }

private:
    /// An offer that waits in the queue for a slot.
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : signal(executor, boost::asio::steady_timer::time_point::max())
        {
        }
        boost::asio::steady_timer signal; ///< Never expires; cancelled to wake the offer.
        bool granted = false; ///< The offer has a slot.
        bool expired = false; ///< The request can no longer end before its deadline.
        bool declined = false; ///< The upstream or the node is leaving.
        bool withoutRoom = false; ///< The limit of the upstream has no room within the wait that the offer accepts.
        Offer offer;
        TimePoint deadline; ///< Time after which a response has no value.
    };

    /// A request that the upstream is running.
    struct Run
    {
        TimePoint started;
        Duration expected{}; ///< Usual duration of the work.
        std::string failureDomain; ///< Failure domain of the ingress.
        std::string requestId;
        bool countedOverdue = false; ///< The request has been counted as overdue.
    };

    /// @return Answered when the request has a slot, otherwise why it is not run
    boost::asio::awaitable<OfferOutcome> waitForSlot(const AdmissionRequest &request,
                                                     PeerCall &call,
                                                     Duration &retryAfter,
                                                     const Offer &offer);

    boost::asio::awaitable<PeerResponse> run(const Offer &offer, PeerCall &call, TimePoint deadline, std::uint64_t ticket);

    /// @return Answered when the offer may wait for a slot, otherwise why it is declined, with the time until the next try
    OfferOutcome admit(const Offer &offer, TimePoint now, Duration &retryAfter);

    /// @return whether the retry allowance of this upstream has room for a repeat
    bool mayRepeat(const Offer &offer, std::string_view service, TimePoint now) const;

    /// @param deadline deadline of the request
    /// @return whether the upstream is leaving, or the node would before the work has ended
    bool isLeaving(const Offer &offer, TimePoint deadline, TimePoint now) const;

    /// @return whether the upstream is healthy enough for the request; the limit is stricter for non-idempotent ones
    bool isHealthyEnough(const Offer &offer, TimePoint now) const;

    OfferOutcome classify(const absl::StatusOr<PeerResponse> &response) const;
    void recordOutcome(const Offer &offer, OfferOutcome outcome, unsigned status, TimePoint started, TimePoint now);
    PeerRequest toUpstreamRequest(const Offer &offer, PeerRequest request, Duration remaining) const;

    /// @return response to an offer whose request has not been run
    PeerResponse makeNotRunResponse(const Offer &offer, OfferOutcome outcome, Duration retryAfter);

    UpstreamLoad load(std::string_view failureDomain, TimePoint now) const;

    /// Wakes the offers that the queue has given a slot or expired.
    void advance(TimePoint now);

    /// Discards the health state when the upstream was replaced or has started again.
    void resetHealthOnRestart(const UpstreamEntry &own, TimePoint now);

    /// Handles what the upstream said of itself in a response to a request that was offered to `upstream`.
    void onNotice(std::string_view upstream, const UpstreamNotice &notice);

    /// Applies a limit that another node has heard of, unless the upstream has told this process itself.
    void adoptLimit(const Offer &offer, TimePoint now);

    /// Sets the function that receives the notices in the response to a request.
    void listenForNotices(UpstreamCall &call, std::string upstream);

    /// Asks a limited upstream that has not answered for a while, since only an answer shows that the limit has changed.
    void checkLimit(TimePoint now);

    /// Sends a health check and heeds the notices in its response.
    boost::asio::awaitable<void> sendHealthCheck(std::string upstream, std::string path);

    /// @return time until a limit of 0 may be known to have ended
    Duration nextLimitCheck(TimePoint now) const;

    void observe(std::string_view failureDomain, RequestEvidence evidence, std::string_view requestId, TimePoint now);
    const UpstreamEntry *entry() const;

    boost::asio::any_io_executor executor;
    boost::asio::ip::address vm;
    Dialect dialect;
    FleetView &view;
    RevisionTracker &revisions;
    UpstreamPool pool;
    AdmissionQueue queue;
    GrayFailureFilter grayFilter; ///< Health of the upstream named by observedUpstream since observedStartMs.
    UpstreamNotice notice; ///< Latest notice of that upstream.
    bool isNoticeOwn = false; ///< Whether the upstream has answered this process since it started.
    TimePoint limitCheckedAt; ///< Time of the latest notice, or of the latest health check that was sent for one.
    std::uint64_t limitDeclines = 0; ///< Number of offers that were declined because the limit had no room.
    std::string observedUpstream; ///< Id of the upstream that the health state belongs to.
    std::int64_t observedStartMs = 0; ///< Start time of that upstream, Unix time in ms.
    ConnectBackoff connectPause;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    std::map<std::uint64_t, Run> runs;
    std::uint64_t nextTicket = 1;
    double slowness = 1; ///< Moving average of the ratio of actual to usual duration, 0.25 to 8.
    TimePoint lastTrial; ///< When the last trial was admitted; set back after a success to allow the next one.
    TimePoint lastLocalFailureStart; ///< Latest start of a request from this VM that failed.
    RetryAllowance repeats; ///< Limits the repeats that the upstream receives.
    std::uint32_t waitingRepeats = 0; ///< Repeats that were admitted and have not been sent to the upstream.
    MovingShare rejectedShare; ///< Share of the requests that the upstream rejects without running them.
    std::optional<DrainSchedule> drainSchedule; ///< Set while the node is leaving.
    Log log{"home"};
};

} // namespace Galenarack
