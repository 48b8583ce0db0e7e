#include "cranberryhill/forward/event_splitter.h"

#include <algorithm>

namespace cranberryhill::forward {
namespace {

/// @return The position after the blank line that ends the first event, or
///     npos.
size_t EndOfEvent(std::string_view text) {
  size_t line_begin = 0;
  while (true) {
    size_t newline = text.find('\n', line_begin);
    if (newline == std::string_view::npos)
      return newline;
    std::string_view content = text.substr(line_begin, newline - line_begin);
    if (content.empty() || content == "\r")
      return newline + 1;
    line_begin = newline + 1;
  }
}

}  // namespace

std::string EventSplitter::Feed(std::string_view data) {
  // An event that is too large fails its stream, so the rest of it is not kept.
  if (this->too_large())
    return "";
  this->buffer.append(data);
  size_t complete_bytes = 0;
  while (true) {
    std::string_view unparsed =
        std::string_view(this->buffer).substr(complete_bytes);
    size_t end = EndOfEvent(unparsed);
    if (end == std::string_view::npos)
      break;
    this->ParseId(unparsed.substr(0, end));
    ++this->complete_events;
    complete_bytes += end;
  }
  std::string events = this->buffer.substr(0, complete_bytes);
  this->buffer.erase(0, complete_bytes);
  return events;
}

void EventSplitter::ParseId(std::string_view event) {
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
    this->last_id = std::string(line);
  }
}

}  // namespace cranberryhill::forward
