#include "cranberryhill/base/random.h"

#include "absl/random/uniform_int_distribution.h"
#include "absl/random/uniform_real_distribution.h"

namespace cranberryhill {

uint64_t SeededRandom::UniformInt(uint64_t low, uint64_t high) {
  return absl::uniform_int_distribution<uint64_t>(low, high)(this->engine);
}

double SeededRandom::UniformDouble() {
  return absl::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
}

uint64_t EntropySeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

}  // namespace cranberryhill
