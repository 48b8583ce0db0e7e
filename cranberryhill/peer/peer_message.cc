#include "cranberryhill/peer/peer_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

constexpr size_t kMaxNameBytes = 64;
// Rates travel as whole numbers of tenths; an entry has to stay small.
constexpr double kRateScale = 10.0;
constexpr uint64_t kMaxRate = 0xFFFFFF;

// Positions of the top-level array.
enum Field : size_t {
  kVersion,
  kEnvironment,
  kSender,
  kZone,
  kIncarnation,
  kSequence,
  kGeneration,
  kDigest,
  kPlanVersion,
  kPlanAge,
  kLeaving,
  kFingerprints,
  kObservations,
  kUsage,
  kFieldCount,
};

uint64_t ScaleRate(float rate) {
  // Rounded, because 0.7F is a little less than 7 tenths.
  double tenths = std::max(0.0, rate * kRateScale);
  return static_cast<uint64_t>(
      std::llround(std::min(tenths, static_cast<double>(kMaxRate))));
}

std::string Pack(const PeerMessage& message,
                 size_t fingerprints,
                 size_t observations,
                 size_t usage) {
  Json flat_fingerprints = Json::array();
  for (size_t i = 0; i < fingerprints; ++i) {
    flat_fingerprints.push_back(message.fingerprints[i].fingerprint);
    flat_fingerprints.push_back(message.fingerprints[i].crashes);
  }
  Json flat_observations = Json::array();
  for (size_t i = 0; i < observations; ++i) {
    flat_observations.push_back(message.observations[i].member);
    flat_observations.push_back(message.observations[i].state);
    flat_observations.push_back(message.observations[i].age_ds);
  }
  Json flat_usage = Json::array();
  for (size_t i = 0; i < usage; ++i) {
    flat_usage.push_back(message.usage[i].key);
    flat_usage.push_back(ScaleRate(message.usage[i].requests_per_s));
    flat_usage.push_back(ScaleRate(message.usage[i].tokens_per_s));
  }
  int64_t age_ms = message.plan_age > absl::Hours(1)
                       ? absl::ToInt64Milliseconds(absl::Hours(1))
                       : absl::ToInt64Milliseconds(message.plan_age);
  Json packed = Json::array(
      {kPeerMessageVersion, message.environment, message.sender,
       message.availability_zone, message.incarnation, message.sequence,
       message.generation, message.digest, message.plan_version, age_ms,
       message.leaving, std::move(flat_fingerprints),
       std::move(flat_observations), std::move(flat_usage)});
  std::string bytes;
  Json::to_msgpack(packed, bytes);
  return bytes;
}

Result<uint64_t> Number(const Json& json,
                        std::string_view field,
                        uint64_t high = UINT64_MAX) {
  if (!json.is_number_unsigned() || json.get<uint64_t>() > high) {
    return MakeError(ErrorCode::kInvalidArgument, field, "",
                     "must be an unsigned number within its range");
  }
  return json.get<uint64_t>();
}

Result<std::string> Name(const Json& json, std::string_view field) {
  if (!json.is_string() || json.get_ref<const std::string&>().empty() ||
      json.get_ref<const std::string&>().size() > kMaxNameBytes) {
    return MakeError(ErrorCode::kInvalidArgument, field, "",
                     "must be a string of 1 to 64 bytes");
  }
  return json.get<std::string>();
}

// Checks a flat array of entries with `width` numbers each.
Result<size_t> EntryCount(const Json& json,
                          std::string_view field,
                          size_t width) {
  if (!json.is_array() || json.size() % width != 0 ||
      json.size() / width > kMaxPeerEntries) {
    return MakeError(ErrorCode::kInvalidArgument, field, "",
                     "must be an array of at most 12 whole entries");
  }
  return json.size() / width;
}

Result<void> ReadFingerprints(const Json& json, PeerMessage& message) {
  BOOST_LEAF_AUTO(count, EntryCount(json, "fingerprints", 2));
  for (size_t i = 0; i < count; ++i) {
    PeerFingerprint entry;
    BOOST_LEAF_ASSIGN(entry.fingerprint,
                      Number(json[2 * i], "fingerprints[].fingerprint"));
    BOOST_LEAF_AUTO(crashes,
                    Number(json[2 * i + 1], "fingerprints[].crashes", 2));
    entry.crashes = static_cast<uint8_t>(crashes);
    message.fingerprints.push_back(entry);
  }
  return {};
}

