#ifndef CRANBERRYHILL_HTTP1_MESSAGE_H_
#define CRANBERRYHILL_HTTP1_MESSAGE_H_

// Heads of HTTP/1.1 messages, free of the parser's types.
//
//   AnswerHead head{.status = 200, .reason = "OK"};
//   head.headers.Add("Content-Type", "application/json");
//   std::string bytes = SerializeAnswer(head, BodyFraming::Length(2)) + "{}";

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryhill::http1 {

struct HeaderField {
  std::string name;
  std::string value;
};

/// Header fields in the order received. Names compare without regard to case.
class HeaderList {
 public:
  void Add(std::string_view name, std::string_view value);

  /// Removes all fields with this name, then adds one.
  void Set(std::string_view name, std::string_view value);

  void Remove(std::string_view name);

  /// @return The value of the first field with this name.
  std::optional<std::string_view> Find(std::string_view name) const;

  /// @return Number of fields with this name.
  size_t Count(std::string_view name) const;

  /// Removes the fields that concern one connection only, including those that
  /// a Connection field names, and the fields that frame the body.
  void RemoveConnectionFields();

  std::vector<HeaderField>::const_iterator begin() const {  // NOLINT
    return this->fields.begin();
  }
  std::vector<HeaderField>::const_iterator end() const {  // NOLINT
    return this->fields.end();
  }

 private:
  std::vector<HeaderField> fields;
};

struct RequestHead {
  std::string method;
  std::string target;
  bool http_1_1 = true;    ///< False for HTTP/1.0.
  bool keep_alive = true;  ///< The client accepts another answer afterwards.
  HeaderList headers;
};

/// A request with its body.
struct OutgoingRequest {
  RequestHead head;
  std::string body;
};

struct AnswerHead {
  int status = 200;
  std::string reason;
  HeaderList headers;
};

/// How the end of a body is marked.
struct BodyFraming {
  enum class Kind { kLength, kChunked, kClose };

  static BodyFraming Length(uint64_t bytes) { return {Kind::kLength, bytes}; }
  static BodyFraming Chunked() { return {Kind::kChunked, 0}; }
  static BodyFraming Close() { return {Kind::kClose, 0}; }

  Kind kind = Kind::kLength;
  uint64_t bytes = 0;  ///< Used by kLength only.
};

/// @return The whole request. The list must hold no framing fields.
std::string SerializeRequest(const RequestHead& head, std::string_view body);

/// @param close Adds "Connection: close".
/// @return The head of an answer, up to the empty line. The list must hold no
///     framing fields.
std::string SerializeAnswer(const AnswerHead& head,
                            BodyFraming framing,
                            bool close);

/// @return One chunk of a chunked body; empty for empty `data`, which would
///     end the body.
std::string SerializeChunk(std::string_view data);

/// Marks the end of a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// @return The standard reason phrase of `status`, or "Unknown".
std::string_view ReasonPhrase(int status);

/// @return True when the strings are equal without regard to ASCII case.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

}  // namespace cranberryhill::http1

#endif  // CRANBERRYHILL_HTTP1_MESSAGE_H_
