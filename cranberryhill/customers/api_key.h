#ifndef CRANBERRYHILL_CUSTOMERS_API_KEY_H_
#define CRANBERRYHILL_CUSTOMERS_API_KEY_H_

// Hashes of customers' API keys. Keys are secrets: they are hashed where they
// are read, and nothing keeps them.

#include <optional>
#include <string>
#include <string_view>

#include "cranberryhill/forward/configuration.h"

namespace cranberryhill::customers {

/// @return The 128-bit hash by which keys are compared.
forward::ApiKeyHash HashApiKey(std::string_view key);

/// @return The hash as 32 hexadecimal digits.
std::string FormatApiKeyHash(const forward::ApiKeyHash& hash);

/// @return The hash that `text` encodes; nothing if it is not 32 hexadecimal
///     digits.
std::optional<forward::ApiKeyHash> ParseApiKeyHash(std::string_view text);

}  // namespace cranberryhill::customers

#endif  // CRANBERRYHILL_CUSTOMERS_API_KEY_H_
