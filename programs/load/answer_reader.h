#ifndef CRANBERRYHILL_PROGRAMS_LOAD_ANSWER_READER_H_
#define CRANBERRYHILL_PROGRAMS_LOAD_ANSWER_READER_H_

// Reads a streamed answer and checks that it is complete, in order and
// gapless.
//
//   AnswerReader reader(AnswerFormat::kEvents, 8, prompt);
//   size_t new_tokens = reader.Feed(chunk);
//   if (reader.done() && !reader.wrong()) ...

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryhill::load {

enum class AnswerFormat {
  kEvents,       ///< Server-sent events of the daemon.
  kEngineLines,  ///< Lines of an engine.
};

/// Code and outcome of a refusal, as in its JSON body.
struct RefusalSeen {
  std::string code;
  std::string outcome;
};

/// @return The refusal in `body`, or code "unreadable".
RefusalSeen ReadRefusal(std::string_view body);

/// Not thread-safe.
class AnswerReader {
 public:
  /// @param max_tokens The number of tokens that a complete answer has; the
  ///     stand-in of the engine always generates all of them.
  /// @param prompt The prompt as the engine sees it, to compare each token
  ///     with what fake_engine generates; empty: tokens are only counted.
  AnswerReader(AnswerFormat format, uint64_t max_tokens, std::string prompt);

  /// @return Tokens that this chunk completed.
  size_t Feed(std::string_view chunk);

  bool done() const { return this->ended; }              // NOLINT
  uint64_t tokens() const { return this->token_count; }  // NOLINT

  /// @return Whether a token was wrong, or a complete answer has another
  ///     length than was asked for.
  bool wrong() const;  // NOLINT

  /// @return The refusal that ended the stream, if one did.
  const std::optional<RefusalSeen>& refusal() const {  // NOLINT
    return this->refused;
  }

 private:
  void ReadEvent(std::string_view event);
  void ReadLine(std::string_view line);
  void TakeText(std::string_view text);

  AnswerFormat format;
  uint64_t max_tokens;
  std::string prompt;
  std::string unread;
  uint64_t token_count = 0;
  bool ended = false;
  bool mismatch = false;
  std::optional<RefusalSeen> refused;
};

}  // namespace cranberryhill::load

#endif  // CRANBERRYHILL_PROGRAMS_LOAD_ANSWER_READER_H_
