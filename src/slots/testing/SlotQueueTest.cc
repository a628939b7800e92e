#include "slots/SlotQueue.h"

#include <catch2/catch.hpp>
#include <random>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kUrgent = 1;
constexpr std::uint64_t kSlow = 2;

TimePoint
At(double aSeconds)
{
  return TimePoint(std::chrono::seconds(1000)) + FromSeconds(aSeconds);
}

// A queue of a server with three slots, and the last answer to each request.
struct QueueFixture
{
  explicit QueueFixture(SlotQueueOptions aOptions = {})
    : options_(std::move(aOptions))
    , queue_("server", options_)
  {
  }

  void Ask(std::uint64_t aId,
           double aAt,
           int aRank = 0,
           std::uint64_t aCustomer = 7,
           double aTimeLeft = 10,
           SlotMode aMode = SlotMode::Wait)
  {
    SlotAsk ask;
    ask.id_ = aId;
    ask.server_ = "server";
    ask.slots_ = 3;
    ask.rank_ = aRank;
    ask.customer_ = aCustomer;
    ask.route_ = aRank == 0 ? kUrgent : kSlow;
    ask.toAim_ = std::chrono::milliseconds(400);
    ask.timeLeft_ = FromSeconds(aTimeLeft);
    ask.serviceTime_ = std::chrono::milliseconds(aRank == 0 ? 200 : 1000);
    ask.mode_ = aMode;
    SlotReplies replies;
    queue_.Ask("host", ask, At(aAt), replies);
    Note(replies);
  }

  void Release(std::uint64_t aId, double aAt, int aRunning = -1)
  {
    SlotRelease release;
    release.id_ = aId;
    release.server_ = "server";
    if (aRunning >= 0) {
      release.load_ = ReportedLoad();
      release.load_->running_ = aRunning;
    }
    SlotReplies replies;
    queue_.Release("host", release, At(aAt), replies);
    Note(replies);
  }

  void Note(const SlotReplies& aReplies)
  {
    for (const SlotReply& reply : aReplies) {
      answers_[reply.answer_.id_] = reply.answer_;
    }
  }

  bool Is(std::uint64_t aId, SlotState aState) const
  {
    const auto found = answers_.find(aId);
    return found != answers_.end() && found->second.state_ == aState;
  }

  SlotQueueOptions options_;
  SlotQueue queue_;
  std::map<std::uint64_t, SlotAnswer> answers_;
};

}

// Guards against more requests at the server than it has slots, and against
// requests that wait while a slot is free.
TEST_CASE("Grants are the slots of the server; the others wait")
{
  QueueFixture fixture;
  for (std::uint64_t id = 1; id <= 5; ++id) {
    fixture.Ask(id, 0);
  }
  CHECK(fixture.queue_.Granted() == 3);
  CHECK(fixture.Is(4, SlotState::Queued));
  CHECK(fixture.answers_[4].wait_ > Duration::zero());
  CHECK(fixture.answers_[5].ahead_ == 1);
  fixture.Release(2, 0.1);
  CHECK(fixture.Is(4, SlotState::Granted));
  CHECK(fixture.Is(5, SlotState::Queued));
}

// Guards against urgent requests that wait behind those of a lower rank.
TEST_CASE("A higher rank is granted first")
{
  QueueFixture fixture;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    fixture.Ask(id, 0, 2);
  }
  fixture.Ask(4, 0.01, 2);
  fixture.Ask(5, 0.02, 0);
  fixture.Release(1, 0.1);
  CHECK(fixture.Is(5, SlotState::Granted));
  CHECK(fixture.Is(4, SlotState::Queued));
}

// Guards against a request that is held until its deadline although it never
// had a chance, and against the refusal of the wrong one.
TEST_CASE("What cannot complete is refused at once, the lowest rank first")
{
  QueueFixture fixture;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    fixture.Ask(id, 0, 2);
  }
  // Needs a start within 1.88 s; the first slots end after a second.
  fixture.Ask(4, 0, 2, 7, 3.2);
  CHECK(fixture.Is(4, SlotState::Queued));
  fixture.Ask(5, 0, 2, 7, 0.5);
  CHECK(fixture.Is(5, SlotState::Refused));
  CHECK(fixture.answers_[5].wait_ > Duration::zero());
  // Urgent requests take the slots for another second.
  for (std::uint64_t id = 11; id <= 25; ++id) {
    fixture.Ask(id, 0.1, 0);
  }
  CHECK(fixture.Is(4, SlotState::Refused));
  CHECK(fixture.Is(25, SlotState::Queued));
}

