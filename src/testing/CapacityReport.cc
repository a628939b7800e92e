// Measures the slopes of state, messages and processor time, and prints the
// tables of docs/CAPACITY.md for the target size. scripts/capacity.sh writes
// them into the page.

#include "base/BootClock.h"
#include "base/Hash.h"
#include "budget/BudgetTable.h"
#include "config/ConfigurationDelta.h"
#include "config/ConfigurationSnapshot.h"
#include "keys/DisseminationMessages.h"
#include "keys/KeyTable.h"
#include "peer/PeerMessage.h"
#include "steering/BlockTable.h"
#include "steering/LookupService.h"

#include <cstdio>
#include <functional>
#include <malloc.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace peridotsail;
using nlohmann::json;

namespace {

// The target of two years.
constexpr double kNodes = 4300;
constexpr double kBlocks = 2e6;
constexpr double kSites = 860;
constexpr double kLookups = 1.6e6;
constexpr double kRegions = 23;
constexpr double kDomains = 48;
constexpr double kChangesADay = 9000;
constexpr double kSecondsADay = 86400;
constexpr double kCoreShare = 0.042;
constexpr double kMemoryBytes = 128e6;
constexpr double kControlBytes = 2000;
constexpr double kRestartsADay = 490;
constexpr double kFailuresADay = 7;

// What the platform's store gives, shared by all; "several hundred" writes is
// counted as 300.
constexpr double kStoreWrites = 300;
constexpr double kStoreReads = 2000;
constexpr double kMaxValueBytes = 1e6;

// Settings of today that the derivation uses.
constexpr double kGossipSeconds = 1;
constexpr double kGossipFanout = 6;
constexpr double kWatchersPerRegion = 2;
constexpr double kWatcherReadSeconds = 2;
constexpr double kRenewSeconds = 3;
constexpr double kKeptVersions = 16;
// WebSocket, TCP and IP headers of a small message.
constexpr double kFrameOverheadBytes = 60;

std::size_t
HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Heap bytes that aMake's result holds.
template<typename Make>
double
HeapOf(const Make& aMake)
{
  const std::size_t before = HeapBytes();
  const auto made = aMake();
  return static_cast<double>(HeapBytes() - before);
}

// Seconds of one call, from as many calls as fill a part of a second.
double
SecondsOf(const std::function<void()>& aCall)
{
  constexpr Duration kFill = std::chrono::milliseconds(200);
  int calls = 0;
  const TimePoint start = BootClock::now();
  while (BootClock::now() - start < kFill) {
    aCall();
    ++calls;
  }
  return ToSeconds(BootClock::now() - start) / calls;
}

std::string
MakeDocument(int aCustomers, int aServers)
{
  json document{ { "format", 1 } };
  document["regions"] = json::array({ { { "name", "r0" },
                                        { "failure_domains", { "r0-a" } },
                                        { "slots", 7 } } });
  document["pools"] = json::array({ { { "name", "inbox" } } });
  document["backend_servers"] = json::array();
  for (int i = 0; i < aServers; ++i) {
    document["backend_servers"].push_back(
      { { "name", "server-" + std::to_string(i) },
        { "pool", "inbox" },
        { "region", "r0" },
        { "failure_domain", "r0-a" },
        { "address", "192.0.2.1:" + std::to_string(1 + i % 60000) },
        { "slots", 3 } });
  }
  document["routes"] = json::array(
    { { { "name", "inbox" }, { "prefix", "/inbox" }, { "pool", "inbox" } } });
  document["customers"] = json::array();
  document["keys"] = json::array();
  for (int i = 0; i < aCustomers; ++i) {
    const std::string name = "customer-" + std::to_string(i);
    document["customers"].push_back(
      { { "name", name }, { "rate_per_second", 50 }, { "burst", 100 } });
    document["keys"].push_back({ { "id", "k" + std::to_string(i) },
                                 { "customer", name },
                                 { "sha256", Sha256Hex("secret") } });
  }
  return document.dump();
}

SnapshotPtr
Snapshot(std::int64_t aVersion, const std::string& aText)
{
  std::vector<ConfigurationFault> faults;
  return MakeSnapshot(aVersion, aText, faults);
}

struct Slopes
{
  double blockBytes_ = 0;
  double hostBytes_ = 0;
  double customerBytes_ = 0;
  double serverBytes_ = 0;
  double budgetBytes_ = 0;
  double customerText_ = 0;
  double serverText_ = 0;
  double versionBytes_ = 0;
  double gossipBytes_ = 0;
  double deltaBytes_ = 0;
  double lookupSeconds_ = 0;
  double gossipSeconds_ = 0;
  double deltaSeconds_ = 0;
  double keySeconds_ = 0;
  double tokenSeconds_ = 0;
};

std::shared_ptr<BlockTable>
MakeBlockTable()
{
  auto table = std::make_shared<BlockTable>(static_cast<std::size_t>(kBlocks));
  for (std::size_t i = 0; i < static_cast<std::size_t>(kBlocks); ++i) {
    const auto site =
      static_cast<std::uint16_t>(i % static_cast<std::size_t>(kSites));
    table->Set(BlockKey("block-" + std::to_string(i)), { site });
  }
  return table;
}

std::vector<LookupHost>
MakeHosts(int aCount)
{
  std::vector<LookupHost> hosts;
  hosts.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    const std::string region =
      "r" + std::to_string(i % static_cast<int>(kRegions));
    hosts.push_back(
      { "host-" + std::to_string(i), region, region + "-a", "192.0.2.1:80" });
  }
  return hosts;
}

