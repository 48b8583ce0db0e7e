#include "cranberryhill/cost/work.h"

#include <algorithm>

namespace cranberryhill {

Work WorkOf(uint32_t prompt_tokens,
            uint32_t cached_blocks,
            const OutputEstimate& output) {
  double cached = static_cast<double>(cached_blocks) * kCacheBlockTokens;
  return {.prefill_tokens = std::max(1.0, prompt_tokens - cached),
          .decode_tokens = output.mean};
}

}  // namespace cranberryhill
