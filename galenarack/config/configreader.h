#pragma once

#include <galenarack/config/keywatch.h>
#include <galenarack/config/revisiongate.h>

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Galenarack {

/// What a ConfigReader reports.
struct ConfigReaderCallbacks
{
    /// A manifest arrived, and its sections are in the cache as far as they could be had. Offer it to the gate.
    /// @param source "service" or the name of the peer
    std::function<void(std::string_view source, std::string_view manifestJson)> manifest;
    std::function<void(bool replied)> service; ///< The service replied and its manifest was handed over, or it did not reply.
    std::function<void(const absl::Status &problem)> problem; ///< A section could not be had.
};

/// Reads the document: watches the manifest at the service, fetches the sections that the cache lacks, and takes manifests that
/// peers offer. Create with std::make_shared; the coroutines keep it alive until they end.
class ConfigReader : public std::enable_shared_from_this<ConfigReader>
{
public:
    /// Fetches one section value from a peer.
    using FetchSection = std::function<boost::asio::awaitable<absl::StatusOr<std::string>>(std::string digest)>;

    /// @param cache takes the section values; must outlive the reader
    /// @param gate tells which manifests are newer; must outlive the reader
    /// @param seed seed of the random source for jitter; different on each node
    ConfigReader(const boost::asio::any_io_executor &executor,
                 const ServiceSettings &settings,
                 SectionCache &cache,
                 const RevisionGate &gate,
                 ConfigReaderCallbacks callbacks,
                 std::uint64_t seed);

    /// Starts to watch the service.
    void start();

    /// Ends all calls soon.
    void stop();

    /// Takes a manifest from a peer and fetches the missing sections from it. While a peer is busy with the same manifest, offers of
    /// others are dropped; they come again with the next heartbeat. After `peerFetchTimeout` another peer gets its chance as well.
    void offerFromPeer(std::string peer, std::string manifestJson, FetchSection fetch);

    /// How long one peer may take before the next one is tried. A peer that hangs must not use up the 5 s of P7.
    static constexpr Duration peerFetchTimeout = std::chrono::seconds(1);

    ReaderCounters counters() const
    {
        return this->watch.counters();
    }

private:
    /// A manifest and the peer that it is fetched from.
    using PeerFetch = std::pair<std::string, std::string>;

    bool canStartPeerFetch(const PeerFetch &fetch) const;

    /// @return whether the manifest was handed over with all its sections
    boost::asio::awaitable<bool> processServiceManifest(std::string manifestJson);
    boost::asio::awaitable<void> processPeerManifest(std::string peer, std::string manifestJson, FetchSection fetch);
    boost::asio::awaitable<absl::StatusOr<std::string>> fetchFromService(std::string digest);

    /// Fetches the values one after the other and stops at the first one that the source does not answer for in time.
    boost::asio::awaitable<void> fetchAll(std::string source, std::vector<std::string> digests, FetchSection fetch);

    /// @return digests to fetch for a manifest; none when it is invalid or not newer, since the gate decides that without sections
    std::vector<std::string> missingFor(std::string_view manifestJson) const;

    boost::asio::any_io_executor executor;
    ServiceSettings settings;
    SectionCache &cache;
    const RevisionGate &gate;
    ConfigReaderCallbacks callbacks;
    KeyWatch watch;
    std::map<PeerFetch, TimePoint> peerFetches; ///< Fetches in progress, with their start.
};

} // namespace Galenarack
