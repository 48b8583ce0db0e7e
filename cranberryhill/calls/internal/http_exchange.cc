#include "cranberryhill/calls/internal/http_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "cranberryhill/blocking_http/blocking_socket.h"
#include "cranberryhill/blocking_http/http_response_reader.h"

namespace cranberryhill {
namespace {

constexpr size_t kReadBytes = 16384;

// Returns whether `text` has no control characters and, unless `allow_space`,
// no spaces. Such bytes would let the caller add header lines or otherwise
// change the request.
bool HasNoForbiddenBytes(std::string_view text, bool allow_space) {
  return std::none_of(text.begin(), text.end(), [&](unsigned char c) {
    return absl::ascii_iscntrl(c) || (c == ' ' && !allow_space);
  });
}

bool IsValidCall(const ServiceCall& call) {
  return !call.method.empty() && HasNoForbiddenBytes(call.method, false) &&
         call.path.starts_with('/') && HasNoForbiddenBytes(call.path, false) &&
         HasNoForbiddenBytes(call.customer, true) &&
         HasNoForbiddenBytes(call.idempotency_key, true) &&
         HasNoForbiddenBytes(call.content_type, true);
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

// Reads until the response is complete. Returns false if the connection fails
// or is closed before that, or if the time `end` is reached.
Result<bool> ReadResponse(BlockingSocket& socket,
                          HttpResponseReader& reader,
                          absl::Time end,
                          const Clock& clock) {
  std::array<char, kReadBytes> chunk;
  while (clock.Now() < end) {
    auto count = socket.Read(chunk.data(), chunk.size(), end - clock.Now());
    if (!count.has_value())
      return false;
    if (*count == 0)
      return reader.OnConnectionClosed();
    BOOST_LEAF_AUTO(complete, reader.Append({chunk.data(), *count}));
    if (complete)
      return true;
  }
  return false;
}

SendOutcome NothingSentOutcome(std::string_view detail,
                               bool send_not_allowed = false) {
  return {SendState::kNothingSent, {}, send_not_allowed, std::string(detail)};
}

SendOutcome UnknownOutcome(std::string_view detail) {
  return {SendState::kUnknown, {}, false, std::string(detail)};
}

}  // namespace

SendOutcome RunHttpExchange(const ServiceAddress& address,
                            const ServiceCall& call,
                            const HttpExchangeLimits& limits,
                            const MaySend& may_send,
                            const Clock& clock) {
  if (!IsValidCall(call))
    return NothingSentOutcome(
        "the method is empty, the path does not start with '/', or the method, "
        "path or a header contains a forbidden byte");
  absl::Time start = clock.Now();
  if (start >= call.deadline)
    return NothingSentOutcome("the deadline expired", true);
  std::string address_text = fmt::format("{}:{}", address.ip, address.port);
  BlockingSocket socket;
  if (!socket.Connect(
          address.ip, address.port,
          std::min(limits.connect_timeout, call.deadline - start))) {
    return NothingSentOutcome(
        fmt::format("cannot connect to {}", address_text));
  }
  absl::Time connected_at = clock.Now();
  absl::Time end =
      std::min(call.deadline, connected_at + limits.answer_timeout);
  std::string text = RequestText(address, call, call.deadline - connected_at);
  if (!may_send())
    return NothingSentOutcome("the deadline expired", true);
  // From here on, bytes may have been written.
  if (!WriteAll(socket, text, end, clock))
    return UnknownOutcome(
        fmt::format("{} did not accept the whole request", address_text));
  HttpResponseReader reader(limits.max_answer_bytes);
  auto complete = Capture([&] {  //
    return ReadResponse(socket, reader, end, clock);
  });
  if (!complete.ok()) {
    return UnknownOutcome(fmt::format("{} sent an invalid response: {}",
                                      address_text,
                                      complete.error().ToString()));
  }
  if (!complete.value())
    return UnknownOutcome(
        fmt::format("{} did not send a complete response", address_text));
  socket.SetCloseMode(CloseMode::kOrderly);
  const HttpResponse& response = reader.result();
  return {SendState::kAnswered,
          {response.status, response.content_type, response.body},
          false,
          ""};
}

}  // namespace cranberryhill
