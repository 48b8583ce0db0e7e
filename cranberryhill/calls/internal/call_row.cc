#include "cranberryhill/calls/internal/call_row.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "cranberryhill/base/hash.h"
#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

struct StateName {
  CallRowState state;
  std::string_view name;
};

constexpr StateName kStateNames[] = {{CallRowState::kClaimed, "claimed"},
                                     {CallRowState::kReleased, "released"},
                                     {CallRowState::kDone, "done"},
                                     {CallRowState::kUnknown, "unknown"}};

std::string_view StateToName(CallRowState state) {
  for (const StateName& entry : kStateNames) {
    if (entry.state == state)
      return entry.name;
  }
  return "";
}

Result<CallRowState> NameToState(std::string_view name) {
  for (const StateName& entry : kStateNames) {
    if (entry.name == name)
      return entry.state;
  }
  return MakeError(ErrorCode::kInvalidArgument, "call row.state", name,
                   "must be claimed, released, done or unknown");
}

// Bodies are stored as base64, because JSON text cannot hold arbitrary bytes.
Result<void> DecodeResult(const Json& json, CallRow& row) {
  ObjectReader reader(json, "call row.result");
  BOOST_LEAF_AUTO(status, reader.Int("status", {100, 999}));
  row.result.status = static_cast<int>(status);
  BOOST_LEAF_ASSIGN(row.result.content_type, reader.String("content_type"));
  BOOST_LEAF_ASSIGN(row.object, reader.String("object", ""));
  BOOST_LEAF_AUTO(body, reader.String("body_base64", ""));
  if (!absl::Base64Unescape(body, &row.result.body)) {
    return MakeError(ErrorCode::kInvalidArgument, "call row.result.body_base64",
                     "", "must be base64");
  }
  return {};
}

}  // namespace

std::string CallRowPrefix(std::string_view environment,
                          std::string_view customer) {
  return customer.empty() ? fmt::format("call/{}/", environment)
                          : fmt::format("call/{}/{}/", environment, customer);
}

std::string CallRowKey(std::string_view environment,
                       std::string_view customer,
                       std::string_view idempotency_key) {
  return CallRowPrefix(environment, customer) + StableDigest(idempotency_key);
}

std::string CallDigest(const ServiceCall& call) {
  return StableDigest(fmt::format("{}\n{}\n{}\n{}\n{}", call.service,
                                  call.method, call.path, call.content_type,
                                  call.body));
}

std::string EncodeCallRow(const CallRow& row) {
  Json json = {{"state", StateToName(row.state)},
               {"token", row.token},
               {"owner", row.owner},
               {"digest", row.digest},
               {"time_left_ms", absl::ToInt64Milliseconds(row.time_left)},
               {"written_ms", absl::ToUnixMillis(row.written_at)}};
  if (row.state == CallRowState::kDone) {
    Json result = {{"status", row.result.status},
                   {"content_type", row.result.content_type}};
    if (row.object.empty()) {
      result["body_base64"] = absl::Base64Escape(row.result.body);
    } else {
      result["object"] = row.object;
    }
    json["result"] = std::move(result);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<CallRow> DecodeCallRow(std::string_view text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "call row"));
  ObjectReader reader(json, "call row");
  CallRow row;
  BOOST_LEAF_AUTO(state, reader.String("state"));
  BOOST_LEAF_ASSIGN(row.state, NameToState(state));
  BOOST_LEAF_ASSIGN(row.token, reader.String("token"));
  BOOST_LEAF_ASSIGN(row.owner, reader.String("owner"));
  BOOST_LEAF_ASSIGN(row.digest, reader.String("digest"));
  BOOST_LEAF_AUTO(time_left, reader.Int("time_left_ms", {}));
  row.time_left = absl::Milliseconds(time_left);
  BOOST_LEAF_AUTO(written, reader.Int("written_ms", {}));
  row.written_at = absl::FromUnixMillis(written);
  BOOST_LEAF_AUTO(result,
                  reader.Object("result", row.state == CallRowState::kDone));
  if (result != nullptr)
    BOOST_LEAF_CHECK(DecodeResult(*result, row));
  return row;
}

}  // namespace cranberryhill
