#include "memory/MemoryPool.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace peridotsail;

namespace {

constexpr std::size_t kMegabyte = 1000000;
constexpr TimePoint kStart{ std::chrono::seconds(10) };

}

// Guards against callbacks of destroyed holds, and against a release that wakes
// nobody.
TEST_CASE("A destroyed hold lets another one go on, and gets no callback")
{
  MemoryOptions options;
  options.machineBytes_ = 100 * kMegabyte;
  std::optional<Duration> scheduled;
  MemoryPool pool(options, [&](Duration aDelay) { scheduled = aDelay; });
  auto first = pool.Open(HoldStage::Executing, nullptr, kStart);
  CHECK(first->Request(40 * kMegabyte, kStart) == MemoryVerdict::Admitted);
  std::vector<MemoryNotice> notices;
  const auto record = [&](MemoryNotice aNotice) { notices.push_back(aNotice); };
  auto second = pool.Open(HoldStage::Receiving, record, kStart);
  auto third = pool.Open(HoldStage::Receiving, record, kStart);
  CHECK(second->Request(10 * kMegabyte, kStart) == MemoryVerdict::Waiting);
  CHECK(third->Request(10 * kMegabyte, kStart) == MemoryVerdict::Waiting);
  pool.Run(kStart);
  CHECK(notices.empty());
  scheduled.reset();
  third.reset();
  first.reset();
  REQUIRE(scheduled == Duration::zero());
  pool.Run(kStart);
  CHECK(notices == std::vector<MemoryNotice>{ MemoryNotice::Admitted });
  CHECK(pool.Statistics().held_ == 10 * kMegabyte);
}

// Guards against use of memory that was freed when a callback destroys the
// other holds of the same run, or when holds outlive the pool.
TEST_CASE("Callbacks may destroy holds, and holds may outlive the pool")
{
  MemoryOptions options;
  options.machineBytes_ = 100 * kMegabyte;
  auto pool = std::make_unique<MemoryPool>(options, nullptr);
  std::vector<std::shared_ptr<MemoryHold>> holds;
  int closed = 0;
  for (int i = 0; i < 4; ++i) {
    holds.push_back(pool->Open(
      HoldStage::Receiving,
      [&](MemoryNotice aNotice) {
        closed += aNotice == MemoryNotice::Close ? 1 : 0;
        holds.clear();
      },
      kStart));
    CHECK(holds.back()->Request(10 * kMegabyte, kStart) ==
          MemoryVerdict::Admitted);
  }
  const auto waiter = pool->Open(HoldStage::Executing, nullptr, kStart);
  CHECK(waiter->Request(30 * kMegabyte, kStart) == MemoryVerdict::Waiting);
  pool->Run(kStart + std::chrono::milliseconds(1500));
  CHECK(closed == 1);
  pool->Run(kStart + std::chrono::milliseconds(1600));
  CHECK(pool->Statistics().held_ == 30 * kMegabyte);
  pool.reset();
}
