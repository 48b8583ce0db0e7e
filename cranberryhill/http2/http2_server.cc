#include "cranberryhill/http2/http2_server.h"

#include <arpa/inet.h>
#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/selector.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "cranberryhill/base/log.h"
#include "cranberryhill/http2/internal/session.h"

namespace cranberryhill {
namespace {

constexpr int kListenBacklog = 512;
constexpr int kStatusBodyTooLarge = 413;
// Pause of the listener after a failed accept, for example without free file
// descriptors. The event is level-triggered and would keep the loop busy.
constexpr absl::Duration kAcceptPause = absl::Milliseconds(100);

using WholeBodyCallback = std::function<void(std::string)>;
using ChunkCallback = std::function<void(std::string_view, bool)>;

/// One request and its response. The connection owns it until the stream is
/// closed; request and writer objects refer to it.
class ServerStream : public std::enable_shared_from_this<ServerStream> {
 public:
  ServerStream(EventLoop& loop,
               std::shared_ptr<Session> session,
               int32_t id,
               size_t max_body_bytes)
      : loop(loop),
        session(std::move(session)),
        id(id),
        max_body_bytes(max_body_bytes) {}

  void AddHeader(Header header);
  /// @return Whether the request is new and may be given to the handler.
  bool FinishHeaders();
  void AddBody(std::string_view chunk);
  void FinishBody();
  void OnEndSent();
  void OnBodyDrained();
  /// The last call of the connection.
  void OnClosed(CloseReason reason);

  void ReadWhole(WholeBodyCallback done);
  void ReadStreamed(ChunkCallback on_chunk);
  bool SendHeaders(int status, const Headers& fields);
  bool SendBody(std::string_view chunk, size_t limit);
  void End();
  void Reset(Http2Error code);
  void SetClosed(std::function<void(CloseReason)> callback);

  bool IsOpen() const { return !this->closed && !this->ended; }
  size_t BufferedBytes() const {
    return this->session->BufferedBytes(this->id);
  }

  std::string method;
  std::string path;
  std::string authority;
  Headers headers;
  std::function<void()> writable;

 private:
  bool DeclaredTooLarge() const;
  void RefuseBody();
  void DeliverWhole();
  void DeliverStreamed();
  void NotifyClosed(CloseReason reason);

