#include "cranberryhill/calls/internal/http_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "cranberryhill/base/absl_view.h"
#include "cranberryhill/calls/internal/blocking_socket.h"

namespace cranberryhill {
namespace {

constexpr size_t kReadBytes = 16384;
constexpr size_t kMaxHeadBytes = 65536;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

boost::leaf::error_id Malformed(std::string_view value, std::string_view rule) {
  return MakeError(ErrorCode::kInvalidArgument, "answer", value, rule);
}

// A line break or blank in one of these would change the request's meaning.
bool IsSafe(std::string_view text, bool allow_blank) {
  return std::none_of(text.begin(), text.end(), [&](unsigned char c) {
    return absl::ascii_iscntrl(c) || (c == ' ' && !allow_blank);
  });
}

bool IsSafe(const ServiceCall& call) {
  return !call.method.empty() && IsSafe(call.method, false) &&
         call.path.starts_with('/') && IsSafe(call.path, false) &&
         IsSafe(call.customer, true) && IsSafe(call.idempotency_key, true) &&
         IsSafe(call.content_type, true);
}

std::string RequestText(const ServiceAddress& address,
                        const ServiceCall& call,
                        absl::Duration time_left) {
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\nHost: {}:{}\r\nConnection: close\r\n",
                  call.method, call.path, address.ip, address.port);
  auto add = [&](std::string_view name, std::string_view value) {
    if (!value.empty())
      text += fmt::format("{}: {}\r\n", name, value);
  };
  add("x-customer", call.customer);
  add("Idempotency-Key", call.idempotency_key);
  add("Content-Type", call.content_type);
  if (time_left < absl::InfiniteDuration()) {
    add("x-deadline-ms",
        fmt::format("{}", absl::ToInt64Milliseconds(time_left)));
  }
  text += fmt::format("Content-Length: {}\r\n\r\n", call.body.size());
  return text + call.body;
}

bool WriteAll(BlockingSocket& socket,
              std::string_view text,
              absl::Time end,
              const Clock& clock) {
  while (!text.empty()) {
    auto count = socket.Write(text, end - clock.Now());
    if (!count.has_value())
      return false;
    text.remove_prefix(*count);
  }
  return true;
}

// Reads until the answer is complete. @return False when it never will be.
Result<bool> ReadAnswer(BlockingSocket& socket,
                        AnswerReader& reader,
                        absl::Time end,
                        const Clock& clock) {
  std::array<char, kReadBytes> chunk;
  while (clock.Now() < end) {
    auto count = socket.Read(chunk.data(), chunk.size(), end - clock.Now());
    if (!count.has_value())
      return false;
    if (*count == 0)
      return reader.AppendEnd();
    BOOST_LEAF_AUTO(complete, reader.Append({chunk.data(), *count}));
    if (complete)
      return true;
  }
  return false;
}

SendOutcome NothingSent(std::string_view detail, bool was_stopped = false) {
  return {SendState::kNothingSent, {}, was_stopped, std::string(detail)};
}

SendOutcome Unknown(std::string_view detail) {
  return {SendState::kUnknown, {}, false, std::string(detail)};
}

}  // namespace

SendOutcome Exchange(const ServiceAddress& address,
                     const ServiceCall& call,
                     const ExchangeLimits& limits,
                     const MaySend& may_send,
                     const Clock& clock) {
  if (!IsSafe(call))
    return NothingSent("the method, path or a header has a forbidden byte");
  absl::Time start = clock.Now();
  if (start >= call.deadline)
    return NothingSent("the deadline expired", true);
  std::string name = fmt::format("{}:{}", address.ip, address.port);
  BlockingSocket socket;
  if (!socket.Connect(
          address.ip, address.port,
          std::min(limits.connect_timeout, call.deadline - start))) {
    return NothingSent(fmt::format("cannot connect to {}", name));
  }
  absl::Time sent = clock.Now();
  absl::Time end = std::min(call.deadline, sent + limits.answer_timeout);
  std::string text = RequestText(address, call, call.deadline - sent);
  if (!may_send())
    return NothingSent("the deadline expired", true);
  // From here on a byte may have been written.
  if (!WriteAll(socket, text, end, clock))
    return Unknown(fmt::format("{} did not take the whole call", name));
  AnswerReader reader(limits.max_answer_bytes);
  auto complete = Capture([&] {  //
    return ReadAnswer(socket, reader, end, clock);
  });
  if (!complete.ok()) {
    return Unknown(fmt::format("{} sent a bad answer: {}", name,
                               complete.error().ToString()));
  }
  if (!complete.value())
    return Unknown(fmt::format("{} gave no whole answer", name));
  return {SendState::kAnswered, reader.result(), false, ""};
}

