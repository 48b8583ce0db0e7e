#ifndef CRANBERRYHILL_HTTP1_CLIENT_H_
#define CRANBERRYHILL_HTTP1_CLIENT_H_

// One HTTP/1.1 connection to a server, which carries one request at a time and
// hands the answer on as it arrives.
//
// A request that is given up must not arrive later. After an orderly close the
// system goes on sending what the server has not received, for as long as the
// network keeps them apart, so a connection is closed in order only when its
// request has been answered, and reset otherwise.
//
//   auto link = ClientConnection::Create(io, endpoint);
//   link->Send(std::move(bytes), options, handler);

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/http1/answer_reader.h"

namespace cranberryhill::http1 {

/// How an exchange over a connection ended.
enum class AnswerEnd {
  kComplete,      ///< The whole answer was received.
  kNotConnected,  ///< No connection; no byte of the request was sent.
  kBroken,        ///< The connection failed or the answer is malformed.
};

/// How an answer relates to the request that is in progress on its connection.
enum class AnswerMatch {
  kOwn,           ///< Answers this request.
  kUnidentified,  ///< Taken for the answer to this request, although it does
                  ///< not name it. The connection is closed after it, because
                  ///< a late copy could be taken for the next answer.
  kForeign,       ///< Answers another request. It is dropped and the next
                  ///< answer is read.
};

/// Receives one answer. After OnEnd() nothing more is called.
class AnswerHandler : public AnswerSink {
 public:
  virtual AnswerMatch Match(const AnswerHead& head) = 0;

  /// @param reason For logs; empty for kComplete.
  virtual void OnEnd(AnswerEnd end, std::string_view reason) = 0;
};

struct SendOptions {
  absl::Duration connect_timeout = absl::Milliseconds(500);
  bool head_request = false;
};

/// Belongs to the thread of its io_context.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  static std::shared_ptr<ClientConnection> Create(
      boost::asio::io_context& io,
      boost::asio::ip::tcp::endpoint endpoint);

  /// Gives up the request in progress as Cancel() does.
  ~ClientConnection();

  /// Sends a request, after connecting if needed. Requires that no request is
  /// in progress.
  /// @param request Head and body.
  /// @param handler Must live until OnEnd() or Cancel().
  void Send(std::string request, SendOptions options, AnswerHandler& handler);

  /// Gives up the request in progress, if any, and closes the connection. What
  /// the server has not received of the request is discarded. The handler is
  /// not called again.
  void Cancel();

  /// Stops reading the answer until Resume(), so that a server that sends
  /// faster than the answer can be passed on is held back by the network.
  void Pause() { this->paused = true; }
  void Resume();

  /// @return True when the connection is open, idle and clean.
  bool Reusable() const;

  /// Records that the owner has asked which process is at the other end. A
  /// connection never changes from one process to another.
  void SetPeerVerified() { this->peer_verified = true; }
  bool IsPeerVerified() const { return this->peer_verified; }

  /// @return How long the server keeps the connection open without requests,
  ///     by its last answer.
  absl::Duration idle_limit() const { return this->idle_time; }  // NOLINT

 private:
  enum class State { kNew, kConnecting, kBusy, kIdle, kClosed };
  class Sink;

  ClientConnection(boost::asio::io_context& io,
                   boost::asio::ip::tcp::endpoint endpoint);

  void Connect(absl::Duration timeout);
  void WriteRequest();
  void Read();
  void OnReadable();
  void OnBytes(std::string_view data);
  void OnReadFailed(const boost::system::error_code& error);
  void OnEndOfAnswer();
  void NewReader();
  void OnAnswerDone();
  void Finish(AnswerEnd end, std::string_view reason);
  void CloseSocket();

  boost::asio::io_context& io;
  const boost::asio::ip::tcp::endpoint endpoint;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer connect_timer;
  State state = State::kNew;
  SendOptions options;
  std::string request;
  std::string incoming;
  AnswerHandler* handler = nullptr;
  std::unique_ptr<Sink> sink;
  std::unique_ptr<AnswerReader> reader;
  absl::Duration idle_time;
  int foreign_answers = 0;
  bool reading = false;
  bool paused = false;
  bool written = false;
  bool write_failed = false;
  bool ended_by_server = false;  // Its end of the connection was read.
  bool clean = true;
  bool peer_verified = false;
};

}  // namespace cranberryhill::http1

#endif  // CRANBERRYHILL_HTTP1_CLIENT_H_
