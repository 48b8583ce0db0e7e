#include "cranberryhill/gateway/settings.h"

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill::gateway {
namespace {

/// Maximum duration in seconds; larger values are assumed to be in the wrong
/// unit.
constexpr double kMaxSeconds = 3600;

Result<Endpoint> ReadAddress(ObjectReader& reader,
                             std::string_view name,
                             const std::optional<std::string>& fallback = {}) {
  BOOST_LEAF_AUTO(text, reader.String(name, fallback));
  if (text.empty() && fallback)
    return Endpoint{};
  return ParseEndpoint(text, reader.PathOf(name));
}

Result<absl::Duration> ReadSeconds(ObjectReader& reader,
                                   std::string_view name,
                                   absl::Duration fallback) {
  BOOST_LEAF_AUTO(seconds, reader.Double(name, {0.001, kMaxSeconds},
                                         absl::ToDoubleSeconds(fallback)));
  return absl::Seconds(seconds);
}

}  // namespace

Result<GatewaySettings> ParseGatewaySettings(std::string_view text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "settings"));
  ObjectReader reader(json, "settings");
  GatewaySettings settings;
  BOOST_LEAF_ASSIGN(settings.instance_id, reader.String("instance_id"));
  BOOST_LEAF_ASSIGN(settings.availability_zone,
                    reader.String("availability_zone"));
  BOOST_LEAF_ASSIGN(settings.callers_address,
                    ReadAddress(reader, "callers_address"));
  BOOST_LEAF_ASSIGN(settings.readiness_address,
                    ReadAddress(reader, "readiness_address"));
  BOOST_LEAF_ASSIGN(settings.control_address,
                    ReadAddress(reader, "control_address", ""));
  BOOST_LEAF_ASSIGN(settings.metrics_address,
                    ReadAddress(reader, "metrics_address", ""));
  BOOST_LEAF_ASSIGN(settings.peer_address,
                    ReadAddress(reader, "peer_address", ""));
  BOOST_LEAF_ASSIGN(settings.store_address,
                    ReadAddress(reader, "store_address"));
  BOOST_LEAF_ASSIGN(settings.duty_address,
                    ReadAddress(reader, "duty_address", ""));
  if (json.contains("usage_window_s")) {
    BOOST_LEAF_ASSIGN(settings.usage_window,
                      ReadSeconds(reader, "usage_window_s", absl::Seconds(5)));
  }
  BOOST_LEAF_ASSIGN(settings.usage_late,
                    ReadSeconds(reader, "usage_late_s", settings.usage_late));
  BOOST_LEAF_ASSIGN(settings.shutdown_time,
                    ReadSeconds(reader, "shutdown_s", settings.shutdown_time));
  BOOST_LEAF_AUTO(
      lease_ms,
      reader.Int("lease_ms", {1, 3'600'000},
                 absl::ToInt64Milliseconds(settings.order_handover_gap)));
  settings.order_handover_gap = absl::Milliseconds(lease_ms);
  BOOST_LEAF_AUTO(drain_ms,
                  reader.Int("drain_ms", {0, 3'600'000},
                             absl::ToInt64Milliseconds(settings.drain_time)));
  settings.drain_time = absl::Milliseconds(drain_ms);
  BOOST_LEAF_ASSIGN(
      settings.retry_bounds.ratio,
      reader.Double("retry_ratio", {0, 1}, settings.retry_bounds.ratio));
  BOOST_LEAF_ASSIGN(
      settings.retry_bounds.window,
      ReadSeconds(reader, "retry_window_s", settings.retry_bounds.window));
  BOOST_LEAF_ASSIGN(settings.retry_slack,
                    reader.Double("retry_slack", {0, 1e6}, 0));
  BOOST_LEAF_AUTO(revokes, reader.Bool("revoke_when_partitioned", false));
  BOOST_LEAF_AUTO(revoke_ms, reader.Int("revoke_ms", {1, 3'600'000}, 5000));
  if (revokes)
    settings.revocation_limit = absl::Milliseconds(revoke_ms);
  BOOST_LEAF_AUTO(lines, reader.Int("log_lines_per_s", {1, 1'000'000},
                                    settings.log_lines_per_s));
  settings.log_lines_per_s = static_cast<int>(lines);
  BOOST_LEAF_AUTO(memory_mb,
                  reader.Int("memory_mb", {16, 1'000'000}, settings.memory_mb));
  settings.memory_mb = static_cast<int>(memory_mb);
  BOOST_LEAF_CHECK(reader.RefuseUnknownFields());
  return settings;
}

}  // namespace cranberryhill::gateway
