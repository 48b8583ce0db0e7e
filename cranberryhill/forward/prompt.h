#ifndef CRANBERRYHILL_FORWARD_PROMPT_H_
#define CRANBERRYHILL_FORWARD_PROMPT_H_

// What a caller declares about the prompt of a request. The body of the request
// is opaque to the gateway.

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryhill::forward {

/// A piece of a prompt that engines cache as a whole.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

struct PromptDescription {
  std::string model;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  /// Parts in the order of the prompt. All parts but the last form the shared
  /// prefix; the last part belongs to this request or its session.
  std::vector<PromptPart> parts;

  /// @return The number of tokens of all parts but the last.
  uint32_t SharedPrefixTokens() const {
    uint32_t tokens = 0;
    for (size_t i = 0; i + 1 < this->parts.size(); ++i)
      tokens += this->parts[i].tokens;
    return tokens;
  }

  /// @return The id of the last part of the shared prefix, or 0. It identifies
  ///     the whole prefix, because a cached part is only usable together with
  ///     all parts before it.
  uint64_t SharedPrefixId() const {
    return this->parts.size() < 2 ? 0 : this->parts[this->parts.size() - 2].id;
  }

  /// @return The id of the part that belongs to this request, or 0.
  uint64_t OwnPartId() const {
    return this->parts.empty() ? 0 : this->parts.back().id;
  }
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_PROMPT_H_
