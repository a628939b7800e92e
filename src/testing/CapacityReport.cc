// Measures how memory, message sizes and processor time grow per unit (client
// block, host, customer, backend server, message), extrapolates to the target
// size, and prints the tables of docs/CAPACITY.md. scripts/capacity.sh inserts
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

// Target size in two years.
constexpr double kNodes = 4300;
constexpr double kBlocks = 2e6;
constexpr double kSites = 860;
constexpr double kLookups = 1.6e6;
constexpr double kRegions = 23;
constexpr double kFailureDomains = 48;
constexpr double kChangesPerDay = 9000;
constexpr double kSecondsPerDay = 86400;
constexpr double kMaxCoreShare = 0.042;
constexpr double kMaxMemoryBytes = 128e6;
constexpr double kMaxControlBytesPerSecond = 2000;
constexpr double kRestartsPerDay = 490;
constexpr double kFailuresPerDay = 7;

// Capacity of the platform's store, shared by all its users. Its "several
// hundred" writes per second are taken as 300.
constexpr double kStoreWritesPerSecond = 300;
constexpr double kStoreReadsPerSecond = 2000;
constexpr double kMaxValueBytes = 1e6;

// Current settings on which the extrapolation is based.
constexpr double kGossipSeconds = 1;
constexpr double kGossipFanout = 6;
constexpr double kWatchersPerRegion = 2;
constexpr double kWatcherReadSeconds = 2;
constexpr double kLeaseRenewalSeconds = 3;
constexpr double kKeptVersions = 16;
// WebSocket, TCP and IP headers of a small message.
constexpr double kFrameOverheadBytes = 60;

std::size_t
HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Returns the number of heap bytes that the result of aMake occupies.
template<typename Make>
double
MeasureHeap(const Make& aMake)
{
  const std::size_t before = HeapBytes();
  const auto object = aMake();
  return static_cast<double>(HeapBytes() - before);
}

