#include "cranberryhill/http1/answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace cranberryhill::http1 {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using BeastView = boost::beast::string_view;

/// Limit on the bytes of a part of an answer that is not complete: the head,
/// the head of a chunk or the trailer. Body bytes are passed on as they arrive.
constexpr size_t kMaxIncompleteBytes = 64 << 10;
/// Statuses of the protocol. Bytes with another one are no answer.
constexpr int kLowestStatus = 100;
constexpr int kHighestStatus = 599;
/// Limit on the interim answers before one answer.
constexpr int kMaxInterimAnswers = 16;

std::string_view View(BeastView text) {
  return {text.data(), text.size()};
}

}  // namespace

class AnswerReader::Parser : public http::basic_parser<false> {
 public:
  explicit Parser(AnswerSink& sink) : sink(sink) {}

  bool IsInterim() const {
    return this->head.status >= 100 && this->head.status < 200;
  }

  bool head_complete = false;

 private:
  void on_request_impl(http::verb,
                       BeastView,
                       BeastView,
                       int,
                       error_code&) override {}

  void on_response_impl(int code,
                        BeastView reason,
                        int /*version*/,
                        error_code& error) override {
    if (code < kLowestStatus || code > kHighestStatus) {
      error = http::error::bad_status;
      return;
    }
    this->head.status = code;
    this->head.reason = std::string(View(reason));
  }

  void on_field_impl(http::field,
                     BeastView name,
                     BeastView value,
                     error_code&) override {
    this->head.headers.Add(View(name), View(value));
  }

  void on_header_impl(error_code&) override {
    this->head_complete = true;
    if (!this->IsInterim())
      this->sink.OnHead(std::move(this->head));
  }

  void on_body_init_impl(const boost::optional<uint64_t>&,
                         error_code&) override {}

  size_t on_body_impl(BeastView data, error_code&) override {
    this->sink.OnBody(View(data));
    return data.size();
  }

  void on_chunk_header_impl(uint64_t, BeastView, error_code&) override {}

  size_t on_chunk_body_impl(uint64_t, BeastView data, error_code&) override {
    this->sink.OnBody(View(data));
    return data.size();
  }

  void on_finish_impl(error_code&) override {}

  AnswerSink& sink;
  AnswerHead head;
};

AnswerReader::AnswerReader(AnswerSink& sink, bool answers_head_request)
    : sink(sink), answers_head_request(answers_head_request) {
  this->NewParser();
}

AnswerReader::~AnswerReader() = default;

void AnswerReader::NewParser() {
  this->parser = std::make_unique<Parser>(this->sink);
  this->parser->skip(this->answers_head_request);
  this->parser->body_limit(boost::none);
}

size_t AnswerReader::Feed(std::string_view input) {
  size_t used = 0;
  while (this->progress == State::kOpen) {
    std::string_view rest = input.substr(used);
    if (rest.empty())
      break;
    error_code error;
    size_t taken = this->parser->put(
        boost::asio::const_buffer(rest.data(), rest.size()), error);
    used += taken;
    if (error == http::error::need_more) {
      if (input.size() - used > kMaxIncompleteBytes)
        this->Fail("a part of the answer has no end");
      break;
    }
    if (error) {
      this->Fail(error.message());
      break;
    }
    if (this->parser->head_complete && this->parser->IsInterim()) {
      if (++this->interim_answers > kMaxInterimAnswers) {
        this->Fail("too many interim answers");
        break;
      }
      this->NewParser();
      continue;
    }
    if (this->parser->is_done())
      this->progress = State::kDone;
    else if (taken == 0)
      break;
  }
  return used;
}

void AnswerReader::Fail(std::string_view why) {
  this->progress = State::kFailed;
  this->reason = std::string(why);
}

void AnswerReader::FeedEnd() {
  if (this->progress != State::kOpen)
    return;
  error_code error;
  if (this->parser->got_some())
    this->parser->put_eof(error);
  if (this->parser->is_done()) {
    this->progress = State::kDone;
    return;
  }
  this->Fail("the connection ended inside the answer");
}

bool AnswerReader::KeepsAlive() const {
  return this->parser->is_done() && this->parser->keep_alive() &&
         !this->parser->need_eof();
}

}  // namespace cranberryhill::http1
