#ifndef CRANBERRYHILL_CALLS_INTERNAL_HTTP_EXCHANGE_H_
#define CRANBERRYHILL_CALLS_INTERNAL_HTTP_EXCHANGE_H_

// One HTTP/1.1 request on a fresh connection, written at most once.
//
// cxxtools::http::Client is not used here: after an explicit connect() it
// opens a second connection and writes the request again when the first one
// ends without an answer (seen with cxxtools 3.0), and without connect() it
// does not tell a failed connect from a lost answer.
//
//   SendOutcome outcome = Exchange(address, call, limits, may_send, clock);

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/calls/call.h"
#include "cranberryhill/calls/call_sender.h"
#include "cranberryhill/calls/service_client.h"

namespace cranberryhill {

struct ExchangeLimits {
  absl::Duration connect_timeout;
  absl::Duration answer_timeout;
  size_t max_answer_bytes = 0;
};

/// Blocks until the whole answer is read, the deadline or a limit. Thread-safe
/// when `clock` is.
SendOutcome Exchange(const ServiceAddress& address,
                     const ServiceCall& call,
                     const ExchangeLimits& limits,
                     const MaySend& may_send,
                     const Clock& clock);

/// Collects the bytes of one HTTP/1.1 answer.
class AnswerReader {
 public:
  explicit AnswerReader(size_t max_bytes) : max_bytes(max_bytes) {}

  /// Takes the next bytes. @return True when the answer is complete, or
  /// kInvalidArgument when it is malformed or too large.
  Result<bool> Append(std::string_view bytes);

  /// The connection was closed. @return True when that ends the answer.
  bool AppendEnd();

  const CallResult& result() const { return this->answer; }  // NOLINT

 private:
  enum class Framing { kLength, kChunked, kUntilClose };

  Result<bool> ReadHead();
  Result<void> ReadField(std::string_view line);
  Result<bool> ReadBody();
  Result<bool> ReadChunks();

  const size_t max_bytes;
  std::string buffer;  // Bytes that are not yet part of `answer`.
  size_t received = 0;
  bool has_head = false;
  Framing framing = Framing::kUntilClose;
  size_t length = 0;
  CallResult answer;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_INTERNAL_HTTP_EXCHANGE_H_
