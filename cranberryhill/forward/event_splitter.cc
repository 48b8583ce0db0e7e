#include "cranberryhill/forward/event_splitter.h"

#include <algorithm>

namespace cranberryhill::forward {
namespace {

/// @return The position after the blank line that ends the first event, or
///     npos.
size_t EndOfEvent(std::string_view text) {
  size_t line = 0;
  while (true) {
    size_t newline = text.find('\n', line);
    if (newline == std::string_view::npos)
      return newline;
    std::string_view content = text.substr(line, newline - line);
    if (content.empty() || content == "\r")
      return newline + 1;
    line = newline + 1;
  }
}

}  // namespace

std::string EventSplitter::Feed(std::string_view data) {
  this->buffer.append(data);
  size_t complete = 0;
  while (true) {
    std::string_view rest = std::string_view(this->buffer).substr(complete);
    size_t end = EndOfEvent(rest);
    if (end == std::string_view::npos)
      break;
    this->ReadId(rest.substr(0, end));
    ++this->count;
    complete += end;
  }
  std::string whole = this->buffer.substr(0, complete);
  this->buffer.erase(0, complete);
  return whole;
}

void EventSplitter::ReadId(std::string_view event) {
  while (!event.empty()) {
    size_t newline = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, newline);
    event.remove_prefix(std::min(newline + 1, event.size()));
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    if (line.starts_with(' '))
      line.remove_prefix(1);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    this->id = std::string(line);
  }
}

}  // namespace cranberryhill::forward
