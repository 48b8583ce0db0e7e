#include "cranberryhill/blocking_http/http_response_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "cranberryhill/base/absl_view.h"

namespace cranberryhill {
namespace {

constexpr size_t kMaxHeadBytes = 65536;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

boost::leaf::error_id Malformed(std::string_view value, std::string_view rule) {
  return MakeError(ErrorCode::kInvalidArgument, "answer", value, rule);
}

}  // namespace

Result<bool> HttpResponseReader::Append(std::string_view bytes) {
  this->received_bytes += bytes.size();
  if (this->received_bytes > this->max_bytes + kMaxHeadBytes)
    return Malformed("", fmt::format("must have a body of at most {} bytes",
                                     this->max_bytes));
  this->buffer += bytes;
  // Interim responses with a status of 100 to 199 precede the final response.
  while (!this->has_head) {
    BOOST_LEAF_AUTO(found, this->ParseHead());
    if (!found)
      return false;
  }
  return this->ParseBody();
}

bool HttpResponseReader::OnConnectionClosed() {
  return this->has_head && this->framing == Framing::kUntilClose;
}

Result<bool> HttpResponseReader::ParseHead() {
  size_t end = this->FindEnd(kHeadEnd);
  if (end == std::string::npos) {
    if (this->buffer.size() > kMaxHeadBytes)
      return Malformed("", "must have a header of at most 64 KiB");
    return false;
  }
  std::string head = this->buffer.substr(0, end + kLineEnd.size());
  this->Drop(end + kHeadEnd.size());
  std::string_view rest = head;
  size_t line_end = rest.find(kLineEnd);
  std::string_view line = rest.substr(0, line_end);
  // Position of the status code in a line such as "HTTP/1.1 200 OK".
  constexpr size_t kStatusBegin = 9;
  constexpr size_t kStatusEnd = 12;
  int status = 0;
  if (!line.starts_with("HTTP/1.") || line.size() < kStatusEnd ||
      std::from_chars(line.data() + kStatusBegin, line.data() + kStatusEnd,
                      status)
              .ptr != line.data() + kStatusEnd ||
      status < 100 || status > 599) {
    return Malformed(line, "must start with an HTTP/1 status line");
  }
  this->response.status = status;
  this->keep_alive = line.starts_with("HTTP/1.1");
  for (rest.remove_prefix(line_end + 2); !rest.empty();
       rest.remove_prefix(line_end + 2)) {
    line_end = rest.find(kLineEnd);
    BOOST_LEAF_CHECK(this->ParseHeaderLine(rest.substr(0, line_end)));
  }
  if (status == 204 || status == 304) {
    this->framing = Framing::kLength;
    this->content_length = 0;
  }
  this->has_head = status >= 200;
  return true;
}

Result<void> HttpResponseReader::ParseHeaderLine(std::string_view line) {
  size_t colon = line.find(':');
  if (colon == std::string_view::npos)
    return Malformed(line, "must have a colon in each header line");
  absl::string_view name = ToAbsl(line.substr(0, colon));
  absl::string_view value =
      absl::StripAsciiWhitespace(ToAbsl(line.substr(colon + 1)));
  if (absl::EqualsIgnoreCase(name, "connection")) {
    this->keep_alive = absl::EqualsIgnoreCase(value, "keep-alive");
  } else if (absl::EqualsIgnoreCase(name, "content-type")) {
    this->response.content_type = std::string(value);
  } else if (absl::EqualsIgnoreCase(name, "transfer-encoding")) {
    if (!absl::EqualsIgnoreCase(value, "chunked"))
      return Malformed(line,
                       "must have the transfer encoding 'chunked' or none");
    this->framing = Framing::kChunked;
  } else if (absl::EqualsIgnoreCase(name, "content-length") &&
             this->framing != Framing::kChunked) {
    const char* end = value.data() + value.size();
    auto parsed = std::from_chars(value.data(), end, this->content_length);
    if (parsed.ec != std::errc() || parsed.ptr != end)
      return Malformed(line,
                       "must have an unsigned integer as its content length");
    if (this->content_length > this->max_bytes)
      return Malformed(line, fmt::format("must have a body of at most {} bytes",
                                         this->max_bytes));
    this->framing = Framing::kLength;
  }
  return {};
}

Result<bool> HttpResponseReader::ParseBody() {
  if (this->framing == Framing::kChunked)
    return this->ParseChunks();
  this->response.body += this->buffer;
  this->buffer.clear();
  if (this->framing == Framing::kUntilClose)
    return false;
  if (this->response.body.size() < this->content_length)
    return false;
  this->has_exact_length = this->response.body.size() == this->content_length;
  this->response.body.resize(this->content_length);
  return true;
}

Result<bool> HttpResponseReader::ParseChunks() {
  size_t begin = 0;  // Of what has not been parsed.
  bool is_complete = false;
  while (!is_complete) {
    if (!this->chunk_size) {
      size_t line_end = this->FindEnd(kLineEnd);
      if (line_end == std::string::npos)
        break;
      std::string_view line =
          std::string_view(this->buffer).substr(begin, line_end - begin);
      BOOST_LEAF_ASSIGN(this->chunk_size, this->ParseChunkSize(line));
      begin = line_end + kLineEnd.size();
    }
    size_t size = *this->chunk_size;
    is_complete = size == 0;
    if (this->buffer.size() - begin < size + kLineEnd.size())
      break;
    this->response.body.append(this->buffer, begin, size);
    begin += size + kLineEnd.size();
    this->searched = begin;
    this->chunk_size.reset();
  }
  this->Drop(begin);
  return is_complete;
}

Result<size_t> HttpResponseReader::ParseChunkSize(std::string_view line) const {
  size_t size = 0;
  const char* end = line.data() + line.size();
  auto parsed = std::from_chars(line.data(), end, size, 16);
  bool has_valid_end = parsed.ptr == end || *parsed.ptr == ';';
  if (parsed.ec != std::errc() || !has_valid_end || size > this->max_bytes)
    return Malformed(line,
                     "must be a hexadecimal chunk size within the body limit");
  return size;
}

/// @return Where the next part that ends with `end` ends, without it; npos if
///     its end has not been received.
size_t HttpResponseReader::FindEnd(std::string_view end) {
  size_t found = this->buffer.find(end, this->searched);
  size_t scanned_to =
      found == std::string::npos ? this->buffer.size() : found + end.size();
  this->scanned += scanned_to - this->searched;
  // The last bytes may be the beginning of `end`.
  size_t kept = std::min(end.size() - 1, scanned_to - this->searched);
  this->searched = found == std::string::npos ? scanned_to - kept : scanned_to;
  return found;
}

/// Drops bytes that have been parsed.
void HttpResponseReader::Drop(size_t bytes) {
  this->buffer.erase(0, bytes);
  this->searched -= std::min(this->searched, bytes);
}

}  // namespace cranberryhill