std::shared_ptr<LookupService>
MakeLookup(int aHosts)
{
  auto lookup = std::make_shared<LookupService>();
  lookup->SetHosts(MakeHosts(aHosts));
  return lookup;
}

void
MeasureSteering(Slopes& aSlopes)
{
  const auto table = MakeBlockTable();
  aSlopes.blockBytes_ = static_cast<double>(table->MemoryBytes()) / kBlocks;
  const double small = HeapOf([] { return MakeLookup(1000); });
  const double large = HeapOf([] { return MakeLookup(4000); });
  aSlopes.hostBytes_ = (large - small) / 3000;
  const auto lookup = MakeLookup(static_cast<int>(kNodes));
  std::vector<std::string> siteRegions;
  siteRegions.reserve(static_cast<std::size_t>(kSites));
  for (int i = 0; i < static_cast<int>(kSites); ++i) {
    siteRegions.push_back("r" + std::to_string(i % static_cast<int>(kRegions)));
  }
  lookup->SetBlockTable(table, siteRegions);
  std::size_t next = 0;
  std::size_t named = 0;
  aSlopes.lookupSeconds_ = SecondsOf([&] {
    next = (next + 7919) % static_cast<std::size_t>(kBlocks);
    named +=
      lookup->Answer("block-" + std::to_string(next), "r0").hosts_.size();
  });
  if (named == 0) {
    std::fprintf(stderr, "no host was named\n");
  }
}

void
MeasureConfiguration(Slopes& aSlopes)
{
  const std::string base = MakeDocument(1000, 100);
  const std::string customers = MakeDocument(2000, 100);
  const std::string servers = MakeDocument(1000, 1100);
  const double baseHeap = HeapOf([&] { return Snapshot(1, base); });
  aSlopes.versionBytes_ = baseHeap;
  aSlopes.customerBytes_ =
    (HeapOf([&] { return Snapshot(1, customers); }) - baseHeap) / 1000;
  aSlopes.serverBytes_ =
    (HeapOf([&] { return Snapshot(1, servers); }) - baseHeap) / 1000;
  aSlopes.customerText_ =
    static_cast<double>(customers.size() - base.size()) / 1000;
  aSlopes.serverText_ =
    static_cast<double>(servers.size() - base.size()) / 1000;

  const SnapshotPtr before = Snapshot(1, base);
  json changed = json::parse(base);
  changed["keys"][5]["withdrawn"] = true;
  const SnapshotPtr after = Snapshot(2, changed.dump());
  const std::string delta = EncodeDelta(before.get(), *after);
  aSlopes.deltaBytes_ = static_cast<double>(delta.size());
  aSlopes.deltaSeconds_ = SecondsOf([&] { ApplyDelta(before.get(), delta); });

  KeyTable keys;
  keys.SetConfiguration(before->configuration_);
  keys.SetFreshUntil(TimePoint::max());
  aSlopes.keySeconds_ =
    SecondsOf([&] { keys.Check(TimePoint{}, "Bearer k5.secret"); });
}

void
MeasureGossip(Slopes& aSlopes)
{
  GossipMessage gossip;
  gossip.version_ = 123456;
  gossip.hash_ = Sha256Hex("document");
  gossip.storeReachable_ = true;
  gossip.withdrawnDigest_ = Sha256Hex("withdrawn");
  gossip.timing_.sequence_ = 1ULL << 40;
  gossip.timing_.echo_ = 1ULL << 40;
  gossip.timing_.echoDelay_ = std::chrono::milliseconds(500);
  gossip.timing_.confirmationAge_ = std::chrono::milliseconds(500);
  const auto encode = [&] {
    return EncodePeerMessage({ PeerMessageType::Gossip, EncodeGossip(gossip) });
  };
  const std::string bytes = encode();
  aSlopes.gossipBytes_ = static_cast<double>(bytes.size());
  aSlopes.gossipSeconds_ = SecondsOf([&] {
    const auto message = DecodePeerMessage(encode());
    DecodeGossip(message->payload_);
  });
}

