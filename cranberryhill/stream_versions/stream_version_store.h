#ifndef CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSION_STORE_H_
#define CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSION_STORE_H_

// Finds the software versions of streams, also those of other instances and
// those that began before all instances were restarted at once.
//
// A row of the control table names the base version of each service. A stream
// that begins at another version has a record in the store before its first
// event is passed on; one that begins at the base needs none. So a stream
// without a record began at the base, whatever has become of the instance that
// began it.
//
// When the replicas of the base have gone, the row names none until another
// version has taken over. An instance that cannot store records begins streams
// without one only meanwhile, at a version that the registry lists alone.
//
// A local copy of that row may name a former base whose replicas have come
// back. A stream begins without a record only where the store has confirmed the
// copy since the registry began to list the base without a break: the base
// changes only when the registry does not list it.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/stream_version_queue.h"
#include "cranberryhill/forward/stream_version_records.h"
#include "cranberryhill/store/delay_timer.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/store/service_row_reader.h"
#include "cranberryhill/store/store_codec.h"
#include "cranberryhill/stream_versions/stream_version_finder.h"
#include "cranberryhill/stream_versions/stream_version_sweeper.h"
#include "cranberryhill/stream_versions/stream_versions.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill::gateway {

/// What StoredStreamVersions needs to know of the fleet, and its rows that say
/// which services have one version.
class StreamVersionFleet {
 public:
  virtual ~StreamVersionFleet() = default;

  /// @return The number of instances; nothing while it is not known.
  virtual std::optional<size_t> InstanceCount() const = 0;

  /// @return True if the registry, as it is known here, is at most a few
  ///     seconds old.
  virtual bool IsRegistryCurrent() const = 0;

  /// @return The row with this key, with kAbsentVersion if there is none.
  ///     Nothing if the local copy of the rows may be out of date.
  virtual std::optional<Row> FindServiceRow(std::string_view key) const = 0;

  /// @return The era of the store in which the local copy was read; 0 while it
  ///     is not known.
  virtual uint64_t StoreEra() const = 0;

  /// Reads the row with this key from the store.
  /// @param wait Longest time until `done` is called.
  virtual void ReadServiceRow(std::string_view key,
                              absl::Duration wait,
                              ServiceRowReader::Callback done) = 0;

  /// Checks and writes one row.
  virtual void CommitServiceRow(Transaction transaction,
                                CommitCallback callback) = 0;

  /// Brings the local copy of the rows up to date soon.
  virtual void RefreshServiceRows() = 0;
};

/// Not thread-safe.
class StoredStreamVersions : public StreamVersions {
 public:
  /// Calls to the store and timers for them.
  struct Channels {
    std::unique_ptr<HttpCaller> writer;
    std::vector<std::unique_ptr<HttpCaller>> readers;
    std::unique_ptr<HttpCaller> sweeper;
    std::unique_ptr<DelayTimer> write_timer;
    std::unique_ptr<DelayTimer> find_timer;
    std::unique_ptr<DelayTimer> service_row_timer;
  };

  /// @param codec, fleet, log, clock, random Must outlive this object.
  StoredStreamVersions(Channels channels,
                       const StoreCodec& codec,
                       StreamVersionFleet& fleet,
                       EventLog& log,
                       const Clock& clock,
                       Random& random);

  void OnStreamBegan(std::string_view service,
                     std::string_view attempt_id,
                     std::string_view version) override;
  void Prepare(std::string_view service,
               std::string_view attempt_id,
               std::string_view version,
               RecordRule rule,
               std::function<void(bool prepared)> done) override;
  bool MayBeginUnrecorded(std::string_view service,
                          std::string_view version) override;
  bool Withdraw(std::string_view attempt_id) override;
  bool NeedsNoRecord(std::string_view service,
                     std::string_view version) override;
  bool CanRecord() const override;
  bool IsTurnedAway() const override {
    return !this->CanRecord() && this->fleet.IsRegistryCurrent();
  }
  bool NeedsRecordOfPeer(std::string_view service,
                         std::string_view version) override {
    return this->IsTurnedAway() && this->RecordlessVersion(service) != version;
  }
  void Find(std::string_view service,
            std::string_view attempt_id,
            absl::Duration wait,
            Callback done) override;

  /// Records that the registry lists a replica of this version. To be called
  /// for each change of the registry, and for all replicas before each Tick().
  void OnRegistered(std::string_view service, std::string_view version);

  /// Writes what is due. To be called several times per second.
  void Tick();

  /// Cancels the calls in progress; their callbacks are not called.
  void Stop();

