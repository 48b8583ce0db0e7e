#ifndef CRANBERRYHILL_STORE_ROW_MESSAGE_H_
#define CRANBERRYHILL_STORE_ROW_MESSAGE_H_

// Rows of a table that an instance has received from the store and passes on to
// its peers, so that hundreds of instances need not all read each change from
// the store.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/store/store_codec.h"

namespace cranberryhill::gateway {

/// All changes of one table within a range of versions. Messages may be lost,
/// repeated or reordered: a receiver that has not seen everything up to `after`
/// must read the missing rows from the store.
struct RowMessage {
  StoreTable table = StoreTable::kReplicas;
  uint64_t era = 0;            ///< Of the store when it had these versions.
  uint64_t after = 0;          ///< Version of the row before the first one.
  uint64_t up_to = 0;          ///< Version of the last row.
  std::vector<StoreRow> rows;  ///< In ascending order of their versions.
  /// The receiver sends the message on to these peers, because the sender's
  /// link is too slow to reach hundreds of instances at once.
  std::vector<Endpoint> forward_to = {};
};

/// The peers that a message is sent to, and those that they send it on to.
struct RowRecipient {
  Endpoint peer;
  std::vector<Endpoint> forward_to;
};

/// @param peers All peers.
/// @param sender Distinguishes senders of the same rows: each chooses other
///     peers to send messages on, so that the loss of one of them leaves no
///     peer without the rows.
/// @return Each of `peers` once, as a recipient or as one that a recipient
/// sends
///     the message on to.
std::vector<RowRecipient> ChooseRecipients(std::vector<Endpoint> peers,
                                           size_t sender);

/// Splits changes into messages that each fit into one datagram. Rows of the
/// same version stay together, because the store wrote them together.
/// @param era Of the versions.
/// @param after Version of the table's newest row before `rows`.
/// @param rows In ascending order of their versions.
/// @return Messages in order. Ends before the first row that is too large for a
///     datagram; receivers read it from the store, see AnnouncementOf().
std::vector<RowMessage> SplitIntoMessages(StoreTable table,
                                          uint64_t era,
                                          uint64_t after,
                                          const std::vector<StoreRow>& rows);

/// @return A message without rows, which tells that the sender has the changes
///     up to a version. Receivers that lack some read them from the store at
///     once.
RowMessage AnnouncementOf(StoreTable table, uint64_t era, uint64_t version);

std::string EncodeRowMessage(const RowMessage& message);

/// @return True if the bytes may encode a RowMessage, and not a load message.
bool IsRowMessage(std::string_view bytes);

/// @return kInvalidArgument when `bytes` do not encode a message.
Result<RowMessage> DecodeRowMessage(std::string_view bytes);

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_ROW_MESSAGE_H_
