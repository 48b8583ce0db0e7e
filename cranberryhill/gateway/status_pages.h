#ifndef CRANBERRYHILL_GATEWAY_STATUS_PAGES_H_
#define CRANBERRYHILL_GATEWAY_STATUS_PAGES_H_

// Answers GET requests from functions: readiness, status and metrics.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "cranberryhill/http1/server.h"

namespace cranberryhill::gateway {

struct StatusPage {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

class StatusPages : public http1::RequestHandler {
 public:
  using Page = std::function<StatusPage()>;

  /// @param path Path without a query.
  void Add(std::string_view path, Page page) {
    this->pages[std::string(path)] = std::move(page);
  }

  std::shared_ptr<http1::ActiveRequest> OnRequest(
      http1::IncomingRequest request,
      std::shared_ptr<http1::Responder> responder) override;
  void OnMalformed(int, std::string_view) override {}

 private:
  absl::flat_hash_map<std::string, Page> pages;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_STATUS_PAGES_H_
