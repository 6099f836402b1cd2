#include <galenarack/peer/peersession.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/http/status.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Time that sent data may stay unacknowledged before the kernel closes the connection (TCP_USER_TIMEOUT).
constexpr unsigned unacknowledgedTimeoutMs = 2000;

constexpr std::int32_t connectionWindowBytes = 8 * 1024 * 1024;

nghttp2_nv toNghttp2(std::string_view name, std::string_view value)
{
    nghttp2_nv field{};
    field.name = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(name.data()));
    field.namelen = name.size();
    field.value = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(value.data()));
    field.valuelen = value.size();
    return field;
}

/// Connection-specific header fields of HTTP/1.1. A peer resets an HTTP/2 stream that carries one (RFC 9113 section 8.2.2).
constexpr std::array<std::string_view, 6> connectionFields
    = {"connection", "keep-alive", "proxy-connection", "te", "transfer-encoding", "upgrade"};

void appendFields(const HeaderList &headers, std::vector<nghttp2_nv> &fields)
{
    for (const HeaderField &field : headers.all()) {
        if (std::ranges::find(connectionFields, field.name) == connectionFields.end()) {
            fields.push_back(toNghttp2(field.name, field.value));
        }
    }
}

/// Header field with which a request delays its body until a 100 (Continue) response (RFC 9110 section 10.1.1).
constexpr std::string_view expectField = "expect";
constexpr std::string_view expectContinue = "100-continue";
constexpr unsigned continueStatus = 100;

std::string_view toView(const std::uint8_t *data, std::size_t length)
{
    return {reinterpret_cast<const char *>(data), length};
}

} // namespace

/// State of one HTTP/2 stream. A client stream accumulates the response, a server stream the request.
struct PeerSession::Stream
{
    explicit Stream(const asio::any_io_executor &executor)
        : signal(executor)
    {
    }

    std::string method;
    std::string path;
    unsigned status = 0;
    HeaderList headers;
    std::size_t headerBytes = 0;
    std::string body;
    std::unique_ptr<ByteReservation> reservation; ///< Share of the body in PeerLimits::bodyBudget; null until it is received.
    std::string sendBody;
    std::size_t sendOffset = 0;
    std::shared_ptr<PeerCall> call; ///< Server: the request in progress.
    PeerProgress *progress = nullptr; ///< Client: progress of a request with `Expect: 100-continue`, while its sender waits.
    bool bodyReleased = false; ///< Client: a 100 (Continue) response was received, so the body may be sent.
    bool expectsContinue = false; ///< Server: the peer waits for a 100 (Continue) response before it sends the body.
    asio::steady_timer signal; ///< Timer cancelled to wake the coroutine that waits for this stream.
    bool complete = false; ///< The message was received completely.
    bool tooLarge = false; ///< The message exceeds a limit of PeerLimits.
    bool done = false; ///< The stream has ended.
    std::uint32_t closeCode = NGHTTP2_NO_ERROR;
    bool refused = false; ///< Client: the peer certainly did not process the request.
};

void PeerSession::SessionDeleter::operator()(nghttp2_session *session) const
{
    nghttp2_session_del(session);
}

PeerSession::PeerSession(asio::ip::tcp::socket socket, Role role, PeerLimits limits, PeerHandler handler)
    : socket(std::move(socket))
    , role(role)
    , limits(std::move(limits))
    , handler(std::move(handler))
    , lastReceive(NodeClock::now())
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedTimeoutMs, sizeof(unacknowledgedTimeoutMs));
    this->createNghttp2Session();
}

PeerSession::~PeerSession() = default;

