#ifndef CRANBERRYHILL_COST_WORK_H_
#define CRANBERRYHILL_COST_WORK_H_

// Work of one request, counted in tokens that an engine has to process.
//
//   Work work = WorkOf(12000, 5, predictor.Predict("c", "chat", 512));

#include <cstdint>

namespace cranberryhill {

/// Tokens per KV cache block. Both users' engines use blocks of about 1,000.
inline constexpr uint32_t kCacheBlockTokens = 1000;

/// Expected length of an answer.
struct OutputEstimate {
  double mean = 0;  ///< Tokens.
  double high = 0;  ///< Tokens at the high quantile (90%).
};

/// Tokens to process.
struct Work {
  double prefill_tokens = 0;  ///< Prompt tokens that are not cached.
  double decode_tokens = 0;   ///< Predicted output tokens.
};

/// @param prompt_tokens Length of the prompt.
/// @param cached_blocks Leading blocks found in the engine's prefix cache.
/// @param output Predicted output.
/// @return The work; at least one token of prefill remains, because engines
///     compute the last prompt token even when all blocks are cached.
Work WorkOf(uint32_t prompt_tokens,
            uint32_t cached_blocks,
            const OutputEstimate& output);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_WORK_H_
