#ifndef CRANBERRYHILL_BASE_HASH_H_
#define CRANBERRYHILL_BASE_HASH_H_

// Hashes that are equal on all instances and in all builds (xxh3).

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryhill {

/// @return The xxh3 hash of `bytes` with `seed`.
uint64_t StableHash(std::string_view bytes, uint64_t seed = 0);

/// @return The 128-bit xxh3 hash of `bytes`, high half first.
std::array<uint64_t, 2> StableHash128(std::string_view bytes);

/// @return The 128-bit xxh3 hash of `bytes` as 32 hexadecimal digits.
std::string StableDigest(std::string_view bytes);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_HASH_H_
