#include "soak/link_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

#include "soak/soak_address.h"

namespace cranberryhill::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// How often a link that holds bytes back is looked at.
constexpr std::chrono::milliseconds kHoldCheck(10);
/// One answer in this many is repeated, if it has at most kMaxRepeatedBytes.
constexpr int kAnswersPerCopy = 8;
constexpr size_t kMaxRepeatedBytes = 4096;

tcp::endpoint Loopback(uint16_t port) {
  return {SoakAddress(), port};
}

}  // namespace

class LinkProxy::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(LinkProxy& proxy, tcp::socket near)
      : to_target{true, proxy.io},
        from_target{false, proxy.io},
        proxy(proxy),
        near(std::move(near)),
        far(proxy.io) {}

  void Start() {
    this->far.async_connect(
        this->proxy.target,
        [self = this->shared_from_this()](error_code error) {
          if (error)
            return self->Reset();
          self->Read(self->to_target);
          self->Read(self->from_target);
        });
  }

  void Reset() {
    for (tcp::socket* socket : {&this->near, &this->far}) {
      error_code ignored;  // The socket may be closed already.
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

 private:
  /// One direction of the link.
  struct Pipe {
    Pipe(bool to_target, asio::io_context& io)
        : to_target(to_target), timer(io) {}

    const bool to_target;
    asio::steady_timer timer;
    std::array<char, 8192> buffer{};
    size_t bytes = 0;
  };

  tcp::socket& Source(const Pipe& pipe) {
    return pipe.to_target ? this->near : this->far;
  }
  tcp::socket& Sink(const Pipe& pipe) {
    return pipe.to_target ? this->far : this->near;
  }

  void Read(Pipe& pipe) {
    this->Source(pipe).async_read_some(
        asio::buffer(pipe.buffer), [self = this->shared_from_this(), &pipe](
                                       error_code error, size_t bytes) {
          // The end of a connection travels over the link like its bytes.
          pipe.bytes = error ? 0 : bytes;
          self->Wait(pipe, self->proxy.state.delay);
        });
  }

  void Wait(Pipe& pipe, std::chrono::milliseconds time) {
    pipe.timer.expires_after(time);
    pipe.timer.async_wait([self = this->shared_from_this(), &pipe](error_code) {
      const LinkState& state = self->proxy.state;
      bool held =
          pipe.to_target ? state.holds_to_target : state.holds_from_target;
      if (held)
        return self->Wait(pipe, kHoldCheck);
      if (pipe.bytes == 0)
        return self->Close();
      self->Write(pipe);
    });
  }

  void Write(Pipe& pipe) {
    if (!pipe.to_target) {
      this->last_answer.append(pipe.buffer.data(), pipe.bytes);
    } else if (!this->last_answer.empty()) {
      this->copy = std::exchange(this->last_answer, "");
      if (this->proxy.state.repeats_answers &&
          this->copy.size() <= kMaxRepeatedBytes &&
          ++this->answers % kAnswersPerCopy == 0)
        return this->WriteCopy(pipe);
    }
    this->Forward(pipe);
  }

  /// Nothing else is written to the near end meanwhile: the target has not got
  /// the next request.
  void WriteCopy(Pipe& pipe) {
    asio::async_write(
        this->near, asio::buffer(this->copy),
        [self = this->shared_from_this(), &pipe](error_code error, size_t) {
          if (error)
            return self->Close();
          self->Forward(pipe);
        });
  }

  void Forward(Pipe& pipe) {
    asio::async_write(
        this->Sink(pipe), asio::buffer(pipe.buffer.data(), pipe.bytes),
        [self = this->shared_from_this(), &pipe](error_code error, size_t) {
          if (error)
            return self->Close();
          self->Read(pipe);
        });
  }

  void Close() {
    error_code ignored;  // The socket may be closed already.
    this->near.close(ignored);
    this->far.close(ignored);
  }

  Pipe to_target;
  Pipe from_target;
  LinkProxy& proxy;
  tcp::socket near;
  tcp::socket far;
  std::string last_answer;  // What came back since the last request.
  std::string copy;
  int answers = 0;
};

LinkProxy::LinkProxy(asio::io_context& io, uint16_t target_port)
    : io(io),
      target(Loopback(target_port)),
      acceptor(io, Loopback(0)),
      address(this->acceptor.local_endpoint()) {
  this->Accept();
}

LinkProxy::~LinkProxy() {
  this->Reset();
}

uint16_t LinkProxy::port() const {
  return this->address.port();
}

void LinkProxy::Accept() {
  this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
    if (error)
      return;
    std::erase_if(this->sessions,
                  [](const auto& session) { return session.expired(); });
    auto session = std::make_shared<Session>(*this, std::move(socket));
    this->sessions.push_back(session);
    session->Start();
    this->Accept();
  });
}

void LinkProxy::SetListening(bool listens) {
  if (std::exchange(this->listening, listens) == listens)
    return;
  if (listens) {
    this->acceptor.listen();
    return this->Accept();
  }
  // The port stays bound, so that no other socket takes it meanwhile.
  this->acceptor.close();
  this->acceptor.open(this->address.protocol());
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.bind(this->address);
}

void LinkProxy::Reset() {
  for (const auto& weak : this->sessions) {
    if (auto session = weak.lock())
      session->Reset();
  }
}

}  // namespace cranberryhill::soak
