#include "backend/FairQueue.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace peridotsail;

namespace {

const TimePoint kStart{ std::chrono::seconds(1000) };
constexpr Duration kLong = std::chrono::seconds(60);

}

// Guards against starvation: a customer with a single request must neither wait
// for another customer's full queue nor be refused because of it.
TEST_CASE("a customer with many requests delays others by one turn")
{
  FairQueue queue;
  std::vector<QueueRefusal> refused;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    queue.Push({ id, "large", kStart + kLong }, 30, kStart, refused);
  }
  CHECK(queue.size() == 64);
  CHECK(refused.size() == 136);
  refused.clear();
  queue.Push({ 500, "small", kStart + kLong }, 30, kStart, refused);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].id_ == 64);
  CHECK(refused[0].kind_ == ErrorKind::QueueFull);
  CHECK(refused[0].retryAfterSeconds_ >= 1);
  queue.Pop(kStart, refused);
  CHECK(queue.Pop(kStart, refused) == 500);
}

// Guards the deficit accounting: a request of cost 4 uses four rounds.
TEST_CASE("customers share by cost, not by number of requests")
{
  FairQueue queue;
  std::vector<QueueRefusal> refused;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    queue.Push({ id, "a", kStart + kLong, 4 }, 30, kStart, refused);
    queue.Push({ 100 + id, "b", kStart + kLong, 1 }, 30, kStart, refused);
  }
  int ofA = 0;
  for (int i = 0; i < 10; ++i) {
    ofA += *queue.Pop(kStart, refused) < 100 ? 1 : 0;
  }
  CHECK(ofA == 2);
}

// Guards against refusals that are sent only after the deadline has passed.
TEST_CASE("a request that cannot meet its deadline is refused early")
{
  FairQueue queue;
  std::vector<QueueRefusal> refused;
  for (int i = 0; i < 200; ++i) {
    queue.RecordServiceTime(std::chrono::milliseconds(100));
  }
  const auto after = [](int aMilliseconds) {
    return kStart + std::chrono::milliseconds(aMilliseconds);
  };
  for (std::uint64_t id = 1; id <= 4; ++id) {
    queue.Push({ id, "a", after(600) }, 1, kStart, refused);
  }
  CHECK(refused.empty());
  // Four requests on one slot take 400 ms, and the request itself 100 ms.
  queue.Push({ 5, "a", after(450) }, 1, kStart, refused);
  queue.Push({ 6, "a", after(50) }, 1, kStart, refused);
  REQUIRE(refused.size() == 2);
  CHECK(refused[0].kind_ == ErrorKind::QueueFull);
  CHECK(refused[1].kind_ == ErrorKind::DeadlineExceeded);
  // Another customer's turn comes sooner.
  queue.Push({ 7, "b", after(450) }, 1, kStart, refused);
  CHECK(refused.size() == 2);
  queue.Expire(after(400), refused);
  REQUIRE(refused.size() == 3);
  CHECK(refused[2].id_ == 7);
  CHECK_FALSE(queue.Pop(after(550), refused).has_value());
  CHECK(refused.size() == 7);
}

// Guards against requests that are lost in the queue or completed twice.
TEST_CASE("each queued request ends exactly once")
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    FairQueue queue({ 8, 1, std::chrono::milliseconds(20) });
    std::set<std::uint64_t> open;
    TimePoint now = kStart;
    std::vector<QueueRefusal> refused;
    const auto end = [&open](std::uint64_t aId) {
      REQUIRE(open.erase(aId) == 1);
    };
    for (std::uint64_t id = 1; id < 3000; ++id) {
      now += std::chrono::milliseconds(random() % 10);
      refused.clear();
      const auto deadline = now + std::chrono::milliseconds(random() % 300);
      const auto event = random() % 8;
      if (event < 4) {
        open.insert(id);
        const std::string customer(1, static_cast<char>('a' + random() % 4));
        queue.Push(
          { id, customer, deadline, static_cast<double>(1 + random() % 3) },
          3,
          now,
          refused);
      } else if (event < 6) {
        if (const auto next = queue.Pop(now, refused)) {
          end(*next);
          if (random() % 4 == 0) {
            open.insert(*next);
            queue.PushFront({ *next, "a", deadline });
          }
        }
      } else if (event == 6) {
        queue.Expire(now, refused);
      } else if (!open.empty()) {
        queue.Remove(*open.begin());
        open.erase(open.begin());
      }
      for (const QueueRefusal& refusal : refused) {
        end(refusal.id_);
      }
      REQUIRE(queue.size() == open.size());
    }
  }
}
