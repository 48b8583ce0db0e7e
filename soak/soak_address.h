#ifndef SOAK_SOAK_ADDRESS_H_
#define SOAK_SOAK_ADDRESS_H_

#include <boost/asio/ip/address_v4.hpp>

namespace cranberryhill::soak {

/// @return The loopback address of this process. Soaks that run at the same
///     time have different ones, so that none takes a port that another has
///     found free.
boost::asio::ip::address_v4 SoakAddress();

}  // namespace cranberryhill::soak

#endif  // SOAK_SOAK_ADDRESS_H_
