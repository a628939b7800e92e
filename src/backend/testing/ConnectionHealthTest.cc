#include "backend/ConnectionHealth.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

namespace {

TimePoint
At(double aSeconds)
{
  return TimePoint(std::chrono::seconds(1000)) + FromSeconds(aSeconds);
}

}

// Guards against requests that hang on a stalled connection, and against
// aborting transfers that wait for the caller and not for the server.
TEST_CASE("each phase has its own timeout without progress")
{
  struct Row
  {
    ConnectionPhase phase_;
    std::optional<Duration> responseTimeout_;
    // 0: never.
    double stalledAfter_;
  };
  const Row row = GENERATE(
    Row{ ConnectionPhase::Sending, std::nullopt, 3 },
    Row{ ConnectionPhase::Receiving, std::nullopt, 3 },
    Row{ ConnectionPhase::AwaitingCaller, std::nullopt, 0 },
    Row{ ConnectionPhase::AwaitingResponse, std::nullopt, 0 },
    Row{ ConnectionPhase::AwaitingResponse, std::chrono::seconds(1), 1 });
  INFO(static_cast<int>(row.phase_));
  ConnectionHealth health;
  health.Opened(1, "a", At(0));
  health.Progress(1, row.phase_, At(5), row.responseTimeout_);
  if (row.stalledAfter_ == 0) {
    CHECK(health.Check(At(10000)).empty());
    return;
  }
  CHECK(health.Check(At(5 + row.stalledAfter_ - 0.01)).empty());
  const auto abandoned = health.Check(At(5 + row.stalledAfter_));
  REQUIRE(abandoned.size() == 1);
  CHECK(abandoned[0].stalled_);
  CHECK(health.Check(At(10000)).empty());
}

// Guards against a retry on another connection that is stalled too, and against
// closing newer connections, busy connections and those to other servers.
TEST_CASE("a stalled connection closes idle ones that are not newer")
{
  ConnectionHealth health;
  health.Opened(1, "a", At(0));
  health.Opened(2, "a", At(1));
  health.Opened(3, "a", At(1));
  health.Opened(4, "a", At(2));
  health.Opened(5, "b", At(0));
  health.Progress(2, ConnectionPhase::Sending, At(10));
  health.Progress(3, ConnectionPhase::AwaitingResponse, At(10));
  std::map<std::uint64_t, bool> ended;
  for (const AbandonedConnection& connection : health.Check(At(13))) {
    ended[connection.id_] = connection.stalled_;
  }
  CHECK(ended == std::map<std::uint64_t, bool>{ { 1, false }, { 2, true } });
  CHECK_FALSE(health.MayReuse(3, At(13)));
  CHECK(health.MayReuse(4, At(13)));
  CHECK(health.MayReuse(5, At(13)));
  CHECK_FALSE(health.MayReuse(5, At(30)));
}

// Guards against moving all requests of a pool that slows down to new
// connections, which would run each of them twice.
TEST_CASE("the response timeout follows the slowest recent response")
{
  AdaptiveResponseTimeout timeout;
  for (int i = 0; i < 100; ++i) {
    timeout.Record(std::chrono::milliseconds(20), At(i));
  }
  CHECK(timeout.Timeout(At(100)) == std::chrono::milliseconds(300));
  // The pool slows down: the first abandoned wait raises the timeout.
  timeout.Record(std::chrono::milliseconds(300), At(100));
  CHECK(timeout.Timeout(At(100)) >= std::chrono::milliseconds(899));
  CHECK(timeout.Timeout(At(100 + 600)) == std::chrono::milliseconds(300));
}
