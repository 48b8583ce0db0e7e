#include "cranberryhill/http2/internal/session.h"

#include <algorithm>
#include <cstring>
#include <utility>
#include <vector>

namespace cranberryhill {
namespace {

// Frames are serialised up to this size before the socket is written.
constexpr size_t kWriteBytes = size_t{64} * 1024;

// nghttp2's defaults of 1000 and 33 a second close the connection of a router
// that cancels many streams after its own callers have left.
constexpr uint64_t kResetBurst = 20000;
constexpr uint64_t kResetsPerSecond = 2000;

nghttp2_nv ToNghttp2(const Header& header) {
  auto bytes = [](const std::string& text) {
    // nghttp2 copies name and value and does not write to them.
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(header.name), bytes(header.value), header.name.size(),
          header.value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> ToNghttp2(const Headers& fields) {
  std::vector<nghttp2_nv> values;
  values.reserve(fields.size());
  for (const Header& field : fields)
    values.push_back(ToNghttp2(field));
  return values;
}

std::string ToString(const uint8_t* bytes, size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

}  // namespace

/// The functions that nghttp2 calls; `user` is the Session.
struct Session::Callbacks {
  static Session& Self(void* user) { return *static_cast<Session*>(user); }

  static int OnHeader(nghttp2_session* /*session*/,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t /*flags*/,
                      void* user) {
    Session& self = Self(user);
    int32_t stream = frame->hd.stream_id;
    size_t& total = self.header_bytes[stream];
    total += name_size + value_size;
    if (total > self.limits.max_header_bytes)
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    if (!self.closed) {
      self.handler.OnHeader(
          stream, {ToString(name, name_size), ToString(value, value_size)});
    }
    return 0;
  }

  static int OnFrameReceived(nghttp2_session* /*session*/,
                             const nghttp2_frame* frame,
                             void* user) {
    Session& self = Self(user);
    if (!self.closed)
      self.OnFrame(*frame);
    return 0;
  }

  static int OnData(nghttp2_session* /*session*/,
                    uint8_t /*flags*/,
                    int32_t stream,
                    const uint8_t* data,
                    size_t size,
                    void* user) {
    Session& self = Self(user);
    if (self.closed)
      return 0;
    self.handler.OnBody(stream, {reinterpret_cast<const char*>(data), size});
    return 0;
  }

  static int OnStreamClosed(nghttp2_session* /*session*/,
                            int32_t stream,
                            uint32_t code,
                            void* user) {
    Session& self = Self(user);
    self.bodies.erase(stream);
    self.header_bytes.erase(stream);
    if (!self.closed)
      self.handler.OnStreamClosed(stream, code);
    return 0;
  }

  static int OnFrameSent(nghttp2_session* /*session*/,
                         const nghttp2_frame* frame,
                         void* user) {
    Self(user).OnFrameSent(*frame);
    return 0;
  }

  static int OnInvalidFrame(nghttp2_session* /*session*/,
                            const nghttp2_frame* frame,
                            int /*error*/,
                            void* user) {
    if (frame->hd.stream_id == 0)
      Self(user).protocol_error = true;
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session* /*session*/,
                          int32_t stream,
                          uint8_t* out,
                          size_t size,
                          uint32_t* flags,
                          nghttp2_data_source* /*source*/,
                          void* user) {
    return Self(user).ReadBody(stream, out, size, flags);
  }
};

Session::Session(EventLoop& loop,
                 SessionHandler& handler,
                 const Http2Limits& limits)
    : loop(loop), handler(handler), limits(limits) {}

Session::~Session() {
  nghttp2_session_del(this->session);
}

std::shared_ptr<Session> Session::New(EventLoop& loop,
                                      SessionHandler& handler,
                                      const Http2Limits& limits,
                                      bool server) {
  // The constructor is private, so make_shared cannot be used.
  std::shared_ptr<Session> made(new Session(loop, handler, limits));
  made->socket = NewTransport(loop, *made);
  made->CreateNghttp2(server);
  return made;
}

std::shared_ptr<Session> Session::NewServer(EventLoop& loop,
                                            SessionHandler& handler,
                                            const Http2Limits& limits) {
  return New(loop, handler, limits, true);
}

std::shared_ptr<Session> Session::NewClient(EventLoop& loop,
                                            SessionHandler& handler,
                                            const Http2Limits& limits) {
  return New(loop, handler, limits, false);
}

void Session::CreateNghttp2(bool server) {
  nghttp2_session_callbacks* calls = nullptr;
  nghttp2_session_callbacks_new(&calls);
  nghttp2_session_callbacks_set_on_header_callback(calls, Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      calls, Callbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(calls,
                                                            Callbacks::OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      calls, Callbacks::OnStreamClosed);
  nghttp2_session_callbacks_set_on_frame_send_callback(calls,
                                                       Callbacks::OnFrameSent);
  nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(
      calls, Callbacks::OnInvalidFrame);
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_no_auto_window_update(options, 1);
  nghttp2_option_set_stream_reset_rate_limit(options, kResetBurst,
                                             kResetsPerSecond);
  if (server)
    nghttp2_session_server_new2(&this->session, calls, this, options);
  else
    nghttp2_session_client_new2(&this->session, calls, this, options);
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(calls);
}

void Session::SubmitSettings() {
  std::vector<nghttp2_settings_entry> entries = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
       this->limits.max_concurrent_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, this->limits.stream_buffer_bytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, this->limits.max_header_bytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  if (nghttp2_session_check_server_session(this->session))
    entries.pop_back();  // A server must not send ENABLE_PUSH.
  nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, entries.data(),
                          entries.size());
  nghttp2_session_set_local_window_size(
      this->session, NGHTTP2_FLAG_NONE, 0,
      static_cast<int32_t>(this->limits.connection_buffer_bytes));
}

void Session::Start() {
  this->started = true;
  this->SubmitSettings();
  this->socket->StartReading();
  this->SendPing();
  this->ScheduleFlush();
}

void Session::OnConnected() {
  auto self = this->shared_from_this();
  this->Start();
  this->handler.OnOpen();
}

void Session::OnBytes(std::string_view bytes) {
  auto self = this->shared_from_this();
  ssize_t used = nghttp2_session_mem_recv(
      this->session, reinterpret_cast<const uint8_t*>(bytes.data()),
      bytes.size());
  if (this->closed)
    return;
  if (used < 0) {
    this->Fail(CloseReason::kProtocolError,
               nghttp2_strerror(static_cast<int>(used)));
    return;
  }
  this->Flush();
}

void Session::OnWritten() {
  this->Flush();
}

void Session::OnTransportClosed(CloseReason reason,
                                const std::string& message) {
  this->Fail(reason, message);
}

std::string Session::NextBytes() {
  std::string out;
  // A request goes out in the same write as it is submitted in, so that its
  // allow_send check is recent.
  while (out.size() < kWriteBytes || this->request_unsent) {
    if (!this->request_unsent)
      this->request_unsent = this->handler.SubmitNext();
    const uint8_t* bytes = nullptr;
    ssize_t size = nghttp2_session_mem_send(this->session, &bytes);
    if (size < 0)
      this->protocol_error = true;  // Out of memory, or a frame was refused.
    if (size <= 0) {
      this->request_unsent = false;
      break;
    }
    out.append(reinterpret_cast<const char*>(bytes), static_cast<size_t>(size));
  }
  return out;
}

void Session::Flush() {
  if (this->closed || this->frozen || !this->started || this->socket->writing())
    return;
  auto self = this->shared_from_this();
  std::string out = this->NextBytes();
  if (this->closed)
    return;
  if (!out.empty()) {
    this->socket->Write(std::move(out));
  } else if (nghttp2_session_want_read(this->session) == 0 &&
             nghttp2_session_want_write(this->session) == 0) {
    if (this->protocol_error)
      this->Fail(CloseReason::kProtocolError, "invalid HTTP/2 frames");
    else
      this->Fail(CloseReason::kConnectionLost, "shut down");
  }
}

void Session::ScheduleFlush() {
  if (this->flush_scheduled || this->closed)
    return;
  this->flush_scheduled = true;
  this->loop.Post([weak = this->weak_from_this()] {
    if (auto self = weak.lock()) {
      self->flush_scheduled = false;
      self->Flush();
    }
  });
}

void Session::Freeze() {
  this->frozen = true;
  this->unanswered_pings.clear();
  this->socket->Freeze();
}

void Session::SendPing() {
  if (this->closed || this->frozen)
    return;
  uint64_t sequence = ++this->last_ping;
  this->last_ping_sent = this->loop.clock().Now();
  this->unanswered_pings[sequence] = this->last_ping_sent;
  uint8_t data[sizeof(sequence)];
  std::memcpy(data, &sequence, sizeof(sequence));
  nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, data);
  this->ScheduleFlush();
  std::weak_ptr<Session> weak = this->weak_from_this();
  this->loop.RunAfter(this->limits.ping_interval, [weak, sequence] {
    auto self = weak.lock();
    if (self && self->last_ping == sequence)
      self->PingWhenDue();
  });
  this->loop.RunAfter(this->limits.ping_timeout, [weak, sequence] {
    if (auto self = weak.lock())
      self->CheckPing(sequence);
  });
}

void Session::PingWhenDue() {
  if (this->closed || this->frozen)
    return;
  // A silent connection harms only those who use it, so an idle one is pinged
  // rarely; with hundreds of connections the pings would be most of the
  // control traffic.
  if (this->handler.IsBusy() ||
      this->loop.clock().Now() - this->last_ping_sent >=
          this->limits.idle_ping_interval) {
    this->SendPing();
    return;
  }
  std::weak_ptr<Session> weak = this->weak_from_this();
  this->loop.RunAfter(this->limits.ping_interval,
                      [weak, sequence = this->last_ping] {
                        auto self = weak.lock();
                        if (self && self->last_ping == sequence)
                          self->PingWhenDue();
                      });
}

void Session::CheckPing(uint64_t sequence) {
  if (this->unanswered_pings.count(sequence) > 0)
    this->Fail(CloseReason::kPingTimeout, "no response to a ping");
}

void Session::OnPingAnswer(const nghttp2_ping& ping) {
  uint64_t sequence = 0;
  std::memcpy(&sequence, ping.opaque_data, sizeof(sequence));
  auto found = this->unanswered_pings.find(sequence);
  if (found == this->unanswered_pings.end())
    return;
  this->round_trip = this->loop.clock().Now() - found->second;
  this->unanswered_pings.erase(found);
  if (this->goaway_ping && sequence >= *this->goaway_ping) {
    // The peer has seen the notice, so no further request is in flight.
    this->goaway_ping.reset();
    nghttp2_submit_goaway(
        this->session, NGHTTP2_FLAG_NONE,
        nghttp2_session_get_last_proc_stream_id(this->session),
        NGHTTP2_NO_ERROR, nullptr, 0);
  }
}

void Session::ShutdownGracefully() {
  if (this->closed || this->goaway_ping)
    return;
  nghttp2_submit_shutdown_notice(this->session);
  this->goaway_ping = this->last_ping + 1;
  this->SendPing();
}

void Session::OnFrame(const nghttp2_frame& frame) {
  int32_t stream = frame.hd.stream_id;
  switch (frame.hd.type) {
    case NGHTTP2_HEADERS:
      this->header_bytes.erase(stream);
      this->handler.OnHeadersDone(stream);
      break;
    case NGHTTP2_PING:
      if ((frame.hd.flags & NGHTTP2_FLAG_ACK) != 0)
        this->OnPingAnswer(frame.ping);
      return;
    case NGHTTP2_GOAWAY:
      this->handler.OnGoaway();
      return;
    case NGHTTP2_DATA:
      break;
    default:
      return;
  }
  if ((frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 && !this->closed)
    this->handler.OnBodyEnd(stream);
}

void Session::OnFrameSent(const nghttp2_frame& frame) {
  bool end = (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (frame.hd.type == NGHTTP2_HEADERS)
    this->request_unsent = false;
  if (frame.hd.type == NGHTTP2_GOAWAY)
    this->protocol_error |= frame.goaway.error_code != NGHTTP2_NO_ERROR;
  else if (end && !this->closed &&
           (frame.hd.type == NGHTTP2_DATA || frame.hd.type == NGHTTP2_HEADERS))
    this->handler.OnEndSent(frame.hd.stream_id);
}

std::optional<int32_t> Session::SubmitRequest(const Headers& fields,
                                              std::string_view body) {
  std::vector<nghttp2_nv> values = ToNghttp2(fields);
  nghttp2_data_provider provider{{0}, Callbacks::ReadBody};
  int32_t stream = nghttp2_submit_request(
      this->session, nullptr, values.data(), values.size(),
      body.empty() ? nullptr : &provider, nullptr);
  if (stream < 0)
    return std::nullopt;
  if (!body.empty()) {
    OutgoingBody& outgoing = this->bodies[stream];
    outgoing.bytes = body;
    outgoing.ended = true;
  }
  return stream;
}

uint32_t Session::PeerMaxStreams() const {
  return nghttp2_session_get_remote_settings(
      this->session, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
}

bool Session::SubmitResponse(int32_t stream, const Headers& fields) {
  if (this->closed)
    return false;
  std::vector<nghttp2_nv> values = ToNghttp2(fields);
  nghttp2_data_provider provider{{0}, Callbacks::ReadBody};
  this->bodies.try_emplace(stream);
  this->ScheduleFlush();
  return nghttp2_submit_response(this->session, stream, values.data(),
                                 values.size(), &provider) == 0;
}

void Session::AppendBody(int32_t stream, std::string_view chunk) {
  auto found = this->bodies.find(stream);
  if (found == this->bodies.end())
    return;
  OutgoingBody& body = found->second;
  body.bytes.append(chunk);
  if (body.Pending() >= this->limits.stream_buffer_bytes)
    body.above_limit = true;
  this->ResumeBody(stream, body);
}

void Session::EndBody(int32_t stream) {
  auto found = this->bodies.find(stream);
  if (found == this->bodies.end())
    return;
  found->second.ended = true;
  this->ResumeBody(stream, found->second);
}

void Session::ResumeBody(int32_t stream, OutgoingBody& body) {
  if (this->closed || !body.deferred)
    return;
  body.deferred = false;
  nghttp2_session_resume_data(this->session, stream);
  this->ScheduleFlush();
}

size_t Session::BufferedBytes(int32_t stream) const {
  auto found = this->bodies.find(stream);
  return found == this->bodies.end() ? 0 : found->second.Pending();
}

ssize_t Session::ReadBody(int32_t stream,
                          uint8_t* out,
                          size_t size,
                          uint32_t* flags) {
  auto found = this->bodies.find(stream);
  if (found == this->bodies.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  OutgoingBody& body = found->second;
  size_t count = std::min(size, body.Pending());
  if (count == 0 && !body.ended) {
    body.deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  std::memcpy(out, body.bytes.data() + body.offset, count);
  body.offset += count;
  if (body.offset * 2 >= body.bytes.size()) {
    body.bytes.erase(0, body.offset);
    body.offset = 0;
  }
  if (body.ended && body.Pending() == 0)
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  if (body.above_limit &&
      body.Pending() < this->limits.stream_buffer_bytes / 2) {
    body.above_limit = false;
    this->handler.OnBodyDrained(stream);
  }
  return static_cast<ssize_t>(count);
}

void Session::Reset(int32_t stream, Http2Error code) {
  if (this->closed)
    return;
  nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, stream,
                            static_cast<uint32_t>(code));
  this->ScheduleFlush();
}

void Session::Consume(int32_t stream, size_t bytes) {
  if (this->closed || bytes == 0)
    return;
  nghttp2_session_consume(this->session, stream, bytes);
  this->ScheduleFlush();
}

void Session::Fail(CloseReason reason, const std::string& message) {
  if (this->closed)
    return;
  auto self = this->shared_from_this();
  this->Close();
  this->handler.OnSessionClosed(reason, message);
}

void Session::Close() {
  if (this->closed)
    return;
  this->closed = true;
  this->socket->Close();
  // The nghttp2 session and the transport may be in use further up the stack.
  this->loop.Post([self = this->shared_from_this()] {});
}

}  // namespace cranberryhill
