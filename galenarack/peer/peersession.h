#pragma once

#include <galenarack/core/cancellation.h>
#include <galenarack/core/clock.h>
#include <galenarack/peer/peermessage.h>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenarack {

/// A request that a peer sent to this node, while it is being answered.
struct PeerCall
{
    PeerRequest request;
    Cancellation cancellation; ///< Requested when the peer resets the stream or the connection ends.

    /// Set when the peer holds the body back until it is asked for (`Expect: 100-continue`). Asks for the body and waits
    /// until it is in `request`.
    /// @return whether the whole body came before the time given; otherwise the peer knows that the request is not processed
    std::function<boost::asio::awaitable<bool>(TimePoint)> receiveBody;
};

/// How far a request to a peer got, for its sender.
struct PeerProgress
{
    bool committed = false; ///< The body was released, so the peer may process the request from then on.
    TimePoint committedAt; ///< When it was released.
    std::function<void()> onCommitted; ///< Told when it is released; may be empty.
};

/// Answers a call; the response is dropped when the call was cancelled meanwhile.
using PeerHandler = std::function<boost::asio::awaitable<PeerResponse>(std::shared_ptr<PeerCall>)>;

/// Limits of one HTTP/2 connection between nodes.
struct PeerLimits
{
    std::size_t headerBytes = 32 * 1024; ///< All header fields of one message.
    std::size_t bodyBytes = 1024 * 1024; ///< Body of one message.
    std::uint32_t concurrentStreams = 1024;
    Duration pingInterval = std::chrono::milliseconds(500); ///< While streams are open.
    Duration pingTimeout = std::chrono::milliseconds(1000); ///< Without any byte after a PING, the connection is dead.
    /// A silent connection takes no new requests, but open ones may still end on it: a path that loses packets is slow, not
    /// dead. Otherwise it is closed.
    bool keepUnresponsiveConnections = false;
};

/// One HTTP/2 connection between two nodes (nghttp2 without TLS, prior knowledge).
///
/// The connecting side sends requests, the accepting side answers them. While requests are open the connecting side
/// sends PING frames, so that a connection that a device on the path has lost track of is found within 2 s.
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    /// Which end of the connection this is.
    enum class Role : std::uint8_t {
        Client,
        Server,
    };

    /// @param handler answers requests; unused by a client
    PeerSession(boost::asio::ip::tcp::socket socket, Role role, PeerLimits limits, PeerHandler handler);
    ~PeerSession();
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    /// Starts the read loop, which keeps the session alive until it closes.
    void start();

    /// Sends one request and waits for the complete response.
    /// @return the response, or one of: PeerUnreachable (surely not processed: never sent, REFUSED_STREAM, or above the last
    ///         stream of GOAWAY), PeerLost (sent, connection lost), Timeout (deadline reached; the stream is reset),
    ///         UpstreamAnswerTooLarge (body above the limit), Cancelled (the stream is reset)
    /// @param cancellation may be null
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> request(PeerRequest request,
                                                                 TimePoint deadline,
                                                                 std::shared_ptr<Cancellation> cancellation = nullptr);

    /// As request(), but the body is held back until the peer asks for it, so that a request which was not asked for is
    /// surely not processed: it then ends as PeerUnreachable, whatever ended it.
    /// @param progress must outlive the call
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> requestWithExpectContinue(PeerRequest request,
                                                                                   TimePoint deadline,
                                                                                   std::shared_ptr<Cancellation> cancellation,
                                                                                   PeerProgress &progress);

    /// Sends a PING when requests are open and the peer was silent, and closes the connection when a PING got no reply.
    /// Call it at least every 250 ms, so that a silent connection is found within 2 s.
    /// @param afterPause this process was paused since the last call, so the silence of the peer proves nothing
    void checkLiveness(TimePoint now, bool afterPause);

    /// Tells the peer to send no new requests; open streams go on.
    void sendGoAway();

    /// Closes the connection; open requests end as PeerLost.
    void close();

    /// @return whether new requests can be sent
    bool isUsable() const
    {
        return this->open && !this->peerIsLeaving && !this->unresponsive;
    }

    /// @return whether the connection is open
    bool isOpen() const
    {
        return this->open;
    }

    /// @return streams that are not finished
    std::size_t openStreams() const
    {
        return this->streams.size();
    }

    /// @return when the PING was sent that has no reply yet, if any
    std::optional<TimePoint> unansweredPing() const
    {
        return this->pingOutstanding ? std::optional(this->pingSent) : std::nullopt;
    }

    /// A PING that the peer replied to.
    struct PingReply
    {
        TimePoint received;
        Duration roundTrip;
    };

    /// @return the last PING reply, if any
    const std::optional<PingReply> &lastPingReply() const
    {
        return this->pingReply;
    }

    /// @return time of the last byte from the peer
    TimePoint lastReceived() const
    {
        return this->lastReceive;
    }

    /// @return address of the peer
    std::string remoteAddress() const;

private:
    struct Stream;
    struct SessionDeleter
    {
        void operator()(nghttp2_session *session) const;
    };

    boost::asio::awaitable<absl::StatusOr<PeerResponse>> exchange(PeerRequest request,
                                                                  TimePoint deadline,
                                                                  std::shared_ptr<Cancellation> cancellation,
                                                                  PeerProgress *progress);
    std::int32_t submitRequest(PeerRequest &request, const std::shared_ptr<Stream> &stream);
    boost::asio::awaitable<bool> receiveBody(std::int32_t streamId, std::shared_ptr<PeerCall> call, TimePoint deadline);
    void startCall(std::int32_t streamId, Stream &stream);
    void releaseBody(std::int32_t streamId, Stream &stream);
    void cancelUncommittedRequests();
    bool handleExpectContinue(const nghttp2_frame &frame);
    void createNghttp2Session();
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> writeLoop();
    boost::asio::awaitable<void> answer(std::int32_t streamId, std::shared_ptr<PeerCall> call);
    void submitResponse(std::int32_t streamId, PeerResponse response);
    void handleMessageComplete(std::int32_t streamId, Stream &stream);
    void handleStreamClosed(std::int32_t streamId, std::uint32_t errorCode);
    void resetStream(std::int32_t streamId);
    void flush();

    static int onBeginHeaders(nghttp2_session *session, const nghttp2_frame *frame, void *user);
    static int onHeader(nghttp2_session *session,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t flags,
                        void *user);
    static int onDataChunk(
        nghttp2_session *session, std::uint8_t flags, std::int32_t streamId, const std::uint8_t *data, std::size_t length, void *user);
    static int onFrame(nghttp2_session *session, const nghttp2_frame *frame, void *user);
    static int onStreamClose(nghttp2_session *session, std::int32_t streamId, std::uint32_t errorCode, void *user);
    static ssize_t readBody(nghttp2_session *session,
                            std::int32_t streamId,
                            std::uint8_t *buffer,
                            std::size_t length,
                            std::uint32_t *dataFlags,
                            nghttp2_data_source *source,
                            void *user);

    boost::asio::ip::tcp::socket socket;
    Role role;
    PeerLimits limits;
    PeerHandler handler;
    std::unique_ptr<nghttp2_session, SessionDeleter> session;
    std::map<std::int32_t, std::shared_ptr<Stream>> streams;
    bool open = true;
    bool peerIsLeaving = false;
    bool unresponsive = false; ///< A PING had no reply in time.
    bool writing = false;
    bool pingOutstanding = false;
    TimePoint pingSent;
    std::optional<PingReply> pingReply;
    TimePoint lastReceive;
};

} // namespace Galenarack
