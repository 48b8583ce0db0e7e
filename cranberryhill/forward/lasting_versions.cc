#include "cranberryhill/forward/lasting_versions.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace cranberryhill::forward {

void KeepLastingVersions(std::vector<std::shared_ptr<Replica>>& replicas) {
  std::map<std::string_view, int> decode_engines;
  for (const auto& replica : replicas) {
    if (replica->entry.role != EngineRole::kPrefill)
      ++decode_engines[replica->entry.software_version];
  }
  bool has_lasting =
      std::any_of(decode_engines.begin(), decode_engines.end(),
                  [](const auto& item) { return item.second > 1; });
  if (!has_lasting)
    return;
  std::erase_if(replicas, [&](const auto& replica) {
    return replica->entry.role != EngineRole::kPrefill &&
           decode_engines[replica->entry.software_version] == 1;
  });
}

}  // namespace cranberryhill::forward
