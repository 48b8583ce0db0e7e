// ParseSettings: every field is within its stated bounds, and settings written
// out again parse to the same settings.

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"
#include "cranberryhill/daemon/settings.h"
#include "cranberryhill/environment/environment_document.h"
#include "fuzz/check.h"

namespace cranberryhill {
namespace {

void CheckEndpoint(const Endpoint& endpoint) {
  Check(endpoint.port != 0, "a port is not 0");
  Check(endpoint.ip.find_first_not_of("0123456789abcdefABCDEF.:") ==
            std::string::npos,
        "an IP address has no other characters");
}

void CheckIsName(const std::string& name) {
  Check(Capture([&]() -> Result<bool> {
          BOOST_LEAF_CHECK(CheckName(name, "name"));
          return true;
        }).ok(),
        "a name keeps the rule of names");
}

bool Within(absl::Duration value, int64_t low_ms, int64_t high_ms) {
  return value >= absl::Milliseconds(low_ms) &&
         value <= absl::Milliseconds(high_ms);
}

void CheckBounds(const Settings& settings) {
  CheckIsName(settings.instance_id);
  CheckIsName(settings.availability_zone);
  CheckIsName(settings.environment);
  CheckEndpoint(settings.http1_address);
  CheckEndpoint(settings.http2_address);
  CheckEndpoint(settings.peer_address);
  CheckEndpoint(settings.platform_address);
  for (const PeerSetting& peer : settings.peers) {
    CheckIsName(peer.id);
    CheckIsName(peer.availability_zone);
    CheckEndpoint(peer.address);
  }
  Check(settings.max_requests >= 1 && settings.max_requests <= 100000,
        "max_requests is within its range");
  Check(Within(settings.first_token_target, 1, 600000) &&
            Within(settings.default_time_limit, 1, 3600000) &&
            Within(settings.shutdown_limit, 0, 3600000) &&
            Within(settings.leaving_notice, 0, 600000),
        "durations are within their ranges");
}

std::string Format(const Settings& settings) {
  Json peers = Json::array();
  for (const PeerSetting& peer : settings.peers) {
    peers.push_back({{"id", peer.id},
                     {"availability_zone", peer.availability_zone},
                     {"address", EndpointText(peer.address)}});
  }
  auto ms = absl::ToInt64Milliseconds;
  return Json{{"instance_id", settings.instance_id},
              {"availability_zone", settings.availability_zone},
              {"environment", settings.environment},
              {"http1_address", EndpointText(settings.http1_address)},
              {"http2_address", EndpointText(settings.http2_address)},
              {"peer_address", EndpointText(settings.peer_address)},
              {"platform_address", EndpointText(settings.platform_address)},
              {"peers", std::move(peers)},
              {"max_requests", settings.max_requests},
              {"first_token_target_ms", ms(settings.first_token_target)},
              {"default_time_limit_ms", ms(settings.default_time_limit)},
              {"shutdown_limit_ms", ms(settings.shutdown_limit)},
              {"leaving_notice_ms", ms(settings.leaving_notice)}}
      .dump();
}

}  // namespace
}  // namespace cranberryhill

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace cranberryhill;  // NOLINT
  auto parse = [](std::string_view text) {
    auto settings = Capture([&] { return ParseSettings(text); });
    if (settings.ok())
      CheckBounds(settings.value());
    return settings;
  };
  CheckRoundTrip(TextOf(data, size), parse, Format);
  return 0;
}
