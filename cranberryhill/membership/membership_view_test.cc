#include "cranberryhill/membership/membership_view.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace cranberryhill {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(250);

ListUpdate ListOf(uint64_t revision, MemberState state) {
  return {revision, true, {{{"e", "127.0.0.1:1", "z"}, state}}};
}

struct Fixture {
  Fixture() { this->view.OnList(ListOf(1, MemberState::kLive)); }

  ManualClock clock;
  MembershipView view{MembershipSettings{}, clock};
};

// Guards against a leaving member that becomes live again by old or
// contradicting reports of the list and of peers.
BOOST_FIXTURE_TEST_CASE(LeavingIsPermanentForAnIncarnation, Fixture) {
  this->view.OnLeavingMark("e", 7);
  this->view.OnList(ListOf(2, MemberState::kLive));
  this->view.OnContact("e", 7);
  this->view.OnPeerReports("p", {{"e", 7, MemberState::kLive, {}}}, {});
  BOOST_TEST((this->view.StateOf("e") == MemberState::kLeaving));
  this->view.OnContact("e", 8);
  BOOST_TEST(this->view.MayReceiveWork("e"));
  this->view.OnLeavingMark("e", 7);
  BOOST_TEST(this->view.MayReceiveWork("e"));
  BOOST_TEST(this->view.counters().old_incarnations == 1U);
}

// Guards against a member that is listed as leaving under an earlier
// incarnation and gets no work after its restart.
BOOST_FIXTURE_TEST_CASE(LaggingListDoesNotMarkANewIncarnation, Fixture) {
  this->view.OnContact("e", 7);
  this->view.OnList(ListOf(2, MemberState::kLeaving));
  this->view.OnContact("e", 8);
  this->view.OnList(ListOf(3, MemberState::kLeaving));
  BOOST_TEST(this->view.MayReceiveWork("e"));
}

// Guards against a list answer that arrives after a newer one.
BOOST_FIXTURE_TEST_CASE(OlderListIsDropped, Fixture) {
  this->view.OnList(ListOf(5, MemberState::kLeaving));
  this->view.OnList(ListOf(4, MemberState::kLive));
  BOOST_TEST((this->view.StateOf("e") == MemberState::kLeaving));
  BOOST_TEST(this->view.counters().old_lists == 1U);
}

// Guards against a member that is given up before 30 s of failed contact, or
// never.
BOOST_FIXTURE_TEST_CASE(GoneAfterFailedContact, Fixture) {
  this->view.OnContactFailed("e");
  BOOST_TEST(this->view.MayReceiveWork("e"));
  this->clock.Advance(absl::Seconds(4));
  this->view.OnContactFailed("e");
  BOOST_TEST((this->view.StateOf("e") == MemberState::kSuspect));
  this->clock.Advance(absl::Seconds(25));
  this->view.OnContactFailed("e");
  BOOST_TEST((this->view.StateOf("e") == MemberState::kSuspect));
  this->clock.Advance(absl::Seconds(1));
  this->view.OnContactFailed("e");
  BOOST_TEST((this->view.StateOf("e") == MemberState::kGone));
  this->view.OnContact("e", kUnknownIncarnation);
  BOOST_TEST(this->view.MayReceiveWork("e"));
}

// Guards against peers that take a member away from an instance that reaches
// it, and against old suspicions.
BOOST_FIXTURE_TEST_CASE(OwnContactOutweighsPeers, Fixture) {
  std::vector<MemberReport> suspects = {{"e", 0, MemberState::kSuspect, {}}};
  this->view.OnContact("e", 1);
  this->view.OnPeerReports("p", suspects, {});
  BOOST_TEST(this->view.MayReceiveWork("e"));
  this->clock.Advance(absl::Seconds(4));
  this->view.OnPeerReports("p", suspects, {});
  BOOST_TEST((this->view.StateOf("e") == MemberState::kSuspect));
  this->clock.Advance(absl::Seconds(6));
  BOOST_TEST(this->view.MayReceiveWork("e"));
  this->view.OnPeerReports("p", suspects, absl::Seconds(6));
  BOOST_TEST(this->view.MayReceiveWork("e"));
  BOOST_TEST(this->view.counters().old_reports == 1U);
}

