#pragma once

#include <galenarack/core/bytebudget.h>
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

/// A request from a peer while this node answers it.
struct PeerCall
{
    PeerRequest request;
    Cancellation cancellation; ///< Cancellation, requested when the peer resets the stream or the connection ends.

    /// Set when the peer waits for a 100 (Continue) response before it sends the body (`Expect: 100-continue`). Sends that
    /// response and stores the received body in `request`.
    /// @return whether the whole body was received before the deadline given; otherwise the peer knows that the request is
    ///         not processed
    std::function<boost::asio::awaitable<bool>(TimePoint)> receiveBody;
};

/// Progress of a request to a peer, for its sender.
struct PeerProgress
{
    bool committed = false; ///< Whether the body was released for sending; from then on the peer may process the request.
    TimePoint committedAt; ///< Time at which `committed` was set.
    std::function<void()> onCommitted; ///< Called when `committed` is set; may be empty.
};

/// Answers a call. The response is dropped when the call was cancelled in the meantime.
using PeerHandler = std::function<boost::asio::awaitable<PeerResponse>(std::shared_ptr<PeerCall>)>;

/// Limits of one HTTP/2 connection between nodes.
struct PeerLimits
{
    std::size_t headerBytes = 32 * 1024; ///< Maximum size of all header fields of one message, in bytes.
    std::size_t bodyBytes = 1024 * 1024; ///< Maximum size of the body of one message, in bytes.
    std::shared_ptr<ByteBudget> bodyBudget; ///< Limits the bodies in transit of all connections together; null for no limit.
    std::uint32_t concurrentStreams = 1024; ///< Maximum number of open streams that the peer may start.
    /// Time without received data after which a PING is sent, while streams are open.
    Duration pingInterval = std::chrono::milliseconds(500);
    /// Time without received data after a PING before the connection counts as unresponsive.
    Duration pingTimeout = std::chrono::milliseconds(1000);
    /// Whether an unresponsive connection with open streams stays open. It accepts no new requests, but open ones may still
    /// complete: a path that loses packets is slow, not dead. Otherwise the connection is closed.
    bool keepUnresponsiveConnections = false;
};

/// One HTTP/2 connection between two nodes (nghttp2 without TLS, prior knowledge).
///
/// The connecting side sends requests, the accepting side answers them. While requests are open the connecting side
/// sends PING frames, so that a connection whose state was lost by a device on the path is detected within 2 s.
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    /// Role of this node on the connection.
    enum class Role : std::uint8_t {
        Client,
        Server,
    };

    /// @param handler answers requests; unused by a client
    PeerSession(boost::asio::ip::tcp::socket socket, Role role, PeerLimits limits, PeerHandler handler);
    ~PeerSession();
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    /// Starts the read loop, which keeps this object alive until the connection is closed.
    void start();

    /// Sends one request and waits for the complete response.
    /// @return the response, or one of: PeerUnreachable (certainly not processed: not sent, REFUSED_STREAM, or above the
    ///         last stream ID of GOAWAY), PeerLost (sent, connection lost), Timeout (deadline reached; the stream is reset),
    ///         UpstreamAnswerTooLarge (body above the limit), Cancelled (the stream is reset)
    /// @param cancellation may be null
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> request(PeerRequest request,
                                                                 TimePoint deadline,
                                                                 std::shared_ptr<Cancellation> cancellation = nullptr);

    /// Like request(), but sends the body only after a 100 (Continue) response. Until then the peer cannot have processed the
    /// request, so one that ends earlier without a response returns PeerUnreachable, whatever the cause.
    /// @param progress must outlive the call
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> requestWithExpectContinue(PeerRequest request,
                                                                                   TimePoint deadline,
                                                                                   std::shared_ptr<Cancellation> cancellation,
                                                                                   PeerProgress &progress);

    /// Sends a PING when streams are open and no data was received for PeerLimits::pingInterval. When no data is received
    /// within PeerLimits::pingTimeout after a PING, closes the connection or stops using it for new requests, depending on
    /// PeerLimits::keepUnresponsiveConnections. Call it at least every 250 ms, so that an unresponsive connection is detected
    /// within 2 s.
    /// @param afterPause whether this process was paused since the last call, so that missing data is no evidence against the
    ///        peer
    void checkLiveness(TimePoint now, bool afterPause);

    /// Sends GOAWAY, which asks the peer to send no new requests. Open streams continue.
    void sendGoAway();

    /// Closes the connection. Open requests return PeerLost, or PeerUnreachable when their body was not yet asked for.
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

    /// @return the number of open streams
    std::size_t openStreams() const
    {
        return this->streams.size();
    }

    /// @return whether a request is open, or bytes have not been written to the socket yet
    bool isBusy() const
    {
        return this->open && (this->writing || !this->streams.empty());
    }

    /// @return send time of the last PING if no data was received since, otherwise nothing
    std::optional<TimePoint> unansweredPing() const
    {
        return this->pingOutstanding ? std::optional(this->pingSent) : std::nullopt;
    }

    /// Reply of the peer to a PING.
    struct PingReply
    {
        TimePoint received; ///< Time at which the reply was received.
        Duration roundTrip; ///< Time from sending the PING to receiving the reply.
    };

    /// @return the last PING reply, if any
    const std::optional<PingReply> &lastPingReply() const
    {
        return this->pingReply;
    }

    /// @return time at which data was last received from the peer; initially the time of construction
    TimePoint lastReceived() const
    {
        return this->lastReceive;
    }

    /// @return IP address of the peer, or "closed" when the socket is not connected
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

    /// Ends a stream whose message exceeds a limit, and frees its body. May be called from a callback of nghttp2.
    void rejectTooLarge(std::int32_t streamId, Stream &stream);
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
    bool unresponsive = false; ///< No data was received within the time limit after a PING.
    bool writing = false;
    bool pingOutstanding = false;
    TimePoint pingSent;
    std::optional<PingReply> pingReply;
    TimePoint lastReceive;
};

} // namespace Galenarack
