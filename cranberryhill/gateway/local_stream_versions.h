#ifndef CRANBERRYHILL_GATEWAY_LOCAL_STREAM_VERSIONS_H_
#define CRANBERRYHILL_GATEWAY_LOCAL_STREAM_VERSIONS_H_

// Knows the software versions of the streams that this instance has seen, in
// memory only.

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/gateway/stream_versions.h"

namespace cranberryhill::gateway {

class LocalStreamVersions : public StreamVersions {
 public:
  /// The references must outlive this object.
  LocalStreamVersions(const forward::ReplicaSet& replicas, const Clock& clock)
      : replicas(replicas), clock(clock) {}

  void OnStreamBegan(std::string_view service,
                     std::string_view attempt_id,
                     std::string_view version) override;

  /// Where the attempt is not known, its version follows if the service has had
  /// only one lately.
  void Find(std::string_view service,
            std::string_view attempt_id,
            Callback done) override;

 private:
  struct Stream {
    std::string version;
    absl::Time recorded_at;
  };
  struct Record {
    std::string key;
    absl::Time recorded_at;
  };

  void DropOld();

  const forward::ReplicaSet& replicas;
  const Clock& clock;
  absl::flat_hash_map<std::string, Stream> streams;
  std::deque<Record> records;  // Oldest first.
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_LOCAL_STREAM_VERSIONS_H_