Result<bool> AnswerReader::Append(std::string_view bytes) {
  this->received += bytes.size();
  if (this->received > this->max_bytes + kMaxHeadBytes)
    return Malformed("", fmt::format("exceeds {} bytes", this->max_bytes));
  this->buffer += bytes;
  // Answers with a status of 100 to 199 come before the answer proper.
  while (!this->has_head) {
    BOOST_LEAF_AUTO(found, this->ReadHead());
    if (!found)
      return false;
  }
  return this->ReadBody();
}

bool AnswerReader::AppendEnd() {
  return this->has_head && this->framing == Framing::kUntilClose;
}

Result<bool> AnswerReader::ReadHead() {
  size_t end = this->buffer.find(kHeadEnd);
  if (end == std::string::npos) {
    if (this->buffer.size() > kMaxHeadBytes)
      return Malformed("", "has too large a header");
    return false;
  }
  std::string head = this->buffer.substr(0, end + kLineEnd.size());
  this->buffer.erase(0, end + kHeadEnd.size());
  std::string_view rest = head;
  size_t line_end = rest.find(kLineEnd);
  std::string_view line = rest.substr(0, line_end);
  // "HTTP/1.1 200 OK"
  constexpr size_t kStatusAt = 9;
  constexpr size_t kStatusEnd = 12;
  int status = 0;
  if (!line.starts_with("HTTP/1.") || line.size() < kStatusEnd ||
      std::from_chars(line.data() + kStatusAt, line.data() + kStatusEnd, status)
              .ptr != line.data() + kStatusEnd ||
      status < 100) {
    return Malformed(line, "must start with an HTTP/1 status line");
  }
  this->answer.status = status;
  for (rest.remove_prefix(line_end + 2); !rest.empty();
       rest.remove_prefix(line_end + 2)) {
    line_end = rest.find(kLineEnd);
    BOOST_LEAF_CHECK(this->ReadField(rest.substr(0, line_end)));
  }
  if (status == 204 || status == 304) {
    this->framing = Framing::kLength;
    this->length = 0;
  }
  this->has_head = status >= 200;
  return true;
}

Result<void> AnswerReader::ReadField(std::string_view line) {
  size_t colon = line.find(':');
  if (colon == std::string_view::npos)
    return Malformed(line, "must have a colon in each header line");
  absl::string_view name = ToAbsl(line.substr(0, colon));
  absl::string_view value =
      absl::StripAsciiWhitespace(ToAbsl(line.substr(colon + 1)));
  if (absl::EqualsIgnoreCase(name, "content-type")) {
    this->answer.content_type = std::string(value);
  } else if (absl::EqualsIgnoreCase(name, "transfer-encoding")) {
    if (!absl::EqualsIgnoreCase(value, "chunked"))
      return Malformed(line, "has an unknown transfer encoding");
    this->framing = Framing::kChunked;
  } else if (absl::EqualsIgnoreCase(name, "content-length") &&
             this->framing != Framing::kChunked) {
    const char* end = value.data() + value.size();
    auto parsed = std::from_chars(value.data(), end, this->length);
    if (parsed.ec != std::errc() || parsed.ptr != end)
      return Malformed(line, "must have a whole number as length");
    if (this->length > this->max_bytes)
      return Malformed(line, fmt::format("exceeds {} bytes", this->max_bytes));
    this->framing = Framing::kLength;
  }
  return {};
}

Result<bool> AnswerReader::ReadBody() {
  if (this->framing == Framing::kChunked)
    return this->ReadChunks();
  this->answer.body += this->buffer;
  this->buffer.clear();
  if (this->framing == Framing::kUntilClose)
    return false;
  if (this->answer.body.size() < this->length)
    return false;
  this->answer.body.resize(this->length);
  return true;
}

Result<bool> AnswerReader::ReadChunks() {
  while (true) {
    size_t line_end = this->buffer.find(kLineEnd);
    if (line_end == std::string::npos)
      return false;
    size_t size = 0;
    const char* text = this->buffer.data();
    auto parsed = std::from_chars(text, text + line_end, size, 16);
    bool ends_well = parsed.ptr == text + line_end || *parsed.ptr == ';';
    if (parsed.ec != std::errc() || !ends_well || size > this->max_bytes)
      return Malformed(this->buffer.substr(0, line_end), "is no chunk size");
    if (size == 0)
      return true;
    size_t start = line_end + kLineEnd.size();
    if (this->buffer.size() < start + size + kLineEnd.size())
      return false;
    this->answer.body.append(this->buffer, start, size);
    this->buffer.erase(0, start + size + kLineEnd.size());
  }
}

}  // namespace cranberryhill
