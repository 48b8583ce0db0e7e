#ifndef STANDINS_GATEWAY_PLATFORM_FAKE_PLATFORM_API_H_
#define STANDINS_GATEWAY_PLATFORM_FAKE_PLATFORM_API_H_

// The API of the users' platform, as far as the gateway calls it: reports of
// usage and orders of replicas. Its owner chooses the answers.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/http1/server.h"
#include "cranberryhill/usage/usage_window.h"

namespace cranberryhill::platform {

/// Not thread-safe.
class FakePlatformApi : public http1::RequestHandler {
 public:
  struct Call {
    http1::IncomingRequest request;
    /// Of the answer; nothing for a call that gets none.
    std::optional<int> status;
  };

  struct UsageReport {
    int64_t window = 0;
    usage::CustomerCounts counts;
    std::string holder;
    std::string fencing_number;
    std::optional<int> status;
  };

  /// Answers the calls from now on with `status`.
  void AnswerWith(int status) { this->status = status; }

  /// Answers the calls from now on with nothing, on connections that stay open.
  void AnswerNothing() { this->status = std::nullopt; }

  const std::vector<Call>& calls() const {  // NOLINT
    return this->received;
  }

  /// @return The calls that report usage, as they came.
  std::vector<UsageReport> UsageReports() const;

  std::shared_ptr<http1::ActiveRequest> OnRequest(
      http1::IncomingRequest request,
      std::shared_ptr<http1::Responder> responder) override;
  void OnMalformed(int, std::string_view) override {}

 private:
  std::optional<int> status = 200;
  std::vector<Call> received;
  std::vector<std::shared_ptr<http1::Responder>> unanswered;
};

}  // namespace cranberryhill::platform

#endif  // STANDINS_GATEWAY_PLATFORM_FAKE_PLATFORM_API_H_
