#include "cranberryhill/membership/membership_view.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace cranberryhill {
namespace {

constexpr absl::Duration kStepDuration = absl::Milliseconds(250);

PlatformListUpdate PlatformList(uint64_t revision, MemberState state) {
  return {revision, true, {{{"e", "127.0.0.1:1", "z"}, state}}};
}

struct Fixture {
  Fixture() { this->view.OnPlatformList(PlatformList(1, MemberState::kLive)); }

  ManualClock clock;
  MembershipView view{MembershipSettings{}, clock};
};

// Guards against a leaving member that becomes live again because of old or
// contradicting lists and peer reports.
BOOST_FIXTURE_TEST_CASE(LeavingIsPermanentForAnIncarnation, Fixture) {
  this->view.OnLeavingReported("e", 7);
  this->view.OnPlatformList(PlatformList(2, MemberState::kLive));
  this->view.OnContact("e", 7);
  this->view.MergePeerReports("p", {{"e", 7, MemberState::kLive, {}}}, {});
  BOOST_TEST((this->view.StateOf("e") == MemberState::kLeaving));
  this->view.OnContact("e", 8);
  BOOST_TEST(this->view.MayReceiveWork("e"));
  this->view.OnLeavingReported("e", 7);
  BOOST_TEST(this->view.MayReceiveWork("e"));
  BOOST_TEST(this->view.counters().outdated_incarnations == 1U);
}

// Guards against a restarted member that receives no work because the list
// still shows its earlier incarnation as leaving.
BOOST_FIXTURE_TEST_CASE(LaggingListDoesNotMarkNewIncarnationAsLeaving,
                        Fixture) {
  this->view.OnContact("e", 7);
  this->view.OnPlatformList(PlatformList(2, MemberState::kLeaving));
  this->view.OnContact("e", 8);
  this->view.OnPlatformList(PlatformList(3, MemberState::kLeaving));
  BOOST_TEST(this->view.MayReceiveWork("e"));
}

// Guards against applying a list that arrives after a newer one.
BOOST_FIXTURE_TEST_CASE(OlderListIsIgnored, Fixture) {
  this->view.OnPlatformList(PlatformList(5, MemberState::kLeaving));
  this->view.OnPlatformList(PlatformList(4, MemberState::kLive));
  BOOST_TEST((this->view.StateOf("e") == MemberState::kLeaving));
  BOOST_TEST(this->view.counters().outdated_lists == 1U);
}

// Guards against a member that becomes gone before contact has failed for 30 s,
// or never.
BOOST_FIXTURE_TEST_CASE(MemberIsGoneAfterFailedContact, Fixture) {
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

// Guards against suspicions of peers that take a member out of use on an
// instance that can reach it, and against outdated suspicions that still
// have an effect.
BOOST_FIXTURE_TEST_CASE(OwnContactTakesPrecedenceOverPeers, Fixture) {
  std::vector<MemberReport> suspect_reports = {
      {"e", 0, MemberState::kSuspect, {}}};
  this->view.OnContact("e", 1);
  this->view.MergePeerReports("p", suspect_reports, {});
  BOOST_TEST(this->view.MayReceiveWork("e"));
  this->clock.Advance(absl::Seconds(4));
  this->view.MergePeerReports("p", suspect_reports, {});
  BOOST_TEST((this->view.StateOf("e") == MemberState::kSuspect));
  this->clock.Advance(absl::Seconds(6));
  BOOST_TEST(this->view.MayReceiveWork("e"));
  this->view.MergePeerReports("p", suspect_reports, absl::Seconds(6));
  BOOST_TEST(this->view.MayReceiveWork("e"));
  BOOST_TEST(this->view.counters().outdated_reports == 1U);
}

// Guards against members that stay in use although a complete list does not
// contain them.
BOOST_FIXTURE_TEST_CASE(MemberMissingFromACompleteListIsGone, Fixture) {
  this->view.OnPlatformList({2, false, {}});
  BOOST_TEST(this->view.MayReceiveWork("e"));
  this->view.OnPlatformList({3, true, {}});
  BOOST_TEST((this->view.StateOf("e") == MemberState::kGone));
}

// An event that one instance observes, followed by `steps` simulation steps.
// `kind`, from 0 to 5, selects the event in the test below.
struct Event {
  int kind;
  int instance;
  int steps;
};

// Simulates instances that send their reports to the next two instances of a
// ring once a second and poll a platform list that lags. The observed member
// may leave and be replaced.
struct Simulation {
  Simulation() {
    for (int i = 0; i < 4; ++i) {
      this->views.push_back(
          std::make_unique<MembershipView>(MembershipSettings{}, this->clock));
      this->views.back()->OnPlatformList(PlatformList(1, MemberState::kLive));
    }
  }

  void Step() {
    this->clock.Advance(kStepDuration);
    ++this->step;
    for (size_t i = 0; i < this->views.size(); ++i) {
      if (this->step % 4 == i)
        this->SendReports(i);
      if (this->step % 8 == i && this->list_available)
        this->views[i]->OnPlatformList(
            PlatformList(this->revision, this->listed_state));
    }
  }

  void SendReports(size_t sender) {
    std::vector<MemberReport> reports =
        this->views[sender]->ReportsForPeers(12);
    for (size_t receiver : {(sender + 1) % 4, (sender + 2) % 4}) {
      this->views[receiver]->MergePeerReports("p" + std::to_string(sender),
                                              reports, absl::Milliseconds(50));
    }
  }

  ManualClock clock;
  uint64_t step = 0;
  bool list_available = true;
  uint64_t revision = 1;
  MemberState listed_state = MemberState::kLive;
  uint64_t incarnation = 1;
  std::vector<std::unique_ptr<MembershipView>> views;
};

// Guards against a leaving member that any instance still gives new work more
// than 5 s after one instance observed that it is leaving, and against an old
// leaving report that permanently excludes a new incarnation.
RC_BOOST_PROP(LeavingMemberGetsNoWorkAfterFiveSeconds, ()) {
  auto events = *rc::gen::container<std::vector<Event>>(rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::inRange(0, 6)),
      rc::gen::set(&Event::instance, rc::gen::inRange(0, 4)),
      rc::gen::set(&Event::steps, rc::gen::inRange(1, 40))));
  Simulation simulation;
  std::optional<absl::Time> leaving_since;
  for (const Event& event : events) {
    MembershipView& view =
        *simulation.views[static_cast<size_t>(event.instance)];
    if (event.kind == 0 && !leaving_since) {
      view.OnLeavingReported("e", simulation.incarnation);
      leaving_since = simulation.clock.Now();
    } else if (event.kind == 1) {
      view.OnContact("e", simulation.incarnation);
    } else if (event.kind == 2) {
      view.OnContactFailed("e");
    } else if (event.kind == 3 && leaving_since) {
      ++simulation.revision;
      simulation.listed_state = MemberState::kLeaving;
    } else if (event.kind == 4) {
      simulation.list_available = !simulation.list_available;
    } else if (event.kind == 5 && leaving_since) {
      // The member is replaced by a new incarnation, which every instance
      // contacts.
      ++simulation.incarnation;
      ++simulation.revision;
      simulation.listed_state = MemberState::kLive;
      leaving_since.reset();
      for (auto& instance_view : simulation.views) {
        instance_view->OnContact("e", simulation.incarnation);
        RC_ASSERT(instance_view->MayReceiveWork("e"));
      }
    }
    for (int i = 0; i < event.steps; ++i) {
      simulation.Step();
      bool past_deadline =
          leaving_since &&
          simulation.clock.Now() > *leaving_since + absl::Seconds(5);
      for (auto& instance_view : simulation.views) {
        if (past_deadline)
          RC_ASSERT(!instance_view->MayReceiveWork("e"));
        if (!leaving_since)
          RC_ASSERT(instance_view->StateOf("e") != MemberState::kLeaving);
      }
    }
  }
}

}  // namespace
}  // namespace cranberryhill
