#pragma once

#include <galenarack/core/log.h>
#include <galenarack/core/nodeidentity.h>
#include <galenarack/document/document.h>
#include <galenarack/execution/executionledger.h>
#include <galenarack/health/healthevaluationsystem.h>
#include <galenarack/health/observesystem.h>
#include <galenarack/health/probesystem.h>
#include <galenarack/health/upstreamtable.h>
#include <galenarack/home/slotadmission.h>
#include <galenarack/home/upstreampool.h>
#include <galenarack/membership/gossipmessage.h>
#include <galenarack/operators/audittrail.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/peer/forwardmeta.h>
#include <galenarack/peer/peercontrol.h>
#include <galenarack/peer/peersession.h>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Galenarack {

/// Settings of an upstream on this VM.
struct HomeUpstream
{
    std::string name;
    boost::asio::ip::tcp::endpoint address; ///< Address on which the upstream accepts requests.
};

/// State that the home keeps for one upstream on this VM.
struct HomeUpstreamRow
{
    std::string name;
    std::string service; ///< Service of the upstream; empty while the document does not place the upstream on this VM.
    std::unique_ptr<SlotAdmission> admission;
    std::unique_ptr<UpstreamPool> pool;
    bool signalsDrain = false; ///< Whether the last drain signal of the upstream says that it is leaving.
    bool drainPollPending = false; ///< Whether a request to the drain endpoint is in progress.
    TimePoint lastResponse; ///< Time of the last response to a request; each response carries the drain signal.
    TimePoint lastDrainPoll; ///< Time at which the drain endpoint was last polled.
};

/// The home role of a node: runs requests on the upstreams of this VM. Admits them to the upstreams' slots, keeps the
/// execution ledger, evaluates the upstreams' health and decides whether a request may run.
class HomeNode
{
public:
    HomeNode(const boost::asio::any_io_executor &executor,
             NodeIdentity identity,
             std::span<const HomeUpstream> upstreams,
             const UpstreamLimits &upstreamLimits,
             LedgerLimits ledgerLimits,
             Metrics &metrics,
             AuditTrail &audit,
             std::mt19937_64 random);

    /// Applies the slots, queue limits and health rules that a document sets for the upstreams on this VM.
    void applyDocument(const Document &document);

    /// Handles a request that an ingress forwarded: runs it, joins its running execution or returns the retained response.
    /// @return the response of the upstream, or one with the error kind in its header fields
    boost::asio::awaitable<PeerResponse> forward(std::shared_ptr<PeerCall> call);

    /// Handles an outcome query. Waits for work that is running.
    /// @return the response of finished work, or an error whose kind states what is known about the request. A request that
    ///         this home has not seen is tombstoned, so that it never runs afterwards.
    boost::asio::awaitable<PeerResponse> outcome(std::shared_ptr<PeerCall> call);

    /// Runs the periodic work: health evaluation, probes, drain polls and expiry of ledger entries. Must be called every
    /// 100 ms.
    void tick(TimePoint now);

    /// From now on refuses requests that have not been sent to an upstream, also those in a queue. Others are completed.
    void drain();

    /// @return number of forwarded requests that run or wait for a slot
    std::size_t requestsInProgress() const
    {
        return this->inProgress;
    }

    /// @return the upstreams on this VM that are ejected or leaving, for gossip
    std::vector<UpstreamMark> marks() const;

    /// @return the upstreams on this VM
    std::span<const HomeUpstreamRow> upstreams() const
    {
        return this->rows;
    }

    /// @return the reports on the upstreams of this VM that heartbeats carry
    std::vector<NamedUpstreamReport> reports(TimePoint now) const;

    const ExecutionLedger &executionLedger() const
    {
        return this->ledger;
    }

private:
    /// Completion of running work, awaited by the requests and outcome queries that joined it.
    struct Completion
    {
        explicit Completion(const boost::asio::any_io_executor &executor)
            : signal(executor, boost::asio::steady_timer::time_point::max())
        {
        }
        boost::asio::steady_timer signal; ///< Never expires; cancelled to resume all waiting coroutines.
        bool done = false; ///< Whether the work has ended and `result` is valid.
        absl::StatusOr<PeerResponse> result;
    };

    /// A forwarded request and the state of its execution.
    struct Job
    {
        const ForwardMeta &meta;
        PeerCall &call;
        const WorkId *work; ///< Ledger entry of the work; null for repeatable work, which has none.
        bool dispatched = false; ///< Whether the request may have been sent to the upstream.
    };

    boost::asio::awaitable<absl::StatusOr<PeerResponse>> runRepeatable(const ForwardMeta &meta, PeerCall &call);
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> runOnce(const ForwardMeta &meta, PeerCall &call);
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> runAdmitted(const ForwardMeta &meta, PeerCall &call, WorkId work);
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> join(WorkId work, TimePoint deadline);
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> execute(Job &job);
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> dispatch(Job &job, HomeUpstreamRow &row);
    absl::Status checkUpstream(const ForwardMeta &meta, const HomeUpstreamRow *row) const;
    absl::Status checkHealth(const ForwardMeta &meta) const;
    absl::StatusOr<PeerResponse> interpret(HomeUpstreamRow &row, absl::StatusOr<PeerResponse> response);
    void observeResult(const ForwardMeta &meta, std::uint64_t token, const absl::StatusOr<PeerResponse> &result);
    void applyDrainSignal(HomeUpstreamRow &row, bool signalsDrain, std::string_view signal);
    void reportHealthChanges(std::span<const HealthChange> changes);
    void pollDrainSignals(TimePoint now);
    boost::asio::awaitable<void> pollDrainSignal(std::string name);
    boost::asio::awaitable<void> probe(std::string name);
    void recordResult(const WorkId &work, const Job &job, const absl::StatusOr<PeerResponse> &result);
    void notifyJoined(const WorkId &work, const absl::StatusOr<PeerResponse> &result);
    HomeUpstreamRow *findRow(std::string_view name);
    PeerResponse toPeerResponse(absl::StatusOr<PeerResponse> result, const ForwardMeta &meta);

    boost::asio::any_io_executor executor;
    NodeIdentity identity;
    Metrics &metrics;
    AuditTrail &audit;
    std::vector<HomeUpstreamRow> rows;
    UpstreamTable table; ///< Health of the upstreams in `rows` that the document places on this VM.
    ObserveSystem observeSystem;
    HealthEvaluationSystem healthEvaluationSystem;
    ProbeSystem probeSystem;
    ExecutionLedger ledger;
    absl::flat_hash_map<WorkId, std::shared_ptr<Completion>> completions; ///< Completions of work that is running.
    std::size_t inProgress = 0; ///< Number of forwarded requests that run or wait for a slot.
    std::uint64_t lastToken = 0; ///< Last token given out; a token identifies a request at an upstream in the health systems.
    bool draining = false;
    Log log;
};

} // namespace Galenarack
