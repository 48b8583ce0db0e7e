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
  std::string holder;  ///< Id of the instance that wrote the row.
  /// Unique for each write of the row, so that the writer recognizes its own
  /// write.
  std::string nonce;
  uint64_t fencing_number = 0;
  absl::Duration term;  ///< How long the lease is valid after each write.
  /// Address to which other instances send the holder their acknowledgements.
  std::string address;
  bool released = false;  ///< True when the holder has released the lease.
};

/// @return The row value, a JSON object.
std::string FormatLeaseRecord(const LeaseRecord& record);

/// @return The record, or kInvalidArgument naming the invalid field.
Outcome<LeaseRecord> ParseLeaseRecord(std::string_view text);

/// @return The key `lease/{environment}/{zone}/{shard}`.
std::string LeaseRowKey(std::string_view environment,
                        std::string_view zone,
                        std::string_view shard);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_LEASE_LEASE_RECORD_H_
