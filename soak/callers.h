#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

// Callers of the gateways: an open loop of requests on connections that are
// kept for up to four fifths of the idle limit. Streams that break off are
// taken up again at other gateways.

#include <array>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/http1/client.h"
#include "soak/fleet.h"
#include "soak/ledger.h"

namespace cranberryhill::soak {

/// Belongs to the thread of `io`.
class Callers {
 public:
  /// All references must outlive this object.
  Callers(boost::asio::io_context& io,
          const Clock& clock,
          Random& random,
          Fleet& fleet,
          Ledger& ledger);
  ~Callers();

  /// Sends one request of a random kind to a random gateway.
  /// @param after_recovery It must be served.
  void SendOne(bool after_recovery);

  /// Gives up requests whose time is up. To be called several times a second.
  void Tick();

  /// @return Requests without an end.
  size_t open() const { return this->calls.size(); }  // NOLINT

 private:
  class Call;
  struct Kind;
  /// What the caller has of a stream.
  struct Stream {
    std::string id;  // Of the request that brought the first event.
    absl::Time began;
    int events = 0;
    std::set<std::string> versions;
    size_t gateway = 0;  // The last one that was asked.
    int take_ups = 0;
  };
  struct IdleConnection {
    std::shared_ptr<http1::ClientConnection> link;
    absl::Time since;
  };

  static const std::array<Kind, 5> kKinds;

  std::shared_ptr<http1::ClientConnection> Acquire(size_t gateway);
  void Send(const Kind& kind,
            size_t gateway,
            absl::Duration time_left,
            bool after_recovery,
            const Stream* taken_up);
  void TakeUpLater(Stream stream, absl::Duration wait);
  void TakeUp(Stream stream);
  void ContinueStream(Call& call, const StreamPart& part);
  void BreakSoon(const Call& call);
  void OnEnd(Call& call, http1::AnswerEnd end);

  boost::asio::io_context& io;
  const Clock& clock;
  Random& random;
  Fleet& fleet;
  Ledger& ledger;
  std::vector<std::vector<IdleConnection>> kept;
  std::vector<std::shared_ptr<Call>> calls;
  uint64_t next_id = 0;
};

}  // namespace cranberryhill::soak

#endif  // SOAK_CALLERS_H_
