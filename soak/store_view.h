#ifndef SOAK_STORE_VIEW_H_
#define SOAK_STORE_VIEW_H_

// The store as one gateway sees it: the addresses of the others are those of
// the proxy between them.

#include <cstddef>
#include <memory>
#include <string>

#include "cranberryhill/http1/server.h"
#include "soak/peer_proxy.h"
#include "standins/gateway_platform/fake_store.h"

namespace cranberryhill::soak {

/// @return The id of the gateway with this index.
std::string GatewayId(size_t index);

class StoreView : public http1::RequestHandler {
 public:
  /// @param store, peers Must outlive this object.
  /// @param gateway Index of the gateway that reads.
  StoreView(platform::FakeStore& store, const PeerProxy& peers, size_t gateway)
      : store(store), peers(peers), gateway(gateway) {}

  std::shared_ptr<http1::ActiveRequest> OnRequest(
      http1::IncomingRequest request,
      std::shared_ptr<http1::Responder> responder) override;
  void OnMalformed(int, std::string_view) override {}

 private:
  class ViewResponder;

  std::string Rewrite(std::string_view page) const;

  platform::FakeStore& store;
  const PeerProxy& peers;
  const size_t gateway;
};

}  // namespace cranberryhill::soak

#endif  // SOAK_STORE_VIEW_H_
