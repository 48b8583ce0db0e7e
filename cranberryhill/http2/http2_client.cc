#include "cranberryhill/http2/http2_client.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "cranberryhill/http2/internal/session.h"

namespace cranberryhill {
namespace {

constexpr int kLowestStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kHighestStatus = 599;

class ClientSession;

/// One request from Send() to its last callback.
class ClientStream : public Http2Stream,
                     public std::enable_shared_from_this<ClientStream> {
 public:
  ClientStream(EventLoop& loop,
               Http2ClientRequest request,
               Http2Callbacks callbacks)
      : loop(loop),
        request(std::move(request)),
        callbacks(std::move(callbacks)) {}

  void Cancel() override;
  void Pause() override { this->paused = true; }
  void Resume() override;
  bool may_have_been_sent() const override { return this->sent; }

  /// Submits the request to `session`.
  /// @return False when that failed; the stream is then finished.
  bool Submit(const std::shared_ptr<ClientSession>& session,
              const std::string& authority);
  void AddHeader(Header header);
  void FinishHeaders();
  void AddBody(std::string_view chunk);
  void FinishBody();
  /// @return Whether the whole response has arrived.
  bool Complete() const { return this->body_done; }
  void Fail(CloseReason reason, Http2Error code, const std::string& message);
  bool Finished() const { return this->done; }

 private:
  void DeliverBuffered();
  void Consume(size_t bytes);
  /// @return The callbacks, which are released from this object.
  Http2Callbacks Finish();

  EventLoop& loop;
  Http2ClientRequest request;
  Http2Callbacks callbacks;
  std::weak_ptr<ClientSession> session;
  int32_t id = 0;
  int status = 0;
  Headers headers;
  std::string buffer;
  size_t unconsumed = 0;
  bool sent = false;
  bool paused = false;
  bool headers_done = false;
  bool body_done = false;
  bool done = false;
  bool cancelled = false;
};

/// What a connection is told by its sessions.
class ClientSessionOwner {
 public:
  virtual ~ClientSessionOwner() = default;
  virtual void OnSessionOpen(ClientSession& session) = 0;
  virtual void OnSessionGoaway(ClientSession& session) = 0;
  virtual void OnSessionEnd(ClientSession& session, CloseReason reason) = 0;
};

/// One TCP connection and its streams.
class ClientSession : public SessionHandler,
                      public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(EventLoop& loop,
                ClientSessionOwner& owner,
                const std::string& authority,
                const Http2ConnectionOptions& options)
      : loop(loop),
        owner(&owner),
        authority(authority),
        max_queued(options.max_queued),
        session(Session::NewClient(loop, *this, options.limits)) {}
  ~ClientSession() override { this->session->Close(); }
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  void Connect(const IpAddress& address, const Http2ConnectionOptions& options);
  /// Queues a request, which is submitted when the socket takes it and the
  /// peer allows one more stream.
  void Send(const std::shared_ptr<ClientStream>& stream);
  std::optional<int32_t> Submit(const std::shared_ptr<ClientStream>& stream,
                                const Headers& fields,
                                std::string_view body);
  void Cancel(int32_t stream);
  void Consume(int32_t stream, size_t bytes) {
    this->session->Consume(stream, bytes);
  }
  /// Forgets the owner and fails all streams.
  void Abandon(CloseReason reason, const std::string& message);
  size_t Streams() const;
  bool IsBusy() const override { return this->Streams() > 0; }
  const Session& Http2() const { return *this->session; }

  void OnOpen() override;
  void OnHeader(int32_t stream, Header header) override;
  void OnHeadersDone(int32_t stream) override;
  void OnBody(int32_t stream, std::string_view chunk) override;
  void OnBodyEnd(int32_t stream) override;
  bool SubmitNext() override;
  void OnStreamClosed(int32_t stream, uint32_t code) override;
  void OnGoaway() override;
  void OnSessionClosed(CloseReason reason, const std::string& message) override;

 private:
  std::shared_ptr<ClientStream> Find(int32_t stream) const;
  void FailAll(CloseReason reason, const std::string& message);

  void OnIdsExhausted();

