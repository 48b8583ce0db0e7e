#ifndef STANDINS_GATEWAY_PLATFORM_FAKE_REPLICA_H_
#define STANDINS_GATEWAY_PLATFORM_FAKE_REPLICA_H_

// A replica of the users' platform whose answers its owner scripts.

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/http1/server.h"

namespace cranberryhill::platform {

/// A replica that does what a test says.
class FakeReplica : public http1::RequestHandler {
 public:
  using Work = std::function<void(const http1::IncomingRequest&,
                                  std::shared_ptr<http1::Responder>)>;

  std::shared_ptr<http1::ActiveRequest> OnRequest(
      http1::IncomingRequest request,
      std::shared_ptr<http1::Responder> responder) override;
  void OnMalformed(int, std::string_view) override {}

  /// Ends all connections and refuses new ones, as the end of the process does.
  void Crash();

  Work work;
  std::vector<http1::IncomingRequest> requests;
  int callers_left = 0;
  std::unique_ptr<http1::Server> server;
};

/// @return The head of a replica's answer to the request with this id.
http1::AnswerHead SignedHead(std::string_view id,
                             int status,
                             std::string_view signature = "seal");

/// Answers as a replica does: signed, with the echo of the request's id.
void AnswerSigned(const http1::IncomingRequest& request,
                  http1::Responder& responder,
                  int status,
                  std::string_view body);

/// Says that the request was not run.
void AnswerNotRun(const http1::IncomingRequest& request,
                  http1::Responder& responder);

/// Starts a signed event stream.
void BeginEvents(const http1::IncomingRequest& request,
                 http1::Responder& responder);

/// @return The bytes of an event with this id.
std::string Event(int id);

}  // namespace cranberryhill::platform

#endif  // STANDINS_GATEWAY_PLATFORM_FAKE_REPLICA_H_
