#ifndef CRANBERRYHILL_EXCHANGE_REQUEST_OBSERVER_H_
#define CRANBERRYHILL_EXCHANGE_REQUEST_OBSERVER_H_

// Interface for what counts the requests of callers.

#include <string_view>

#include "cranberryhill/forward/engine_speed.h"

namespace cranberryhill::gateway {

class RequestObserver {
 public:
  virtual ~RequestObserver() = default;

  /// Called for each request that is sent to a service or refused.
  virtual void OnArrived(std::string_view service) = 0;

  /// Called when no replica can serve a request in time.
  virtual void OnRefused(std::string_view service) = 0;

  /// Called when an engine gets a prompt to prefill.
  virtual void OnPrefill(std::string_view service,
                         const forward::PrefillWork& work) = 0;

  /// Called once for each request that a replica has begun to run.
  /// @param customer Empty for a request without a key.
  virtual void OnBegan(std::string_view customer) = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_EXCHANGE_REQUEST_OBSERVER_H_
