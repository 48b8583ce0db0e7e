#ifndef CRANBERRYHILL_STORE_STORE_CODEC_H_
#define CRANBERRYHILL_STORE_STORE_CODEC_H_

// Interface that encodes requests to a deployment's row store and decodes its
// answers.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/configuration.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/http1/message.h"

namespace cranberryhill::gateway {

enum class StoreTable {
  kConfiguration,   ///< Written by operators.
  kReplicas,        ///< Written by replicas.
  kControl,         ///< Written by the gateway: peer addresses, the lease for
                    ///< engine orders and the versions of services.
  kStreamVersions,  ///< Written by the gateway: the versions at which streams
                    ///< began.
  kDuties,          ///< Written by the gateway: the lease for calls that one
                    ///< instance makes for all, and what it has decided.
};

/// Where rows are kept. The store performs the transactions of one part of a
/// table one after another, so tables with many writes have several parts.
struct StorePlace {
  // Implicit, as most tables have a single part.
  StorePlace(StoreTable table, int part = 0)  // NOLINT
      : table(table), part(part) {}

  StoreTable table;
  int part;
};

/// @return The name of the table for logs and metrics.
std::string_view StoreTableName(StoreTable table);

struct StoreRow {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool removed = false;
};

/// A change of one row.
struct RowUpdate {
  std::string key;
  std::string value;
  bool is_removal = false;  ///< The value is not used.
  /// The version that the row must have; 0 if it must not exist. Nothing if the
  /// change is made whatever the version is.
  std::optional<uint64_t> expected_version = std::nullopt;
};

struct StorePage {
  std::vector<StoreRow> rows;
  uint64_t version = 0;  ///< Version of the store when the page was read.
  bool has_more = false;
  /// Steady clock of the store when the page was read; nothing if the page does
  /// not name it.
  std::optional<absl::Time> store_time;
};

class StoreCodec {
 public:
  virtual ~StoreCodec() = default;

  /// @param from First key of the page; empty for the first page.
  virtual http1::OutgoingRequest EncodeRead(StorePlace place,
                                            std::string_view from) const = 0;

  /// Encodes a read whose page begins with the row of this key, if there is
  /// one, and holds at most one row.
  virtual http1::OutgoingRequest EncodeReadRow(StorePlace place,
                                               std::string_view key) const = 0;

  /// @param after Only changes after this version are returned.
  /// @param wait How long the store may hold the request until a change occurs.
  virtual http1::OutgoingRequest EncodeWatch(StoreTable table,
                                             uint64_t after,
                                             absl::Duration wait) const = 0;

  /// Encodes a write that takes effect only if the row has `expected_version`;
  /// 0 stands for a row that does not exist.
  virtual http1::OutgoingRequest EncodeWrite(
      StoreTable table,
      std::string_view key,
      std::string_view value,
      uint64_t expected_version) const = 0;

  /// Encodes a transaction that makes all changes, or none if a row does not
  /// have the version that is expected.
  /// @param updates At most 100 together with their conditions, and 500 KB of
  ///     values.
  virtual http1::OutgoingRequest EncodeUpdate(
      StorePlace place,
      std::span<const RowUpdate> updates) const = 0;

  /// @param headers Of any answer of the store.
  /// @return The era of the store, a positive number that rises each time the
  ///     store has been restored from an older copy: versions of rows are
  ///     comparable within an era only. Nothing if the answer does not name it.
  virtual std::optional<uint64_t> DecodeEra(
      const http1::HeaderList& headers) const = 0;

  /// Decodes a page, or the rows that a refused write has found. Of those, rows
  /// that do not exist are missing or removed.
  virtual Result<StorePage> DecodePage(std::string_view body) const = 0;

  /// @return The version of the rows that the write created.
  virtual Result<uint64_t> DecodeWrite(std::string_view body) const = 0;

  /// @return kInvalidArgument for a row that does not describe a usable
  ///     replica.
  virtual Result<forward::ReplicaEntry> DecodeReplica(
      const StoreRow& row) const = 0;

  /// @return True for the row that holds the active configuration.
  virtual bool IsConfiguration(const StoreRow& row) const = 0;

  virtual Result<forward::Configuration> DecodeConfiguration(
      std::string_view value) const = 0;

  /// @return The value of a configuration row as other instances may get it,
  ///     with hashes in place of keys; DecodeConfiguration() reads both. Empty
  ///     if the value cannot be read.
  virtual std::string WithoutKeys(std::string_view value) const = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_STORE_CODEC_H_
