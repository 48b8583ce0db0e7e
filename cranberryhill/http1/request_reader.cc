#include "cranberryhill/http1/request_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <string>
#include <utility>

namespace cranberryhill::http1 {

namespace http = boost::beast::http;

/// A body that grows as it is received. The parser's own string_body takes the
/// memory for all bytes that the head announces at once.
struct GrowingBody {
  using value_type = std::string;

  class reader {  // NOLINT(readability-identifier-naming): the parser's name.
   public:
    template <bool is_request, class Fields>
    reader(http::header<is_request, Fields>&, value_type& body) : body(body) {}

    void init(const boost::optional<uint64_t>&,  // NOLINT
              boost::system::error_code& error) {
      error = {};
    }

    template <class ConstBuffers>
    size_t put(const ConstBuffers& buffers,  // NOLINT
               boost::system::error_code& error) {
      error = {};
      size_t before = this->body.size();
      for (auto part = boost::asio::buffer_sequence_begin(buffers);
           part != boost::asio::buffer_sequence_end(buffers); ++part) {
        boost::asio::const_buffer bytes = *part;
        this->body.append(static_cast<const char*>(bytes.data()), bytes.size());
      }
      return this->body.size() - before;
    }

    void finish(boost::system::error_code& error) { error = {}; }  // NOLINT

   private:
    value_type& body;
  };
};

struct RequestReader::Parser {
  http::request_parser<GrowingBody> beast;
};

namespace {

/// Limit on the bytes of the head of a chunk or of a trailer, if it is larger
/// than that of the header.
constexpr size_t kMinIncompleteBytes = 16 << 10;

int StatusOf(const boost::system::error_code& error) {
  if (error == http::error::header_limit)
    return 431;
  if (error == http::error::body_limit)
    return 413;
  return 400;
}

}  // namespace

RequestReader::RequestReader(RequestLimits limits)
    : parser(std::make_unique<Parser>()),
      max_incomplete_bytes(
          std::max<size_t>(limits.header_bytes, kMinIncompleteBytes)) {
  this->parser->beast.header_limit(limits.header_bytes);
  this->parser->beast.body_limit(limits.body_bytes);
  this->parser->beast.eager(false);
}

RequestReader::~RequestReader() = default;

size_t RequestReader::Feed(std::string_view input) {
  size_t used = 0;
  auto& beast = this->parser->beast;
  while (this->progress == State::kHeader || this->progress == State::kBody) {
    boost::system::error_code error;
    std::string_view rest = input.substr(used);
    if (rest.empty() && !beast.is_header_done())
      break;
    size_t taken =
        beast.put(boost::asio::const_buffer(rest.data(), rest.size()), error);
    used += taken;
    if (error == http::error::need_more) {
      // The parser limits the header only.
      if (input.size() - used > this->max_incomplete_bytes)
        this->Fail(400, "a part of the body has no end");
      break;
    }
    if (error) {
      this->Fail(StatusOf(error), error.message());
      break;
    }
    if (this->progress == State::kHeader && beast.is_header_done())
      this->OnHeaderDone();
    if (this->progress == State::kBody && beast.is_done())
      this->progress = State::kDone;
    else if (taken == 0)
      break;
  }
  return used;
}

void RequestReader::OnHeaderDone() {
  const auto& fields = this->parser->beast.get();
  size_t lengths = 0;
  size_t encodings = 0;
  size_t hosts = 0;
  for (const auto& field : fields) {
    std::string_view value(field.value().data(), field.value().size());
    hosts += field.name() == http::field::host ? 1 : 0;
    if (field.name() == http::field::content_length) {
      ++lengths;
      // The parser also takes lists such as "3, 3".
      if (value.find_first_not_of("0123456789") != std::string_view::npos)
        return this->Fail(400, "Content-Length is not a number");
    }
    if (field.name() == http::field::transfer_encoding) {
      ++encodings;
      if (!EqualsIgnoreCase(value, "chunked"))
        return this->Fail(400, "Transfer-Encoding is not \"chunked\"");
    }
  }
  if (lengths + encodings > 1)
    return this->Fail(400, "the length of the body is given more than once");
  if (encodings > 0 && fields.version() < 11)
    return this->Fail(400, "chunked body in an HTTP/1.0 request");
  if (hosts > 1 || (hosts == 0 && fields.version() >= 11))
    return this->Fail(400, "there must be one Host field");
  this->progress = State::kBody;
}

void RequestReader::Fail(int status, std::string_view why) {
  this->progress = State::kFailed;
  this->failure = status;
  this->reason = std::string(why);
}

bool RequestReader::ExpectsContinue() const {
  auto field = this->parser->beast.get().find(http::field::expect);
  if (field == this->parser->beast.get().end())
    return false;
  return EqualsIgnoreCase({field->value().data(), field->value().size()},
                          "100-continue");
}

size_t RequestReader::body_bytes() const {
  return this->parser->beast.get().body().size();
}

RequestHead RequestReader::TakeHead() {
  const auto& request = this->parser->beast.get();
  RequestHead head;
  head.method = std::string(request.method_string());
  head.target = std::string(request.target());
  head.http_1_1 = request.version() >= 11;
  head.keep_alive = request.keep_alive();
  for (const auto& field : request) {
    head.headers.Add({field.name_string().data(), field.name_string().size()},
                     {field.value().data(), field.value().size()});
  }
  return head;
}

std::string RequestReader::TakeBody() {
  return std::move(this->parser->beast.get().body());
}

}  // namespace cranberryhill::http1
