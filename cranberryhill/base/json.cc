#include "cranberryhill/base/json.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cranberryhill {
namespace {

// Long values are cut in error messages.
constexpr size_t kMaxQuotedValue = 80;

std::string Quote(const Json& value) {
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxQuotedValue)
    text = text.substr(0, kMaxQuotedValue) + "...";
  return text;
}

// Unknown field names are the input's text, so they are cut as values are.
std::string CutName(const std::string& name) {
  return name.size() <= kMaxQuotedValue
             ? name
             : name.substr(0, kMaxQuotedValue) + "...";
}

// @return The position after the comment that may start at `at`, else `at`.
size_t SkipComment(std::string_view text, size_t at) {
  std::string_view rest = text.substr(at);
  bool line = rest.starts_with("//");
  if (!line && !rest.starts_with("/*"))
    return at;
  std::string_view end_mark = line ? "\n" : "*/";
  size_t end = text.find(end_mark, at + 2);
  return end == std::string_view::npos ? text.size() : end + end_mark.size();
}

// @return The position after the string whose opening quote is at `at`.
size_t SkipString(std::string_view text, size_t at) {
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] == '\\')
      ++at;
  }
  return at + 1;
}

// @return The position of the next bracket, comma, colon or string, or the end.
size_t SkipToToken(std::string_view text, size_t at) {
  while ((at = text.find_first_of("[]{},:\"/", at)) < text.size() &&
         text[at] == '/')
    at = std::max(SkipComment(text, at), at + 1);
  return std::min(at, text.size());
}

// @return The position after the value that starts at or after `at`.
size_t SkipValue(std::string_view text, size_t at) {
  size_t depth = 0;
  while ((at = SkipToToken(text, at)) < text.size()) {
    char c = text[at];
    bool ends_value = c == ',' || c == ']' || c == '}';
    if (depth == 0 && ends_value)
      return at;
    if (c == '[' || c == '{')
      ++depth;
    else if (ends_value && c != ',')
      --depth;
    at = c == '"' ? SkipString(text, at) : at + 1;
  }
  return text.size();
}

// Positions of the elements of an array, without its brackets.
struct ArrayRange {
  size_t begin = 0;
  size_t end = 0;
};

std::optional<ArrayRange> FindArray(std::string_view text,
                                    std::string_view name) {
  std::string key = fmt::format("\"{}\"", name);
  size_t at = SkipToToken(text, 0);
  if (at >= text.size() || text[at] != '{')
    return std::nullopt;
  // One field of the object after the other.
  for (++at; (at = SkipToToken(text, at)) < text.size() && text[at] == '"';) {
    size_t name_end = std::min(SkipString(text, at), text.size());
    bool matches = text.substr(at, name_end - at) == key;
    at = SkipToToken(text, name_end);
    if (at >= text.size() || text[at] != ':')
      return std::nullopt;
    size_t value = SkipToToken(text, ++at);
    if (matches && value < text.size() && text[value] == '[') {
      size_t end = SkipValue(text, value + 1);
      while (end < text.size() && text[end] == ',')
        end = SkipValue(text, end + 1);
      return ArrayRange{value + 1, end};
    }
    at = SkipValue(text, at);
    if (at >= text.size() || text[at] != ',')
      return std::nullopt;
    ++at;
  }
  return std::nullopt;
}

// Brackets in strings and comments don't count. The result for text that is
// not JSON has no meaning, as the parser refuses it.
bool IsTooDeep(std::string_view text) {
  size_t depth = 0;
  size_t at = 0;
  while ((at = text.find_first_of("[]{}\"/", at)) < text.size()) {
    char c = text[at];
    if (c == '"') {
      at = SkipString(text, at);
      continue;
    }
    if (c == '/') {
      at = std::max(SkipComment(text, at), at + 1);
      continue;
    }
    if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth)
        return true;
    } else if (depth > 0) {
      --depth;
    }
    ++at;
  }
  return false;
}

}  // namespace

Result<Json> ParseJson(std::string_view text, std::string_view what) {
  if (IsTooDeep(text)) {
    return MakeError(
        ErrorCode::kInvalidArgument, what, "",
        fmt::format("must have at most {} levels of arrays and objects",
                    kMaxJsonDepth));
  }
  try {
    return Json::parse(text, nullptr, true, true);
  } catch (const Json::parse_error& error) {
    return MakeError(ErrorCode::kInvalidArgument, what, "",
                     fmt::format("is not valid JSON near byte {}", error.byte));
  } catch (const Json::exception&) {
    // The library reports a number such as 1e400 without a byte offset.
    return MakeError(ErrorCode::kInvalidArgument, what, "",
                     "has a number that is out of range");
  }
}