  EventLoop& loop;
  std::shared_ptr<Session> session;
  int32_t id;
  size_t max_body_bytes;
  size_t received = 0;
  std::string buffer;
  size_t unconsumed = 0;
  bool headers_done = false;
  bool body_done = false;
  bool too_large = false;
  bool was_streamed = false;
  bool headers_sent = false;
  bool ended = false;
  bool closed = false;
  std::optional<CloseReason> close_reason;
  WholeBodyCallback whole;
  ChunkCallback streamed;
  std::function<void(CloseReason)> on_closed;
};

void ServerStream::AddHeader(Header header) {
  if (this->headers_done)
    return;  // Trailers are not used.
  if (header.name == ":method")
    this->method = std::move(header.value);
  else if (header.name == ":path")
    this->path = std::move(header.value);
  else if (header.name == ":authority")
    this->authority = std::move(header.value);
  else if (header.name[0] != ':')
    this->headers.push_back(std::move(header));
}

bool ServerStream::DeclaredTooLarge() const {
  std::string_view text = FindHeader(this->headers, "content-length");
  uint64_t size = 0;
  std::from_chars(text.data(), text.data() + text.size(), size);
  return size > this->max_body_bytes;
}

bool ServerStream::FinishHeaders() {
  if (this->headers_done)
    return false;
  this->headers_done = true;
  if (!this->DeclaredTooLarge())
    return true;
  this->RefuseBody();
  return false;
}

void ServerStream::AddBody(std::string_view chunk) {
  this->received += chunk.size();
  if (!this->too_large && this->received > this->max_body_bytes)
    this->RefuseBody();
  if (this->too_large || this->closed || this->ended) {
    this->session->Consume(this->id, chunk.size());
    return;
  }
  this->buffer.append(chunk);
  this->unconsumed += chunk.size();
  if (this->streamed)
    this->DeliverStreamed();
  else if (this->whole)
    this->session->Consume(this->id, std::exchange(this->unconsumed, 0));
}

void ServerStream::FinishBody() {
  this->body_done = true;
  if (this->too_large || !this->IsOpen())
    return;
  if (this->streamed)
    this->DeliverStreamed();
  else if (this->whole)
    this->DeliverWhole();
}

void ServerStream::DeliverWhole() {
  this->session->Consume(this->id, std::exchange(this->unconsumed, 0));
  WholeBodyCallback done = std::exchange(this->whole, nullptr);
  done(std::exchange(this->buffer, {}));
}

void ServerStream::DeliverStreamed() {
  auto self = this->shared_from_this();
  std::string chunk = std::exchange(this->buffer, {});
  this->session->Consume(this->id, std::exchange(this->unconsumed, 0));
  bool end = this->body_done;
  // A copy, because the stream can be closed inside the call.
  ChunkCallback callback = this->streamed;
  if (end)
    this->streamed = nullptr;
  callback(chunk, end);
}

void ServerStream::ReadWhole(WholeBodyCallback done) {
  if (this->closed || this->too_large)
    return;
  this->whole = std::move(done);
  if (this->body_done)
    this->DeliverWhole();
  else
    this->session->Consume(this->id, std::exchange(this->unconsumed, 0));
}

void ServerStream::ReadStreamed(ChunkCallback on_chunk) {
  if (this->closed || this->too_large)
    return;
  this->was_streamed = true;
  this->streamed = std::move(on_chunk);
  if (this->body_done || !this->buffer.empty())
    this->DeliverStreamed();
}

void ServerStream::RefuseBody() {
  this->too_large = true;
  this->buffer.clear();
  this->session->Consume(this->id, std::exchange(this->unconsumed, 0));
  auto dropped_whole = std::exchange(this->whole, nullptr);
  auto dropped_streamed = std::exchange(this->streamed, nullptr);
  if (this->headers_sent) {
    this->session->Reset(this->id, Http2Error::kCancel);
  } else {
    // A handler that saw a part of the body may have acted on it.
    std::string outcome = this->was_streamed ? "unknown" : "not_run";
    this->SendHeaders(kStatusBodyTooLarge,
                      {{"content-type", "application/json"}});
    this->session->AppendBody(
        this->id, R"({"error":{"code":"body_too_large","outcome":")" + outcome +
                      R"(","message":"the request body exceeds )" +
                      std::to_string(this->max_body_bytes) + " bytes\"}}");
    this->session->EndBody(this->id);
  }
  this->ended = true;
  this->NotifyClosed(CloseReason::kBodyTooLarge);
}

bool ServerStream::SendHeaders(int status, const Headers& fields) {
  if (!this->IsOpen() || this->headers_sent)
    return false;
  this->headers_sent = true;
  Headers all = {{":status", std::to_string(status)}};
  all.insert(all.end(), fields.begin(), fields.end());
  return this->session->SubmitResponse(this->id, all);
}

bool ServerStream::SendBody(std::string_view chunk, size_t limit) {
  if (!this->IsOpen() || !this->headers_sent)
    return false;
  this->session->AppendBody(this->id, chunk);
  return this->BufferedBytes() < limit;
}

void ServerStream::End() {
  if (!this->IsOpen())
    return;
  if (!this->headers_sent) {
    this->Reset(Http2Error::kInternalError);
    return;
  }
  this->ended = true;
  this->session->EndBody(this->id);
}

void ServerStream::Reset(Http2Error code) {
  if (!this->IsOpen())
    return;
  this->ended = true;
  this->session->Reset(this->id, code);
}

void ServerStream::OnEndSent() {
  // RFC 9113, section 8.1: the rest of the request is not needed.
  if (!this->body_done)
    this->session->Reset(this->id, Http2Error::kNoError);
}

void ServerStream::OnBodyDrained() {
  this->loop.Post([weak = this->weak_from_this()] {
    auto self = weak.lock();
    if (!self || !self->IsOpen() || !self->writable)
      return;
    auto callback = self->writable;
    callback();
  });
}

void ServerStream::OnClosed(CloseReason reason) {
  if (this->closed)
    return;
  this->closed = true;
  this->session->Consume(this->id, std::exchange(this->unconsumed, 0));
  auto dropped_whole = std::exchange(this->whole, nullptr);
  auto dropped_streamed = std::exchange(this->streamed, nullptr);
  auto dropped_writable = std::exchange(this->writable, nullptr);
  if (!this->ended)
    this->NotifyClosed(reason);
  this->on_closed = nullptr;
}

void ServerStream::NotifyClosed(CloseReason reason) {
  if (this->close_reason)
    return;
  this->close_reason = reason;
  auto callback = std::exchange(this->on_closed, nullptr);
  if (callback)
    callback(reason);
}

void ServerStream::SetClosed(std::function<void(CloseReason)> callback) {
  if (this->close_reason) {
    this->loop.Post([callback = std::move(callback),
                     reason = *this->close_reason] { callback(reason); });
  } else if (!this->closed) {
    this->on_closed = std::move(callback);
  }
}

class RequestImpl : public Http2Request {
 public:
  RequestImpl(std::shared_ptr<ServerStream> stream, std::string peer)
      : stream(std::move(stream)), peer_address(std::move(peer)) {}

