#ifndef CRANBERRYHILL_STORE_SEND_AND_FORGET_H_
#define CRANBERRYHILL_STORE_SEND_AND_FORGET_H_

// Sends a request and ignores its answer.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "cranberryhill/http1/client.h"

namespace cranberryhill::gateway {

/// Sends `request` and closes the connection after the answer, a failure or a
/// time limit.
/// @param io Must outlive the call.
/// @param connection Must have no request in progress; kept alive until closed.
void SendAndForget(boost::asio::io_context& io,
                   std::shared_ptr<http1::ClientConnection> connection,
                   std::string request);

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_SEND_AND_FORGET_H_
