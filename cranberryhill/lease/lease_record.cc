#include "cranberryhill/lease/lease_record.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

Result<LeaseRecord> ReadLeaseRecord(std::string_view text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "lease"));
  ObjectReader reader(json, "lease");
  LeaseRecord record;
  BOOST_LEAF_ASSIGN(record.holder, reader.String("holder"));
  BOOST_LEAF_ASSIGN(record.nonce, reader.String("nonce"));
  BOOST_LEAF_AUTO(number, reader.Int("fencing_number", {1, INT64_MAX}));
  record.fencing_number = static_cast<uint64_t>(number);
  BOOST_LEAF_AUTO(term, reader.Int("term_ms", {1, INT32_MAX}));
  record.term = absl::Milliseconds(term);
  BOOST_LEAF_ASSIGN(record.address, reader.String("address"));
  BOOST_LEAF_ASSIGN(record.released, reader.Bool("released", false));
  return record;
}

}  // namespace

std::string FormatLeaseRecord(const LeaseRecord& record) {
  return Json{{"holder", record.holder},
              {"nonce", record.nonce},
              {"fencing_number", record.fencing_number},
              {"term_ms", absl::ToInt64Milliseconds(record.term)},
              {"address", record.address},
              {"released", record.released}}
      .dump();
}

Outcome<LeaseRecord> ParseLeaseRecord(std::string_view text) {
  return Capture([&] { return ReadLeaseRecord(text); });
}

std::string LeaseRowKey(std::string_view environment,
                        std::string_view zone,
                        std::string_view shard) {
  return fmt::format("lease/{}/{}/{}", environment, zone, shard);
}

}  // namespace cranberryhill
