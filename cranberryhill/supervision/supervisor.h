#ifndef CRANBERRYHILL_SUPERVISION_SUPERVISOR_H_
#define CRANBERRYHILL_SUPERVISION_SUPERVISOR_H_

// A supervisor tree for the parts of a process. A part that fails is started
// again within limits; beyond them its supervisor fails in turn, and at the
// root the process shuts down gracefully.
//
//   Supervisor root("daemon", RestartLimits{}, clock);
//   root.Add(membership_part);
//   root.Add(traffic_supervisor);
//   root.Start();
//   ...
//   root.OnFailed(membership_part, error);
//   root.Stop();

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill {

/// A part of the process that can be started and stopped repeatedly.
class SupervisedPart {
 public:
  virtual ~SupervisedPart() = default;

  virtual std::string_view name() const = 0;  // NOLINT

  /// Starts the part.
  /// @return An error when it cannot run; the supervisor then tries again
  ///     within its limits.
  virtual Result<void> Start() = 0;

  /// Stops the part; a stopped part may be started again.
  virtual void Stop() = 0;
};

struct RestartLimits {
  int max_restarts = 5;
  absl::Duration window = absl::Seconds(60);
};

/// Starts its parts in order, stops them in reverse order, restarts those that
/// fail. A supervisor is itself a part. Not thread-safe.
class Supervisor : public SupervisedPart {
 public:
  /// @param clock Must outlive this object.
  Supervisor(std::string name, RestartLimits limits, const Clock& clock);

  /// Adds a part, which must outlive this object. Before Start() only.
  void Add(SupervisedPart& part);

  /// Sets the function that is told when the restart limits are exceeded.
  void SetOnExhausted(std::function<void(const Error&)> callback);

  std::string_view name() const override { return this->own_name; }
  Result<void> Start() override;
  void Stop() override;

  /// Reports that a running part has failed. The part is stopped and started
  /// again, or, beyond the limits, everything is stopped and the callback runs.
  void OnFailed(SupervisedPart& part, const Error& error);

  uint64_t restarts() const { return this->restart_count; }  // NOLINT
  bool running() const { return this->started; }             // NOLINT

 private:
  bool TakeRestart();
  void GiveUp(const SupervisedPart& part, const Error& error);

  std::string own_name;
  RestartLimits limits;
  const Clock& clock;
  std::vector<SupervisedPart*> parts;
  std::function<void(const Error&)> on_exhausted;
  std::deque<absl::Time> recent_restarts;
  uint64_t restart_count = 0;
  bool started = false;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_SUPERVISION_SUPERVISOR_H_