// Returns the average duration of a call in seconds, measured over 200 ms.
double
MeasureSeconds(const std::function<void()>& aCall)
{
  constexpr Duration kMeasuringTime = std::chrono::milliseconds(200);
  int calls = 0;
  const TimePoint start = BootClock::now();
  while (BootClock::now() - start < kMeasuringTime) {
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

struct UnitCosts
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
MeasureSteering(UnitCosts& aCosts)
{
  const auto table = MakeBlockTable();
  aCosts.blockBytes_ = static_cast<double>(table->MemoryBytes()) / kBlocks;
  const double small = MeasureHeap([] { return MakeLookup(1000); });
  const double large = MeasureHeap([] { return MakeLookup(4000); });
  aCosts.hostBytes_ = (large - small) / 3000;
  const auto lookup = MakeLookup(static_cast<int>(kNodes));
  std::vector<std::string> siteRegions;
  siteRegions.reserve(static_cast<std::size_t>(kSites));
  for (int i = 0; i < static_cast<int>(kSites); ++i) {
    siteRegions.push_back("r" + std::to_string(i % static_cast<int>(kRegions)));
  }
  lookup->SetBlockTable(table, siteRegions);
  std::size_t next = 0;
  std::size_t hostCount = 0;
  aCosts.lookupSeconds_ = MeasureSeconds([&] {
    next = (next + 7919) % static_cast<std::size_t>(kBlocks);
    hostCount +=
      lookup->Answer("block-" + std::to_string(next), "r0").hosts_.size();
  });
  if (hostCount == 0) {
    std::fprintf(stderr, "no host was named\n");
  }
}

void
MeasureConfiguration(UnitCosts& aCosts)
{
  const std::string base = MakeDocument(1000, 100);
  const std::string customers = MakeDocument(2000, 100);
  const std::string servers = MakeDocument(1000, 1100);
  const double baseHeap = MeasureHeap([&] { return Snapshot(1, base); });
  aCosts.versionBytes_ = baseHeap;
  aCosts.customerBytes_ =
    (MeasureHeap([&] { return Snapshot(1, customers); }) - baseHeap) / 1000;
  aCosts.serverBytes_ =
    (MeasureHeap([&] { return Snapshot(1, servers); }) - baseHeap) / 1000;
  aCosts.customerText_ =
    static_cast<double>(customers.size() - base.size()) / 1000;
  aCosts.serverText_ = static_cast<double>(servers.size() - base.size()) / 1000;

  const SnapshotPtr before = Snapshot(1, base);
  json changed = json::parse(base);
  changed["keys"][5]["withdrawn"] = true;
  const SnapshotPtr after = Snapshot(2, changed.dump());
  const std::string delta = EncodeDelta(before.get(), *after);
  aCosts.deltaBytes_ = static_cast<double>(delta.size());
  aCosts.deltaSeconds_ =
    MeasureSeconds([&] { ApplyDelta(before.get(), delta); });

  KeyTable keys;
  keys.SetConfiguration(before->configuration_);
  keys.SetFreshUntil(TimePoint::max());
  aCosts.keySeconds_ =
    MeasureSeconds([&] { keys.Check(TimePoint{}, "Bearer k5.secret"); });
}

void
MeasureGossip(UnitCosts& aCosts)
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
  aCosts.gossipBytes_ = static_cast<double>(bytes.size());
  aCosts.gossipSeconds_ = MeasureSeconds([&] {
    const auto message = DecodePeerMessage(encode());
    DecodeGossip(message->payload_);
  });
}

std::shared_ptr<BudgetTable>
MakeBudgetTable(int aCustomers)
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
MeasureBudgets(UnitCosts& aCosts)
{
  const double small = MeasureHeap([] { return MakeBudgetTable(1000); });
  const double large = MeasureHeap([] { return MakeBudgetTable(3000); });
  aCosts.budgetBytes_ = (large - small) / 2000;
  const auto budgets = MakeBudgetTable(1000);
  TimePoint now{};
  aCosts.tokenSeconds_ = MeasureSeconds([&] {
    now += std::chrono::milliseconds(200);
    budgets->TryTake("customer-5", 1, now);
  });
}

void
PrintRow(const char* aName, double aValue, const char* aUnit, const char* aUse)
{
  std::printf("| %s | %.4g %s | %s |\n", aName, aValue, aUnit, aUse);
}

void
PrintUnitCosts(const UnitCosts& aCosts)
{
  std::printf("| slope | measured | used for |\n|---|---|---|\n");
  PrintRow("memory of a client block", aCosts.blockBytes_, "bytes", "look-up");
  PrintRow(
    "memory of a host in look-ups", aCosts.hostBytes_, "bytes", "look-up");
  PrintRow("memory of a customer with a key, in one version",
           aCosts.customerBytes_,
           "bytes",
           "configuration");
  PrintRow("memory of a backend server, in one version",
           aCosts.serverBytes_,
           "bytes",
           "configuration");
  PrintRow(
    "memory of a customer's budget", aCosts.budgetBytes_, "bytes", "entry");
  PrintRow("memory of a version with 1,000 customers and 100 servers",
           aCosts.versionBytes_,
           "bytes",
           "configuration");
  PrintRow("document text of a customer with a key",
           aCosts.customerText_,
           "bytes",
           "store");
  PrintRow(
    "document text of a backend server", aCosts.serverText_, "bytes", "store");
  PrintRow(
    "bytes of a gossip message", aCosts.gossipBytes_, "bytes", "heartbeat");
  PrintRow("bytes of a change of one key as a delta",
           aCosts.deltaBytes_,
           "bytes",
           "dissemination");
  PrintRow("processor time of a look-up's decision",
           aCosts.lookupSeconds_ * 1e6,
           "us",
           "look-up");
  PrintRow("processor time to encode and decode a gossip message",
           aCosts.gossipSeconds_ * 1e6,
           "us",
           "heartbeat");
  PrintRow("processor time to apply a delta (1,000 customers)",
           aCosts.deltaSeconds_ * 1e6,
           "us",
           "dissemination");
  PrintRow(
    "processor time of a key check", aCosts.keySeconds_ * 1e6, "us", "entry");
  PrintRow("processor time to take a token",
           aCosts.tokenSeconds_ * 1e6,
           "us",
           "entry");
}

void
PrintTargetRow(const char* aName, double aUse, double aLimit, const char* aUnit)
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
PrintNodeUse(const UnitCosts& aCosts)
{
  const double changes = kChangesPerDay / kSecondsPerDay;
  const double lookups = kLookups / kNodes;
  const double gossip = kGossipFanout / kGossipSeconds;
  const double gossipBytes =
    2 * gossip * (aCosts.gossipBytes_ + kFrameOverheadBytes);
  const double pingBytes = (kNodes - 1) * 2 * 2 * kFrameOverheadBytes;
  std::printf("| a node at the target | use by today's code | limit | margin | "
              "verdict |\n|---|---|---|---|---|\n");
  PrintTargetRow("block table",
                 aCosts.blockBytes_ * kBlocks / 1e6,
                 kMaxMemoryBytes / 1e6,
                 "MB");
  PrintTargetRow("block table and host table",
                 (aCosts.blockBytes_ * kBlocks + aCosts.hostBytes_ * kNodes) /
                   1e6,
                 kMaxMemoryBytes / 1e6,
                 "MB");
  PrintTargetRow("look-up decisions, share of a core",
                 lookups * aCosts.lookupSeconds_,
                 kMaxCoreShare,
                 "");
  PrintTargetRow("gossip, share of a core",
                 gossip * aCosts.gossipSeconds_,
                 kMaxCoreShare,
                 "");
  PrintTargetRow("deltas, share of a core",
                 changes * aCosts.deltaSeconds_,
                 kMaxCoreShare,
                 "");
  PrintTargetRow("gossip at today's fan-out, both directions",
                 gossipBytes,
                 kMaxControlBytesPerSecond,
                 "B/s");
  PrintTargetRow("gossip at a fan-out of 2 each 3 s",
                 gossipBytes / 9,
                 kMaxControlBytesPerSecond,
                 "B/s");
  PrintTargetRow("deltas received once",
                 changes * aCosts.deltaBytes_,
                 kMaxControlBytesPerSecond,
                 "B/s");
  PrintTargetRow("pings on links to all other nodes (2 a second)",
                 pingBytes,
                 kMaxControlBytesPerSecond,
                 "B/s");
  PrintTargetRow("pings on links to 8 partners (1 each 3 s)",
                 8 * 2 * kFrameOverheadBytes / 3,
                 kMaxControlBytesPerSecond,
                 "B/s");
}

void
PrintStoreUse(const UnitCosts& aCosts)
{
  const double leases = kNodes / kLeaseRenewalSeconds;
  const double watcherCount = kRegions * kWatchersPerRegion;
  std::printf("| the store at the target | use by today's code | limit | "
              "margin | verdict |\n|---|---|---|---|---|\n");
  PrintTargetRow("waiting watches, if each counts as a call a second",
                 watcherCount,
                 kStoreReadsPerSecond,
                 "/s");
  PrintTargetRow("reads of the watchers",
                 watcherCount / kWatcherReadSeconds,
                 kStoreReadsPerSecond,
                 "/s");
  PrintTargetRow(
    "renewals with a slot on each node", leases, kStoreWritesPerSecond, "/s");
  PrintTargetRow("renewals with 3 slots a failure domain",
                 3 * kFailureDomains / kLeaseRenewalSeconds,
                 kStoreWritesPerSecond,
                 "/s");
  PrintTargetRow("configuration commits",
                 2 * kChangesPerDay / kSecondsPerDay,
                 kStoreWritesPerSecond,
                 "/s");
  PrintTargetRow("claim groups, one writer a slot of each node at 40/s",
                 kNodes * 40,
                 kStoreWritesPerSecond,
                 "/s");
  PrintTargetRow("claim groups, 2 writers a region at 4/s",
                 kRegions * 2 * 4,
                 kStoreWritesPerSecond,
                 "/s");
  PrintTargetRow("document with 10 servers a site and 1,000 customers",
                 kSites * 10 * aCosts.serverText_ + 1000 * aCosts.customerText_,
                 kMaxValueBytes,
                 "B");
}

void
PrintLoadPeaks(const UnitCosts& aCosts)
{
  const double hostsPerRegion = kNodes / kRegions;
  const double callsPerStart = 5;
  std::printf("| storm | size | what bounds it |\n|---|---|---|\n");
  std::printf("| an ordinary day: %.0f restarts and %.0f failures | %.2g a "
              "minute, %.2g store calls a second | nothing needed |\n",
              kRestartsPerDay,
              kFailuresPerDay,
              (kRestartsPerDay + kFailuresPerDay) / 1440,
              (kRestartsPerDay + kFailuresPerDay) * callsPerStart /
                kSecondsPerDay);
  std::printf("| a region's hosts restart at once | %.0f hosts, %.0f store "
              "calls | %.1f s at half the store's writes |\n",
              hostsPerRegion,
              hostsPerRegion * callsPerStart,
              hostsPerRegion * callsPerStart / (kStoreWritesPerSecond / 2));
  std::printf("| their first configuration from peers | %.3g MB in the region "
              "(a version of %.3g KB to each) | %.2g MB a host if 8 hosts "
              "serve it |\n",
              hostsPerRegion * 1000 * aCosts.customerText_ / 1e6,
              1000 * aCosts.customerText_ / 1e3,
              hostsPerRegion * 1000 * aCosts.customerText_ / 8e6);
  std::printf("| a failure domain goes | %.0f hosts, %.2g of all look-ups move "
              "| the other domains of the region first |\n",
              kNodes / kFailureDomains,
              1 / kFailureDomains);
  std::printf("| the store returns | %.0f holders renew, %.0f watches start | "
              "%.1f s at half the store's writes; with 3 slots a failure "
              "domain %.2g s |\n",
              kNodes,
              kRegions * kWatchersPerRegion,
              kNodes / (kStoreWritesPerSecond / 2),
              3 * kFailureDomains / (kStoreWritesPerSecond / 2));
  std::printf("| a cut of 5 minutes between regions heals | %.0f changes, %.3g "
              "KB of deltas a host, if the base is among the %.0f kept "
              "versions | a whole document otherwise |\n",
              300 * kChangesPerDay / kSecondsPerDay,
              300 * kChangesPerDay / kSecondsPerDay * aCosts.deltaBytes_ / 1e3,
              kKeptVersions);
}

}

int
main()
{
  UnitCosts costs;
  MeasureConfiguration(costs);
  MeasureGossip(costs);
  MeasureBudgets(costs);
  MeasureSteering(costs);
  PrintUnitCosts(costs);
  std::printf("\n");
  PrintNodeUse(costs);
  std::printf("\n");
  PrintStoreUse(costs);
  std::printf("\n");
  PrintLoadPeaks(costs);
  return 0;
}
