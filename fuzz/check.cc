#include "fuzz/check.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

namespace cranberryhill {

void Check(bool holds, std::string_view property) {
  if (holds)
    return;
  fmt::print(stderr, "property does not hold: {}\n", property);
  std::abort();
}

void CheckRefused(const Error& error) {
  Check(error.code == ErrorCode::kInvalidArgument,
        "a refused input has the code invalid_argument");
  Check(!error.rule.empty(), "a refused input names the rule it breaks");
}

std::string_view TextOf(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace cranberryhill