  const std::string& method() const override { return this->stream->method; }
  const std::string& path() const override { return this->stream->path; }
  const std::string& authority() const override {
    return this->stream->authority;
  }
  const Headers& headers() const override { return this->stream->headers; }
  const std::string& peer() const override { return this->peer_address; }
  void ReadWhole(WholeBodyCallback done) override {
    this->stream->ReadWhole(std::move(done));
  }
  void ReadStreamed(ChunkCallback on_chunk) override {
    this->stream->ReadStreamed(std::move(on_chunk));
  }

 private:
  std::shared_ptr<ServerStream> stream;
  std::string peer_address;
};

class ResponseWriterImpl : public Http2ResponseWriter {
 public:
  ResponseWriterImpl(std::shared_ptr<ServerStream> stream, size_t limit)
      : stream(std::move(stream)), limit(limit) {}
  ~ResponseWriterImpl() override {
    this->stream->Reset(Http2Error::kInternalError);
  }
  ResponseWriterImpl(const ResponseWriterImpl&) = delete;
  ResponseWriterImpl& operator=(const ResponseWriterImpl&) = delete;

  bool SendHeaders(int status, const Headers& headers) override {
    return this->stream->SendHeaders(status, headers);
  }
  bool SendBody(std::string_view chunk) override {
    return this->stream->SendBody(chunk, this->limit);
  }
  void End() override { this->stream->End(); }
  void Reset(Http2Error code) override { this->stream->Reset(code); }
  size_t buffered_bytes() const override {
    return this->stream->BufferedBytes();
  }
  bool open() const override { return this->stream->IsOpen(); }
  void OnClosed(std::function<void(CloseReason)> closed) override {
    this->stream->SetClosed(std::move(closed));
  }
  void OnWritable(std::function<void()> writable) override {
    if (this->stream->IsOpen())
      this->stream->writable = std::move(writable);
  }

 private:
  std::shared_ptr<ServerStream> stream;
  size_t limit;
};

/// One accepted connection.
class ServerConnection : public SessionHandler,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(EventLoop& loop,
                   const Http2ServerOptions& options,
                   const Http2Handler& handler)
      : loop(loop),
        options(options),
        handler(handler),
        session(Session::NewServer(loop, *this, options.limits)) {}
  ~ServerConnection() override { this->session->Close(); }
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  bool Accept(cxxtools::net::TcpServer& listener);
  void Shutdown() { this->session->ShutdownGracefully(); }
  void Freeze() { this->session->Freeze(); }
  void Close(CloseReason reason);
  size_t Streams() const { return this->open_streams.size(); }
  bool IsBusy() const override { return !this->open_streams.empty(); }

  /// Runs when the connection has closed by itself.
  std::function<void()> on_closed;

  void OnHeader(int32_t stream, Header header) override;
  void OnHeadersDone(int32_t stream) override;
  void OnBody(int32_t stream, std::string_view chunk) override;
  void OnBodyEnd(int32_t stream) override;
  void OnEndSent(int32_t stream) override;
  void OnBodyDrained(int32_t stream) override;
  void OnStreamClosed(int32_t stream, uint32_t code) override;
  void OnSessionClosed(CloseReason reason, const std::string& message) override;

 private:
  std::shared_ptr<ServerStream> Find(int32_t stream) const;

  EventLoop& loop;
  const Http2ServerOptions& options;
  const Http2Handler& handler;
  std::shared_ptr<Session> session;
  std::string peer;
  std::unordered_map<int32_t, std::shared_ptr<ServerStream>> open_streams;
};

