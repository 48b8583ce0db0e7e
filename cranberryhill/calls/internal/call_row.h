#ifndef CRANBERRYHILL_CALLS_INTERNAL_CALL_ROW_H_
#define CRANBERRYHILL_CALLS_INTERNAL_CALL_ROW_H_

// The row in the table service that records the state of one at-most-once call.
//
//   table.Read({CallRowKey("e", "customer", "key")}, ...);
//   BOOST_LEAF_AUTO(row, DecodeCallRow(text));

#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/calls/call.h"

namespace cranberryhill {

enum class CallRowState {
  kClaimed,   ///< The owner may send the call, or has already sent it.
  kReleased,  ///< Not sent, and no earlier claim can send it.
  kDone,      ///< Answered; the row has the result.
  kUnknown,   ///< May have run; no complete response was received.
};

struct CallRow {
  CallRowState state = CallRowState::kClaimed;
  std::string token;   ///< Random identifier of the last claim.
  std::string owner;   ///< Instance and incarnation that made the last claim.
  std::string digest;  ///< CallDigest() of the call.
  absl::Duration time_left;  ///< Time to the deadline when the row was written.
  absl::Time written_at;     ///< When the row was written, by the wall clock.
  CallResult result;         ///< Set with kDone.
  std::string object;  ///< Stored object with the result's body, or empty.
};

/// @return `call/{env}/{customer}/`, or `call/{env}/` without a customer.
std::string CallRowPrefix(std::string_view environment,
                          std::string_view customer = "");

std::string CallRowKey(std::string_view environment,
                       std::string_view customer,
                       std::string_view idempotency_key);

/// @return A digest of the service and of everything in the call that
/// determines its effect: method, path, content type and body.
std::string CallDigest(const ServiceCall& call);

std::string EncodeCallRow(const CallRow& row);

/// @return The row, or kInvalidArgument if EncodeCallRow() cannot have produced
/// `text`.
Result<CallRow> DecodeCallRow(std::string_view text);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_INTERNAL_CALL_ROW_H_
