#include "cranberryhill/store/store_codec.h"

namespace cranberryhill::gateway {

std::string_view StoreTableName(StoreTable table) {
  switch (table) {
    case StoreTable::kConfiguration:
      return "configuration";
    case StoreTable::kReplicas:
      return "replicas";
    case StoreTable::kControl:
      return "control";
    case StoreTable::kStreamVersions:
      return "stream_versions";
    case StoreTable::kDuties:
      return "duties";
  }
  return "unknown";
}

}  // namespace cranberryhill::gateway
