#include "soak/ledger.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::soak {
namespace {

struct Fixture {
  void Send(const std::string& id,
            bool may_repeat = false,
            bool after_recovery = false) {
    this->ledger.OnSent(
        {id, "desk", "whole", may_repeat, 1, this->now, after_recovery});
  }

  void Arrive(const std::string& id, bool runs = true) {
    this->ledger.OnArrival(id, "desk-1", this->now, runs);
  }

  void End(const std::string& id, int status, const std::string& body) {
    this->ledger.OnAnswer(id, {status, true, body, status, false, {}});
  }

  void SendStream(const std::string& id, const std::string& resumes) {
    SentRequest request{id, "lm", "whole", true, 2, this->now};
    request.stream = true;
    request.resumes = resumes;
    this->ledger.OnSent(std::move(request));
  }

  void EndStream(const std::string& id,
                 const std::set<std::string>& versions,
                 int events) {
    Answer answer{200, false, "", 0, false, {}};
    answer.versions = versions;
    answer.events = events;
    answer.counts = true;
    this->ledger.OnAnswer(id, std::move(answer));
  }

  /// @return True when just one promise is broken, of this kind.
  bool BrokenIs(std::string_view kind) {
    auto all = this->ledger.Violations();
    return all.size() == 1 && all[0].starts_with(kind);
  }

