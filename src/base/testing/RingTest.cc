#include "base/Ring.h"
#include "base/EventLoopThread.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

// Guards against an unbounded queue between threads.
TEST_CASE("a full ring rejects and counts")
{
  int wakeCalls = 0;
  Ring<int> ring(2, [&] { ++wakeCalls; });
  CHECK(ring.Push(1));
  CHECK(ring.Push(2));
  CHECK_FALSE(ring.Push(3));
  CHECK(ring.Rejected() == 1);
  CHECK(wakeCalls == 1);
  CHECK(ring.PopAll() == std::vector<int>{ 1, 2 });
  CHECK(ring.Push(4));
  CHECK(wakeCalls == 2);
}

// Guards against lost or reordered tasks between two threads.
TEST_CASE("posted tasks run in order")
{
  EventLoopThread thread("test", 64);
  std::vector<int> seen;
  thread.Start();
  for (int i = 0; i < 50; ++i) {
    REQUIRE(thread.Post([&seen, i] { seen.push_back(i); }));
  }
  thread.RunAndWait([] {});
  std::size_t count = 0;
  thread.RunAndWait([&] { count = seen.size(); });
  CHECK(count == 50);
  CHECK(std::is_sorted(seen.begin(), seen.end()));
  thread.Stop();
}
