#include "cranberryhill/store/serial_http_client.h"

#include <utility>

namespace cranberryhill::gateway {
namespace {

/// Maximum size of an answer's body; a call with a larger one fails. A page of
/// the store has at most 1 MB of rows before base64 encoding and field names.
constexpr size_t kMaxBodyBytes = 8 << 20;

}  // namespace

SerialHttpClient::SerialHttpClient(boost::asio::io_context& io,
                                   boost::asio::ip::tcp::endpoint endpoint,
                                   const Clock& clock,
                                   absl::Duration connect_timeout)
    : io(io),
      endpoint(std::move(endpoint)),
      clock(clock),
      connect_timeout(connect_timeout),
      timer(io) {}

SerialHttpClient::~SerialHttpClient() {
  this->SerialHttpClient::Cancel();
}

void SerialHttpClient::Call(const http1::OutgoingRequest& request,
                            absl::Duration timeout,
                            Callback done) {
  this->done = std::move(done);
  this->answer = {};
  if (this->connection == nullptr || !this->connection->Reusable())
    this->connection =
        http1::ClientConnection::Create(this->io, this->endpoint);
  this->deadline = AnswerDeadline(this->clock.Now(), timeout);
  this->AwaitDeadline();
  this->connection->Send(http1::SerializeRequest(request.head, request.body),
                         {this->connect_timeout, false}, *this);
}

void SerialHttpClient::AwaitDeadline() {
  absl::Duration wait = this->deadline.expires_at() - this->clock.Now();
  this->timer.expires_after(absl::ToChronoMicroseconds(wait));
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error || !this->done)
      return;
    // The deadline moves while the answer is being received.
    if (this->clock.Now() < this->deadline.expires_at())
      return this->AwaitDeadline();
    this->connection->Cancel();
    this->Finish({0, "",
                  this->IsReceiving()
                      ? "the answer stopped after " +
                            std::to_string(this->received_bytes()) + " bytes"
                      : "no answer within the timeout"});
  });
}

void SerialHttpClient::Cancel() {
  this->timer.cancel();
  this->done = nullptr;
  if (this->connection != nullptr)
    this->connection->Cancel();
}

void SerialHttpClient::OnHead(http1::AnswerHead head) {
  this->answer.status = head.status;
  this->answer.headers = std::move(head.headers);
  this->deadline.OnBegin(this->clock.Now());
}

void SerialHttpClient::OnBody(std::string_view data) {
  if (this->answer.body.size() + data.size() <= kMaxBodyBytes) {
    this->answer.body.append(data);
    this->deadline.OnBytes(data.size(), this->clock.Now());
    return;
  }
  this->timer.cancel();
  this->connection->Cancel();
  this->Finish({0, "", "the answer is too large"});
}

void SerialHttpClient::OnEnd(http1::AnswerEnd end, std::string_view reason) {
  this->timer.cancel();
  if (end != http1::AnswerEnd::kComplete)
    this->answer = {0, "", std::string(reason),
                    end != http1::AnswerEnd::kNotConnected};
  this->Finish(std::move(this->answer));
}

void SerialHttpClient::Finish(HttpResult answer) {
  Callback callback = std::exchange(this->done, nullptr);
  if (callback)
    callback(std::move(answer));
}

}  // namespace cranberryhill::gateway
