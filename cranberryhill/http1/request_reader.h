#ifndef CRANBERRYHILL_HTTP1_REQUEST_READER_H_
#define CRANBERRYHILL_HTTP1_REQUEST_READER_H_

// Parses requests from the bytes of a connection, without I/O. Strict: a
// request whose end two parsers could place differently is refused.
//
//   RequestReader reader(limits);
//   size_t used = reader.Feed(buffer);
//   if (reader.state() == RequestReader::State::kDone) ...reader.TakeHead()...

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cranberryhill/http1/message.h"

namespace cranberryhill::http1 {

/// Bounds of one request.
struct RequestLimits {
  uint32_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
};

/// Reads one request.
class RequestReader {
 public:
  enum class State { kHeader, kBody, kDone, kFailed };

  explicit RequestReader(RequestLimits limits);
  ~RequestReader();

  /// @param input All bytes that were not consumed yet.
  /// @return Bytes consumed; the caller drops them and keeps the rest.
  size_t Feed(std::string_view input);

  State state() const { return this->progress; }  // NOLINT

  /// @return Status to answer with after kFailed: 400, 413 or 431.
  int failure_status() const { return this->failure; }  // NOLINT

  /// @return The parser's reason after kFailed.
  const std::string& failure_reason() const { return this->reason; }  // NOLINT

  /// @return True when the head asks for "100 Continue". From kBody on.
  bool ExpectsContinue() const;

  /// @return Bytes of the body received so far.
  size_t body_bytes() const;  // NOLINT

  /// Valid once in kDone.
  RequestHead TakeHead();
  std::string TakeBody();

 private:
  struct Parser;

  void Fail(int status, std::string_view why);
  void OnHeaderDone();

  std::unique_ptr<Parser> parser;
  size_t max_incomplete_bytes;
  State progress = State::kHeader;
  int failure = 0;
  std::string reason;
};

}  // namespace cranberryhill::http1

#endif  // CRANBERRYHILL_HTTP1_REQUEST_READER_H_
