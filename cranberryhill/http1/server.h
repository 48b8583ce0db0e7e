#ifndef CRANBERRYHILL_HTTP1_SERVER_H_
#define CRANBERRYHILL_HTTP1_SERVER_H_

// An HTTP/1.1 server that reads whole requests and can stream answers.
//
//   Server server(io, clock, handler, ServerLimits{});
//   server.Listen("10.1.0.38", 8080);
//
// The handler gets one request of a connection at a time and answers through
// the Responder, at once or later.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "absl/time/time.h"
#include "cranberryhill/base/byte_account.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/http1/message.h"
#include "cranberryhill/http1/request_reader.h"

namespace cranberryhill::http1 {

struct ServerLimits {
  RequestLimits request;
  /// Longest time from the first byte of a request to its last.
  absl::Duration request_time = absl::Seconds(3);
  /// Longest time a connection may wait for its next request.
  absl::Duration idle_time = absl::Seconds(15);
};

struct IncomingRequest {
  RequestHead head;
  std::string body;
  absl::Time arrived;  ///< When its first byte was read.
  /// The bytes of the body, given back when nothing refers to them; null if
  /// they are not counted.
  std::shared_ptr<ByteAccount::Reservation> body_bytes = {};
};

/// Answers one request. Calls after the caller has left have no effect.
class Responder {
 public:
  virtual ~Responder() = default;

  /// Sends a whole answer. `head` must hold no framing fields.
  virtual void SendWhole(AnswerHead head, std::string_view body) = 0;

  /// Keeps a reservation until all that was passed to this object is sent or
  /// the connection has ended.
  virtual void HoldUntilSent(ByteAccount::Reservation) {}

  /// Starts an answer whose body follows in parts.
  virtual void BeginStream(AnswerHead head) = 0;

  /// Sends body bytes of a stream.
  virtual void SendPart(std::string_view data) = 0;

  /// @return True if the caller reads more slowly than the parts are sent.
  ///     ActiveRequest::OnCallerCaughtUp() tells when it has caught up.
  virtual bool IsBacklogged() const { return false; }

  /// Ends the stream as complete.
  virtual void EndStream() = 0;

  /// Ends the connection so that the answer does not look complete.
  virtual void Abort() = 0;
};

/// A request that is being worked on.
class ActiveRequest {
 public:
  virtual ~ActiveRequest() = default;

  /// The caller closed its connection before the answer was complete.
  virtual void OnCallerLeft() = 0;

  /// The caller has read what made its stream backlogged.
  virtual void OnCallerCaughtUp() {}

  /// The process ends soon. The request is to be answered, or its stream
  /// aborted, during this call.
  virtual void OnShutdownEnds() {}
};

class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  /// @param responder Valid for as long as it is kept.
  /// @return Told when the caller leaves; null if the answer is sent already.
  virtual std::shared_ptr<ActiveRequest> OnRequest(
      IncomingRequest request,
      std::shared_ptr<Responder> responder) = 0;

  /// A request was refused because it cannot be parsed or is over a limit.
  virtual void OnMalformed(int status, std::string_view reason) = 0;

  /// There is no room for the body of a request, which is not read further.
  /// @return The answer to the request, which has not run.
  virtual AnswerHead OnNoRoomForBody() { return {503, "", {}}; }
};

/// Runs on the thread of `io`.
class Server {
 public:
  /// @param io, clock, handler Must outlive this object.
  /// @param body_account Bounds the bodies of all requests together, with the
  ///     address of the caller as the owner; null if only each one is bounded.
  Server(boost::asio::io_context& io,
         const Clock& clock,
         RequestHandler& handler,
         ServerLimits limits,
         ByteAccount* body_account = nullptr);
  ~Server();

  /// @return kUnavailable when the address cannot be bound.
  Result<void> Listen(const std::string& ip, uint16_t port);

  /// @return The bound port.
  uint16_t port() const;  // NOLINT

  /// Applies to requests that start afterwards. Connections that are idle keep
  /// their idle time if the new one is shorter.
  void SetLimits(ServerLimits limits) { this->limits = limits; }

  /// Answers from now on say "Connection: close".
  void CloseAfterAnswers() { this->closing = true; }

  /// Closes the connections that wait for a request, and from now on each other
  /// one when its answer is complete, also if that answer has not announced it.
  void CloseWhenIdle();

  /// Ends the requests in progress: tells the active ones, and answers those
  /// that have not arrived in full.
  /// @param refusal The answer to the latter.
  /// @return Number of the latter.
  size_t EndRequests(const AnswerHead& refusal);

  /// Stops accepting connections.
  void StopAccepting();

  /// Closes all connections at once.
  void CloseAll();

  /// @return Requests that have not been answered in full.
  size_t ActiveRequests() const;

  size_t OpenConnections() const { return this->connections.size(); }

 private:
  class Connection;

  void Accept();
  void AcceptLater();
  void ScheduleSweep();
  void Sweep();

  boost::asio::io_context& io;
  const Clock& clock;
  RequestHandler& handler;
  ServerLimits limits;
  ByteAccount* const body_account;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer sweep_timer;
  boost::asio::steady_timer accept_timer;
  std::unordered_set<std::shared_ptr<Connection>> connections;
  // Shared by all connections, so that an idle one holds no memory for its
  // next request.
  std::array<char, 16384> read_buffer{};
  bool closing = false;
  bool closes_when_idle = false;
};

}  // namespace cranberryhill::http1

#endif  // CRANBERRYHILL_HTTP1_SERVER_H_
