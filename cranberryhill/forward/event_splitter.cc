#include "cranberryhill/forward/event_splitter.h"

#include <algorithm>

namespace cranberryhill::forward {
std::string EventSplitter::Feed(std::string_view data) {
  // An event that is too large fails its stream, so the rest of it is not kept.
  if (this->too_large())
    return "";
  this->buffer.append(data);
  size_t complete_bytes = 0;
  while (true) {
    size_t newline = this->buffer.find('\n', this->searched);
    size_t searched_to =
        newline == std::string::npos ? this->buffer.size() : newline + 1;
    this->scanned += searched_to - this->searched;
    this->searched = searched_to;
    if (newline == std::string::npos)
      break;
    std::string_view line =
        std::string_view(this->buffer)
            .substr(this->line_begin, newline - this->line_begin);
    this->line_begin = newline + 1;
    if (!line.empty() && line != "\r")
      continue;
    this->ParseId(
        std::string_view(this->buffer)
            .substr(complete_bytes, this->line_begin - complete_bytes));
    ++this->complete_events;
    complete_bytes = this->line_begin;
  }
  std::string events = this->buffer.substr(0, complete_bytes);
  this->buffer.erase(0, complete_bytes);
  this->line_begin -= complete_bytes;
  this->searched -= complete_bytes;
  return events;
}

void EventSplitter::DropIncompleteEvent() {
  this->buffer.clear();
  this->line_begin = 0;
  this->searched = 0;
}

void EventSplitter::ParseId(std::string_view event) {
  this->scanned += event.size();
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