bool ServerConnection::Accept(cxxtools::net::TcpServer& listener) {
  if (!this->session->transport().Accept(listener))
    return false;
  this->peer = this->session->transport().PeerAddress();
  this->session->Start();
  return true;
}

std::shared_ptr<ServerStream> ServerConnection::Find(int32_t stream) const {
  auto found = this->open_streams.find(stream);
  return found == this->open_streams.end() ? nullptr : found->second;
}

void ServerConnection::OnHeader(int32_t stream, Header header) {
  std::shared_ptr<ServerStream>& entry = this->open_streams[stream];
  if (!entry) {
    entry = std::make_shared<ServerStream>(this->loop, this->session, stream,
                                           this->options.max_body_bytes);
  }
  entry->AddHeader(std::move(header));
}

void ServerConnection::OnHeadersDone(int32_t stream) {
  auto self = this->shared_from_this();
  auto entry = this->Find(stream);
  if (!entry || !entry->FinishHeaders())
    return;
  this->handler(std::make_shared<RequestImpl>(entry, this->peer),
                std::make_shared<ResponseWriterImpl>(
                    entry, this->options.limits.stream_buffer_bytes));
}

void ServerConnection::OnBody(int32_t stream, std::string_view chunk) {
  auto self = this->shared_from_this();
  if (auto entry = this->Find(stream))
    entry->AddBody(chunk);
  else
    this->session->Consume(stream, chunk.size());
}

void ServerConnection::OnBodyEnd(int32_t stream) {
  auto self = this->shared_from_this();
  if (auto entry = this->Find(stream))
    entry->FinishBody();
}

void ServerConnection::OnEndSent(int32_t stream) {
  if (auto entry = this->Find(stream))
    entry->OnEndSent();
}

void ServerConnection::OnBodyDrained(int32_t stream) {
  if (auto entry = this->Find(stream))
    entry->OnBodyDrained();
}

void ServerConnection::OnStreamClosed(int32_t stream, uint32_t /*code*/) {
  auto self = this->shared_from_this();
  auto entry = this->Find(stream);
  this->open_streams.erase(stream);
  if (entry)
    entry->OnClosed(CloseReason::kReset);
}

void ServerConnection::OnSessionClosed(CloseReason reason,
                                       const std::string& /*message*/) {
  auto self = this->shared_from_this();
  this->Close(reason);
  auto callback = std::exchange(this->on_closed, nullptr);
  if (callback)
    callback();
}

void ServerConnection::Close(CloseReason reason) {
  this->session->Close();
  auto streams = std::exchange(this->open_streams, {});
  for (auto& [id, stream] : streams)
    stream->OnClosed(reason);
}

/// Binds a free port. It stays bound, without listening, until the listener
/// has bound the same port; SO_REUSEADDR allows that. TcpServer does not
/// report the port that the system has chosen for it.
class PortReservation {
 public:
  explicit PortReservation(const std::string& ip) {
    bool v6 = ip.find(':') != std::string::npos;
    this->fd = ::socket(v6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int reuse = 1;
    setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_storage address{};
    if (v6) {
      auto* in6 = reinterpret_cast<sockaddr_in6*>(&address);
      in6->sin6_family = AF_INET6;
      inet_pton(AF_INET6, ip.c_str(), &in6->sin6_addr);
    } else {
      auto* in4 = reinterpret_cast<sockaddr_in*>(&address);
      in4->sin_family = AF_INET;
      inet_pton(AF_INET, ip.c_str(), &in4->sin_addr);
    }
    socklen_t size = v6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(this->fd, generic, size) == 0 &&
        getsockname(this->fd, generic, &size) == 0) {
      // Both address families have the port at the same place.
      this->reserved = ntohs(reinterpret_cast<sockaddr_in*>(generic)->sin_port);
    }
  }
  ~PortReservation() { ::close(this->fd); }
  PortReservation(const PortReservation&) = delete;
  PortReservation& operator=(const PortReservation&) = delete;

  /// @return 0 when no port could be bound.
  uint16_t Port() const { return this->reserved; }

 private:
  int fd = -1;
  uint16_t reserved = 0;
};

