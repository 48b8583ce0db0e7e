#ifndef CRANBERRYHILL_GATEWAY_SEND_AND_FORGET_H_
#define CRANBERRYHILL_GATEWAY_SEND_AND_FORGET_H_

// Sends a request and ignores its answer.

#include <memory>
#include <string>

#include "cranberryhill/http1/client.h"

namespace cranberryhill::gateway {

/// Sends `request` and closes the connection after the answer or a failure.
/// @param connection Must have no request in progress; kept alive until closed.
void SendAndForget(std::shared_ptr<http1::ClientConnection> connection,
                   std::string request);

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_SEND_AND_FORGET_H_
