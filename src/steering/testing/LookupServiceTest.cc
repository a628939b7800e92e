#include "steering/LookupService.h"
#include "steering/HostDrain.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace peridotsail;
using namespace std::chrono_literals;

namespace {

constexpr int kBlocks = 20'000;

std::string
Block(int aIndex)
{
  return "10." + std::to_string(aIndex / 256) + "." +
         std::to_string(aIndex % 256) + ".0/24";
}

std::vector<LookupHost>
MakeHosts()
{
  std::vector<LookupHost> hosts;
  const std::map<std::string, int> regions{ { "a", 4 },
                                            { "b", 2 },
                                            { "c", 2 } };
  for (const auto& [region, count] : regions) {
    for (int i = 0; i < count; ++i) {
      const std::string name = region + std::to_string(i);
      hosts.push_back(
        { name, region, region + std::to_string(i % 2), name + ":80" });
    }
  }
  return hosts;
}

ConfigurationPtr
WithDrain(DrainKind aKind, const std::string& aName)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->version_ = 7;
  configuration->drains_.push_back({ aKind, aName });
  return configuration;
}

std::vector<std::string>
Names(const LookupAnswer& aAnswer)
{
  std::vector<std::string> names;
  for (const LookupHost* host : aAnswer.hosts_) {
    names.push_back(host->name_);
  }
  return names;
}

std::map<std::string, int>
FirstHosts(const LookupService& aLookup)
{
  std::map<std::string, int> counts;
  for (int i = 0; i < kBlocks; ++i) {
    ++counts[aLookup.Answer(Block(i), "a").hosts_.front()->name_];
  }
  return counts;
}

}

// Consistent hashing: when a host is removed, only its own blocks may move, and
// a lower weight must reduce a host's share of the blocks accordingly.
TEST_CASE("removing a host moves only the blocks of that host")
{
  LookupService before;
  before.SetHosts(MakeHosts());
  LookupService after;
  std::vector<LookupHost> hosts = MakeHosts();
  hosts[1].state_ = LookupHostState::Dead;
  after.SetHosts(hosts);
  int moved = 0;
  for (int i = 0; i < kBlocks; ++i) {
    const std::string oldHost = Names(before.Answer(Block(i), "a")).front();
    const std::string newHost = Names(after.Answer(Block(i), "a")).front();
    if (oldHost != newHost) {
      CHECK(oldHost == "a1");
      ++moved;
    }
  }
  CHECK(moved / double(kBlocks) == Approx(0.25).margin(0.01));
  hosts = MakeHosts();
  hosts[0].weight_ = 0.5;
  after.SetHosts(hosts);
  CHECK(FirstHosts(after)["a0"] / double(kBlocks) ==
        Approx(0.5 / 3.5).margin(0.01));
}

// Tests invariant 9: a draining or leaving host must not appear at any position
// of the next answer.
TEST_CASE("draining, leaving and dead hosts are not listed")
{
  LookupService lookup;
  std::vector<LookupHost> hosts = MakeHosts();
  hosts[1].state_ = LookupHostState::Leaving;
  hosts[2].state_ = LookupHostState::Dead;
  lookup.SetHosts(hosts);
  lookup.SetConfiguration(WithDrain(DrainKind::Host, "a3"));
  for (int i = 0; i < 200; ++i) {
    const LookupAnswer answer = lookup.Answer(Block(i), "a");
    const std::vector<std::string> names = Names(answer);
    CHECK(names.size() == 5);
    CHECK(names.front() == "a0");
    CHECK(std::set<std::string>(names.begin(), names.end()) ==
          std::set<std::string>{ "a0", "b0", "b1", "c0", "c1" });
    CHECK(answer.configVersion_ == 7);
    CHECK(answer.timeToLive_ == 5s);
  }
}

// No answer may be empty while any host is alive. Covers all combinations of
// states of three hosts.
TEST_CASE("an answer is empty only when all hosts are dead")
{
  for (int combination = 0; combination < 64; ++combination) {
    std::vector<LookupHost> hosts;
    bool anyAlive = false;
    auto configuration = std::make_shared<Configuration>();
    for (int i = 0; i < 3; ++i) {
      const int state = (combination >> (2 * i)) & 3;
      LookupHost host{ "h" + std::to_string(i), i == 0 ? "a" : "b", "d", "x" };
      if (state == 3) {
        configuration->drains_.push_back({ DrainKind::Host, host.name_ });
      } else {
        host.state_ = static_cast<LookupHostState>(state);
      }
      anyAlive = anyAlive || host.state_ != LookupHostState::Dead;
      hosts.push_back(host);
    }
    LookupService lookup;
    lookup.SetHosts(hosts);
    lookup.SetConfiguration(configuration);
    lookup.SetRegionShare("a", { 0, 0, true });
    lookup.SetRegionShare("b", { 0, 0, true });
    INFO("combination " << combination);
    CHECK(lookup.Answer("x", "a").hosts_.empty() == !anyAlive);
  }
}

