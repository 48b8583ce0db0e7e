#ifndef CRANBERRYHILL_BLOCKING_HTTP_HTTP_RESPONSE_READER_H_
#define CRANBERRYHILL_BLOCKING_HTTP_HTTP_RESPONSE_READER_H_

// Parses an HTTP/1.1 response of limited size.
//
//   HttpResponseReader reader(max_body_bytes);
//   BOOST_LEAF_AUTO(complete, reader.Append(bytes));

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

struct HttpResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Parses one HTTP/1.1 response from the bytes received.
class HttpResponseReader {
 public:
  explicit HttpResponseReader(size_t max_bytes) : max_bytes(max_bytes) {}

  /// Adds the next bytes received.
  /// @return True when the response is complete, or kInvalidArgument if it is
  /// malformed or too large.
  Result<bool> Append(std::string_view bytes);

  /// Records that the backend server has closed the connection.
  /// @return True if this completes the response.
  bool OnConnectionClosed();

  /// @return Whether the connection takes another request after this response.
  bool KeepsAlive() const {
    return this->keep_alive && this->framing == Framing::kLength &&
           this->has_exact_length;
  }

  /// @return Whether no byte of a response has arrived.
  bool IsEmpty() const { return this->received_bytes == 0; }

  const HttpResponse& result() const { return this->response; }  // NOLINT

  /// @return The number of bytes that were searched for the end of a part, each
  ///     time counted. It is linear in the number of bytes received, however
  ///     these are split.
  size_t scanned_bytes() const { return this->scanned; }  // NOLINT

 private:
  enum class Framing { kLength, kChunked, kUntilClose };

  Result<bool> ParseHead();
  Result<void> ParseHeaderLine(std::string_view line);
  Result<bool> ParseBody();
  Result<bool> ParseChunks();
  Result<size_t> ParseChunkSize(std::string_view line) const;
  size_t FindEnd(std::string_view end);
  void Drop(size_t bytes);

  const size_t max_bytes;
  std::string buffer;   // Bytes received but not yet parsed.
  size_t searched = 0;  // No part of `buffer` ends before.
  size_t scanned = 0;
  size_t received_bytes = 0;
  std::optional<size_t> chunk_size;  // Of the chunk that is not complete.
  bool has_head = false;
  bool keep_alive = false;
  bool has_exact_length = false;
  Framing framing = Framing::kUntilClose;
  size_t content_length = 0;
  HttpResponse response;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BLOCKING_HTTP_HTTP_RESPONSE_READER_H_