  uint64_t records_written() const {  // NOLINT
    return this->records_written_count;
  }
  uint64_t records_lost() const {  // NOLINT
    return this->records_refused + this->queue.expired_unwritten();
  }
  uint64_t records_late() const { return this->late_count; }  // NOLINT
  /// Writes that the store refused because rows were not as expected.
  uint64_t write_conflicts() const { return this->conflict_count; }  // NOLINT
  uint64_t reads() const { return this->finder.reads(); }            // NOLINT
  /// Streams that nobody knew.
  uint64_t unknown() const { return this->unknown_count; }  // NOLINT
  uint64_t store_calls() const {                            // NOLINT
    return this->write_count + this->finder.reads() +
           this->sweeper.store_calls();
  }

 private:
  /// What this instance knows of the row of a service.
  struct ServiceRow {
    std::optional<forward::ServiceVersionRow> value;  // Nothing: no row.
    uint64_t version = kAbsentVersion;
    uint64_t era = 0;  // Of the store that has this version of the row.
    absl::Time since;  // When this value was first seen in this era.
    /// The store had this value then, or later.
    absl::Time confirmed_at = absl::InfinitePast();
    /// When the store may be asked to confirm the value; the infinite future
    /// while that is in progress.
    absl::Time confirm_from = absl::InfinitePast();
    absl::Time write_at = absl::InfiniteFuture();
  };

  /// The base version by a read of the store.
  struct BaseVersionReading {
    std::optional<std::string> version;
    uint64_t era = 0;         // Of the store.
    bool is_retired = false;  // The last base has no replicas any more.
  };

  /// A stream whose first event waits for its record.
  struct PendingStream {
    forward::StreamVersionRecord record;
    absl::Time deadline;
    std::function<void(bool prepared)> done;
  };

  absl::Duration Interval() const;
  ServiceRow* UpdateServiceRow(std::string_view service);
  bool IsTrusted(const ServiceRow& row) const;
  std::optional<std::string> BaseVersion(std::string_view service);
  bool HasRetiredBase(std::string_view service) const;
  std::optional<std::string> RecordlessVersion(std::string_view service);
  bool IsConfirmed(std::string_view service,
                   std::string_view base,
                   const ServiceRow& row) const;
  void ConfirmServiceRow(const std::string& service, ServiceRow& row);
  void OnServiceRowRead(std::string_view service,
                        const ServiceRowReading& reading,
                        absl::Time began_at);
  void ObserveRegistryAge();
  void Check(std::string_view service);
  void ArmServiceRowTimer();
  void WriteServiceRows();
  void WriteServiceRow(const std::string& service, ServiceRow& row);

  void WriteSoon();
  void Write();
  void OnWriteEnded(size_t records, const HttpResult& answer);
  bool OnWritten(const HttpResult& answer);
  bool OnConflict(const HttpResult& answer);
  void OnStoreAnswered();
  void BeginPreparedStreams();
  void OnEraOf(const HttpResult& answer);
  static BaseVersionReading BaseVersionIn(const ServiceRowReading& reading);
  bool IsOnlyVersion(std::string_view service, std::string_view version) const;
  std::optional<std::string> UnrecordedVersion(
      std::string_view service,
      const BaseVersionReading& base) const;
  std::optional<StreamOrigin> RecentOrigin(std::string_view attempt_id);
  void FindRecord(const std::string& service,
                  const std::string& attempt_id,
                  absl::Time deadline,
                  BaseVersionReading base,
                  Callback done);
  void OnRecordRead(const std::string& service,
                    const std::string& attempt_id,
                    const BaseVersionReading& base,
                    const StreamVersionLookup& lookup,
                    const Callback& done);
  void OnUnknown(std::string_view service,
                 std::string_view attempt_id,
                 std::string_view reason);

  const std::unique_ptr<HttpCaller> writer;
  const std::unique_ptr<DelayTimer> write_timer;
  const std::unique_ptr<DelayTimer> service_row_timer;
  const StoreCodec& codec;
  StreamVersionFleet& fleet;
  EventLog& log;
  const Clock& clock;
  Random& random;
  absl::Time ticked_at;
  absl::Time awake_since;
  absl::Time registry_current_at;  // When it was last known to be current.
  forward::RecentStreamVersions recent;
  forward::StreamVersionQueue queue;
  forward::ServiceVersions service_versions;
  std::map<std::string, ServiceRow, std::less<>> service_rows;
  bool service_row_write_in_progress = false;
  std::vector<PendingStream> pending_streams;

  bool write_in_progress = false;
  bool write_scheduled = false;
  absl::Time write_started_at = absl::InfinitePast();
  int failed_writes = 0;   // In a row.
  uint64_t store_era = 0;  // 0 until the store has named one.

  StreamVersionFinder finder;
  StreamVersionSweeper sweeper;

  uint64_t records_written_count = 0;
  uint64_t records_refused = 0;
  uint64_t late_count = 0;  // Not stored within the time that events wait.
  uint64_t unknown_count = 0;
  uint64_t write_count = 0;
  uint64_t conflict_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSION_STORE_H_