std::shared_ptr<BudgetTable>
MakeBudgets(int aCustomers)
{
  auto table =
    std::make_shared<BudgetTable>(SharedBudgetOptions(), TimePoint{});
  std::vector<NamedLimits> limits;
  limits.reserve(static_cast<std::size_t>(aCustomers));
  for (int i = 0; i < aCustomers; ++i) {
    limits.push_back({ "customer-" + std::to_string(i), 50, 100 });
  }
  auto layout = std::make_shared<SlotLayout>();
  layout->regions_ = { { "r0", 7 } };
  table->SetLimits(limits, layout, true, TimePoint{});
  SlotValidity slot;
  slot.slot_ = { "r0", 0 };
  slot.index_ = 0;
  slot.totalSlots_ = 7;
  slot.epoch_ = 1;
  slot.validUntil_ = TimePoint::max();
  table->SetSlot(slot, TimePoint{});
  return table;
}

void
MeasureBudgets(Slopes& aSlopes)
{
  const double small = HeapOf([] { return MakeBudgets(1000); });
  const double large = HeapOf([] { return MakeBudgets(3000); });
  aSlopes.budgetBytes_ = (large - small) / 2000;
  const auto budgets = MakeBudgets(1000);
  TimePoint now{};
  aSlopes.tokenSeconds_ = SecondsOf([&] {
    now += std::chrono::milliseconds(200);
    budgets->TryTake("customer-5", 1, now);
  });
}

void
Row(const char* aName, double aValue, const char* aUnit, const char* aUse)
{
  std::printf("| %s | %.4g %s | %s |\n", aName, aValue, aUnit, aUse);
}

void
PrintSlopes(const Slopes& aSlopes)
{
  std::printf("| slope | measured | used for |\n|---|---|---|\n");
  Row("memory of a client block", aSlopes.blockBytes_, "bytes", "look-up");
  Row("memory of a host in look-ups", aSlopes.hostBytes_, "bytes", "look-up");
  Row("memory of a customer with a key, in one version",
      aSlopes.customerBytes_,
      "bytes",
      "configuration");
  Row("memory of a backend server, in one version",
      aSlopes.serverBytes_,
      "bytes",
      "configuration");
  Row("memory of a customer's budget", aSlopes.budgetBytes_, "bytes", "entry");
  Row("memory of a version with 1,000 customers and 100 servers",
      aSlopes.versionBytes_,
      "bytes",
      "configuration");
  Row("document text of a customer with a key",
      aSlopes.customerText_,
      "bytes",
      "store");
  Row(
    "document text of a backend server", aSlopes.serverText_, "bytes", "store");
  Row("bytes of a gossip message", aSlopes.gossipBytes_, "bytes", "heartbeat");
  Row("bytes of a change of one key as a delta",
      aSlopes.deltaBytes_,
      "bytes",
      "dissemination");
  Row("processor time of a look-up's decision",
      aSlopes.lookupSeconds_ * 1e6,
      "us",
      "look-up");
  Row("processor time to encode and decode a gossip message",
      aSlopes.gossipSeconds_ * 1e6,
      "us",
      "heartbeat");
  Row("processor time to apply a delta (1,000 customers)",
      aSlopes.deltaSeconds_ * 1e6,
      "us",
      "dissemination");
  Row(
    "processor time of a key check", aSlopes.keySeconds_ * 1e6, "us", "entry");
  Row("processor time to take a token",
      aSlopes.tokenSeconds_ * 1e6,
      "us",
      "entry");
}

void
TargetRow(const char* aName, double aUse, double aLimit, const char* aUnit)
{
  std::printf("| %s | %.4g %s | %.4g %s | %.2g | %s |\n",
              aName,
              aUse,
              aUnit,
              aLimit,
              aUnit,
              aLimit / aUse,
              aUse <= aLimit ? "holds" : "**breaks**");
}

void
PrintNode(const Slopes& aSlopes)
{
  const double changes = kChangesADay / kSecondsADay;
  const double lookups = kLookups / kNodes;
  const double gossip = kGossipFanout / kGossipSeconds;
  const double gossipBytes =
    2 * gossip * (aSlopes.gossipBytes_ + kFrameOverheadBytes);
  const double pingBytes = (kNodes - 1) * 2 * 2 * kFrameOverheadBytes;
  std::printf("| a node at the target | use by today's code | limit | margin | "
              "verdict |\n|---|---|---|---|---|\n");
  TargetRow("block table",
            aSlopes.blockBytes_ * kBlocks / 1e6,
            kMemoryBytes / 1e6,
            "MB");
  TargetRow("block table and host table",
            (aSlopes.blockBytes_ * kBlocks + aSlopes.hostBytes_ * kNodes) / 1e6,
            kMemoryBytes / 1e6,
            "MB");
  TargetRow("look-up decisions, share of a core",
            lookups * aSlopes.lookupSeconds_,
            kCoreShare,
            "");
  TargetRow(
    "gossip, share of a core", gossip * aSlopes.gossipSeconds_, kCoreShare, "");
  TargetRow(
    "deltas, share of a core", changes * aSlopes.deltaSeconds_, kCoreShare, "");
  TargetRow("gossip at today's fan-out, both directions",
            gossipBytes,
            kControlBytes,
            "B/s");
  TargetRow(
    "gossip at a fan-out of 2 each 3 s", gossipBytes / 9, kControlBytes, "B/s");
  TargetRow("deltas received once",
            changes * aSlopes.deltaBytes_,
            kControlBytes,
            "B/s");
  TargetRow("pings on links to all other nodes (2 a second)",
            pingBytes,
            kControlBytes,
            "B/s");
  TargetRow("pings on links to 8 partners (1 each 3 s)",
            8 * 2 * kFrameOverheadBytes / 3,
            kControlBytes,
            "B/s");
}

