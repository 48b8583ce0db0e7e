#ifndef CRANBERRYHILL_STORE_DELAY_TIMER_H_
#define CRANBERRYHILL_STORE_DELAY_TIMER_H_

// Calls a function once after a delay.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "absl/time/time.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class DelayTimer {
 public:
  virtual ~DelayTimer() = default;

  /// Calls `done` after `delay`, in place of an earlier function that has not
  /// been called yet.
  virtual void Start(absl::Duration delay, std::function<void()> done) = 0;

  /// The function that was passed to Start() is not called any more.
  virtual void Cancel() = 0;
};

class AsioDelayTimer : public DelayTimer {
 public:
  /// @param io Must outlive this object.
  explicit AsioDelayTimer(boost::asio::io_context& io) : timer(io) {}

  void Start(absl::Duration delay, std::function<void()> done) override;
  void Cancel() override { this->timer.cancel(); }

 private:
  boost::asio::steady_timer timer;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_DELAY_TIMER_H_
