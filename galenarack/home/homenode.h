#pragma once

#include <galenarack/core/log.h>
#include <galenarack/core/nodeidentity.h>
#include <galenarack/document/document.h>
#include <galenarack/execution/executionledger.h>
#include <galenarack/health/judgesystem.h>
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

/// An upstream on this VM, from the settings.
struct HomeUpstream
{
    std::string name;
    boost::asio::ip::tcp::endpoint address;
};

/// One upstream on this VM and what its home keeps for it.
struct HomeUpstreamRow
{
    std::string name;
    std::string service; ///< Empty while the document does not name the upstream.
    std::unique_ptr<SlotAdmission> admission;
    std::unique_ptr<UpstreamPool> pool;
    bool signalsDrain = false; ///< The upstream said that it is leaving.
    bool drainPollPending = false;
    TimePoint lastResponse; ///< Last response, which carries the drain sign.
    TimePoint lastDrainPoll;
};

/// Runs the work for the upstreams on this VM: counts their slots, keeps the execution ledger and decides whether a
/// request runs.
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

    /// Takes slots, queue limits and rules of the upstreams on this VM from a document.
    void applyDocument(const Document &document);

    /// Answers a request that an ingress forwarded.
    boost::asio::awaitable<PeerResponse> forward(std::shared_ptr<PeerCall> call);

    /// Answers an outcome query: the response of finished work, waiting for work that is running; otherwise an error
    /// that says what is known. A request that was not seen will not run from then on.
    boost::asio::awaitable<PeerResponse> outcome(std::shared_ptr<PeerCall> call);

    /// Runs the systems over the tables: judgement, probes, drain signs, ledger expiry. Call it every 100 ms.
    void tick(TimePoint now);

    /// Refuses new work from now on; work in progress goes on.
    void drain();

    /// @return requests that are being run or wait for a slot
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

    /// @return what heartbeats say about the upstreams on this VM
    std::vector<NamedUpstreamReport> reports(TimePoint now) const;

    /// @return the execution ledger
    const ExecutionLedger &executionLedger() const
    {
        return this->ledger;
    }

private:
    /// Announces the end of running work to requests and queries that joined it.
    struct Completion
    {
        explicit Completion(const boost::asio::any_io_executor &executor)
            : signal(executor, boost::asio::steady_timer::time_point::max())
        {
        }
        boost::asio::steady_timer signal; ///< Never expires by itself; cancelled to wake all that wait.
        bool done = false;
        absl::StatusOr<PeerResponse> result;
    };

    /// What a step needs to know of the request it works for.
    struct Job
    {
        const ForwardMeta &meta;
        PeerCall &call;
        const WorkId *work; ///< Null for repeatable work.
        bool dispatched = false;
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
    void reportHealthChanges(std::span<const VerdictChange> changes);
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
    JudgeSystem judgeSystem;
    ProbeSystem probeSystem;
    ExecutionLedger ledger;
    absl::flat_hash_map<WorkId, std::shared_ptr<Completion>> completions;
    std::size_t inProgress = 0;
    std::uint64_t nextToken = 0; ///< Names a request at an upstream for the health systems.
    bool draining = false;
    Log log;
};

} // namespace Galenarack
