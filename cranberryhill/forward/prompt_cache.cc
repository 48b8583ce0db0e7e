#include "cranberryhill/forward/prompt_cache.h"

#include <algorithm>

namespace cranberryhill::forward {

void PromptCache::Record(const PromptShape& shape, absl::Time now) {
  if (!shape.parts.empty())
    this->RecordParts(std::span(shape.parts).first(shape.parts.size() - 1),
                      now);
}

void PromptCache::RecordParts(std::span<const PromptPart> parts,
                              absl::Time now) {
  for (const PromptPart& part : parts) {
    HeldPart& held = this->parts[part.id];
    this->held_tokens += static_cast<int64_t>(part.tokens) - held.tokens;
    held = {part.tokens, now};
  }
  while (this->held_tokens > this->capacity_tokens && this->parts.size() > 1)
    this->DropOldest();
}

uint32_t PromptCache::CachedTokens(const PromptShape& shape) const {
  uint32_t cached = 0;
  for (size_t i = 0; i + 1 < shape.parts.size(); ++i) {
    if (!this->parts.contains(shape.parts[i].id))
      break;
    cached += shape.parts[i].tokens;
  }
  return cached;
}

void PromptCache::DropOldest() {
  auto oldest = std::min_element(this->parts.begin(), this->parts.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.used < b.second.used;
                                 });
  this->held_tokens -= oldest->second.tokens;
  this->parts.erase(oldest);
}

}  // namespace cranberryhill::forward
