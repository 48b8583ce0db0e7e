#include "cranberryhill/forward/prefix_cache_estimate.h"

#include <algorithm>

namespace cranberryhill::forward {

void PrefixCacheEstimate::RecordPrompt(const PromptDescription& prompt,
                                       absl::Time now) {
  if (!prompt.parts.empty())
    this->RecordParts(std::span(prompt.parts).first(prompt.parts.size() - 1),
                      now);
}

void PrefixCacheEstimate::RecordParts(std::span<const PromptPart> parts,
                                      absl::Time now) {
  for (const PromptPart& part : parts) {
    CachedPart& cached_part = this->parts[part.id];
    this->cached_tokens +=
        static_cast<int64_t>(part.tokens) - cached_part.tokens;
    cached_part = {part.tokens, now};
  }
  while (this->cached_tokens > this->capacity_tokens && this->parts.size() > 1)
    this->EvictLeastRecentlyUsed();
}

uint32_t PrefixCacheEstimate::CachedTokens(
    const PromptDescription& prompt) const {
  uint32_t cached = 0;
  for (size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    if (!this->parts.contains(prompt.parts[i].id))
      break;
    cached += prompt.parts[i].tokens;
  }
  return cached;
}

void PrefixCacheEstimate::EvictLeastRecentlyUsed() {
  auto least_recently_used = std::min_element(
      this->parts.begin(), this->parts.end(), [](const auto& a, const auto& b) {
        return a.second.last_used_at < b.second.last_used_at;
      });
  this->cached_tokens -= least_recently_used->second.tokens;
  this->parts.erase(least_recently_used);
}

}  // namespace cranberryhill::forward