// Guards against a complete list that leaves missing members in use.
BOOST_FIXTURE_TEST_CASE(MissingFromACompleteListIsGone, Fixture) {
  this->view.OnList({2, false, {}});
  BOOST_TEST(this->view.MayReceiveWork("e"));
  this->view.OnList({3, true, {}});
  BOOST_TEST((this->view.StateOf("e") == MemberState::kGone));
}

struct Event {
  int kind;
  int instance;
  int steps;
};

// Instances in a ring send their reports to the next one each second and poll
// a list that lags; the member may leave and be replaced.
struct World {
  World() {
    for (int i = 0; i < 4; ++i) {
      this->views.push_back(
          std::make_unique<MembershipView>(MembershipSettings{}, this->clock));
      this->views.back()->OnList(ListOf(1, MemberState::kLive));
    }
  }

  void Step() {
    this->clock.Advance(kStep);
    ++this->step;
    for (size_t i = 0; i < this->views.size(); ++i) {
      if (this->step % 4 == i)
        this->Exchange(i);
      if (this->step % 8 == i && this->list_up)
        this->views[i]->OnList(ListOf(this->revision, this->listed));
    }
  }

  void Exchange(size_t i) {
    std::vector<MemberReport> reports = this->views[i]->ReportsForPeers(12);
    for (size_t next : {(i + 1) % 4, (i + 2) % 4}) {
      this->views[next]->OnPeerReports("p" + std::to_string(i), reports,
                                       absl::Milliseconds(50));
    }
  }

  ManualClock clock;
  uint64_t step = 0;
  bool list_up = true;
  uint64_t revision = 1;
  MemberState listed = MemberState::kLive;
  uint64_t incarnation = 1;
  std::vector<std::unique_ptr<MembershipView>> views;
};

// Guards against a leaving member that gets new work from any instance more
// than 5 s after one of them observed its mark, and against an old mark that
// stops a new incarnation for good.
RC_BOOST_PROP(LeavingMemberGetsNoWorkAfterFiveSeconds, ()) {
  auto events = *rc::gen::container<std::vector<Event>>(rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::inRange(0, 6)),
      rc::gen::set(&Event::instance, rc::gen::inRange(0, 4)),
      rc::gen::set(&Event::steps, rc::gen::inRange(1, 40))));
  World world;
  std::optional<absl::Time> leaving_since;
  for (const Event& event : events) {
    MembershipView& view = *world.views[static_cast<size_t>(event.instance)];
    if (event.kind == 0 && !leaving_since) {
      view.OnLeavingMark("e", world.incarnation);
      leaving_since = world.clock.Now();
    } else if (event.kind == 1) {
      view.OnContact("e", world.incarnation);
    } else if (event.kind == 2) {
      view.OnContactFailed("e");
    } else if (event.kind == 3 && leaving_since) {
      ++world.revision;
      world.listed = MemberState::kLeaving;
    } else if (event.kind == 4) {
      world.list_up = !world.list_up;
    } else if (event.kind == 5 && leaving_since) {
      // Replaced by a new incarnation that every instance gets to see.
      ++world.incarnation;
      ++world.revision;
      world.listed = MemberState::kLive;
      leaving_since.reset();
      for (auto& each : world.views) {
        each->OnContact("e", world.incarnation);
        RC_ASSERT(each->MayReceiveWork("e"));
      }
    }
    for (int i = 0; i < event.steps; ++i) {
      world.Step();
      bool late = leaving_since &&
                  world.clock.Now() > *leaving_since + absl::Seconds(5);
      for (auto& each : world.views) {
        if (late)
          RC_ASSERT(!each->MayReceiveWork("e"));
        if (!leaving_since)
          RC_ASSERT(each->StateOf("e") != MemberState::kLeaving);
      }
    }
  }
}

}  // namespace
}  // namespace cranberryhill