  EventLoop& loop;
  ClientSessionOwner* owner;
  const std::string authority;
  const size_t max_queued;
  std::shared_ptr<Session> session;
  // Submitted only when they can be sent at once: nghttp2 cannot drop a request
  // in its own queue without breaking the header compression of later ones.
  std::deque<std::shared_ptr<ClientStream>> waiting;
  std::map<int32_t, std::shared_ptr<ClientStream>> open_streams;
};

void ClientStream::Cancel() {
  this->cancelled = true;
  if (this->done)
    return;
  this->Finish();
  if (auto target = this->session.lock())
    target->Cancel(this->id);
}

Http2Callbacks ClientStream::Finish() {
  this->done = true;
  this->Consume(std::exchange(this->unconsumed, 0));
  this->buffer.clear();
  this->request = {};
  return std::exchange(this->callbacks, {});
}

void ClientStream::Consume(size_t bytes) {
  if (auto target = this->session.lock())
    target->Consume(this->id, bytes);
}

bool ClientStream::Submit(const std::shared_ptr<ClientSession>& target,
                          const std::string& authority) {
  if (this->request.allow_send && !this->request.allow_send()) {
    this->Fail(CloseReason::kNotAllowed, Http2Error::kNoError,
               "not allowed to send");
    return false;
  }
  Headers fields = {{":method", this->request.method},
                    {":scheme", "http"},
                    {":authority", authority},
                    {":path", this->request.path}};
  fields.insert(fields.end(), this->request.headers.begin(),
                this->request.headers.end());
  std::string body = std::exchange(this->request.body, {});
  auto stream = target->Submit(this->shared_from_this(), fields, body);
  if (!stream) {
    this->Fail(CloseReason::kRefused, Http2Error::kNoError,
               "the connection takes no more requests");
    return false;
  }
  this->session = target;
  this->id = *stream;
  this->sent = true;
  return true;
}

void ClientStream::AddHeader(Header header) {
  if (this->headers_done)
    return;  // Trailers are not used.
  if (header.name == ":status") {
    std::string_view text = header.value;
    std::from_chars(text.data(), text.data() + text.size(), this->status);
  } else if (header.name[0] != ':') {
    this->headers.push_back(std::move(header));
  }
}

void ClientStream::FinishHeaders() {
  if (this->headers_done || this->done)
    return;
  if (this->status < kLowestStatus || this->status > kHighestStatus) {
    auto target = this->session.lock();
    this->Fail(CloseReason::kProtocolError, Http2Error::kProtocolError,
               "the status is not one of HTTP");
    if (target)
      target->Cancel(this->id);
    return;
  }
  if (this->status < kFirstFinalStatus) {
    this->headers.clear();  // An informational response precedes the final one.
    return;
  }
  this->headers_done = true;
  auto callback = this->callbacks.on_headers;
  if (callback)
    callback(this->status, this->headers);
}

void ClientStream::AddBody(std::string_view chunk) {
  this->unconsumed += chunk.size();
  if (this->paused || !this->buffer.empty()) {
    this->buffer.append(chunk);
    return;
  }
  this->Consume(std::exchange(this->unconsumed, 0));
  // A copy, because the stream can be cancelled inside the call.
  auto callback = this->callbacks.on_data;
  if (callback && !this->done)
    callback(chunk);
}

void ClientStream::FinishBody() {
  this->body_done = true;
  if (this->done || this->paused || !this->buffer.empty())
    return;
  auto callback = this->Finish().on_end;
  if (callback)
    callback();
}

void ClientStream::Resume() {
  this->paused = false;
  this->loop.Post([self = this->shared_from_this()] {
    if (!self->done && !self->paused)
      self->DeliverBuffered();
  });
}

void ClientStream::DeliverBuffered() {
  std::string chunk = std::exchange(this->buffer, {});
  this->Consume(std::exchange(this->unconsumed, 0));
  auto callback = this->callbacks.on_data;
  if (callback && !chunk.empty())
    callback(chunk);
  if (this->body_done && !this->done)
    this->FinishBody();
}

void ClientStream::Fail(CloseReason reason,
                        Http2Error code,
                        const std::string& message) {
  if (this->done)
    return;
  auto callback = this->Finish().on_failed;
  // Later in the loop, so that no callback runs inside Send() or Close().
  if (callback) {
    Http2Failure failure{reason, this->sent, code, message};
    this->loop.Post([self = this->shared_from_this(),
                     callback = std::move(callback),
                     failure = std::move(failure)] {
      if (!self->cancelled)
        callback(failure);
    });
  }
}

void ClientSession::Connect(const IpAddress& address,
                            const Http2ConnectionOptions& options) {
  this->session->transport().Connect(address, options.connect_timeout,
                                     options.tcp_user_timeout);
}

void ClientSession::Send(const std::shared_ptr<ClientStream>& stream) {
  if (this->waiting.size() >= this->max_queued) {
    std::erase_if(this->waiting,
                  [](const auto& other) { return other->Finished(); });
  }
  if (this->waiting.size() >= this->max_queued) {
    stream->Fail(CloseReason::kQueueFull, Http2Error::kNoError,
                 "too many requests wait for a free stream");
    return;
  }
  this->waiting.push_back(stream);
  this->session->ScheduleFlush();
}

bool ClientSession::SubmitNext() {
  while (!this->waiting.empty() &&
         this->open_streams.size() < this->session->PeerMaxStreams()) {
    std::shared_ptr<ClientStream> stream = std::move(this->waiting.front());
    this->waiting.pop_front();
    if (!stream->Finished() &&
        stream->Submit(this->shared_from_this(), this->authority))
      return true;
  }
  return false;
}

size_t ClientSession::Streams() const {
  return this->open_streams.size() +
         std::count_if(this->waiting.begin(), this->waiting.end(),
                       [](const auto& stream) { return !stream->Finished(); });
}

// A connection has 2^30 stream ids for requests.
void ClientSession::OnIdsExhausted() {
  this->loop.Post([weak = this->weak_from_this()] {
    auto self = weak.lock();
    if (!self)
      return;
    self->session->ShutdownGracefully();
    self->OnGoaway();
  });
}

std::optional<int32_t> ClientSession::Submit(
    const std::shared_ptr<ClientStream>& stream,
    const Headers& fields,
    std::string_view body) {
  auto id = this->session->SubmitRequest(fields, body);
  if (id)
    this->open_streams[*id] = stream;
  else
    this->OnIdsExhausted();
  return id;
}

void ClientSession::Cancel(int32_t stream) {
  if (this->open_streams.erase(stream) > 0)
    this->session->Reset(stream, Http2Error::kCancel);
}

std::shared_ptr<ClientStream> ClientSession::Find(int32_t stream) const {
  auto found = this->open_streams.find(stream);
  return found == this->open_streams.end() ? nullptr : found->second;
}

void ClientSession::OnOpen() {
  if (this->owner != nullptr)
    this->owner->OnSessionOpen(*this);
}

void ClientSession::OnHeader(int32_t stream, Header header) {
  if (auto entry = this->Find(stream))
    entry->AddHeader(std::move(header));
}

void ClientSession::OnHeadersDone(int32_t stream) {
  auto self = this->shared_from_this();
  if (auto entry = this->Find(stream))
    entry->FinishHeaders();
}

void ClientSession::OnBody(int32_t stream, std::string_view chunk) {
  auto self = this->shared_from_this();
  if (auto entry = this->Find(stream))
    entry->AddBody(chunk);
  else
    this->session->Consume(stream, chunk.size());
}

void ClientSession::OnBodyEnd(int32_t stream) {
  auto self = this->shared_from_this();
  if (auto entry = this->Find(stream))
    entry->FinishBody();
}

void ClientSession::OnStreamClosed(int32_t stream, uint32_t code) {
  auto entry = this->Find(stream);
  if (!entry)
    return;
  this->open_streams.erase(stream);
  if (entry->Complete())
    return;  // A paused stream still delivers what it has buffered.
  if (code == NGHTTP2_REFUSED_STREAM) {
    entry->Fail(CloseReason::kRefused, Http2Error::kRefusedStream,
                "refused by the peer");
  } else {
    entry->Fail(CloseReason::kReset, static_cast<Http2Error>(code),
                "reset by the peer");
  }
}

void ClientSession::OnGoaway() {
  auto unsent = std::exchange(this->waiting, {});
  for (const auto& stream : unsent) {
    stream->Fail(CloseReason::kRefused, Http2Error::kNoError,
                 "the peer is shutting down");
  }
  if (this->owner != nullptr)
    this->owner->OnSessionGoaway(*this);
}

void ClientSession::OnSessionClosed(CloseReason reason,
                                    const std::string& message) {
  auto self = this->shared_from_this();
  this->FailAll(reason, message);
  if (this->owner != nullptr)
    this->owner->OnSessionEnd(*this, reason);
}

void ClientSession::FailAll(CloseReason reason, const std::string& message) {
  auto streams = std::exchange(this->open_streams, {});
  for (auto& [id, stream] : streams) {
    if (!stream->Complete())
      stream->Fail(reason, Http2Error::kNoError, message);
  }
  auto unsent = std::exchange(this->waiting, {});
  for (const auto& stream : unsent)
    stream->Fail(reason, Http2Error::kNoError, message);
}

void ClientSession::Abandon(CloseReason reason, const std::string& message) {
  this->owner = nullptr;
  this->session->Close();
  this->FailAll(reason, message);
}

class ConnectionImpl : public Http2Connection, public ClientSessionOwner {
 public:
  ConnectionImpl(EventLoop& loop,
                 const IpAddress& address,
                 const Http2ConnectionOptions& options);
  ~ConnectionImpl() override;
  ConnectionImpl(const ConnectionImpl&) = delete;
  ConnectionImpl& operator=(const ConnectionImpl&) = delete;

