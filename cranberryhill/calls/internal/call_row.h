#ifndef CRANBERRYHILL_CALLS_INTERNAL_CALL_ROW_H_
#define CRANBERRYHILL_CALLS_INTERNAL_CALL_ROW_H_

// The table row of one at-most-once call.
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
  kClaimed,   ///< The owner may send the call, or may have sent it.
  kReleased,  ///< Not sent and never sent under an earlier claim.
  kDone,      ///< Has the result.
  kUnknown,   ///< Sent without an answer.
};

struct CallRow {
  CallRowState state = CallRowState::kClaimed;
  std::string token;         ///< Of the last claim.
  std::string owner;         ///< Instance incarnation of the last claim.
  std::string digest;        ///< Of the call, see CallDigest().
  absl::Duration time_left;  ///< Until the deadline when it was claimed.
  absl::Time written;        ///< Wall clock.
  CallResult result;         ///< With kDone.
  std::string object;        ///< Object with the result's body; may be empty.
};

/// @return `call/{env}/{customer}/`, or `call/{env}/` without a customer.
std::string CallRowPrefix(std::string_view environment,
                          std::string_view customer = "");

std::string CallRowKey(std::string_view environment,
                       std::string_view customer,
                       std::string_view idempotency_key);

/// @return A digest of everything that the backend server would receive.
std::string CallDigest(const ServiceCall& call);

std::string EncodeCallRow(const CallRow& row);

/// @return The row, or kInvalidArgument when it was not written by
/// EncodeCallRow().
Result<CallRow> DecodeCallRow(std::string_view text);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_INTERNAL_CALL_ROW_H_