// Lowering the fraction that a region keeps must move exactly that fraction of
// its blocks, and the receiving regions must get them in proportion to their
// weights.
TEST_CASE("the kept fraction determines how many blocks leave their region")
{
  LookupService lookup;
  lookup.SetHosts(MakeHosts());
  lookup.SetRegionShare("b", { 1, 300, false });
  lookup.SetRegionShare("c", { 1, 100, false });
  std::set<std::string> awayBefore;
  double last = 0;
  for (const double keep : { 1.0, 0.9, 0.5, 0.2 }) {
    const bool draining = keep < 0.5;
    lookup.SetRegionShare("a", { keep, 500, draining });
    std::set<std::string> away;
    int toB = 0;
    for (int i = 0; i < kBlocks; ++i) {
      const LookupAnswer answer = lookup.Answer(Block(i), "a");
      if (answer.hosts_.front()->region_ != "a") {
        away.insert(Block(i));
        toB += answer.hosts_.front()->region_ == "b" ? 1 : 0;
        CHECK((!draining || answer.hosts_.back()->region_ != "a"));
      }
    }
    CHECK(away.size() / double(kBlocks) == Approx(1 - keep).margin(0.01));
    CHECK(std::includes(
      away.begin(), away.end(), awayBefore.begin(), awayBefore.end()));
    if (!away.empty()) {
      CHECK(toB / double(away.size()) == Approx(0.75).margin(0.02));
    }
    CHECK(double(away.size()) >= last);
    last = double(away.size());
    awayBefore = away;
  }
  // Blocks of other regions must not be sent to a region that is being drained.
  CHECK(Names(lookup.Answer("x", "b")).size() == 4);
}

// Tests the order of fallback hosts: regions by distance, and a host in another
// failure domain in second position.
TEST_CASE("regions are ordered by distance, with another failure domain second")
{
  LookupService lookup;
  lookup.SetHosts(MakeHosts());
  lookup.SetRoundTrip("a", "b", 110ms);
  lookup.SetRoundTrip("a", "c", 20ms);
  auto table = std::make_shared<BlockTable>();
  table->Set(BlockKey("far"), { 9, 2, 1 });
  lookup.SetBlockTable(table, { "a", "b", "c" });
  CHECK(lookup.Answer("far", "a").homeRegion_ == "c");
  for (int i = 0; i < 100; ++i) {
    const LookupAnswer answer = lookup.Answer(Block(i), "a");
    REQUIRE(answer.hosts_.size() == 8);
    CHECK(answer.hosts_[0]->failureDomain_ != answer.hosts_[1]->failureDomain_);
    CHECK(answer.hosts_[4]->region_ == "c");
    CHECK(answer.hosts_[6]->region_ == "b");
  }
}

// Compares the probing and deletion of the block table with std::map, and
// checks the memory limit of 48 bytes per block.
TEST_CASE("the block table matches a map and meets its memory limit")
{
  std::mt19937_64 random(11);
  BlockTable table(2000);
  std::map<std::uint64_t, std::uint16_t> expected;
  for (int i = 0; i < 20'000; ++i) {
    // Few distinct adjacent keys cause long probe sequences.
    const std::uint64_t key = 1 + (random() % 3000) * (1ULL << 40);
    if (random() % 3 == 0) {
      CHECK(table.Erase(key) == (expected.erase(key) == 1));
    } else {
      const auto site = static_cast<std::uint16_t>(random() % 860);
      table.Set(key, { site });
      expected[key] = site;
    }
  }
  CHECK(table.size() == expected.size());
  for (const auto& [key, site] : expected) {
    REQUIRE(table.Find(key) != nullptr);
    CHECK((*table.Find(key))[0] == site);
  }
  const BlockTable reserved(100'000);
  CHECK(double(reserved.MemoryBytes()) / 100'000 <= 48);
}

// Tests invariant 9: a leaving host serves until all cached answers that list
// it have expired, and does not finish while requests are in flight.
TEST_CASE("a draining host serves until all cached answers have expired")
{
  HostDrain drain({ 2s, 5s });
  const TimePoint start{ 100s };
  CHECK(drain.PhaseAt(start, 0) == HostPhase::Serving);
  drain.Start(start);
  drain.Start(start + 3s);
  CHECK(drain.PhaseAt(start + 6999ms, 0) == HostPhase::Unlisted);
  CHECK(drain.PhaseAt(start + 7s, 1) == HostPhase::Closing);
  CHECK(drain.PhaseAt(start + 7s, 0) == HostPhase::Finished);
}
