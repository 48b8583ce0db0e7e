#include "cranberryhill/base/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace cranberryhill {

uint64_t StableHash(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::array<uint64_t, 2> StableHash128(std::string_view bytes) {
  XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

std::string StableDigest(std::string_view bytes) {
  auto [high, low] = StableHash128(bytes);
  return fmt::format("{:016x}{:016x}", high, low);
}

}  // namespace cranberryhill
