#include "cranberryhill/daemon/http2_port.h"

#include <utility>

namespace cranberryhill {
namespace {

class Http2Sink : public ResponseSink {
 public:
  Http2Sink(std::shared_ptr<Http2ResponseWriter> writer, bool leaving)
      : writer(std::move(writer)), leaving(leaving) {}

  void SendWhole(const WholeResponse& response) override {
    Headers headers = this->HeadersFor(response.content_type);
    if (!response.retry_after.empty())
      headers.push_back({"retry-after", response.retry_after});
    this->writer->SendHeaders(response.status, headers);
    this->writer->SendBody(response.body);
    this->writer->End();
  }

  void BeginStream(std::string_view content_type) override {
    this->writer->SendHeaders(200, this->HeadersFor(content_type));
  }

  size_t SendChunk(std::string_view chunk) override {
    this->writer->SendBody(chunk);
    return this->writer->buffered_bytes();
  }

  void EndStream() override { this->writer->End(); }

 private:
  Headers HeadersFor(std::string_view content_type) const {
    Headers headers = {{"content-type", std::string(content_type)}};
    if (this->leaving)
      headers.push_back({"x-leaving", "true"});
    return headers;
  }

  std::shared_ptr<Http2ResponseWriter> writer;
  bool leaving;
};

}  // namespace

Http2Port::Http2Port(EventLoop& loop, IpAddress address, CallerFront& front)
    : loop(loop), address(std::move(address)), front(front) {}

Result<void> Http2Port::Start() {
  BOOST_LEAF_ASSIGN(
      this->server,
      ListenHttp2(this->loop, this->address, Http2ServerOptions{},
                  [this](const std::shared_ptr<Http2Request>& request,
                         const std::shared_ptr<Http2ResponseWriter>& response) {
                    this->OnRequest(request, response);
                  }));
  return {};
}

void Http2Port::Stop() {
  this->server.reset();
}

void Http2Port::Shutdown() {
  if (this->server != nullptr)
    this->server->Shutdown();
}

size_t Http2Port::active_streams() const {
  return this->server == nullptr ? 0 : this->server->active_streams();
}

void Http2Port::OnRequest(
    const std::shared_ptr<Http2Request>& request,
    const std::shared_ptr<Http2ResponseWriter>& response) {
  auto input = std::make_shared<CallerInput>();
  input->method = request->method();
  input->path = request->path();
  input->can_stream = true;
  for (const Header& header : request->headers())
    input->headers.push_back({header.name, header.value});
  request->ReadWhole([this, input, response](std::string body) {
    input->body = std::move(body);
    auto sink = std::make_shared<Http2Sink>(response, this->leaving);
    std::function<void()> cancel = this->front.Handle(*input, sink);
    response->OnClosed([cancel](CloseReason) { cancel(); });
  });
}

}  // namespace cranberryhill