// Guards against a refusal while a slot is free, for whatever reason.
TEST_CASE("A free slot is granted although the expected time is too long")
{
  QueueFixture fixture;
  fixture.Ask(1, 0, 2, 7, 0.1);
  CHECK(fixture.Is(1, SlotState::Granted));
}

// Guards against a refusal while a slot is free that is not kept back, in any
// order of asks, releases and time. At most one of three slots is kept back.
TEST_CASE("None is refused while a slot that fits is free")
{
  for (const std::uint64_t seed : { 20261206, 7, 11 }) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    QueueFixture fixture;
    int refused = 0;
    for (std::uint64_t step = 1; step <= 4000; ++step) {
      const double at = 0.01 * static_cast<double>(step);
      fixture.answers_.clear();
      if (random() % 3 == 0) {
        const double timeLeft = 0.5 + static_cast<double>(random() % 8);
        fixture.Ask(step,
                    at,
                    static_cast<int>(random() % 3),
                    random() % 5,
                    timeLeft,
                    SlotMode::Wait);
      } else {
        fixture.Release(step - random() % std::min<std::uint64_t>(step, 200),
                        at);
      }
      for (const auto& [id, answer] : fixture.answers_) {
        if (answer.state_ == SlotState::Refused) {
          ++refused;
          REQUIRE(fixture.queue_.Granted() >= 2);
        }
      }
    }
    CHECK(refused > 50);
  }
}

// Guards against slow requests in all slots when urgent ones are known to
// arrive, and against slots that stay empty when none do.
TEST_CASE("A slot is kept back for the highest rank while it arrives")
{
  QueueFixture fixture;
  for (std::uint64_t id = 1; id <= 8; ++id) {
    const double at = 0.2 * static_cast<double>(id);
    fixture.Ask(id, at, 0);
    fixture.Release(id, at + 0.1);
  }
  for (std::uint64_t id = 11; id <= 13; ++id) {
    fixture.Ask(id, 2, 2);
  }
  CHECK(fixture.queue_.Granted() == 2);
  CHECK(fixture.Is(13, SlotState::Queued));
  fixture.Ask(14, 2.1, 0);
  CHECK(fixture.Is(14, SlotState::Granted));
  fixture.Release(14, 2.2);
  CHECK(fixture.Is(13, SlotState::Queued));
  for (double at = 2.7; at < 8; at += 0.5) {
    fixture.Ask(13, at, 2);
  }
  CHECK(fixture.Is(13, SlotState::Granted));
}

// Guards against a customer with many requests that takes all slots.
TEST_CASE("Customers of one rank take turns")
{
  QueueFixture fixture;
  for (std::uint64_t id = 1; id <= 8; ++id) {
    fixture.Ask(id, 0, 0, 7);
  }
  fixture.Ask(9, 0.01, 0, 8);
  fixture.Release(1, 0.1);
  CHECK(fixture.Is(9, SlotState::Granted));
}

// Guards against the grant of a slot that requests of other regions use, and
// against a count that never recovers.
TEST_CASE("Reported requests that were not granted here take capacity")
{
  QueueFixture fixture;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    fixture.Ask(id, 0);
  }
  fixture.Ask(4, 0);
  // An empty server shows that its reports do not count the answered request.
  fixture.queue_.Report({}, At(0));
  ReportedLoad load;
  load.running_ = 4;
  fixture.queue_.Report(load, At(0.05));
  fixture.Release(1, 0.1, 4);
  CHECK(fixture.Is(4, SlotState::Queued));
  SlotReplies replies;
  fixture.Ask(4, 0.7);
  CHECK(fixture.Is(4, SlotState::Queued));
  fixture.queue_.OnTimer(At(1.2), replies);
  fixture.Note(replies);
  CHECK(fixture.Is(4, SlotState::Granted));
}

