#ifndef CRANBERRYHILL_DAEMON_CALLER_FRONT_H_
#define CRANBERRYHILL_DAEMON_CALLER_FRONT_H_

// Handles the requests of callers, whichever port they came in by: checks
// them, passes them to chats or services, and writes the answers.
//
//   CallerFront front(chats, services, metrics, wall_clock);
//   std::function<void()> cancel = front.Handle(input, sink);

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/caller/caller_request.h"
#include "cranberryhill/caller/refusal.h"
#include "cranberryhill/daemon/chat_service.h"
#include "cranberryhill/daemon/metrics.h"
#include "cranberryhill/daemon/service_gateway.h"
#include "cranberryhill/environment/config_follower.h"

namespace cranberryhill {

struct CallerHeaderField {
  std::string name;
  std::string value;
};

/// A caller's request as received.
struct CallerInput {
  std::string method;
  std::string path;
  std::vector<CallerHeaderField> headers;
  std::string body;
  bool can_stream = false;  ///< The port can send the answer in pieces.
};

/// An answer that is sent at once.
struct WholeResponse {
  int status = 200;
  std::string content_type;
  std::string retry_after;  ///< Value of Retry-After; empty: left out.
  std::string body;
};

/// Where the answer goes. Either SendWhole(), or BeginStream() and what
/// follows it. Core thread only.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void SendWhole(const WholeResponse& response) = 0;
  virtual void BeginStream(std::string_view content_type) = 0;

  /// @return Bytes that wait for the caller to read them.
  virtual size_t SendChunk(std::string_view chunk) = 0;
  virtual void EndStream() = 0;
};

/// Core thread only.
class CallerFront {
 public:
  /// References must outlive this object.
  CallerFront(ChatService& chats,
              ServiceGateway& services,
              Metrics& metrics,
              const Clock& wall_clock);

  void SetDocument(std::shared_ptr<const VersionInForce> version);

  /// @return A function to call when the caller has gone; may be called at any
  ///     time, also after the end.
  std::function<void()> Handle(const CallerInput& input,
                               std::shared_ptr<ResponseSink> sink);

 private:
  std::function<void()> HandleChat(CallerApi api,
                                   const CallerHeaders& headers,
                                   const CallerInput& input,
                                   std::shared_ptr<ResponseSink> sink);
  std::function<void()> HandleService(
      const CallerHeaders& headers,
      const CallerInput& input,
      const std::shared_ptr<ResponseSink>& sink);
  void Refuse(ResponseSink& sink, const Refusal& refusal);
  CompletionLimits Limits() const;

  ChatService& chats;
  ServiceGateway& services;
  Metrics& metrics;
  const Clock& wall_clock;
  std::shared_ptr<const VersionInForce> document;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_CALLER_FRONT_H_