class ServerImpl : public Http2Server, public cxxtools::Connectable {
 public:
  ServerImpl(EventLoop& loop,
             const Http2ServerOptions& options,
             Http2Handler handler)
      : loop(loop), options(options), handler(std::move(handler)) {}
  ~ServerImpl() override;

  /// @return An empty text, or why the address cannot be listened on.
  std::string Listen(const IpAddress& address);

  uint16_t port() const override { return this->bound_port; }
  void Shutdown() override;
  void FreezeOpenConnections() override;
  size_t connections() const override { return this->open.size(); }
  size_t active_streams() const override;

 private:
  void OnPending(cxxtools::net::TcpServer& listener);
  void PauseListener();
  void CloseListener();

  EventLoop& loop;
  const Http2ServerOptions options;
  const Http2Handler handler;
  cxxtools::net::TcpServer listener;
  bool listening = false;
  uint16_t bound_port = 0;
  uint64_t next_id = 0;
  std::map<uint64_t, std::shared_ptr<ServerConnection>> open;
  // Outlived by callbacks that wait in the loop.
  std::shared_ptr<ServerImpl*> alive = std::make_shared<ServerImpl*>(this);
};

ServerImpl::~ServerImpl() {
  this->CloseListener();
  auto connections = std::exchange(this->open, {});
  for (auto& [id, connection] : connections) {
    connection->on_closed = nullptr;
    connection->Close(CloseReason::kClosedLocally);
  }
}

std::string ServerImpl::Listen(const IpAddress& address) {
  std::optional<PortReservation> reservation;
  this->bound_port = address.port;
  if (address.port == 0)
    this->bound_port = reservation.emplace(address.ip).Port();
  if (this->bound_port == 0)
    return "no port can be bound";
  try {
    this->listener.listen(address.ip, this->bound_port, kListenBacklog);
    cxxtools::connect(this->listener.connectionPending, *this,
                      &ServerImpl::OnPending);
    this->loop.selector().add(this->listener);
  } catch (const std::exception& error) {
    return error.what();
  }
  this->listening = true;
  return {};
}

void ServerImpl::OnPending(cxxtools::net::TcpServer& pending) {
  if (!this->listening)
    return;
  auto connection = std::make_shared<ServerConnection>(
      this->loop, this->options, this->handler);
  if (!connection->Accept(pending)) {
    this->PauseListener();
    return;
  }
  if (this->open.size() >= this->options.max_connections)
    return;  // The destructor closes it.
  uint64_t id = this->next_id++;
  std::weak_ptr<ServerImpl*> weak = this->alive;
  connection->on_closed = [weak, id] {
    if (auto self = weak.lock())
      (*self)->open.erase(id);
  };
  this->open.emplace(id, std::move(connection));
}

void ServerImpl::PauseListener() {
  LogLine("port {}: accept failed, paused", this->bound_port);
  this->loop.selector().remove(this->listener);
  std::weak_ptr<ServerImpl*> weak = this->alive;
  this->loop.RunAfter(kAcceptPause, [weak] {
    auto self = weak.lock();
    if (self && (*self)->listening)
      (*self)->loop.selector().add((*self)->listener);
  });
}

void ServerImpl::CloseListener() {
  if (!this->listening)
    return;
  this->listening = false;
  try {
    this->listener.close();
  } catch (const std::exception& error) {
    LogLine("port {}: close failed: {}", this->bound_port, error.what());
  }
}

void ServerImpl::Shutdown() {
  this->CloseListener();
  for (auto& [id, connection] : this->open)
    connection->Shutdown();
}

void ServerImpl::FreezeOpenConnections() {
  for (auto& [id, connection] : this->open)
    connection->Freeze();
}

size_t ServerImpl::active_streams() const {
  size_t count = 0;
  for (const auto& [id, connection] : this->open)
    count += connection->Streams();
  return count;
}

}  // namespace

Result<std::unique_ptr<Http2Server>> ListenHttp2(
    EventLoop& loop,
    const IpAddress& address,
    const Http2ServerOptions& options,
    Http2Handler handler) {
  auto server = std::make_unique<ServerImpl>(loop, options, std::move(handler));
  std::string error = server->Listen(address);
  if (!error.empty()) {
    return MakeError(ErrorCode::kUnavailable, "listen", address.ToString(),
                     error);
  }
  return server;
}

}  // namespace cranberryhill
