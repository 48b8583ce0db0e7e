#include "soak/soak_address.h"

#include <unistd.h>

#include <cstdint>

namespace cranberryhill::soak {

boost::asio::ip::address_v4 SoakAddress() {
  // 127.0.0.0/8 with 22 bits of the process id, which are all that it has.
  constexpr uint32_t kLoopback = 127U << 24U;
  auto pid = static_cast<uint32_t>(getpid());
  return boost::asio::ip::address_v4(kLoopback | ((pid & 0x3fffffU) << 2U) |
                                     1U);
}

}  // namespace cranberryhill::soak
