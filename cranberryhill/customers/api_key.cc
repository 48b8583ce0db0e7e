#include "cranberryhill/customers/api_key.h"

#include <fmt/format.h>

#include <charconv>
#include <cstddef>
#include <system_error>

#include "cranberryhill/base/hash.h"

namespace cranberryhill::customers {
namespace {

constexpr size_t kDigitsOfHalf = 16;

}  // namespace

forward::ApiKeyHash HashApiKey(std::string_view key) {
  return StableHash128(key);
}

std::string FormatApiKeyHash(const forward::ApiKeyHash& hash) {
  return fmt::format("{:016x}{:016x}", hash[0], hash[1]);
}

std::optional<forward::ApiKeyHash> ParseApiKeyHash(std::string_view text) {
  if (text.size() != 2 * kDigitsOfHalf)
    return std::nullopt;
  forward::ApiKeyHash hash{};
  for (size_t half = 0; half < hash.size(); ++half) {
    const char* first = text.data() + half * kDigitsOfHalf;
    auto parsed = std::from_chars(first, first + kDigitsOfHalf, hash[half], 16);
    if (parsed.ec != std::errc() || parsed.ptr != first + kDigitsOfHalf)
      return std::nullopt;
  }
  return hash;
}

}  // namespace cranberryhill::customers
