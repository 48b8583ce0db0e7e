#ifndef CRANBERRYHILL_HTTP2_INTERNAL_SESSION_H_
#define CRANBERRYHILL_HTTP2_INTERNAL_SESSION_H_

// One HTTP/2 connection by nghttp2, as server or as client: frames, outgoing
// bodies, pings. Requests and responses are built on it.
//
//   auto session = Session::NewClient(loop, handler, limits);
//   session->transport().Connect(address, timeout, user_timeout);

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "absl/time/time.h"
#include "cranberryhill/http2/event_loop.h"
#include "cranberryhill/http2/http2_types.h"
#include "cranberryhill/http2/internal/transport.h"

namespace cranberryhill {

/// Receives the events of a session. A callback may close the session.
class SessionHandler {
 public:
  virtual ~SessionHandler() = default;

  virtual void OnOpen() {}
  virtual void OnHeader(int32_t stream, Header header) = 0;
  virtual void OnHeadersDone(int32_t stream) = 0;
  virtual void OnBody(int32_t stream, std::string_view chunk) = 0;
  virtual void OnBodyEnd(int32_t stream) = 0;
  /// Frames are about to be written: submits the next request that waits.
  /// @return Whether a request was submitted.
  virtual bool SubmitNext() { return false; }
  /// The last frame of this side was handed to the socket.
  virtual void OnEndSent(int32_t /*stream*/) {}
  /// The outgoing body fell below half of the limit. Frames are being
  /// serialised: the session must not be called.
  virtual void OnBodyDrained(int32_t /*stream*/) {}
  virtual void OnStreamClosed(int32_t stream, uint32_t code) = 0;
  virtual void OnGoaway() {}
  /// @return Whether a stream is open or a request waits.
  virtual bool IsBusy() const = 0;
  /// The last event; not sent after Close().
  virtual void OnSessionClosed(CloseReason reason,
                               const std::string& message) = 0;
};

/// Used by the thread of the event loop. Frames that are submitted are written
/// later in the loop, together.
class Session : public TransportHandler,
                public std::enable_shared_from_this<Session> {
 public:
  /// @param handler Must live until Close() or its OnSessionClosed().
  static std::shared_ptr<Session> NewServer(EventLoop& loop,
                                            SessionHandler& handler,
                                            const Http2Limits& limits);
  static std::shared_ptr<Session> NewClient(EventLoop& loop,
                                            SessionHandler& handler,
                                            const Http2Limits& limits);
  ~Session() override;

  Transport& transport() { return *this->socket; }  // NOLINT

  /// Begins HTTP/2 on the connected transport.
  void Start();

  /// Called in SubmitNext() only.
  /// @return The stream, or nothing when the session takes no more requests.
  std::optional<int32_t> SubmitRequest(const Headers& fields,
                                       std::string_view body);
  /// @return Streams that the peer lets this side have open.
  uint32_t PeerMaxStreams() const;
  /// Makes the loop ask for SubmitNext() and write frames.
  void ScheduleFlush();
  bool SubmitResponse(int32_t stream, const Headers& fields);
  void AppendBody(int32_t stream, std::string_view chunk);
  void EndBody(int32_t stream);
  size_t BufferedBytes(int32_t stream) const;
  void Reset(int32_t stream, Http2Error code);

  /// Gives the peer credit for `bytes` of the body that were used up.
  void Consume(int32_t stream, size_t bytes);

  /// Sends GOAWAY so that no request in flight is lost, and closes the
  /// connection after the last stream.
  void ShutdownGracefully();

  /// Stops reading, writing and pings, and leaves the socket open.
  void Freeze();

  /// Closes the connection without an event.
  void Close();

  std::optional<absl::Duration> last_round_trip() const {  // NOLINT
    return this->round_trip;
  }

  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnWritten() override;
  void OnTransportClosed(CloseReason reason,
                         const std::string& message) override;

 private:
  struct OutgoingBody {
    std::string bytes;
    size_t offset = 0;
    bool ended = false;
    bool deferred = false;
    bool above_limit = false;

    size_t Pending() const { return this->bytes.size() - this->offset; }
  };

  struct Callbacks;

  Session(EventLoop& loop, SessionHandler& handler, const Http2Limits& limits);
  static std::shared_ptr<Session> New(EventLoop& loop,
                                      SessionHandler& handler,
                                      const Http2Limits& limits,
                                      bool server);
  void CreateNghttp2(bool server);
  void SubmitSettings();
  void Flush();
  std::string NextBytes();
  void SendPing();
  void PingWhenDue();
  void CheckPing(uint64_t sequence);
  void OnPingAnswer(const nghttp2_ping& ping);
  void OnFrame(const nghttp2_frame& frame);
  void OnFrameSent(const nghttp2_frame& frame);
  ssize_t ReadBody(int32_t stream, uint8_t* out, size_t size, uint32_t* flags);
  void ResumeBody(int32_t stream, OutgoingBody& body);
  void Fail(CloseReason reason, const std::string& message);

  EventLoop& loop;
  SessionHandler& handler;
  const Http2Limits limits;
  std::shared_ptr<Transport> socket;
  nghttp2_session* session = nullptr;
  bool started = false;
  bool closed = false;
  bool flush_scheduled = false;
  bool request_unsent = false;  // Submitted, and not yet serialised.
  bool protocol_error = false;
  bool frozen = false;
  std::unordered_map<int32_t, OutgoingBody> bodies;
  std::unordered_map<int32_t, size_t> header_bytes;
  uint64_t last_ping = 0;
  absl::Time last_ping_sent = absl::InfinitePast();
  std::optional<uint64_t> goaway_ping;
  std::map<uint64_t, absl::Time> unanswered_pings;
  std::optional<absl::Duration> round_trip;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_HTTP2_INTERNAL_SESSION_H_
