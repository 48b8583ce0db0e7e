#include "cranberryhill/peers/permit_message.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace cranberryhill::gateway {
namespace {

/// First byte of every message: a MessagePack string of four characters. A load
/// message begins with an array.
constexpr std::string_view kMagic = "\xa4pmit";
/// Incremented when the format changes.
constexpr int kFormatVersion = 1;
constexpr int kKinds = 3;
/// Stands for the absence of a limit.
constexpr double kNoLimit = -1;

}  // namespace

std::string EncodePermitMessage(const PermitMessage& message) {
  using nlohmann::json;
  json limit = json::array();
  if (message.limit) {
    limit = {message.limit->requests_per_s.value_or(kNoLimit),
             absl::ToInt64Milliseconds(message.limit->age)};
  }
  std::string body;
  json::to_msgpack(
      json::array({kFormatVersion, static_cast<int>(message.kind),
                   message.sender, message.id, message.replica, message.granted,
                   absl::ToInt64Milliseconds(message.closed_for),
                   std::move(limit)}),
      body);
  return std::string(kMagic) + body;
}

bool IsPermitMessage(std::string_view bytes) {
  return bytes.starts_with(kMagic);
}

Result<PermitMessage> DecodePermitMessage(std::string_view bytes) {
  using nlohmann::json;
  auto invalid = [](std::string_view rule) {
    return MakeError(ErrorCode::kInvalidArgument, "permit message", "",
                     std::string(rule));
  };
  if (!IsPermitMessage(bytes))
    return invalid("does not begin like a permit message");
  bytes.remove_prefix(kMagic.size());
  json fields = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  // The checked accessors throw when a field has the wrong type.
  try {
    if (fields.at(0).get<int>() != kFormatVersion)
      return invalid("has an unsupported format version");
    int kind = fields.at(1).get<int>();
    if (kind < 0 || kind >= kKinds)
      return invalid("has an unknown kind");
    PermitMessage message;
    message.kind = static_cast<PermitMessage::Kind>(kind);
    message.sender = fields.at(2).get<std::string>();
    message.id = fields.at(3).get<uint64_t>();
    message.replica = fields.at(4).get<std::string>();
    message.granted = fields.at(5).get<bool>();
    message.closed_for = absl::Milliseconds(fields.at(6).get<int64_t>());
    const json& limit = fields.at(7);
    if (!limit.empty()) {
      auto rate = limit.at(0).get<double>();
      auto age_ms = limit.at(1).get<int64_t>();
      if (!std::isfinite(rate) || age_ms < 0)
        return invalid("has a limit that is out of range");
      message.limit = forward::ReplicaLimitReport{
          message.replica, rate < 0 ? std::nullopt : std::optional(rate),
          absl::Milliseconds(age_ms)};
    }
    return message;
  } catch (const json::exception& error) {
    return invalid(error.what());
  }
}

}  // namespace cranberryhill::gateway
