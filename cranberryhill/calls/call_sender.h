#ifndef CRANBERRYHILL_CALLS_CALL_SENDER_H_
#define CRANBERRYHILL_CALLS_CALL_SENDER_H_

// Sends one call to one backend server, at most once.
//
//   sender.SendOnce(call, [&clock, deadline] { return clock.Now() < deadline;
//   },
//                   [](const SendOutcome& outcome) { ... });

#include <functional>
#include <string>

#include "cranberryhill/calls/call.h"

namespace cranberryhill {

enum class SendState {
  kNothingSent,  ///< No byte of the call was or will be written.
  kAnswered,     ///< The backend server's whole answer was read.
  kUnknown,      ///< A byte may have been written and there is no answer.
};

struct SendOutcome {
  SendState state = SendState::kUnknown;
  CallResult result;         ///< Set with kAnswered.
  bool was_stopped = false;  ///< kNothingSent because may_send said no.
  std::string detail;        ///< What happened, for the refusal's message.
};

/// Decides right before the first byte whether the call may still be sent.
/// Called on any thread; must be thread-safe.
using MaySend = std::function<bool()>;

using SendCallback = std::function<void(const SendOutcome&)>;

/// Used on the core thread.
class CallSender {
 public:
  virtual ~CallSender() = default;

  /// Opens a fresh connection, asks `may_send` and writes the call once.
  /// @param callback Runs on the core thread, exactly once, during or after
  /// the call.
  virtual void SendOnce(const ServiceCall& call,
                        MaySend may_send,
                        SendCallback callback) = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_SENDER_H_
