#include "cranberryhill/blocking_http/http_response_reader.h"

#include <fmt/format.h>

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
  size_t end = this->buffer.find(kHeadEnd);
  if (end == std::string::npos) {
    if (this->buffer.size() > kMaxHeadBytes)
      return Malformed("", "must have a header of at most 64 KiB");
    return false;
  }
  std::string head = this->buffer.substr(0, end + kLineEnd.size());
  this->buffer.erase(0, end + kHeadEnd.size());
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
  while (true) {
    size_t line_end = this->buffer.find(kLineEnd);
    if (line_end == std::string::npos)
      return false;
    size_t size = 0;
    const char* text = this->buffer.data();
    auto parsed = std::from_chars(text, text + line_end, size, 16);
    bool has_valid_end = parsed.ptr == text + line_end || *parsed.ptr == ';';
    if (parsed.ec != std::errc() || !has_valid_end || size > this->max_bytes)
      return Malformed(
          this->buffer.substr(0, line_end),
          "must be a hexadecimal chunk size within the body limit");
    if (size == 0)
      return true;
    size_t start = line_end + kLineEnd.size();
    if (this->buffer.size() < start + size + kLineEnd.size())
      return false;
    this->response.body.append(this->buffer, start, size);
    this->buffer.erase(0, start + size + kLineEnd.size());
  }
}

}  // namespace cranberryhill
