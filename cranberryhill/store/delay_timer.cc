#include "cranberryhill/store/delay_timer.h"

#include <utility>

namespace cranberryhill::gateway {

void AsioDelayTimer::Start(absl::Duration delay, std::function<void()> done) {
  this->timer.expires_after(absl::ToChronoMilliseconds(delay));
  this->timer.async_wait(
      [done = std::move(done)](boost::system::error_code error) {
        if (!error)
          done();
      });
}

}  // namespace cranberryhill::gateway
