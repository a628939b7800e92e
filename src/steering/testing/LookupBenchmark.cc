// Benchmark of the block table and of lookups at the target size: 2 million
// client blocks, 860 sites, 23 regions, 4,300 hosts. The required rate per core
// follows from 1.6 million lookups per second on 4,300 hosts, each of which may
// use 4.2% of a core for lookups.

#include "base/BootClock.h"
#include "steering/BlockTable.h"
#include "steering/LookupService.h"

#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace peridotsail;

namespace {

constexpr std::size_t kBlocks = 2'000'000;
constexpr int kSiteCount = 860;
constexpr int kRegionCount = 23;
constexpr int kHostCount = 4300;
constexpr double kLookupsPerSecond = 1.6e6;
constexpr double kCoreShare = 0.042;

std::string
Block(std::size_t aIndex)
{
  return "10." + std::to_string(aIndex >> 8) + "." +
         std::to_string(aIndex & 255) + ".0/24";
}

double
SecondsSince(TimePoint aStart)
{
  return ToSeconds(BootClock::now() - aStart);
}

void
MeasureMoves(const std::vector<LookupHost>& aHosts)
{
  LookupService before;
  before.SetHosts(aHosts);
  std::vector<LookupHost> fewer = aHosts;
  fewer.front().state_ = LookupHostState::Dead;
  LookupService after;
  after.SetHosts(fewer);
  int moved = 0;
  int movedNeedlessly = 0;
  constexpr int kSample = 200'000;
  const std::string& removed = aHosts.front().name_;
  for (int i = 0; i < kSample; ++i) {
    const std::string block = Block(static_cast<std::size_t>(i));
    const LookupHost* oldHost =
      before.Answer(block, aHosts.front().region_).hosts_.front();
    const LookupHost* newHost =
      after.Answer(block, aHosts.front().region_).hosts_.front();
    if (oldHost->name_ != newHost->name_) {
      ++moved;
      movedNeedlessly += oldHost->name_ == removed ? 0 : 1;
    }
  }
  int inRegion = 0;
  for (const LookupHost& host : aHosts) {
    inRegion += host.region_ == aHosts.front().region_ ? 1 : 0;
  }
  std::printf("one of %d hosts in a region removed: %.6f of its blocks move, "
              "ideal %.6f, ratio %.3f; moved needlessly: %d\n",
              inRegion,
              double(moved) / kSample,
              1.0 / inRegion,
              double(moved) / kSample * inRegion,
              movedNeedlessly);
}

}

int
main()
{
  std::mt19937_64 random(42);
  auto table = std::make_shared<BlockTable>(kBlocks);
  TimePoint start = BootClock::now();
  for (std::size_t i = 0; i < kBlocks; ++i) {
    BlockTable::Sites sites{};
    for (std::uint16_t& site : sites) {
      site = static_cast<std::uint16_t>(random() % kSiteCount);
    }
    table->Set(BlockKey(Block(i)), sites);
  }
  std::printf(
    "block table: %zu blocks, %.1f bytes per block, built in %.2f s\n",
    table->size(),
    double(table->MemoryBytes()) / double(table->size()),
    SecondsSince(start));

  constexpr int kFinds = 5'000'000;
  std::vector<std::uint64_t> keys;
  keys.reserve(1 << 20);
  for (int i = 0; i < 1 << 20; ++i) {
    keys.push_back(BlockKey(Block(random() % kBlocks)));
  }
  start = BootClock::now();
  std::size_t sum = 0;
  for (int i = 0; i < kFinds; ++i) {
    sum += (*table->Find(keys[static_cast<std::size_t>(i) & 0xfffff]))[0];
  }
  const double finds = kFinds / SecondsSince(start);
  std::printf(
    "table lookups: %.0f per second on one core (checksum %zu)\n", finds, sum);

  std::vector<std::string> siteRegions;
  siteRegions.reserve(kSiteCount);
  for (int i = 0; i < kSiteCount; ++i) {
    siteRegions.push_back("r" + std::to_string(i % kRegionCount));
  }
  std::vector<LookupHost> hosts;
  hosts.reserve(kHostCount);
  for (int i = 0; i < kHostCount; ++i) {
    const std::string region = "r" + std::to_string(i % kRegionCount);
    hosts.push_back({ "h" + std::to_string(i),
                      region,
                      region + std::to_string(i % 2),
                      "192.0.2.1:80" });
  }
  LookupService lookup;
  lookup.SetHosts(hosts);
  lookup.SetBlockTable(table, siteRegions);
  constexpr int kAnswers = 50'000;
  start = BootClock::now();
  sum = 0;
  for (int i = 0; i < kAnswers; ++i) {
    sum += lookup.Answer(Block(random() % kBlocks), "r0").hosts_.size();
  }
  const double answers = kAnswers / SecondsSince(start);
  const double needed = kLookupsPerSecond / kHostCount / kCoreShare;
  std::printf(
    "complete answers: %.0f per second on one core; required at %.1f%% of "
    "a core: %.0f, ratio %.1f (hosts listed %zu)\n",
    answers,
    kCoreShare * 100,
    needed,
    answers / needed,
    sum);
  MeasureMoves(hosts);
  MeasureMoves({ { "h0", "a", "a1", "x" },
                 { "h1", "a", "a2", "x" },
                 { "h2", "a", "a1", "x" } });
  return 0;
}
