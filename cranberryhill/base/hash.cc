#include "cranberryhill/base/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace cranberryhill {

uint64_t StableHash(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string StableDigest(std::string_view bytes) {
  XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

}  // namespace cranberryhill