std::vector<std::string_view> SplitArray(std::string_view text,
                                         std::string_view name) {
  std::vector<std::string_view> elements;
  auto range = FindArray(text, name);
  if (!range)
    return elements;
  std::string_view array = text.substr(0, range->end);
  bool is_empty =
      array.find_first_not_of(" \t\r\n", range->begin) == std::string::npos;
  for (size_t at = range->begin; !is_empty && at <= range->end;) {
    size_t end = SkipValue(array, at);
    elements.push_back(array.substr(at, end - at));
    at = end + 1;
  }
  return elements;
}

std::string WithoutElements(std::string_view text, std::string_view name) {
  auto range = FindArray(text, name);
  if (!range)
    return std::string(text);
  return std::string(text.substr(0, range->begin)) +
         std::string(text.substr(range->end));
}

ObjectReader::ObjectReader(const Json& json, std::string_view path)
    : json(json), path(path) {}

std::string ObjectReader::PathOf(std::string_view name) const {
  return this->path.empty() ? std::string(name)
                            : fmt::format("{}.{}", this->path, name);
}

Result<void> ObjectReader::RequireObject() const {
  if (!this->json.is_object()) {
    return MakeError(ErrorCode::kInvalidArgument, this->path, Quote(this->json),
                     "must be an object");
  }
  return {};
}

Result<const Json*> ObjectReader::Find(std::string_view name, bool required) {
  BOOST_LEAF_CHECK(this->RequireObject());
  this->known.emplace(name);
  auto found = this->json.find(std::string(name));
  if (found != this->json.end())
    return &*found;
  if (required) {
    return MakeError(ErrorCode::kInvalidArgument, this->PathOf(name), "",
                     "is required");
  }
  return nullptr;
}

Result<std::string> ObjectReader::String(std::string_view name,
                                         std::optional<std::string> fallback) {
  BOOST_LEAF_AUTO(value, this->Find(name, !fallback.has_value()));
  if (value == nullptr)
    return *fallback;
  if (!value->is_string()) {
    return MakeError(ErrorCode::kInvalidArgument, this->PathOf(name),
                     Quote(*value), "must be a string");
  }
  return value->get<std::string>();
}

Result<int64_t> ObjectReader::Int(std::string_view name,
                                  IntRange range,
                                  std::optional<int64_t> fallback) {
  BOOST_LEAF_AUTO(value, this->Find(name, !fallback.has_value()));
  if (value == nullptr)
    return *fallback;
  bool fits = value->is_number_integer() &&
              !(value->is_number_unsigned() &&
                value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX));
  if (!fits || value->get<int64_t>() < range.low ||
      value->get<int64_t>() > range.high) {
    return MakeError(
        ErrorCode::kInvalidArgument, this->PathOf(name), Quote(*value),
        fmt::format("must be an integer from {} to {}", range.low, range.high));
  }
  return value->get<int64_t>();
}

Result<double> ObjectReader::Double(std::string_view name,
                                    DoubleRange range,
                                    std::optional<double> fallback) {
  BOOST_LEAF_AUTO(value, this->Find(name, !fallback.has_value()));
  if (value == nullptr)
    return *fallback;
  if (!value->is_number() || value->get<double>() < range.low ||
      value->get<double>() > range.high) {
    return MakeError(
        ErrorCode::kInvalidArgument, this->PathOf(name), Quote(*value),
        fmt::format("must be a number from {} to {}", range.low, range.high));
  }
  return value->get<double>();
}

Result<bool> ObjectReader::Bool(std::string_view name,
                                std::optional<bool> fallback) {
  BOOST_LEAF_AUTO(value, this->Find(name, !fallback.has_value()));
  if (value == nullptr)
    return *fallback;
  if (!value->is_boolean()) {
    return MakeError(ErrorCode::kInvalidArgument, this->PathOf(name),
                     Quote(*value), "must be true or false");
  }
  return value->get<bool>();
}

Result<const Json*> ObjectReader::Array(std::string_view name, bool required) {
  BOOST_LEAF_AUTO(value, this->Find(name, required));
  if (value != nullptr && !value->is_array()) {
    return MakeError(ErrorCode::kInvalidArgument, this->PathOf(name),
                     Quote(*value), "must be an array");
  }
  return value;
}

Result<const Json*> ObjectReader::Object(std::string_view name, bool required) {
  BOOST_LEAF_AUTO(value, this->Find(name, required));
  if (value != nullptr && !value->is_object()) {
    return MakeError(ErrorCode::kInvalidArgument, this->PathOf(name),
                     Quote(*value), "must be an object");
  }
  return value;
}

Result<void> ObjectReader::RefuseUnknownFields() const {
  BOOST_LEAF_CHECK(this->RequireObject());
  for (const auto& item : this->json.items()) {
    if (!this->known.contains(item.key())) {
      return MakeError(ErrorCode::kInvalidArgument,
                       this->PathOf(CutName(item.key())), Quote(item.value()),
                       "is not a known field");
    }
  }
  return {};
}

}  // namespace cranberryhill
