#ifndef CRANBERRYHILL_FORWARD_RETRY_WINDOW_H_
#define CRANBERRYHILL_FORWARD_RETRY_WINDOW_H_

// Bounds extra sends to a service within every window of time. Each instance
// keeps to its own requests' share, so the sum over all instances keeps to the
// shared bound without any message between them.
//
//   RetryWindow budget(clock, bounds);
//   budget.OnRequest();
//   if (budget.HasRoom()) {
//     budget.OnExtra();
//     ...send to a second replica...

#include <deque>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill::forward {

struct RetryBounds {
  double ratio = 0.2;  ///< Extra sends per request.
  absl::Duration window = absl::Seconds(10);
  /// Extra sends in a window beside the ratio, for this instance alone.
  double own_slack = 2;
};

/// Not thread-safe.
class RetryWindow {
 public:
  /// @param clock Must outlive this object.
  RetryWindow(const Clock& clock, RetryBounds bounds)
      : clock(clock), bounds(bounds) {}

  /// Counts the first send of a request.
  void OnRequest();

  /// @return True when `sends` more extra sends fit.
  bool HasRoom(int sends = 1);

  /// Counts an extra send.
  void OnExtra();

  void SetBounds(RetryBounds bounds) { this->bounds = bounds; }

 private:
  void Expire();

  const Clock& clock;
  RetryBounds bounds;
  std::deque<absl::Time> requests;
  std::deque<absl::Time> extras;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_RETRY_WINDOW_H_
