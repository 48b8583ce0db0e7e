#ifndef CRANBERRYHILL_FORWARD_STREAM_VERSION_RECORDS_H_
#define CRANBERRYHILL_FORWARD_STREAM_VERSION_RECORDS_H_

// Keeps at which software version of its service a stream began. Replicas of
// several versions may serve one service, and a stream may go on only at the
// version that began it.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill::forward {

/// Longer than a stream and the requests that resume it may last by the
/// callers' time limits, which are 6 s at most.
inline constexpr absl::Duration kStreamVersionLifetime = absl::Seconds(15);

/// The rows of streams are spread over so many parts of the store, because a
/// part performs its transactions one after another.
inline constexpr int kStreamVersionParts = 4;

/// @return The part that holds the row of the stream that this attempt began,
///     from 0 to kStreamVersionParts - 1.
int StreamVersionPart(std::string_view attempt_id);

struct StreamVersionRecord {
  std::string service;
  std::string attempt_id;  ///< Of the attempt that brought the first event.
  std::string version;

  bool operator==(const StreamVersionRecord&) const = default;
};

/// The versions of recent streams. Not thread-safe.
class RecentStreamVersions {
 public:
  /// @param max_streams The oldest are dropped beyond this number.
  /// @param clock Must outlive this object.
  RecentStreamVersions(size_t max_streams, const Clock& clock)
      : max_streams(max_streams), clock(clock) {}

  /// Adds a stream that began at this instance, or whose record was read.
  void Add(const StreamVersionRecord& record);

  /// @return True if there is a record of the stream.
  bool Contains(std::string_view attempt_id);

  /// @return The record of the stream. Nothing if there is none, or if records
  ///     contradict each other.
  std::optional<StreamVersionRecord> Find(std::string_view attempt_id);

  size_t size() const { return this->streams.size(); }  // NOLINT

 private:
  struct Stream {
    StreamVersionRecord record;
    bool contradicted = false;
  };

  void EraseExpired();

  const size_t max_streams;
  const Clock& clock;
  absl::flat_hash_map<std::string, Stream> streams;
  std::deque<std::pair<absl::Time, std::string>> expiries;  // In their order.
};

/// @return The value of the stored row of a stream, whose key is the attempt
/// id.
std::string EncodeStreamVersion(const StreamVersionRecord& record);

/// @return kInvalidArgument for text that is not the value of such a row.
Result<StreamVersionRecord> DecodeStreamVersion(std::string_view attempt_id,
                                                std::string_view value);

/// The stored row of a service.
struct ServiceVersionRow {
  /// The version of all streams that have no record of their own. Nothing while
  /// the replicas of the last one have gone, or if the row cannot be read;
  /// every stream has a record then.
  std::optional<std::string> base;
  /// Of the store when the row was written; 0 if the store names none. A row of
  /// another era has come back with an older copy of the store.
  uint64_t era = 0;

  bool operator==(const ServiceVersionRow&) const = default;
};

std::string EncodeServiceVersion(const ServiceVersionRow& row);

/// @return kInvalidArgument for text that is not the value of such a row.
Result<ServiceVersionRow> DecodeServiceVersion(std::string_view value);

/// The software versions that the registry has listed lately, per service.
/// Not thread-safe.
class ServiceVersions {
 public:
  /// @param clock Must outlive this object.
  explicit ServiceVersions(const Clock& clock)
      : clock(clock), current_since(clock.Now()), unbroken_since(clock.Now()) {}

  /// Records that the registry lists a replica of this version.
  /// @return True if the version has not been seen lately.
  bool Observe(std::string_view service, std::string_view version);

  /// Records that the registry, as this instance knows it, may be out of date.
  void OnRegistryOutdated() { this->current_since = this->clock.Now(); }

  /// Records that versions may have left the registry and come back unnoticed.
  void OnListingsMissed() { this->unbroken_since = this->clock.Now(); }

  /// @return True if all versions that the registry has listed within
  ///     kStreamVersionLifetime are known.
  bool KnowsAllVersions() const;

  /// @return Since when the registry has listed the version without a break, as
  ///     far as this instance knows; the infinite future if it does not list it
  ///     or was not looked at lately.
  absl::Time ListedSince(std::string_view service,
                         std::string_view version) const;

  /// @return The versions seen within kStreamVersionLifetime, in their order.
  std::vector<std::string> VersionsOf(std::string_view service) const;

  /// @return True if the registry lists the version, as far as this instance
  ///     knows.
  bool IsListed(std::string_view service, std::string_view version) const;

  /// @return True if the registry, as far as this instance knows, has not
  ///     listed the version for so long that its entries have not only lapsed
  ///     for a moment.
  bool IsGone(std::string_view service, std::string_view version) const;

  /// @return True if the registry lists this version, and has listed no other
  ///     one for some seconds.
  bool IsListedAlone(std::string_view service, std::string_view version) const;

  /// @return True if, within kStreamVersionLifetime, the registry listed other
  ///     versions without this one.
  bool WasAwayLately(std::string_view service, std::string_view version) const;

  std::vector<std::string> Services() const;

  /// Decides what the stored row of a service must say. When the registry does
  /// not list the base any more, there is no base. A version becomes the base
  /// when no stream without a record can be left at another one: when there
  /// has been no base, and the registry has listed the version, for
  /// kStreamVersionLifetime.
  /// @param row What it says; null if there is none.
  /// @param row_since When this instance first saw it say so in this era.
  /// @param era Of the store.
  /// @return What has to be written, or nothing.
  std::optional<ServiceVersionRow> RowToWrite(std::string_view service,
                                              const ServiceVersionRow* row,
                                              absl::Time row_since,
                                              uint64_t era) const;

 private:
  /// When the registry listed a version.
  struct Listing {
    absl::Time since;  // Without a break.
    absl::Time last_seen;
    bool after_others = false;  // Others were listed alone before `since`.
  };

  bool MustRetire(std::string_view service, std::string_view base) const;
  std::optional<std::string> NextBase(std::string_view service) const;
  const Listing* Find(std::string_view service, std::string_view version) const;

  const Clock& clock;
  absl::Time current_since;
  absl::Time unbroken_since;
  std::
      map<std::string, std::map<std::string, Listing, std::less<>>, std::less<>>
          listings;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_STREAM_VERSION_RECORDS_H_
