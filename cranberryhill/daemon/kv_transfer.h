#ifndef CRANBERRYHILL_DAEMON_KV_TRANSFER_H_
#define CRANBERRYHILL_DAEMON_KV_TRANSFER_H_

// Coordinates the transfer of KV cache blocks from one engine to another. The
// engines move the data; this side passes on which blocks.
//
//   TransferKv(prefill_connection, decode_connection, blocks, may_import,
//              [](bool moved) {
//     ...go on; without the blocks the decode engine computes them again...
//   });

#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "cranberryhill/http2/http2_client.h"

namespace cranberryhill {

/// A transfer in progress. Destroying it cancels its request and drops its
/// callback.
class KvTransfer {
 public:
  virtual ~KvTransfer() = default;
};

/// Asks `source` to export the blocks and `target` to import them.
/// @param source,target Must outlive the transfer.
/// @param may_import Asked directly before the import is sent.
/// @param done Runs once, later, with whether any block was moved.
std::unique_ptr<KvTransfer> TransferKv(Http2Connection& source,
                                       Http2Connection& target,
                                       std::span<const uint64_t> blocks,
                                       std::function<bool()> may_import,
                                       std::function<void(bool moved)> done);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_KV_TRANSFER_H_
