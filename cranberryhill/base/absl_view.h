#ifndef CRANBERRYHILL_BASE_ABSL_VIEW_H_
#define CRANBERRYHILL_BASE_ABSL_VIEW_H_

#include <string_view>

#include "absl/strings/string_view.h"

namespace cranberryhill {

/// In the packaged build of Abseil its string view is a type of its own.
/// @return The same characters.
inline absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_ABSL_VIEW_H_
