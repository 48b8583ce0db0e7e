#include "cranberryhill/base/result.h"

#include <fmt/format.h>

#include <boost/leaf/error.hpp>

namespace cranberryhill {

std::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknown:
      return "unknown";
    case ErrorCode::kExhausted:
      return "exhausted";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string Error::ToString() const {
  std::string text;
  if (!this->field.empty())
    text += fmt::format("{}: ", this->field);
  if (!this->value.empty())
    text += fmt::format("value {}: ", this->value);
  text += this->rule;
  return text;
}

boost::leaf::error_id MakeError(ErrorCode code,
                                std::string_view field,
                                std::string_view value,
                                std::string_view rule) {
  return boost::leaf::new_error(
      Error{code, std::string(field), std::string(value), std::string(rule)});
}

}  // namespace cranberryhill
