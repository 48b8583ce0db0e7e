#ifndef CRANBERRYHILL_LEASE_LEASE_RECORD_H_
#define CRANBERRYHILL_LEASE_LEASE_RECORD_H_

// The value of a lease row.
//
//   Outcome<LeaseRecord> record = ParseLeaseRecord(row.value);

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill {

struct LeaseRecord {
  std::string holder;  ///< Instance id.
  std::string nonce;   ///< Unique for each write of the row.
  uint64_t fencing_number = 0;
  absl::Duration term;
  std::string address;    ///< Where the holder takes acknowledgements.
  bool released = false;  ///< The holder gave the lease up.
};

/// @return The row value, a JSON object.
std::string FormatLeaseRecord(const LeaseRecord& record);

/// @return The record, or kInvalidArgument that names the field.
Outcome<LeaseRecord> ParseLeaseRecord(std::string_view text);

/// @return The key `lease/{environment}/{zone}/{shard}`.
std::string LeaseRowKey(std::string_view environment,
                        std::string_view zone,
                        std::string_view shard);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_LEASE_LEASE_RECORD_H_