Result<void> ReadObservations(const Json& json, PeerMessage& message) {
  BOOST_LEAF_AUTO(count, EntryCount(json, "observations", 3));
  for (size_t i = 0; i < count; ++i) {
    PeerObservation entry;
    BOOST_LEAF_ASSIGN(entry.member,
                      Number(json[3 * i], "observations[].member"));
    BOOST_LEAF_AUTO(state, Number(json[3 * i + 1], "observations[].state", 3));
    BOOST_LEAF_AUTO(age, Number(json[3 * i + 2], "observations[].age_ds", 255));
    entry.state = static_cast<uint8_t>(state);
    entry.age_ds = static_cast<uint8_t>(age);
    message.observations.push_back(entry);
  }
  return {};
}

Result<void> ReadUsage(const Json& json, PeerMessage& message) {
  BOOST_LEAF_AUTO(count, EntryCount(json, "usage", 3));
  for (size_t i = 0; i < count; ++i) {
    BOOST_LEAF_AUTO(key, Number(json[3 * i], "usage[].key", UINT32_MAX));
    BOOST_LEAF_AUTO(requests,
                    Number(json[3 * i + 1], "usage[].requests", kMaxRate));
    BOOST_LEAF_AUTO(tokens,
                    Number(json[3 * i + 2], "usage[].tokens", kMaxRate));
    message.usage.push_back(
        {static_cast<uint32_t>(key),
         static_cast<float>(static_cast<double>(requests) / kRateScale),
         static_cast<float>(static_cast<double>(tokens) / kRateScale)});
  }
  return {};
}

Result<void> ReadNumbers(const Json& json, PeerMessage& message) {
  BOOST_LEAF_ASSIGN(message.incarnation,
                    Number(json[kIncarnation], "incarnation"));
  BOOST_LEAF_ASSIGN(message.sequence, Number(json[kSequence], "sequence"));
  BOOST_LEAF_ASSIGN(message.generation,
                    Number(json[kGeneration], "generation"));
  BOOST_LEAF_ASSIGN(message.plan_version,
                    Number(json[kPlanVersion], "plan_version"));
  BOOST_LEAF_AUTO(
      age_ms,
      Number(json[kPlanAge], "plan_age",
             static_cast<uint64_t>(absl::ToInt64Milliseconds(absl::Hours(1)))));
  message.plan_age = absl::Milliseconds(age_ms);
  if (!json[kLeaving].is_boolean()) {
    return MakeError(ErrorCode::kInvalidArgument, "leaving", "",
                     "must be true or false");
  }
  message.leaving = json[kLeaving].get<bool>();
  return {};
}

Result<Json> Unpack(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return MakeError(ErrorCode::kInvalidArgument, "message",
                     std::to_string(bytes.size()) + " bytes",
                     "must have at most 480 bytes");
  }
  Json json = Json::from_msgpack(bytes, true, false);
  if (!json.is_array() || json.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "message", "",
                     "must be a MessagePack array");
  }
  BOOST_LEAF_AUTO(version, Number(json[kVersion], "version"));
  if (version != kPeerMessageVersion || json.size() != kFieldCount) {
    return MakeError(ErrorCode::kInvalidArgument, "version",
                     std::to_string(version), "is not known");
  }
  return json;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  size_t fingerprints = std::min(message.fingerprints.size(), kMaxPeerEntries);
  size_t observations = std::min(message.observations.size(), kMaxPeerEntries);
  size_t usage = std::min(message.usage.size(), kMaxPeerEntries);
  std::string bytes = Pack(message, fingerprints, observations, usage);
  while (bytes.size() > kMaxPeerMessageBytes) {
    if (usage > 0)
      --usage;
    else if (observations > 0)
      --observations;
    else if (fingerprints > 0)
      --fingerprints;
    else
      break;
    bytes = Pack(message, fingerprints, observations, usage);
  }
  return bytes;
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  BOOST_LEAF_AUTO(json, Unpack(bytes));
  PeerMessage message;
  BOOST_LEAF_ASSIGN(message.environment,
                    Name(json[kEnvironment], "environment"));
  BOOST_LEAF_ASSIGN(message.sender, Name(json[kSender], "sender"));
  BOOST_LEAF_ASSIGN(message.availability_zone,
                    Name(json[kZone], "availability_zone"));
  if (!json[kDigest].is_string() ||
      json[kDigest].get_ref<const std::string&>().size() > kMaxNameBytes) {
    return MakeError(ErrorCode::kInvalidArgument, "digest", "",
                     "must be a string of at most 64 bytes");
  }
  message.digest = json[kDigest].get<std::string>();
  BOOST_LEAF_CHECK(ReadNumbers(json, message));
  BOOST_LEAF_CHECK(ReadFingerprints(json[kFingerprints], message));
  BOOST_LEAF_CHECK(ReadObservations(json[kObservations], message));
  BOOST_LEAF_CHECK(ReadUsage(json[kUsage], message));
  return message;
}

}  // namespace cranberryhill
