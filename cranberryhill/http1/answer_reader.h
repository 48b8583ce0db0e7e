#ifndef CRANBERRYHILL_HTTP1_ANSWER_READER_H_
#define CRANBERRYHILL_HTTP1_ANSWER_READER_H_

// Parses an answer from the bytes of a connection, without I/O. Body bytes are
// handed on as they come, so a stream is not held back.
//
//   AnswerReader reader(sink, /*answers_head_request=*/false);
//   size_t used = reader.Feed(buffer);
//   if (reader.state() == AnswerReader::State::kDone) ...

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "cranberryhill/http1/message.h"

namespace cranberryhill::http1 {

/// Receives the parts of one answer.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  /// Called once, before any body bytes. Interim answers (1xx) are skipped.
  virtual void OnHead(AnswerHead head) = 0;

  virtual void OnBody(std::string_view data) = 0;
};

/// Reads one answer.
class AnswerReader {
 public:
  enum class State { kOpen, kDone, kFailed };

  /// @param sink Must outlive this object.
  AnswerReader(AnswerSink& sink, bool answers_head_request);
  ~AnswerReader();

  /// @param input All bytes that were not consumed yet.
  /// @return Bytes consumed.
  size_t Feed(std::string_view input);

  /// Tells that the other end has closed in order. Ends a body that has no
  /// length; any other open answer fails.
  void FeedEnd();

  State state() const { return this->progress; }  // NOLINT

  /// @return True when the answer allows another one on this connection.
  bool KeepsAlive() const;

  /// @return The parser's reason after kFailed.
  const std::string& failure_reason() const { return this->reason; }  // NOLINT

 private:
  class Parser;

  void Fail(std::string_view why);
  void NewParser();

  AnswerSink& sink;
  const bool answers_head_request;
  std::unique_ptr<Parser> parser;
  State progress = State::kOpen;
  int interim_answers = 0;
  std::string reason;
};

}  // namespace cranberryhill::http1

#endif  // CRANBERRYHILL_HTTP1_ANSWER_READER_H_
