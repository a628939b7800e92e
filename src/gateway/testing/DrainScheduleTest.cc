#include "gateway/DrainSchedule.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

constexpr Duration kGrace = std::chrono::seconds(6);
const DrainLoad kBusy{ 1, 1 };
const DrainLoad kIdle{};

Duration
Milliseconds(int aValue)
{
  return std::chrono::milliseconds(aValue);
}

}

// Guards against a process that exits while the response of a server in another
// region, sent at five sixths of the grace time, is still in transit.
TEST_CASE("A stopping host waits for responses that are in transit")
{
  const DrainSchedule schedule(kGrace);
  const Duration sent = kGrace * 5 / 6;
  for (int transit : { 0, 1, 55, 150, 400 }) {
    INFO(transit);
    CHECK(schedule.Next(sent + Milliseconds(transit), kBusy) ==
          DrainStep::Finish);
  }
}

// Guards against a host that is killed before it has answered the rest, and
// against one that does not exit when nothing is left to do.
TEST_CASE("A stopping host answers the rest and exits within the grace time")
{
  for (int grace : { 500, 2000, 6000, 30000 }) {
    INFO(grace);
    const DrainSchedule schedule(Milliseconds(grace));
    DrainStep last = DrainStep::Accept;
    bool answered = false;
    for (int elapsed = 0; elapsed < grace; elapsed += 10) {
      const DrainStep step = schedule.Next(Milliseconds(elapsed), kBusy);
      INFO(elapsed << " ms: " << NameOf(step) << " after " << NameOf(last));
      CHECK(step >= last);
      last = step;
      answered = answered || step == DrainStep::AnswerRemaining;
      const bool accepts = step == DrainStep::Accept;
      CHECK(schedule.Next(Milliseconds(elapsed), kIdle) ==
            (accepts ? DrainStep::Accept : DrainStep::Exit));
      CHECK((schedule.TimeToExit(Milliseconds(elapsed)) == Duration::zero()) ==
            (step == DrainStep::Exit));
    }
    CHECK(answered);
    CHECK(last == DrainStep::Exit);
  }
}

// Guards against late requests that the host cannot finish, and against
// refusing early ones.
TEST_CASE("A stopping host accepts late requests only with an early deadline")
{
  struct Row
  {
    int elapsed_;
    int deadline_;
    bool accepted_;
  };
  const Row rows[] = {
    { 0, 30000, true },    { 2990, 6000, true }, { 3010, 4900, true },
    { 3010, 5010, false }, { 4900, 4990, true }, { 5100, 5900, false },
  };
  const DrainSchedule schedule(kGrace);
  for (const Row& row : rows) {
    INFO(row.elapsed_ << " ms, deadline " << row.deadline_ << " ms");
    CHECK(schedule.AcceptsRequest(Milliseconds(row.elapsed_),
                                  Milliseconds(row.deadline_)) ==
          row.accepted_);
  }
}
