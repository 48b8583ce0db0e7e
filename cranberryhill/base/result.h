#ifndef CRANBERRYHILL_BASE_RESULT_H_
#define CRANBERRYHILL_BASE_RESULT_H_

// Errors as values, carried by Boost.LEAF.
//
//   Result<int> ParsePort(std::string_view text) {
//     ...
//     return MakeError(ErrorCode::kInvalidArgument, "port", text,
//                      "must be from 1 to 65535");
//   }
//   Outcome<int> port = Capture([&] { return ParsePort("x"); });
//   if (!port.ok()) LogLine("settings refused: {}", port.error().ToString());

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cranberryhill {

/// Classes of errors that callers treat differently.
enum class ErrorCode {
  kInvalidArgument,  ///< The input breaks a rule; a repeat fails again.
  kNotFound,
  kConflict,     ///< Somebody else's change came first.
  kUnavailable,  ///< Not done; may be tried again.
  kUnknown,      ///< May or may not have taken effect.
  kExhausted,    ///< A limit or a budget is used up.
  kInternal,
};

/// @return The stable, machine-readable name of `code`.
std::string_view ErrorCodeName(ErrorCode code);

/// An error that names the field, the value and the rule that it breaks.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string field;  ///< Path such as "roles.prefill.min_share"; may be empty.
  std::string value;  ///< The offending value; may be empty.
  std::string rule;   ///< What was expected, or what happened.

  /// @return One line for logs and operators.
  std::string ToString() const;
};

template <typename T>
using Result = boost::leaf::result<T>;

/// Loads an Error into the current LEAF context.
/// @return An error id that converts to any Result<T>.
boost::leaf::error_id MakeError(ErrorCode code,
                                std::string_view field,
                                std::string_view value,
                                std::string_view rule);

/// A value or an Error that can be stored and passed between threads, unlike
/// a Result, whose error lives in the scope that handles it.
template <typename T>
class Outcome {
 public:
  // Implicit, so that functions can return either.
  Outcome(T value) : held(std::move(value)) {}         // NOLINT
  Outcome(Error error) : failure(std::move(error)) {}  // NOLINT

  bool ok() const { return this->held.has_value(); }    // NOLINT
  const T& value() const { return *this->held; }        // NOLINT
  T& value() { return *this->held; }                    // NOLINT
  const Error& error() const { return this->failure; }  // NOLINT

 private:
  std::optional<T> held;
  Error failure;
};

/// Runs `function`, which returns a Result<T>, and stores its outcome.
template <typename F>
auto Capture(F&& function)
    -> Outcome<std::decay_t<decltype(function().value())>> {
  using Value = std::decay_t<decltype(function().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Outcome<Value>> {
        auto result = function();
        if (!result)
          return result.error();
        return Outcome<Value>(std::move(result.value()));
      },
      [](const Error& error) { return Outcome<Value>(error); },
      [] {
        return Outcome<Value>(
            Error{ErrorCode::kInternal, "", "", "unclassified error"});
      });
}

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_RESULT_H_
