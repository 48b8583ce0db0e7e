#ifndef CRANBERRYHILL_GATEWAY_SEND_AND_FORGET_H_
#define CRANBERRYHILL_GATEWAY_SEND_AND_FORGET_H_

// Sends a request whose answer nobody waits for.

#include <memory>
#include <string>

#include "cranberryhill/http1/client.h"

namespace cranberryhill::gateway {

/// Sends `request` and closes the connection after its answer or failure.
/// @param link Without a request in progress; kept until then.
void SendAndForget(std::shared_ptr<http1::ClientConnection> link,
                   std::string request);

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_SEND_AND_FORGET_H_