void PeerSession::createNghttp2Session()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    const std::unique_ptr<nghttp2_session_callbacks, decltype(&nghttp2_session_callbacks_del)> guard(callbacks,
                                                                                                     &nghttp2_session_callbacks_del);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &PeerSession::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &PeerSession::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &PeerSession::onDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &PeerSession::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &PeerSession::onStreamClose);

    nghttp2_session *raw = nullptr;
    if (this->role == Role::Client) {
        nghttp2_session_client_new(&raw, callbacks, this);
    } else {
        nghttp2_session_server_new(&raw, callbacks, this);
    }
    this->session.reset(raw);

    const std::array settings = {
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, this->limits.concurrentStreams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(this->limits.bodyBytes)},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    };
    nghttp2_submit_settings(raw, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(raw, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

void PeerSession::start()
{
    const auto self = this->shared_from_this();
    asio::co_spawn(
        this->socket.get_executor(),
        [self]() -> asio::awaitable<void> {
            co_await self->readLoop();
        },
        asio::detached);
    this->flush();
}

asio::awaitable<absl::StatusOr<PeerResponse>> PeerSession::request(PeerRequest request,
                                                                   TimePoint deadline,
                                                                   std::shared_ptr<Cancellation> cancellation)
{
    co_return co_await this->exchange(std::move(request), deadline, std::move(cancellation), nullptr);
}

asio::awaitable<absl::StatusOr<PeerResponse>> PeerSession::requestWithExpectContinue(PeerRequest request,
                                                                                     TimePoint deadline,
                                                                                     std::shared_ptr<Cancellation> cancellation,
                                                                                     PeerProgress &progress)
{
    request.headers.add(expectField, expectContinue);
    co_return co_await this->exchange(std::move(request), deadline, std::move(cancellation), &progress);
}

std::int32_t PeerSession::submitRequest(PeerRequest &request, const std::shared_ptr<Stream> &stream)
{
    // Pseudo-header fields must come first (RFC 9113 section 8.3).
    std::vector<nghttp2_nv> fields;
    fields.reserve(request.headers.all().size() + 4);
    fields.push_back(toNghttp2(":method", request.method));
    fields.push_back(toNghttp2(":scheme", "http"));
    fields.push_back(toNghttp2(":authority", "galenarack"));
    fields.push_back(toNghttp2(":path", request.path));
    appendFields(request.headers, fields);
    stream->sendBody = std::move(request.body);
    nghttp2_data_provider provider{};
    provider.source.ptr = stream.get();
    provider.read_callback = &PeerSession::readBody;
    const bool hasData = stream->progress != nullptr || !stream->sendBody.empty();
    return nghttp2_submit_request(this->session.get(), nullptr, fields.data(), fields.size(), hasData ? &provider : nullptr, nullptr);
}

asio::awaitable<absl::StatusOr<PeerResponse>> PeerSession::exchange(PeerRequest request,
                                                                    TimePoint deadline,
                                                                    std::shared_ptr<Cancellation> cancellation,
                                                                    PeerProgress *progress)
{
    const auto self = this->shared_from_this();
    if (!this->isUsable()) {
        co_return makeError(ErrorKind::PeerUnreachable, "the connection to the peer accepts no new requests");
    }
    const auto stream = std::make_shared<Stream>(this->socket.get_executor());
    stream->progress = progress;
    const std::int32_t streamId = this->submitRequest(request, stream);
    if (streamId < 0) {
        co_return makeError(ErrorKind::PeerUnreachable, nghttp2_strerror(streamId));
    }
    this->streams.emplace(streamId, stream);
    this->flush();

    if (cancellation) {
        cancellation->setAction([stream] {
            stream->signal.cancel();
        });
    }
    const auto isCancelled = [&cancellation] {
        return cancellation && cancellation->isRequested();
    };
    const Duration remaining = deadline - NodeClock::now();
    stream->signal.expires_after(std::max(remaining, Duration::zero()));
    while (!stream->done && !isCancelled() && NodeClock::now() < deadline) {
        co_await stream->signal.async_wait(awaitTuple);
    }
    if (cancellation) {
        cancellation->setAction(nullptr);
    }
    // The sender no longer waits, so a late 100 (Continue) response must not release the body.
    stream->progress = nullptr;
    const bool isUncommitted = progress != nullptr && !progress->committed;
    if (!stream->done) {
        this->resetStream(streamId);
        if (isUncommitted) {
            co_return makeError(ErrorKind::PeerUnreachable,
                                "the peer did not ask for the request body before the deadline or cancellation");
        }
        co_return isCancelled() ? makeError(ErrorKind::Cancelled, "the request was cancelled")
                                : makeError(ErrorKind::Timeout, "no response from the peer within the deadline");
    }
    if (stream->tooLarge) {
        co_return makeError(ErrorKind::UpstreamAnswerTooLarge, "the response of the peer exceeds the size limit");
    }
    if (stream->complete && stream->closeCode == NGHTTP2_NO_ERROR) {
        if (!isFinalStatus(stream->status)) {
            co_return makeError(ErrorKind::PeerLost, "the response of the peer has an invalid status");
        }
        co_return PeerResponse{stream->status, std::move(stream->headers), std::move(stream->body)};
    }
    if (stream->refused || isUncommitted) {
        co_return makeError(ErrorKind::PeerUnreachable, "the peer did not process the request");
    }
    co_return makeError(ErrorKind::PeerLost, "the stream to the peer ended before the response was complete");
}

void PeerSession::sendGoAway()
{
    if (!this->open) {
        return;
    }
    nghttp2_submit_goaway(
        this->session.get(), NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(this->session.get()), NGHTTP2_NO_ERROR, nullptr, 0);
    this->flush();
}

void PeerSession::close()
{
    if (!this->open) {
        return;
    }
    this->open = false;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    const auto ended = std::move(this->streams);
    this->streams.clear();
    for (const auto &[streamId, stream] : ended) {
        stream->done = true;
        stream->closeCode = NGHTTP2_CONNECT_ERROR;
        stream->signal.cancel();
        if (stream->call) {
            stream->call->cancellation.request();
        }
    }
}

void PeerSession::resetStream(std::int32_t streamId)
{
    if (this->open) {
        nghttp2_submit_rst_stream(this->session.get(), NGHTTP2_FLAG_NONE, streamId, NGHTTP2_CANCEL);
        this->flush();
    }
}

void PeerSession::rejectTooLarge(std::int32_t streamId, Stream &stream)
{
    stream.tooLarge = true;
    std::string().swap(stream.body);
    nghttp2_submit_rst_stream(this->session.get(), NGHTTP2_FLAG_NONE, streamId, NGHTTP2_CANCEL);
    asio::post(this->socket.get_executor(), [weak = this->weak_from_this()] {
        if (const auto self = weak.lock(); self && self->open) {
            self->flush();
        }
    });
}

std::string PeerSession::remoteAddress() const
{
    boost::system::error_code error;
    const auto endpoint = this->socket.remote_endpoint(error);
    return error ? std::string("closed") : endpoint.address().to_string();
}

asio::awaitable<void> PeerSession::readLoop()
{
    std::array<std::uint8_t, 16 * 1024> buffer{};
    while (this->open) {
        const auto [error, length] = co_await this->socket.async_read_some(asio::buffer(buffer), awaitTuple);
        if (error || !this->open) {
            break;
        }
        this->lastReceive = NodeClock::now();
        this->pingOutstanding = false;
        if (nghttp2_session_mem_recv(this->session.get(), buffer.data(), length) < 0) {
            break;
        }
        this->flush();
    }
    this->close();
}

void PeerSession::flush()
{
    if (this->writing || !this->open) {
        return;
    }
    this->writing = true;
    asio::co_spawn(
        this->socket.get_executor(),
        [self = this->shared_from_this()]() -> asio::awaitable<void> {
            // nghttp2 does not allow nghttp2_session_mem_send() inside its callbacks, so writing starts from the event loop.
            co_await asio::post(asio::use_awaitable);
            co_await self->writeLoop();
        },
        asio::detached);
}

asio::awaitable<void> PeerSession::writeLoop()
{
    constexpr std::size_t batchBytes = 64 * 1024;
    std::string batch;
    while (this->open) {
        // Combines several frames into one write.
        batch.clear();
        const std::uint8_t *data = nullptr;
        ssize_t length = 0;
        while (batch.size() < batchBytes && (length = nghttp2_session_mem_send(this->session.get(), &data)) > 0) {
            batch.append(toView(data, static_cast<std::size_t>(length)));
        }
        if (length < 0) {
            this->close();
            break;
        }
        if (batch.empty()) {
            break;
        }
        const auto [error, written] = co_await asio::async_write(this->socket, asio::buffer(batch), awaitTuple);
        if (error) {
            this->close();
            break;
        }
    }
    this->writing = false;
    if (this->open && nghttp2_session_want_read(this->session.get()) == 0 && nghttp2_session_want_write(this->session.get()) == 0) {
        this->close();
    }
}

void PeerSession::checkLiveness(TimePoint now, bool afterPause)
{
    if (!this->open) {
        return;
    }
    if (afterPause) {
        this->pingOutstanding = false;
        this->pingSent = TimePoint();
    }
    if (this->pingOutstanding && now - this->pingSent >= this->limits.pingTimeout) {
        if (!this->limits.keepUnresponsiveConnections || this->streams.empty()) {
            this->close();
            return;
        }
        if (!this->unresponsive) {
            this->unresponsive = true;
            this->cancelUncommittedRequests();
        }
        return;
    }
    const bool due = now - std::max(this->pingSent, this->lastReceive) >= this->limits.pingInterval;
    if (!this->streams.empty() && !this->pingOutstanding && due) {
        this->pingOutstanding = true;
        this->pingSent = now;
        nghttp2_submit_ping(this->session.get(), NGHTTP2_FLAG_NONE, nullptr);
        this->flush();
    }
}

void PeerSession::cancelUncommittedRequests()
{
    const auto open = this->streams;
    for (const auto &[streamId, stream] : open) {
        if (stream->progress != nullptr && !stream->bodyReleased) {
            stream->refused = true;
            stream->done = true;
            stream->signal.cancel();
            this->resetStream(streamId);
        }
    }
}

void PeerSession::releaseBody(std::int32_t streamId, Stream &stream)
{
    if (stream.progress == nullptr || stream.bodyReleased) {
        return;
    }
    stream.bodyReleased = true;
    stream.progress->committed = true;
    stream.progress->committedAt = NodeClock::now();
    if (stream.progress->onCommitted) {
        stream.progress->onCommitted();
    }
    nghttp2_session_resume_data(this->session.get(), streamId);
}

asio::awaitable<bool> PeerSession::receiveBody(std::int32_t streamId, std::shared_ptr<PeerCall> call, TimePoint deadline)
{
    const auto entry = this->streams.find(streamId);
    if (entry == this->streams.end() || !this->open) {
        co_return false;
    }
    const std::shared_ptr<Stream> stream = entry->second;
    const nghttp2_nv status = toNghttp2(":status", "100");
    nghttp2_submit_headers(this->session.get(), NGHTTP2_FLAG_NONE, streamId, nullptr, &status, 1, nullptr);
    this->flush();
    call->cancellation.setAction([stream] {
        stream->signal.cancel();
    });
    stream->signal.expires_after(std::max(deadline - NodeClock::now(), Duration::zero()));
    while (!stream->complete && !call->cancellation.isRequested() && NodeClock::now() < deadline) {
        co_await stream->signal.async_wait(awaitTuple);
    }
    call->cancellation.setAction(nullptr);
    if (stream->complete) {
        call->request.body = std::move(stream->body);
    }
    co_return stream->complete && !call->cancellation.isRequested();
}

asio::awaitable<void> PeerSession::answer(std::int32_t streamId, std::shared_ptr<PeerCall> call)
{
    const auto self = this->shared_from_this();
    PeerResponse response = co_await this->handler(call);
    call->cancellation.setAction(nullptr);
    if (!call->cancellation.isRequested() && this->open) {
        this->submitResponse(streamId, std::move(response));
    }
}

void PeerSession::submitResponse(std::int32_t streamId, PeerResponse response)
{
    const auto entry = this->streams.find(streamId);
    if (entry == this->streams.end()) {
        return;
    }
    Stream &stream = *entry->second;
    stream.sendBody = std::move(response.body);
    const std::string status = std::to_string(response.status);
    std::vector<nghttp2_nv> fields;
    fields.reserve(response.headers.all().size() + 1);
    fields.push_back(toNghttp2(":status", status));
    appendFields(response.headers, fields);
    nghttp2_data_provider provider{};
    provider.source.ptr = &stream;
    provider.read_callback = &PeerSession::readBody;
    nghttp2_submit_response(this->session.get(), streamId, fields.data(), fields.size(), stream.sendBody.empty() ? nullptr : &provider);
    this->flush();
}

void PeerSession::handleMessageComplete(std::int32_t streamId, Stream &stream)
{
    stream.complete = true;
    if (this->role == Role::Server) {
        if (stream.call) {
            stream.signal.cancel();
        } else {
            this->startCall(streamId, stream);
        }
        return;
    }
    if (stream.progress != nullptr && !stream.bodyReleased) {
        // The peer has answered without asking for the body, so the body need not be sent.
        stream.done = true;
        stream.signal.cancel();
        nghttp2_submit_rst_stream(this->session.get(), NGHTTP2_FLAG_NONE, streamId, NGHTTP2_NO_ERROR);
    }
}

void PeerSession::startCall(std::int32_t streamId, Stream &stream)
{
    stream.call = std::make_shared<PeerCall>();
    stream.call->request = PeerRequest{std::move(stream.method), std::move(stream.path), std::move(stream.headers), std::move(stream.body)};
    if (stream.expectsContinue) {
        const std::weak_ptr<PeerCall> weak = stream.call;
        stream.call->receiveBody = [self = this->shared_from_this(), streamId, weak](TimePoint deadline) -> asio::awaitable<bool> {
            return self->receiveBody(streamId, weak.lock(), deadline);
        };
    }
    asio::co_spawn(
        this->socket.get_executor(),
        [self = this->shared_from_this(), streamId, call = stream.call]() -> asio::awaitable<void> {
            co_await asio::post(asio::use_awaitable);
            co_await self->answer(streamId, call);
        },
        asio::detached);
}

void PeerSession::handleStreamClosed(std::int32_t streamId, std::uint32_t errorCode)
{
    const auto entry = this->streams.find(streamId);
    if (entry == this->streams.end()) {
        return;
    }
    const std::shared_ptr<Stream> stream = entry->second;
    this->streams.erase(entry);
    stream->reservation.reset();
    stream->done = true;
    stream->closeCode = errorCode;
    stream->refused = errorCode == NGHTTP2_REFUSED_STREAM;
    stream->signal.cancel();
    if (stream->call && errorCode != NGHTTP2_NO_ERROR) {
        stream->call->cancellation.request();
    }
}

int PeerSession::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    auto &self = *static_cast<PeerSession *>(user);
    if (self.role == Role::Server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        self.streams.emplace(frame->hd.stream_id, std::make_shared<Stream>(self.socket.get_executor()));
    }
    return 0;
}

int PeerSession::onHeader(nghttp2_session *,
                          const nghttp2_frame *frame,
                          const std::uint8_t *name,
                          std::size_t nameLength,
                          const std::uint8_t *value,
                          std::size_t valueLength,
                          std::uint8_t,
                          void *user)
{
    auto &self = *static_cast<PeerSession *>(user);
    const auto entry = self.streams.find(frame->hd.stream_id);
    if (entry == self.streams.end()) {
        return 0;
    }
    Stream &stream = *entry->second;
    stream.headerBytes += nameLength + valueLength;
    if (stream.headerBytes > self.limits.headerBytes) {
        stream.tooLarge = true;
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::string_view nameView = toView(name, nameLength);
    const std::string_view valueView = toView(value, valueLength);
    if (nameView == ":method") {
        stream.method = valueView;
    } else if (nameView == ":path") {
        stream.path = valueView;
    } else if (nameView == ":status") {
        std::from_chars(valueView.data(), valueView.data() + valueView.size(), stream.status);
    } else if (!nameView.starts_with(':')) {
        stream.headers.add(nameView, valueView);
    }
    return 0;
}

int PeerSession::onDataChunk(
    nghttp2_session *, std::uint8_t, std::int32_t streamId, const std::uint8_t *data, std::size_t length, void *user)
{
    auto &self = *static_cast<PeerSession *>(user);
    const auto entry = self.streams.find(streamId);
    if (entry == self.streams.end()) {
        return 0;
    }
    Stream &stream = *entry->second;
    if (stream.tooLarge) {
        return 0;
    }
    if (stream.body.size() + length > self.limits.bodyBytes) {
        self.rejectTooLarge(streamId, stream);
        return 0;
    }
    stream.body.append(toView(data, length));
    if (self.limits.bodyBudget) {
        if (!stream.reservation) {
            stream.reservation = std::make_unique<ByteReservation>(*self.limits.bodyBudget, [&self, streamId, &stream] {
                self.rejectTooLarge(streamId, stream);
            });
        }
        stream.reservation->resize(stream.body.capacity());
    }
    return 0;
}

bool PeerSession::handleExpectContinue(const nghttp2_frame &frame)
{
    const auto entry = this->streams.find(frame.hd.stream_id);
    if (entry == this->streams.end() || frame.hd.type != NGHTTP2_HEADERS || (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        return false;
    }
    Stream &stream = *entry->second;
    if (this->role == Role::Client) {
        if (stream.status != continueStatus) {
            return false;
        }
        this->releaseBody(frame.hd.stream_id, stream);
        return true;
    }
    if (stream.headers.find(expectField) != expectContinue) {
        return false;
    }
    stream.expectsContinue = true;
    this->startCall(frame.hd.stream_id, stream);
    return true;
}

int PeerSession::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    auto &self = *static_cast<PeerSession *>(user);
    if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
        const TimePoint now = NodeClock::now();
        self.pingReply = PingReply{now, now - self.pingSent};
        return 0;
    }
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        self.peerIsLeaving = true;
        return 0;
    }
    if (self.handleExpectContinue(*frame)) {
        return 0;
    }
    const bool carriesMessage = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (!carriesMessage || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    const auto entry = self.streams.find(frame->hd.stream_id);
    if (entry != self.streams.end()) {
        self.handleMessageComplete(frame->hd.stream_id, *entry->second);
    }
    return 0;
}

int PeerSession::onStreamClose(nghttp2_session *, std::int32_t streamId, std::uint32_t errorCode, void *user)
{
    static_cast<PeerSession *>(user)->handleStreamClosed(streamId, errorCode);
    return 0;
}

ssize_t PeerSession::readBody(nghttp2_session *,
                              std::int32_t,
                              std::uint8_t *buffer,
                              std::size_t length,
                              std::uint32_t *dataFlags,
                              nghttp2_data_source *source,
                              void *)
{
    auto &stream = *static_cast<Stream *>(source->ptr);
    if (stream.progress != nullptr && !stream.bodyReleased) {
        return NGHTTP2_ERR_DEFERRED;
    }
    const std::size_t count = std::min(length, stream.sendBody.size() - stream.sendOffset);
    std::copy_n(stream.sendBody.data() + stream.sendOffset, count, reinterpret_cast<char *>(buffer));
    stream.sendOffset += count;
    if (stream.sendOffset == stream.sendBody.size()) {
        *dataFlags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

} // namespace Galenarack
