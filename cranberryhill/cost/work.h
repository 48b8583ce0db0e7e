#ifndef CRANBERRYHILL_COST_WORK_H_
#define CRANBERRYHILL_COST_WORK_H_

// The work of one request: the number of tokens that an engine has to process.
//
//   Work work = WorkOf(12000, 5, predictor.Predict("c", "chat", 512));

#include <cstdint>

namespace cranberryhill {

/// Tokens per KV cache block that prefix matching assumes; engines are expected
/// to have blocks of about this size. Cache events and KV transfers are only
/// useful if the engines identify blocks by the hashes that HashBlocks()
/// returns, which depend on this value.
inline constexpr uint32_t kCacheBlockTokens = 1000;

/// Expected length of an answer in tokens.
struct OutputEstimate {
  double mean = 0;  ///< Mean length.
  double high = 0;  ///< Length that 90% of the answers do not exceed.
};

/// Expected numbers of tokens that an engine has to process for a request.
struct Work {
  double prefill_tokens = 0;  ///< Number of prompt tokens that are not cached.
  double decode_tokens = 0;   ///< Predicted number of output tokens.
};

/// @param prompt_tokens Length of the prompt.
/// @param cached_blocks Number of leading blocks in the engine's prefix cache.
/// @param output Predicted length of the output.
/// @return The work of the request. It has at least one prefill token, because
///     engines compute the last prompt token even if all blocks are cached.
Work WorkOf(uint32_t prompt_tokens,
            uint32_t cached_blocks,
            const OutputEstimate& output);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_WORK_H_
