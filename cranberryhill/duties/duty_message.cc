#include "cranberryhill/duties/duty_message.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace cranberryhill::duties {
namespace {

using nlohmann::json;

constexpr std::string_view kReportMagic = "CHDR";
constexpr std::string_view kNoticeMagic = "CHDN";
/// Of both messages. A form that readers of this one would misread has a higher
/// number; new fields need none.
constexpr int kForm = 1;
/// Customers in one message. Names have some ten bytes, and a datagram should
/// stay below 14 KB.
constexpr size_t kMaxCustomersPerMessage = 700;

Result<json> DecodeFields(std::string_view bytes,
                          std::string_view magic,
                          std::string_view what) {
  auto invalid = [what](std::string_view rule) {
    return MakeError(ErrorCode::kInvalidArgument, what, "", std::string(rule));
  };
  if (!bytes.starts_with(magic))
    return invalid("begins like another message");
  bytes.remove_prefix(magic.size());
  json fields = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  auto form = fields.is_object() ? fields.find("form") : fields.end();
  if (form == fields.end() || !form->is_number_integer())
    return invalid("has no form number");
  if (form->get<int64_t>() > kForm)
    return invalid("has a newer form");
  return fields;
}

std::string Encode(std::string_view magic, const json& fields) {
  std::string bytes;
  json::to_msgpack(fields, bytes);
  return std::string(magic) + bytes;
}

json EncodeOffset(const std::optional<absl::Duration>& offset) {
  return offset ? json(absl::ToInt64Milliseconds(*offset)) : json();
}

/// @throws nlohmann::json::exception when the field has another type.
std::optional<absl::Duration> DecodeOffset(const json& fields) {
  const json& offset = fields.at("clock_offset_ms");
  if (offset.is_null())
    return std::nullopt;
  return absl::Milliseconds(offset.get<int64_t>());
}

json EncodeDemand(const std::vector<scaling::ServiceDemand>& demand) {
  json entries = json::array();
  for (const scaling::ServiceDemand& entry : demand) {
    entries.push_back({{"service", entry.service},
                       {"zone", entry.zone},
                       {"arrived", entry.arrived},
                       {"work_ms", entry.work_ms},
                       {"refused", entry.refused},
                       {"outstanding", entry.outstanding}});
  }
  return entries;
}

/// @throws nlohmann::json::exception when a field is missing or has another
///     type.
DutyReport ReadReport(const json& fields) {
  DutyReport report;
  report.instance = fields.at("instance").get<std::string>();
  report.incarnation = fields.at("incarnation").get<uint64_t>();
  report.sequence = fields.at("sequence").get<uint64_t>();
  report.clock_offset = DecodeOffset(fields);
  report.decided = fields.at("decided").get<int64_t>();
  report.first_window = fields.at("first_window").get<int64_t>();
  for (const json& entry : fields.at("usage")) {
    report.windows.push_back({entry.at("window").get<int64_t>(),
                              entry.at("complete").get<bool>(),
                              entry.at("total").get<uint64_t>(),
                              entry.at("counts").get<usage::CustomerCounts>()});
  }
  for (const json& entry : fields.at("demand")) {
    report.demand.push_back({entry.at("service").get<std::string>(),
                             entry.at("zone").get<std::string>(),
                             entry.at("arrived").get<uint64_t>(),
                             entry.at("work_ms").get<double>(),
                             entry.at("refused").get<uint64_t>(),
                             entry.at("outstanding").get<int>()});
  }
  return report;
}

}  // namespace

std::vector<std::string> EncodeDutyReport(const DutyReport& report) {
  json head = {{"form", kForm},
               {"instance", report.instance},
               {"incarnation", report.incarnation},
               {"sequence", report.sequence},
               {"clock_offset_ms", EncodeOffset(report.clock_offset)},
               {"decided", report.decided},
               {"first_window", report.first_window},
               {"usage", json::array()},
               {"demand", json::array()}};
  std::vector<std::string> messages;
  json message = head;
  message["demand"] = EncodeDemand(report.demand);
  size_t customers = 0;
  auto finish_message = [&] {
    messages.push_back(Encode(kReportMagic, message));
    message = head;
    customers = 0;
  };
  for (const usage::WindowCounts& window : report.windows) {
    json entry;
    auto begin_entry = [&] {
      entry = {{"window", window.window},
               {"complete", window.is_final},
               {"total", window.total},
               {"counts", json::object()}};
    };
    begin_entry();
    for (const auto& [customer, count] : window.counts) {
      if (customers == kMaxCustomersPerMessage) {
        message["usage"].push_back(entry);
        finish_message();
        begin_entry();
      }
      entry["counts"][customer] = count;
      ++customers;
    }
    message["usage"].push_back(entry);
  }
  finish_message();
  return messages;
}

std::string EncodeDutyNotice(const DutyNotice& notice) {
  return Encode(kNoticeMagic,
                {{"form", kForm},
                 {"holder", notice.holder},
                 {"fencing_number", notice.fencing_number},
                 {"decided", notice.decided},
                 {"clock_offset_ms", EncodeOffset(notice.clock_offset)}});
}

bool IsDutyReport(std::string_view bytes) {
  return bytes.starts_with(kReportMagic);
}

bool IsDutyNotice(std::string_view bytes) {
  return bytes.starts_with(kNoticeMagic);
}

Result<DutyReport> DecodeDutyReport(std::string_view bytes) {
  BOOST_LEAF_AUTO(fields, DecodeFields(bytes, kReportMagic, "duty report"));
  // The checked accessors throw when a field has the wrong type.
  try {
    return ReadReport(fields);
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument, "duty report", "",
                     error.what());
  }
}

Result<DutyNotice> DecodeDutyNotice(std::string_view bytes) {
  BOOST_LEAF_AUTO(fields, DecodeFields(bytes, kNoticeMagic, "duty notice"));
  try {
    DutyNotice notice;
    notice.holder = fields.at("holder").get<std::string>();
    notice.fencing_number = fields.at("fencing_number").get<uint64_t>();
    notice.decided = fields.at("decided").get<int64_t>();
    notice.clock_offset = DecodeOffset(fields);
    return notice;
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument, "duty notice", "",
                     error.what());
  }
}

}  // namespace cranberryhill::duties