  std::shared_ptr<Http2Stream> Send(Http2ClientRequest request,
                                    Http2Callbacks callbacks) override;
  Http2ConnectionState state() const override { return this->current_state; }
  std::optional<absl::Duration> last_round_trip() const override;
  size_t active_streams() const override;
  void OnStateChange(
      std::function<void(Http2ConnectionState, std::optional<CloseReason>)>
          changed) override {
    this->on_change = std::move(changed);
  }
  void Close() override;

  void OnSessionOpen(ClientSession& session) override;
  void OnSessionGoaway(ClientSession& session) override;
  void OnSessionEnd(ClientSession& session, CloseReason reason) override;

 private:
  using SessionPointer = std::shared_ptr<ClientSession>;

  void Open();
  void Reconnect(const ClientSession& last, CloseReason reason);
  void SetState(Http2ConnectionState state, std::optional<CloseReason> reason);
  void FailQueued(CloseReason reason, const std::string& message);

  EventLoop& loop;
  const IpAddress address;
  const std::string authority;
  const Http2ConnectionOptions options;
  Http2ConnectionState current_state = Http2ConnectionState::kConnecting;
  std::function<void(Http2ConnectionState, std::optional<CloseReason>)>
      on_change;
  SessionPointer current;
  // Sessions that have received GOAWAY and finish their streams.
  std::vector<SessionPointer> draining;
  std::vector<std::shared_ptr<ClientStream>> queued;
  absl::Duration backoff;
  // Outlived by callbacks that wait in the loop.
  std::shared_ptr<ConnectionImpl*> alive =
      std::make_shared<ConnectionImpl*>(this);
};

ConnectionImpl::ConnectionImpl(EventLoop& loop,
                               const IpAddress& address,
                               const Http2ConnectionOptions& options)
    : loop(loop),
      address(address),
      authority(address.ToString()),
      options(options),
      backoff(options.min_backoff) {
  this->Open();
}

ConnectionImpl::~ConnectionImpl() {
  this->on_change = nullptr;
  this->Close();
}

void ConnectionImpl::Open() {
  this->current = std::make_shared<ClientSession>(
      this->loop, *this, this->authority, this->options);
  this->current->Connect(this->address, this->options);
}

std::shared_ptr<Http2Stream> ConnectionImpl::Send(Http2ClientRequest request,
                                                  Http2Callbacks callbacks) {
  auto stream = std::make_shared<ClientStream>(this->loop, std::move(request),
                                               std::move(callbacks));
  switch (this->current_state) {
    case Http2ConnectionState::kOpen:
      this->current->Send(stream);
      break;
    case Http2ConnectionState::kConnecting:
      std::erase_if(this->queued,
                    [](const auto& other) { return other->Finished(); });
      if (this->queued.size() < this->options.max_queued) {
        this->queued.push_back(stream);
      } else {
        stream->Fail(CloseReason::kQueueFull, Http2Error::kNoError,
                     "too many requests wait for the connection");
      }
      break;
    case Http2ConnectionState::kBackoff:
      stream->Fail(CloseReason::kConnectFailed, Http2Error::kNoError,
                   "waiting to reconnect");
      break;
    case Http2ConnectionState::kClosed:
      stream->Fail(CloseReason::kClosedLocally, Http2Error::kNoError,
                   "the connection is closed");
      break;
  }
  return stream;
}

std::optional<absl::Duration> ConnectionImpl::last_round_trip() const {
  if (!this->current)
    return std::nullopt;
  return this->current->Http2().last_round_trip();
}

size_t ConnectionImpl::active_streams() const {
  size_t count = this->current ? this->current->Streams() : 0;
  for (const SessionPointer& session : this->draining)
    count += session->Streams();
  for (const auto& stream : this->queued)
    count += stream->Finished() ? 0 : 1;
  return count;
}

void ConnectionImpl::SetState(Http2ConnectionState state,
                              std::optional<CloseReason> reason) {
  this->current_state = state;
  auto callback = this->on_change;
  if (callback)
    callback(state, reason);
}

void ConnectionImpl::FailQueued(CloseReason reason,
                                const std::string& message) {
  auto streams = std::exchange(this->queued, {});
  for (const auto& stream : streams)
    stream->Fail(reason, Http2Error::kNoError, message);
}

void ConnectionImpl::Close() {
  if (this->current_state == Http2ConnectionState::kClosed &&
      this->draining.empty())
    return;
  auto sessions = std::exchange(this->draining, {});
  if (this->current)
    sessions.push_back(std::exchange(this->current, nullptr));
  for (const SessionPointer& session : sessions)
    session->Abandon(CloseReason::kClosedLocally, "the connection was closed");
  this->FailQueued(CloseReason::kClosedLocally, "the connection was closed");
  if (this->current_state != Http2ConnectionState::kClosed)
    this->SetState(Http2ConnectionState::kClosed, CloseReason::kClosedLocally);
}

void ConnectionImpl::OnSessionOpen(ClientSession& /*session*/) {
  auto streams = std::exchange(this->queued, {});
  for (const auto& stream : streams) {
    if (!stream->Finished())
      this->current->Send(stream);
  }
  this->SetState(Http2ConnectionState::kOpen, std::nullopt);
}

void ConnectionImpl::OnSessionGoaway(ClientSession& session) {
  if (this->current.get() != &session)
    return;
  this->draining.push_back(std::exchange(this->current, nullptr));
  if (!this->options.reconnect) {
    this->SetState(Http2ConnectionState::kClosed, CloseReason::kRefused);
    return;
  }
  // Not at once: a peer that answers each connection with GOAWAY would
  // otherwise be reconnected to without a pause.
  this->Reconnect(session, CloseReason::kRefused);
}

void ConnectionImpl::OnSessionEnd(ClientSession& session, CloseReason reason) {
  if (this->current.get() != &session) {
    std::erase_if(this->draining,
                  [&](const auto& other) { return other.get() == &session; });
    return;
  }
  this->current = nullptr;
  this->FailQueued(reason, "the connection could not be opened");
  if (this->options.reconnect)
    this->Reconnect(session, reason);
  else
    this->SetState(Http2ConnectionState::kClosed, reason);
}

void ConnectionImpl::Reconnect(const ClientSession& last, CloseReason reason) {
  // Only a peer that has spoken HTTP/2 counts as reachable.
  if (last.Http2().last_round_trip())
    this->backoff = this->options.min_backoff;
  absl::Duration wait = this->backoff;
  this->backoff = std::min(this->backoff * 2, this->options.max_backoff);
  std::weak_ptr<ConnectionImpl*> weak = this->alive;
  this->loop.RunAfter(wait, [weak] {
    auto self = weak.lock();
    if (!self || (*self)->current_state != Http2ConnectionState::kBackoff)
      return;
    (*self)->Open();
    (*self)->SetState(Http2ConnectionState::kConnecting, std::nullopt);
  });
  this->SetState(Http2ConnectionState::kBackoff, reason);
}

class ClientImpl : public Http2Client {
 public:
  explicit ClientImpl(EventLoop& loop) : loop(loop) {}

  std::unique_ptr<Http2Connection> Connect(
      const IpAddress& address,
      const Http2ConnectionOptions& options) override {
    return std::make_unique<ConnectionImpl>(this->loop, address, options);
  }

 private:
  EventLoop& loop;
};

}  // namespace

std::unique_ptr<Http2Client> NewHttp2Client(EventLoop& loop) {
  return std::make_unique<ClientImpl>(loop);
}

}  // namespace cranberryhill
