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

/// Callbacks of a ConfigReader. They run on the executor of the reader.
struct ConfigReaderCallbacks
{
    /// Called with a received manifest after the reader has tried to fetch its missing sections into the cache. The callback
    /// offers the manifest to the gate.
    /// @param source "service" or the name of the peer
    std::function<void(std::string_view source, std::string_view manifestJson)> manifest;
    std::function<void(bool replied)> service; ///< Called with whether the service replied, once the reply has been processed.
    std::function<void(const absl::Status &problem)> problem; ///< Called when a section could not be fetched or was invalid.
};

/// Reads the document: watches the manifest at the service, fetches the sections that are missing from the cache, and processes
/// manifests that peers offer. Create it with std::make_shared; its coroutines keep it alive until they end.
class ConfigReader : public std::enable_shared_from_this<ConfigReader>
{
public:
    /// Fetches one section value from a peer.
    using FetchSection = std::function<boost::asio::awaitable<absl::StatusOr<std::string>>(std::string digest)>;

    /// @param cache stores the section values; must outlive the reader
    /// @param gate decides which manifests are newer; must outlive the reader
    /// @param seed seed of the random source for jitter; different on each node
    ConfigReader(const boost::asio::any_io_executor &executor,
                 const ServiceSettings &settings,
                 SectionCache &cache,
                 const RevisionGate &gate,
                 ConfigReaderCallbacks callbacks,
                 std::uint64_t seed);

    /// Starts watching the service.
    void start();

    /// Cancels the watch and closes the connection to the service. Calls to peers end by their time-out.
    void stop();

    /// Processes a manifest offered by a peer and fetches the missing sections from that peer. While a fetch of the same manifest from
    /// another peer is in progress, the offer is dropped; peers repeat their offers with each heartbeat. A fetch that takes longer than
    /// `peerFetchTimeout` no longer blocks fetches from other peers.
    void offerFromPeer(std::string peer, std::string manifestJson, FetchSection fetch);

    /// Time after which sections are also fetched from another peer. A peer that hangs must not use up the 5 s of P7.
    static constexpr Duration peerFetchTimeout = std::chrono::seconds(1);

    ReaderCounters counters() const
    {
        return this->watch.counters();
    }

private:
    /// Manifest JSON and name of the peer whose sections are being fetched.
    using PeerFetch = std::pair<std::string, std::string>;

    bool canStartPeerFetch(const PeerFetch &fetch) const;

    /// @return whether the cache had all sections of the manifest when it was passed to the callback
    boost::asio::awaitable<bool> processServiceManifest(std::string manifestJson);
    boost::asio::awaitable<void> processPeerManifest(std::string peer, std::string manifestJson, FetchSection fetch);
    boost::asio::awaitable<absl::StatusOr<std::string>> fetchFromService(std::string digest);

    /// Fetches the values one after the other and stops when the source does not respond in time.
    boost::asio::awaitable<void> fetchAll(std::string source, std::vector<std::string> digests, FetchSection fetch);

    /// @return digests to fetch for a manifest; none when it is invalid or not newer, since the gate decides that without sections
    std::vector<std::string> missingFor(std::string_view manifestJson) const;

    boost::asio::any_io_executor executor;
    ServiceSettings settings;
    SectionCache &cache;
    const RevisionGate &gate;
    ConfigReaderCallbacks callbacks;
    KeyWatch watch;
    std::map<PeerFetch, TimePoint> peerFetches; ///< Fetches in progress, with their start times.
};

} // namespace Galenarack