// Guards against slots that are lost with a release, and against early ends of
// grants that are still on their way to the server.
TEST_CASE("A grant whose release was lost ends when the server reports less")
{
  QueueFixture fixture;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    fixture.Ask(id, 0, 0, 7, 60);
  }
  fixture.Release(1, 0.5, 0);
  CHECK(fixture.queue_.Granted() == 2);
  fixture.Ask(5, 10, 0, 7, 60);
  fixture.Release(5, 11, 0);
  CHECK(fixture.queue_.Granted() == 0);
}

// Guards against two slots for one request, and against a grant for a request
// that has ended.
TEST_CASE("Repeated asks, late copies and early releases have no effect")
{
  QueueFixture fixture;
  fixture.Ask(1, 0);
  fixture.Ask(1, 0.01);
  CHECK(fixture.queue_.Granted() == 1);
  fixture.Release(1, 0.1);
  fixture.Ask(1, 0.2);
  CHECK(fixture.queue_.Granted() == 0);
  CHECK(fixture.Is(1, SlotState::Refused));
  fixture.Release(2, 0.3);
  fixture.Ask(2, 0.4);
  CHECK(fixture.queue_.Granted() == 0);
  for (std::uint64_t id = 11; id <= 14; ++id) {
    fixture.Ask(id, 1);
  }
  fixture.Ask(14, 1.1);
  CHECK(fixture.queue_.Waiting() == 1);
}

// Guards against slots that stay with a host that is gone.
TEST_CASE("The grants and requests of a lost host end")
{
  QueueFixture fixture;
  for (std::uint64_t id = 1; id <= 5; ++id) {
    fixture.Ask(id, 0);
  }
  SlotReplies replies;
  fixture.queue_.RemoveHosts(
    [](const std::string& aHost) { return aHost == "host"; }, At(1), replies);
  CHECK(fixture.queue_.Granted() == 0);
  CHECK(fixture.queue_.Waiting() == 0);
}

// Guards against a slot for a request whose host has died or was frozen.
TEST_CASE("A waiting request is removed if its host does not renew the ask")
{
  QueueFixture fixture;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    fixture.Ask(id, 0);
  }
  fixture.Ask(4, 0.5);
  SlotReplies replies;
  fixture.queue_.OnTimer(At(1), replies);
  CHECK(fixture.queue_.Waiting() == 1);
  fixture.queue_.OnTimer(At(1.3), replies);
  CHECK(fixture.queue_.Waiting() == 0);
}

// Guards against starts beyond what a server that just started can take.
TEST_CASE("The limit and the starting rate of a server bound its grants")
{
  SlotQueueOptions options;
  int tokens = 1;
  options.limit_ = [](const std::string&, TimePoint) { return 2.0; };
  options.mayStart_ = [&](const std::string&, TimePoint) {
    return tokens-- > 0;
  };
  QueueFixture fixture(options);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    fixture.Ask(id, 0);
  }
  CHECK(fixture.queue_.Granted() == 1);
  tokens = 5;
  SlotReplies replies;
  fixture.queue_.OnTimer(At(0.1), replies);
  CHECK(fixture.queue_.Granted() == 2);
}

// Guards against probes that take slots for which requests wait, or which are
// kept in reserve.
TEST_CASE("A probe gets a slot only if one is free now")
{
  QueueFixture fixture;
  fixture.Ask(1, 0);
  fixture.Ask(2, 0);
  fixture.Ask(3, 0, 0, 7, 10, SlotMode::IfHalfIdle);
  CHECK(fixture.Is(3, SlotState::Refused));
  fixture.Ask(4, 0, 0, 7, 10, SlotMode::IfFree);
  CHECK(fixture.Is(4, SlotState::Granted));
  fixture.Ask(5, 0, 0, 7, 10, SlotMode::IfFree);
  CHECK(fixture.Is(5, SlotState::Refused));
  CHECK(fixture.queue_.Waiting() == 0);
}
