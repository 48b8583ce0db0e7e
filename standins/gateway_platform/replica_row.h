#ifndef STANDINS_GATEWAY_PLATFORM_REPLICA_ROW_H_
#define STANDINS_GATEWAY_PLATFORM_REPLICA_ROW_H_

// What a replica writes of itself into the store.

#include <cstdint>
#include <string>

namespace cranberryhill::platform {

struct ReplicaRow {
  std::string service;
  std::string address;  ///< "IP:PORT".
  std::string zone = "a";
  std::string stage;           ///< Empty for plain services.
  std::string version = "v1";  ///< Of the software; left out if it is empty.
  int slots = 6;
  std::string state = "ready";
  int sequence = 1;
  int64_t started_ms = 0;  ///< Start of the process; left out if it is 0.

  /// @return The value of the row.
  std::string Text() const;
};

}  // namespace cranberryhill::platform

#endif  // STANDINS_GATEWAY_PLATFORM_REPLICA_ROW_H_
