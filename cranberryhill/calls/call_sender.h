#ifndef CRANBERRYHILL_CALLS_CALL_SENDER_H_
#define CRANBERRYHILL_CALLS_CALL_SENDER_H_

// Interface that sends one call to a backend server at most once.
//
//   sender.SendOnce(
//       call, [&clock, deadline] { return clock.Now() < deadline; },
//       [](const SendOutcome& outcome) { ... });

#include <functional>
#include <string>

#include "cranberryhill/calls/call.h"

namespace cranberryhill {

enum class SendState {
  kNothingSent,  ///< No byte of the call has been or will be written.
  kAnswered,     ///< The backend server's complete response was read.
  kUnknown,      ///< Bytes may have been written, and there is no response.
};

struct SendOutcome {
  SendState state = SendState::kUnknown;
  CallResult result;  ///< Set with kAnswered.
  /// The state is kNothingSent because the deadline passed or MaySend returned
  /// false.
  bool send_not_allowed = false;
  std::string detail;  ///< Describes the failure, for the refusal's message.
};

/// Called immediately before the first byte is written. Returns whether the
/// call may still be sent. It is called on any thread and must be thread-safe.
using MaySend = std::function<bool()>;

using SendCallback = std::function<void(const SendOutcome&)>;

/// Used on the core thread only.
class CallSender {
 public:
  virtual ~CallSender() = default;

  /// Opens a new connection and writes the call once if `may_send` returns
  /// true.
  /// @param callback Runs on the core thread exactly once, during SendOnce() or
  /// later.
  virtual void SendOnce(const ServiceCall& call,
                        MaySend may_send,
                        SendCallback callback) = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_SENDER_H_
