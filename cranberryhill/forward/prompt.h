#ifndef CRANBERRYHILL_FORWARD_PROMPT_H_
#define CRANBERRYHILL_FORWARD_PROMPT_H_

// What a caller declares of the prompt of a request whose body is opaque.

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryhill::forward {

/// A piece of a prompt that engines cache as a whole.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

struct PromptShape {
  std::string model;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  /// In order; requests share leading parts, the last part belongs to this
  /// request or its session.
  std::vector<PromptPart> parts;

  /// @return Tokens of all parts but the last.
  uint32_t SharedTokens() const {
    uint32_t tokens = 0;
    for (size_t i = 0; i + 1 < this->parts.size(); ++i)
      tokens += this->parts[i].tokens;
    return tokens;
  }

  /// @return The id of the last shared part, or 0. It stands for all parts
  ///     before it, as a cached part is only of use with these.
  uint64_t SharedKey() const {
    return this->parts.size() < 2 ? 0 : this->parts[this->parts.size() - 2].id;
  }

  /// @return The id of the part that belongs to this request, or 0.
  uint64_t OwnKey() const {
    return this->parts.empty() ? 0 : this->parts.back().id;
  }
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_PROMPT_H_
