#ifndef CRANBERRYHILL_BASE_JSON_H_
#define CRANBERRYHILL_BASE_JSON_H_

// Reads typed fields from JSON and reports errors that name the field, the
// value and the rule.
//
//   BOOST_LEAF_AUTO(json, ParseJson(text, "settings"));
//   ObjectReader reader(json, "settings");
//   BOOST_LEAF_AUTO(port, reader.Int("port", {1, 65535}));
//   BOOST_LEAF_CHECK(reader.RefuseUnknownFields());

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

using Json = nlohmann::json;

/// Arrays and objects within each other. The environment document has 5
/// levels; 500,000 levels overflowed the stack where an error message quotes
/// the value.
inline constexpr size_t kMaxJsonDepth = 64;

/// Parses JSON; // and /* */ comments are allowed.
/// @param text The document.
/// @param what Name of the document, used in errors.
/// @return The parsed value, or kInvalidArgument with the byte offset or for
/// more than kMaxJsonDepth levels.
Result<Json> ParseJson(std::string_view text, std::string_view what);

/// Finds the elements of the array `name` of an object without parsing them, so
/// that one that cannot be parsed does not hide the others.
/// @param text The object. Must outlive the result.
/// @return The texts of the elements; none if there is no such array.
std::vector<std::string_view> SplitArray(std::string_view text,
                                         std::string_view name);

/// @return `text` with an empty array in place of the array `name`.
std::string WithoutElements(std::string_view text, std::string_view name);

/// Inclusive bounds of an integer field.
struct IntRange {
  int64_t low = 0;
  int64_t high = INT64_MAX;
};

/// Inclusive bounds of a floating-point field.
struct DoubleRange {
  double low = 0;
  double high = 1e308;
};

/// Reads the fields of one JSON object. Keeps a reference to the object.
/// Every function returns kInvalidArgument for a missing field without a
/// default, a wrong type or a value out of range.
class ObjectReader {
 public:
  /// @param json The object; must outlive the reader.
  /// @param path Prefix of field names in errors.
  ObjectReader(const Json& json, std::string_view path);

  Result<std::string> String(std::string_view name,
                             std::optional<std::string> fallback = {});
  Result<int64_t> Int(std::string_view name,
                      IntRange range,
                      std::optional<int64_t> fallback = {});
  Result<double> Double(std::string_view name,
                        DoubleRange range,
                        std::optional<double> fallback = {});
  Result<bool> Bool(std::string_view name, std::optional<bool> fallback = {});

  /// @return The array `name`, or null when absent and `required` is false.
  Result<const Json*> Array(std::string_view name, bool required = true);

  /// @return The object `name`, or null when absent and `required` is false.
  Result<const Json*> Object(std::string_view name, bool required = true);

  /// @return An error that names the first field that was not read.
  Result<void> RefuseUnknownFields() const;

  /// @return `name` with the path of this object in front.
  std::string PathOf(std::string_view name) const;

 private:
  Result<const Json*> Find(std::string_view name, bool required);
  Result<void> RequireObject() const;

  const Json& json;
  std::string path;
  std::set<std::string, std::less<>> known;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_JSON_H_
