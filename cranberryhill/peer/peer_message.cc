#include "cranberryhill/peer/peer_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

constexpr size_t kMaxNameBytes = 64;
// Rates are encoded as integers in tenths, to keep entries small.
constexpr double kTenthsPerUnit = 10.0;
constexpr uint64_t kMaxRateTenths = 0xFFFFFF;

// Indexes of the fields in the top-level array of a message.
enum FieldIndex : size_t {
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

uint64_t RateToTenths(float rate) {
  // Rounds to the nearest integer, because 0.7F is slightly less than 7 tenths.
  double tenths = std::max(0.0, rate * kTenthsPerUnit);
  return static_cast<uint64_t>(
      std::llround(std::min(tenths, static_cast<double>(kMaxRateTenths))));
}

// Encodes the message with at most the given numbers of entries of each kind.
std::string EncodeWithEntryLimits(const PeerMessage& message,
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
    flat_usage.push_back(RateToTenths(message.usage[i].requests_per_s));
    flat_usage.push_back(RateToTenths(message.usage[i].tokens_per_s));
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

Result<uint64_t> ReadNumber(const Json& json,
                            std::string_view field,
                            uint64_t max_value = UINT64_MAX) {
  if (!json.is_number_unsigned() || json.get<uint64_t>() > max_value) {
    return MakeError(
        ErrorCode::kInvalidArgument, field, "",
        "must be a non-negative integer no greater than the field's maximum");
  }
  return json.get<uint64_t>();
}

Result<std::string> ReadName(const Json& json, std::string_view field) {
  if (!json.is_string() || json.get_ref<const std::string&>().empty() ||
      json.get_ref<const std::string&>().size() > kMaxNameBytes) {
    return MakeError(ErrorCode::kInvalidArgument, field, "",
                     "must be a string of 1 to 64 bytes");
  }
  return json.get<std::string>();
}

// Checks that the array holds complete entries of `width` numbers each and at
// most kMaxPeerEntries of them. Returns the number of entries.
Result<size_t> CheckEntryCount(const Json& json,
                               std::string_view field,
                               size_t width) {
  if (!json.is_array() || json.size() % width != 0 ||
      json.size() / width > kMaxPeerEntries) {
    return MakeError(ErrorCode::kInvalidArgument, field, "",
                     "must be an array of at most 12 complete entries");
  }
  return json.size() / width;
}

Result<void> ReadFingerprints(const Json& json, PeerMessage& message) {
  BOOST_LEAF_AUTO(count, CheckEntryCount(json, "fingerprints", 2));
  for (size_t i = 0; i < count; ++i) {
    PeerFingerprint entry;
    BOOST_LEAF_ASSIGN(entry.fingerprint,
                      ReadNumber(json[2 * i], "fingerprints[].fingerprint"));
    BOOST_LEAF_AUTO(crashes,
                    ReadNumber(json[2 * i + 1], "fingerprints[].crashes", 2));
    entry.crashes = static_cast<uint8_t>(crashes);
    message.fingerprints.push_back(entry);
  }
  return {};
}

Result<void> ReadObservations(const Json& json, PeerMessage& message) {
  BOOST_LEAF_AUTO(count, CheckEntryCount(json, "observations", 3));
  for (size_t i = 0; i < count; ++i) {
    PeerObservation entry;
    BOOST_LEAF_ASSIGN(entry.member,
                      ReadNumber(json[3 * i], "observations[].member"));
    BOOST_LEAF_AUTO(state,
                    ReadNumber(json[3 * i + 1], "observations[].state", 3));
    BOOST_LEAF_AUTO(age,
                    ReadNumber(json[3 * i + 2], "observations[].age_ds", 255));
    entry.state = static_cast<uint8_t>(state);
    entry.age_ds = static_cast<uint8_t>(age);
    message.observations.push_back(entry);
  }
  return {};
}

Result<void> ReadUsage(const Json& json, PeerMessage& message) {
  BOOST_LEAF_AUTO(count, CheckEntryCount(json, "usage", 3));
  for (size_t i = 0; i < count; ++i) {
    BOOST_LEAF_AUTO(key, ReadNumber(json[3 * i], "usage[].key", UINT32_MAX));
    BOOST_LEAF_AUTO(
        request_tenths,
        ReadNumber(json[3 * i + 1], "usage[].requests", kMaxRateTenths));
    BOOST_LEAF_AUTO(token_tenths, ReadNumber(json[3 * i + 2], "usage[].tokens",
                                             kMaxRateTenths));
    message.usage.push_back(
        {static_cast<uint32_t>(key),
         static_cast<float>(static_cast<double>(request_tenths) /
                            kTenthsPerUnit),
         static_cast<float>(static_cast<double>(token_tenths) /
                            kTenthsPerUnit)});
  }
  return {};
}

Result<void> ReadNumbers(const Json& json, PeerMessage& message) {
  BOOST_LEAF_ASSIGN(message.incarnation,
                    ReadNumber(json[kIncarnation], "incarnation"));
  BOOST_LEAF_ASSIGN(message.sequence, ReadNumber(json[kSequence], "sequence"));
  BOOST_LEAF_ASSIGN(message.generation,
                    ReadNumber(json[kGeneration], "generation"));
  BOOST_LEAF_ASSIGN(message.plan_version,
                    ReadNumber(json[kPlanVersion], "plan_version"));
  BOOST_LEAF_AUTO(age_ms,
                  ReadNumber(json[kPlanAge], "plan_age",
                             static_cast<uint64_t>(
                                 absl::ToInt64Milliseconds(absl::Hours(1)))));
  message.plan_age = absl::Milliseconds(age_ms);
  if (!json[kLeaving].is_boolean()) {
    return MakeError(ErrorCode::kInvalidArgument, "leaving", "",
                     "must be true or false");
  }
  message.leaving = json[kLeaving].get<bool>();
  return {};
}

Result<Json> DecodeArray(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return MakeError(ErrorCode::kInvalidArgument, "message",
                     std::to_string(bytes.size()) + " bytes",
                     "must be at most 480 bytes long");
  }
  Json json = Json::from_msgpack(bytes, true, false);
  if (!json.is_array() || json.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "message", "",
                     "must be a non-empty MessagePack array");
  }
  BOOST_LEAF_AUTO(version, ReadNumber(json[kVersion], "version"));
  if (version != kPeerMessageVersion || json.size() != kFieldCount) {
    return MakeError(
        ErrorCode::kInvalidArgument, "version", std::to_string(version),
        "must be the supported version, with all fields of that version");
  }
  return json;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  size_t fingerprints = std::min(message.fingerprints.size(), kMaxPeerEntries);
  size_t observations = std::min(message.observations.size(), kMaxPeerEntries);
  size_t usage = std::min(message.usage.size(), kMaxPeerEntries);
  std::string bytes =
      EncodeWithEntryLimits(message, fingerprints, observations, usage);
  while (bytes.size() > kMaxPeerMessageBytes) {
    if (usage > 0)
      --usage;
    else if (observations > 0)
      --observations;
    else if (fingerprints > 0)
      --fingerprints;
    else
      break;
    bytes = EncodeWithEntryLimits(message, fingerprints, observations, usage);
  }
  return bytes;
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  BOOST_LEAF_AUTO(json, DecodeArray(bytes));
  PeerMessage message;
  BOOST_LEAF_ASSIGN(message.environment,
                    ReadName(json[kEnvironment], "environment"));
  BOOST_LEAF_ASSIGN(message.sender, ReadName(json[kSender], "sender"));
  BOOST_LEAF_ASSIGN(message.availability_zone,
                    ReadName(json[kZone], "availability_zone"));
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