  absl::Time now = absl::UnixEpoch();
  Ledger ledger{LedgerBounds{}};
};

// Each case guards against a check of the soak that no longer finds its fault.

BOOST_FIXTURE_TEST_CASE(requests_beyond_a_limit_are_found, Fixture) {
  for (int i = 0; i < 20; ++i) {
    this->now += absl::Milliseconds(200);
    this->ledger.OnLimitedArrival("desk-1", 2.5, this->now, true);
  }
  BOOST_TEST(this->ledger.Violations().empty());
  this->ledger.OnLimitedArrival("desk-1", 2.5, this->now, true);
  BOOST_TEST(this->BrokenIs("limit"));
}

BOOST_FIXTURE_TEST_CASE(sound_requests_break_nothing, Fixture) {
  this->Send("a", false, true);
  this->Arrive("a");
  this->End("a", 200, "whole");
  this->Send("b");
  this->Arrive("b", false);
  this->ledger.OnAnswer("b", {503, true, "", 0, true, {}});
  BOOST_TEST(this->ledger.Violations().empty());
}

BOOST_FIXTURE_TEST_CASE(second_run_is_found, Fixture) {
  this->Send("a");
  this->Arrive("a");
  this->Arrive("a");
  // The second arrival is over the retry budget as well.
  auto all = this->ledger.Violations();
  BOOST_TEST(all.size() == 2U);
  BOOST_TEST(all[0].starts_with("twice"));
  BOOST_TEST(all[1].starts_with("budget"));
}

BOOST_FIXTURE_TEST_CASE(refused_request_that_ran_is_found, Fixture) {
  this->Send("a");
  this->End("a", 503, "");
  this->Arrive("a");
  BOOST_TEST(this->BrokenIs("refused"));
}

BOOST_FIXTURE_TEST_CASE(answer_of_another_request_is_found, Fixture) {
  this->Send("a");
  this->Arrive("a");
  this->End("a", 200, "other");
  BOOST_TEST(this->BrokenIs("mixed"));
}

BOOST_FIXTURE_TEST_CASE(part_with_a_gap_is_found, Fixture) {
  this->Send("a");
  this->Arrive("a");
  this->ledger.OnAnswer("a", {200, false, "whle", 200, false, {}});
  BOOST_TEST(this->BrokenIs("order"));
}

BOOST_FIXTURE_TEST_CASE(changed_status_is_found, Fixture) {
  this->Send("a");
  this->Arrive("a");
  this->ledger.OnAnswer("a", {502, true, "", 500, false, {}});
  BOOST_TEST(this->BrokenIs("mixed"));
}

BOOST_FIXTURE_TEST_CASE(unknown_request_is_found, Fixture) {
  this->Arrive("a");
  BOOST_TEST(this->BrokenIs("unasked"));
}

BOOST_FIXTURE_TEST_CASE(cut_in_planned_work_is_found, Fixture) {
  this->Send("a");
  this->Arrive("a");
  this->ledger.OnAnswer("a", {0, false, "", 0, true, {}});
  BOOST_TEST(this->BrokenIs("lost"));
}

BOOST_FIXTURE_TEST_CASE(missing_recovery_is_found, Fixture) {
  this->Send("a", false, true);
  this->End("a", 503, "");
  BOOST_TEST(this->BrokenIs("recover"));
}

BOOST_FIXTURE_TEST_CASE(two_reports_of_a_window_are_found, Fixture) {
  this->ledger.OnUsage(7, {}, "entry-1", 1, this->now);
  this->ledger.OnUsage(7, {}, "entry-1", 1, this->now);
  BOOST_TEST(this->ledger.Violations().empty());
  this->ledger.OnUsage(7, {{"oslo", 0}}, "entry-1", 1, this->now);
  BOOST_TEST(this->BrokenIs("usage"));
}

BOOST_FIXTURE_TEST_CASE(usage_that_did_not_run_is_found, Fixture) {
  for (const char* id : {"a", "b"}) {
    SentRequest request{id, "desk", "whole", true, 1, this->now};
    request.customer = "oslo";
    this->ledger.OnSent(std::move(request));
  }
  this->Arrive("a");
  this->Arrive("b", false);
  this->ledger.OnUsage(7, {{"oslo", 1}}, "entry-1", 1, this->now);
  BOOST_TEST(this->ledger.Violations().empty());
  this->ledger.OnUsage(8, {{"oslo", 1}}, "entry-1", 1, this->now);
  BOOST_TEST(this->BrokenIs("usage"));
}

BOOST_FIXTURE_TEST_CASE(usage_reports_of_two_holders_are_found, Fixture) {
  this->ledger.OnUsage(7, {}, "entry-1", 1, this->now);
  this->now += absl::Milliseconds(3001);
  this->ledger.OnUsage(8, {}, "entry-2", 2, this->now);
  BOOST_TEST(this->ledger.Violations().empty());
  this->now += absl::Milliseconds(2900);
  this->ledger.OnUsage(9, {}, "entry-1", 3, this->now);
  BOOST_TEST(this->BrokenIs("one"));
}

BOOST_FIXTURE_TEST_CASE(orders_of_two_holders_are_found, Fixture) {
  this->ledger.OnOrder("lm-1", "entry-1", 2, this->now);
  this->ledger.OnOrder("lm-1", "entry-2", 3, this->now + absl::Seconds(4));
  BOOST_TEST(this->ledger.Violations().empty());
  this->ledger.OnOrder("lm-1", "entry-1", 4, this->now + absl::Seconds(6));
  BOOST_TEST(this->BrokenIs("one"));
  this->ledger.OnOrder("lm-1", "entry-1", 3, this->now + absl::Seconds(7));
  BOOST_TEST(this->ledger.Violations().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(extra_sends_are_counted_in_windows, Fixture) {
  for (int i = 0; i < 100; ++i) {
    std::string id = "r" + std::to_string(i);
    this->Send(id, true);
    this->Arrive(id, false);
    if (i < 20)
      this->Arrive(id);
  }
  BOOST_TEST(this->ledger.Violations().empty());
  this->Arrive("r50");
  BOOST_TEST(this->BrokenIs("budget"));
}

BOOST_FIXTURE_TEST_CASE(prompts_that_are_read_again_are_extra_sends, Fixture) {
  for (int i = 0; i < 100; ++i) {
    std::string id = "r" + std::to_string(i);
    this->Send(id, true);
    this->ledger.OnPromptRead(id, this->now);
    if (i < 20)
      this->ledger.OnPromptRead(id, this->now);
    this->Arrive(id);
  }
  BOOST_TEST(this->ledger.Violations().empty());
  this->ledger.OnPromptRead("r50", this->now);
  BOOST_TEST(this->BrokenIs("budget"));
}

BOOST_FIXTURE_TEST_CASE(more_time_than_is_left_is_found, Fixture) {
  auto send = [this](int number) {
    std::string id = "r" + std::to_string(number);
    SentRequest request{id, "desk", "whole", true, 2, this->now};
    request.time_left = absl::Seconds(4);
    this->ledger.OnSent(std::move(request));
    return id;
  };
  absl::Time first = this->now + absl::Milliseconds(100);
  absl::Time second = this->now + absl::Seconds(1);
  constexpr absl::Duration kLeft = absl::Milliseconds(3900);
  // Sent once more late, which counts, with the time that is left and a little.
  for (int i = 0; i < 84; ++i) {
    std::string id = send(i);
    this->ledger.OnTimeLeft(id, first, kLeft, true);
    this->ledger.OnTimeLeft(id, second, absl::Milliseconds(3500), true);
  }
  // Sent once more early: not counted.
  for (int i = 84; i < 200; ++i) {
    std::string id = send(i);
    this->ledger.OnTimeLeft(id, first, kLeft, true);
    this->ledger.OnTimeLeft(id, first, kLeft, true);
  }
  // Beyond it at first, when sent once more, or without a word of it.
  for (int i = 200; i < 221; ++i) {
    std::string id = send(i);
    this->ledger.OnTimeLeft(id, first, kLeft, true);
    this->ledger.OnTimeLeft(id, second, absl::Milliseconds(3501), i != 220);
  }
  std::string id = send(221);
  this->ledger.OnTimeLeft(id, second, kLeft, false);
  BOOST_TEST(this->ledger.Violations().empty());
  // The 21st of 105 counted ones is a fifth, the 22nd of 106 is more.
  this->ledger.OnTimeLeft(send(222), first, absl::Milliseconds(4401), true);
  BOOST_TEST(this->ledger.Violations().empty());
  this->ledger.OnTimeLeft(send(223), first, std::nullopt, true);
  BOOST_TEST(this->BrokenIs("budget"));
}

BOOST_FIXTURE_TEST_CASE(late_requests_that_crash_engines_are_found, Fixture) {
  for (int i = 0; i < 5; ++i)
    this->ledger.OnEngineCrash(this->now);
  for (int i = 0; i < 9; ++i) {
    this->ledger.OnCrashingArrival(this->now + absl::Seconds(2), true);
    this->ledger.OnCrashingArrival(this->now + absl::Seconds(4), false);
  }
  for (int i = 0; i < 3; ++i)
    this->ledger.OnCrashingArrival(this->now + absl::Seconds(4), true);
  BOOST_TEST(this->ledger.Violations().empty());
  this->ledger.OnCrashingArrival(this->now + absl::Seconds(4), true);
  BOOST_TEST(this->BrokenIs("budget"));
}

BOOST_FIXTURE_TEST_CASE(events_of_two_versions_in_one_answer_are_found,
                        Fixture) {
  this->SendStream("a", "");
  this->EndStream("a", {"v1", "v2"}, 2);
  BOOST_TEST(this->BrokenIs("order"));
}

BOOST_FIXTURE_TEST_CASE(stream_taken_up_at_another_version_is_found, Fixture) {
  this->SendStream("a", "");
  this->EndStream("a", {"v1"}, 2);
  this->SendStream("b", "a");
  this->EndStream("b", {"v1"}, 1);
  BOOST_TEST(this->ledger.Violations().empty());
  this->SendStream("c", "a");
  this->EndStream("c", {"v2"}, 1);
  BOOST_TEST(this->BrokenIs("order"));
}

BOOST_FIXTURE_TEST_CASE(streams_that_do_not_go_on_are_found, Fixture) {
  for (int i = 0; i < 12; ++i) {
    std::string first = "first-" + std::to_string(i);
    this->SendStream(first, "");
    this->EndStream(first, {"v1"}, 2);
    // Five of eleven, then five of twelve.
    std::string next = "next-" + std::to_string(i);
    this->SendStream(next, first);
    this->EndStream(next, {}, i < 5 ? 1 : 0);
    BOOST_TEST(this->ledger.Violations().empty() == (i < 11));
  }
  BOOST_TEST(this->BrokenIs("lost"));
}

BOOST_FIXTURE_TEST_CASE(answer_of_a_replica_that_broke_off_may_be_cut,
                        Fixture) {
  this->Send("a");
  this->Arrive("a");
  this->ledger.OnAnswer("a", {0, false, "", 0, true, {}});
  this->ledger.OnBrokenOff("a");
  BOOST_TEST(this->ledger.Violations().empty());
}

}  // namespace
}  // namespace cranberryhill::soak
