#include "standins/gateway_platform/fake_replica.h"

#include "platform/names.h"

namespace cranberryhill::platform {
namespace {

std::string_view IdOf(const http1::IncomingRequest& request) {
  return request.head.headers.Find(kAttemptId).value_or("");
}

struct LeftCounter : http1::ActiveRequest {
  explicit LeftCounter(int& count) : count(count) {}
  void OnCallerLeft() override { ++this->count; }
  int& count;
};

}  // namespace

http1::AnswerHead SignedHead(std::string_view id,
                             int status,
                             std::string_view signature) {
  http1::AnswerHead head;
  head.status = status;
  head.headers.Add(kAttemptId, id);
  head.headers.Add(kSignature, signature);
  return head;
}

std::shared_ptr<http1::ActiveRequest> FakeReplica::OnRequest(
    http1::IncomingRequest request,
    std::shared_ptr<http1::Responder> responder) {
  this->requests.push_back(request);
  this->work(request, std::move(responder));
  return std::make_shared<LeftCounter>(this->callers_left);
}

void FakeReplica::Crash() {
  this->server->StopAccepting();
  this->server->CloseAll();
}

void AnswerSigned(const http1::IncomingRequest& request,
                  http1::Responder& responder,
                  int status,
                  std::string_view body) {
  responder.SendWhole(SignedHead(IdOf(request), status), body);
}

void AnswerNotRun(const http1::IncomingRequest& request,
                  http1::Responder& responder) {
  http1::AnswerHead head = SignedHead(IdOf(request), 503);
  head.headers.Add(kNotRun, "1");
  responder.SendWhole(std::move(head), "");
}

void BeginEvents(const http1::IncomingRequest& request,
                 http1::Responder& responder) {
  http1::AnswerHead head = SignedHead(IdOf(request), 200);
  head.headers.Add("Content-Type", "text/event-stream");
  responder.BeginStream(std::move(head));
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece\n\n";
}

}  // namespace cranberryhill::platform
