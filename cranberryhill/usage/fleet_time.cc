#include "cranberryhill/usage/fleet_time.h"

#include <algorithm>

namespace cranberryhill::usage {

std::optional<absl::Duration> FleetTime::OwnOffset(
    std::optional<absl::Time> store_time) const {
  if (!store_time)
    return std::nullopt;
  return this->wall_clock.Now() - *store_time;
}

absl::Time FleetTime::Now(std::optional<absl::Time> store_time) const {
  if (!store_time || !this->offset)
    return this->wall_clock.Now();
  return *store_time + *this->offset;
}

std::optional<absl::Duration> MedianOf(std::vector<absl::Duration> offsets) {
  if (offsets.empty())
    return std::nullopt;
  auto middle =
      offsets.begin() + static_cast<ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

}  // namespace cranberryhill::usage