void
PrintStore(const Slopes& aSlopes)
{
  const double leases = kNodes / kRenewSeconds;
  const double watchers = kRegions * kWatchersPerRegion;
  std::printf("| the store at the target | use by today's code | limit | "
              "margin | verdict |\n|---|---|---|---|---|\n");
  TargetRow("waiting watches, if each counts as a call a second",
            watchers,
            kStoreReads,
            "/s");
  TargetRow(
    "reads of the watchers", watchers / kWatcherReadSeconds, kStoreReads, "/s");
  TargetRow("renewals with a slot on each node", leases, kStoreWrites, "/s");
  TargetRow("renewals with 3 slots a failure domain",
            3 * kDomains / kRenewSeconds,
            kStoreWrites,
            "/s");
  TargetRow("configuration commits",
            2 * kChangesADay / kSecondsADay,
            kStoreWrites,
            "/s");
  TargetRow("claim groups, one writer a slot of each node at 40/s",
            kNodes * 40,
            kStoreWrites,
            "/s");
  TargetRow("claim groups, 2 writers a region at 4/s",
            kRegions * 2 * 4,
            kStoreWrites,
            "/s");
  TargetRow("document with 10 servers a site and 1,000 customers",
            kSites * 10 * aSlopes.serverText_ + 1000 * aSlopes.customerText_,
            kMaxValueBytes,
            "B");
}

void
PrintStorms(const Slopes& aSlopes)
{
  const double inRegion = kNodes / kRegions;
  const double startCalls = 5;
  std::printf("| storm | size | what bounds it |\n|---|---|---|\n");
  std::printf("| an ordinary day: %.0f restarts and %.0f failures | %.2g a "
              "minute, %.2g store calls a second | nothing needed |\n",
              kRestartsADay,
              kFailuresADay,
              (kRestartsADay + kFailuresADay) / 1440,
              (kRestartsADay + kFailuresADay) * startCalls / kSecondsADay);
  std::printf("| a region's hosts restart at once | %.0f hosts, %.0f store "
              "calls | %.1f s at half the store's writes |\n",
              inRegion,
              inRegion * startCalls,
              inRegion * startCalls / (kStoreWrites / 2));
  std::printf("| their first configuration from peers | %.3g MB in the region "
              "(a version of %.3g KB to each) | %.2g MB a host if 8 hosts "
              "serve it |\n",
              inRegion * 1000 * aSlopes.customerText_ / 1e6,
              1000 * aSlopes.customerText_ / 1e3,
              inRegion * 1000 * aSlopes.customerText_ / 8e6);
  std::printf("| a failure domain goes | %.0f hosts, %.2g of all look-ups move "
              "| the other domains of the region first |\n",
              kNodes / kDomains,
              1 / kDomains);
  std::printf("| the store returns | %.0f holders renew, %.0f watches start | "
              "%.1f s at half the store's writes; with 3 slots a failure "
              "domain %.2g s |\n",
              kNodes,
              kRegions * kWatchersPerRegion,
              kNodes / (kStoreWrites / 2),
              3 * kDomains / (kStoreWrites / 2));
  std::printf("| a cut of 5 minutes between regions heals | %.0f changes, %.3g "
              "KB of deltas a host, if the base is among the %.0f kept "
              "versions | a whole document otherwise |\n",
              300 * kChangesADay / kSecondsADay,
              300 * kChangesADay / kSecondsADay * aSlopes.deltaBytes_ / 1e3,
              kKeptVersions);
}

}

int
main()
{
  Slopes slopes;
  MeasureConfiguration(slopes);
  MeasureGossip(slopes);
  MeasureBudgets(slopes);
  MeasureSteering(slopes);
  PrintSlopes(slopes);
  std::printf("\n");
  PrintNode(slopes);
  std::printf("\n");
  PrintStore(slopes);
  std::printf("\n");
  PrintStorms(slopes);
  return 0;
}
