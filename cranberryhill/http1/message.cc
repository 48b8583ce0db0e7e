#include "cranberryhill/http1/message.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "cranberryhill/base/absl_view.h"

namespace cranberryhill::http1 {
namespace {

constexpr std::string_view kConnectionFields[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Content-Length",
    "Expect",
};

/// @return The names of the fields that concern the connection only, in lower
///     case: a head may list as many names as it has fields.
absl::flat_hash_set<std::string> ConnectionFields(const HeaderList& headers) {
  absl::flat_hash_set<std::string> names;
  for (std::string_view name : kConnectionFields)
    names.insert(absl::AsciiStrToLower(ToAbsl(name)));
  for (const HeaderField& field : headers) {
    if (!EqualsIgnoreCase(field.name, "Connection"))
      continue;
    for (absl::string_view name : absl::StrSplit(field.value, ','))
      names.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(name)));
  }
  return names;
}

void AppendFields(const HeaderList& headers, std::string& out) {
  for (const HeaderField& field : headers) {
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
}

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(ToAbsl(left), ToAbsl(right));
}

void HeaderList::Add(std::string_view name, std::string_view value) {
  this->fields.push_back({std::string(name), std::string(value)});
}

void HeaderList::Set(std::string_view name, std::string_view value) {
  this->Remove(name);
  this->Add(name, value);
}

void HeaderList::Remove(std::string_view name) {
  std::erase_if(this->fields, [name](const HeaderField& field) {
    return EqualsIgnoreCase(field.name, name);
  });
}

std::optional<std::string_view> HeaderList::Find(std::string_view name) const {
  for (const HeaderField& field : this->fields) {
    if (EqualsIgnoreCase(field.name, name))
      return field.value;
  }
  return std::nullopt;
}

size_t HeaderList::Count(std::string_view name) const {
  return static_cast<size_t>(
      std::count_if(this->fields.begin(), this->fields.end(),
                    [name](const HeaderField& field) {
                      return EqualsIgnoreCase(field.name, name);
                    }));
}

void HeaderList::RemoveConnectionFields() {
  absl::flat_hash_set<std::string> names = ConnectionFields(*this);
  std::erase_if(this->fields, [&names](const HeaderField& field) {
    return names.contains(absl::AsciiStrToLower(field.name));
  });
}

std::string SerializeRequest(const RequestHead& head, std::string_view body) {
  std::string out;
  out.reserve(1024 + body.size());
  out.append(head.method).append(" ").append(head.target);
  out.append(" HTTP/1.1\r\n");
  AppendFields(head.headers, out);
  bool bodiless = head.method == "GET" || head.method == "HEAD" ||
                  head.method == "DELETE" || head.method == "OPTIONS";
  if (!body.empty() || !bodiless)
    out.append(fmt::format("Content-Length: {}\r\n", body.size()));
  out.append("\r\n").append(body);
  return out;
}

std::string SerializeAnswer(const AnswerHead& head,
                            BodyFraming framing,
                            bool close) {
  std::string_view reason =
      head.reason.empty() ? ReasonPhrase(head.status) : head.reason;
  std::string out = fmt::format("HTTP/1.1 {} {}\r\n", head.status, reason);
  AppendFields(head.headers, out);
  switch (framing.kind) {
    case BodyFraming::Kind::kLength:
      out.append(fmt::format("Content-Length: {}\r\n", framing.bytes));
      break;
    case BodyFraming::Kind::kChunked:
      out.append("Transfer-Encoding: chunked\r\n");
      break;
    case BodyFraming::Kind::kClose:
      break;
  }
  if (close || framing.kind == BodyFraming::Kind::kClose)
    out.append("Connection: close\r\n");
  out.append("\r\n");
  return out;
}

std::string SerializeChunk(std::string_view data) {
  if (data.empty())
    return {};
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Unknown";
  }
}

}  // namespace cranberryhill::http1
