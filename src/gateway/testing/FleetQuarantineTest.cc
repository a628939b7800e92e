#include "gateway/QuarantineRecords.h"
#include "gateway/testing/QuarantineFleet.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <numeric>

using namespace peridotsail;

namespace {

constexpr double kRunSeconds = 40;
// Without other faults, no more servers crash than the detection requires.
constexpr int kMaxCrashesWithoutFaults = 3;
// The limit set by the platform's members.
constexpr int kMaxSentLate = 3;
// A value of partitioned_ which means that all hosts are partitioned from each
// other.
constexpr double kAllHosts = 2;

// Set PERIDOTSAIL_SEEDS=1000 to run more seeds manually.
std::uint64_t
Seeds(std::uint64_t aDefault)
{
  const char* text = std::getenv("PERIDOTSAIL_SEEDS");
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

// Sends the crashing request repeatedly to random hosts; aInjectFaults is
// called before each time.
QuarantineCounts
SendRepeatedly(QuarantineFleet& aFleet,
               double aMaxPause,
               const std::function<void(double)>& aInjectFaults = {})
{
  auto& random = aFleet.Random();
  double now = 2;
  while (now < kRunSeconds) {
    aFleet.RunUntil(now);
    if (aInjectFaults) {
      aInjectFaults(now);
    }
    aFleet.SendCrashing(random() % aFleet.Hosts());
    now += std::uniform_real_distribution<double>(0.3, aMaxPause)(random);
  }
  aFleet.RunUntil(now);
  return aFleet.Counts();
}

}

// Guards against a request that crashes servers at each host again, because
// hosts that count deaths on their own need several each.
TEST_CASE(
  "A crashing request crashes at most three servers without other faults, "
  "for any number of hosts")
{
  struct Row
  {
    int hosts_;
    std::uint64_t seeds_;
  };
  for (const Row& row :
       { Row{ 7, 10 }, Row{ 36, 5 }, Row{ 117, 2 }, Row{ 300, 1 } }) {
    for (const bool idempotent : { true, false }) {
      for (std::uint64_t seed = 1; seed <= Seeds(row.seeds_); ++seed) {
        INFO(row.hosts_ << " hosts, idempotent " << idempotent << ", seed "
                        << seed);
        QuarantineFleetOptions options;
        options.idempotent_ = idempotent;
        QuarantineFleet fleet(row.hosts_, options, seed);
        const QuarantineCounts counts = SendRepeatedly(fleet, 2);
        REQUIRE(counts.crashed_ <= kMaxCrashesWithoutFaults);
        REQUIRE(counts.sentLate_ == 0);
        REQUIRE(counts.othersRefused_ == 0);
        for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
          REQUIRE(fleet.Refuses(host));
        }
      }
    }
  }
}

// Guards against refusing other requests because their servers crashed for
// other reasons, and against such crashes masking the crashing request.
TEST_CASE("Crashes for other reasons refuse no other request and hide no "
          "crashing one")
{
  for (const double crashes : { 0.05, 0.5, 2.0 }) {
    for (const int hosts : { 7, 36 }) {
      for (std::uint64_t seed = 1; seed <= Seeds(5); ++seed) {
        INFO(crashes << " crashes a second, " << hosts << " hosts, seed "
                     << seed);
        QuarantineFleetOptions options;
        options.otherCrashRate_ = crashes;
        QuarantineFleet fleet(hosts, options, seed);
        const QuarantineCounts counts = SendRepeatedly(fleet, 2);
        REQUIRE(counts.othersRefused_ == 0);
        REQUIRE(counts.sentLate_ <= kMaxSentLate);
      }
    }
  }
}

// Guards against losing evidence with a host, a message or the store. The limit
// must hold for the healthy hosts in all these cases.
TEST_CASE("A crashing request is refused in time despite faults of hosts, "
          "messages and the store")
{
  struct Row
  {
    const char* name_;
    double lossRate_;
    double killed_;
    double suspended_;
    double partitioned_;
    double storeUnavailable_;
  };
  const Row rows[] = {
    { "messages lost, duplicated and delayed", 0.2, 0, 0, 0, 0 },
    { "hosts killed", 0, 0.4, 0, 0, 0 },
    { "hosts suspended", 0, 0, 0.4, 0, 0 },
    { "hosts partitioned from the others", 0, 0, 0, 0.4, 0 },
    { "store unavailable", 0, 0, 0, 0, 0.3 },
    { "all of these", 0.05, 0.2, 0.2, 0.2, 0.1 },
    { "all hosts partitioned from each other", 0, 0, 0, kAllHosts, 0 },
  };
  for (const Row& row : rows) {
    for (const int hosts : { 7, 36, 117 }) {
      for (std::uint64_t seed = 1; seed <= Seeds(hosts > 36 ? 1 : 4); ++seed) {
        INFO(row.name_ << ", " << hosts << " hosts, seed " << seed);
        QuarantineFleetOptions options;
        options.otherCrashRate_ = 0.05;
        options.lossRate_ = row.lossRate_;
        options.duplicateRate_ = row.lossRate_;
        options.maxDelaySeconds_ = row.lossRate_ > 0 ? 0.5 : 0;
        QuarantineFleet fleet(hosts, options, seed);
        auto& random = fleet.Random();
        const auto chance = [&random](double aPart) {
          return std::uniform_real_distribution<double>(0, 1)(random) < aPart;
        };
        const auto injectFaults = [&](double aNow) {
          const std::size_t host = random() % fleet.Hosts();
          const double time =
            std::uniform_real_distribution<double>(0.5, 8)(random);
          if (chance(row.killed_)) {
            fleet.Kill(host, time);
          }
          if (chance(row.suspended_)) {
            fleet.Suspend(host, aNow + time);
          }
          if (row.partitioned_ == kAllHosts) {
            for (std::size_t each = 0; each < fleet.Hosts(); ++each) {
              fleet.Partition(each, kRunSeconds);
            }
          } else if (chance(row.partitioned_)) {
            fleet.Partition(host, aNow + time);
          }
          if (chance(row.storeUnavailable_)) {
            fleet.SetStoreUnavailable(aNow + time);
          }
        };
        const QuarantineCounts counts = SendRepeatedly(fleet, 2, injectFaults);
        REQUIRE(counts.sentLate_ <= kMaxSentLate);
        REQUIRE(counts.othersRefused_ == 0);
      }
    }
  }
}

// Guards against refusing a popular request because its crashes and the
// completions in between were seen by different hosts.
TEST_CASE("A request that completes at other hosts between crashes is not "
          "refused")
{
  std::uint64_t interrupted = 0;
  for (std::uint64_t seed = 1; seed <= Seeds(5); ++seed) {
    INFO("seed " << seed);
    QuarantineFleetOptions options;
    options.servers_ = 3;
    options.otherRequestRate_ = 60;
    options.popularFraction_ = 1;
    options.othersIdempotent_ = 0;
    // Further apart than crashes that may have a common cause.
    options.otherCrashRate_ = 0.02;
    QuarantineFleet fleet(117, options, seed);
    fleet.RunUntil(300);
    interrupted +=
      static_cast<std::uint64_t>(fleet.Counts().othersInterrupted_);
    REQUIRE(fleet.Counts().othersRefused_ == 0);
  }
  REQUIRE(interrupted > 10 * Seeds(5));
}

// Guards against refusing a popular request that was running on all servers of
// a lost failure domain.
TEST_CASE("A request that ran on many servers that crash together is not "
          "refused")
{
  std::uint64_t interrupted = 0;
  for (std::uint64_t seed = 1; seed <= Seeds(5); ++seed) {
    INFO("seed " << seed);
    QuarantineFleetOptions options;
    options.otherRequestRate_ = 30;
    options.popularFraction_ = 1;
    options.popularRequests_ = 1;
    options.othersIdempotent_ = 0;
    QuarantineFleet fleet(300, options, seed);
    fleet.RunUntil(30);
    fleet.CrashServers(18);
    fleet.RunUntil(40);
    interrupted +=
      static_cast<std::uint64_t>(fleet.Counts().othersInterrupted_);
    REQUIRE(fleet.Counts().othersRefused_ == 0);
  }
  // At least as many deaths as are needed to refuse a request.
  REQUIRE(interrupted > 3 * Seeds(5));
}

// Guards against a refusal that hosts keep renewing from each other forever,
// and against one that is lost when the processes that made it end.
TEST_CASE(
  "A refusal survives restarts and expires at the same time on all hosts")
{
  constexpr double kLifetime = 60;
  for (std::uint64_t seed = 1; seed <= Seeds(3); ++seed) {
    INFO("seed " << seed);
    QuarantineFleetOptions options;
    options.otherRequestRate_ = 5;
    options.quarantine_.quarantine_.lifetime_ = FromSeconds(kLifetime);
    QuarantineFleet fleet(7, options, seed);
    for (const double at : { 2.0, 3.0, 4.0 }) {
      fleet.RunUntil(at);
      fleet.SendCrashing(fleet.Random()() % fleet.Hosts());
    }
    fleet.RunUntil(8);
    const auto refusing = [&fleet] {
      std::size_t count = 0;
      for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
        count += fleet.Refuses(host) ? 1 : 0;
      }
      return count;
    };
    REQUIRE(refusing() == fleet.Hosts());
    // Longer than a registration outlives its host.
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      fleet.Kill(host, 5);
      fleet.RunUntil(15 + 6.0 * static_cast<double>(host));
      REQUIRE(refusing() == fleet.Hosts());
    }
    fleet.RunUntil(10 + kLifetime);
    REQUIRE(refusing() == 0);
    fleet.RunUntil(30 + kLifetime);
    REQUIRE(refusing() == 0);
  }
}

// Guards against registrations that grow with the number of a customer's
// crashing requests.
TEST_CASE("The number of published refused requests is bounded")
{
  AllowanceOwners owners({ { "a", "east" } }, "east", "h1");
  HostRecord record;
  record.name_ = "h1";
  record.region_ = "east";
  owners.SetHosts({ { "h1", record } });
  FleetQuarantineHooks hooks;
  hooks.send_ = [](const std::string&, const QuarantineMessage&) {};
  const FleetQuarantineOptions options;
  FleetQuarantine quarantine(options, owners, hooks);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  for (std::size_t i = 0; i < 2 * options.maxPublished_; ++i) {
    now += std::chrono::milliseconds(10);
    const std::string path = "/" + std::to_string(i);
    quarantine.ApplyPublished({ MakeFingerprint("c", "GET", path, 0, ""), now },
                              now);
  }
  const auto published = quarantine.PublishedRefusals(now);
  REQUIRE(published.size() == options.maxPublished_);
  // The newest ones.
  CHECK(published.front().time_ == now);
}

// Guards against clocks that differ between hosts or step: records must not
// change with them, and ages must not be negative.
TEST_CASE("Published times are stable when the system clock steps")
{
  const std::string fingerprint = MakeFingerprint("c", "GET", "/", 0, "");
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  constexpr std::int64_t kNowMs = 1'700'000'000'000;
  const std::vector<FingerprintTime> refused{
    { fingerprint, now - std::chrono::seconds(10) }
  };
  const auto records = MakeFingerprintRecords(refused, {}, now, kNowMs);
  REQUIRE(records.size() == 1);
  CHECK(records[0].unixMs_ == kNowMs - 10'000);
  CHECK(MakeFingerprintRecords(refused, records, now, kNowMs + 3000) ==
        records);
  CHECK(ReadFingerprintRecords(records, now, kNowMs)[0].time_ ==
        refused[0].time_);
  CHECK(ReadFingerprintRecords(records, now, kNowMs - 60'000)[0].time_ == now);

  const QuarantineNotice notice{
    fingerprint, { { "s1", std::chrono::seconds(2) } }, false, {}
  };
  const auto suspicions = MakeSuspicionRecords({ notice }, {}, kNowMs);
  CHECK(MakeSuspicionRecords({ notice }, suspicions, kNowMs + 3000) ==
        suspicions);
  const auto read = ReadSuspicionRecords(suspicions, kNowMs + 1000);
  REQUIRE(read.size() == 1);
  CHECK(read[0].deaths_[0].age_ == std::chrono::seconds(3));

  HostRecord host;
  host.refused_ = records;
  host.suspected_ = suspicions;
  host.completed_ = records;
  const auto decoded = DecodeHostRecord("h", EncodeHostRecord(host));
  REQUIRE(decoded);
  CHECK(decoded->refused_ == records);
  CHECK(decoded->suspected_ == suspicions);
  CHECK(decoded->completed_ == records);
}

// Guards against malformed datagrams.
TEST_CASE("A malformed message about suspected requests is dropped")
{
  const std::string fingerprint = MakeFingerprint("c", "GET", "/", 0, "");
  const QuarantineNotice notice{
    fingerprint, { { "s1", std::chrono::seconds(2) } }, true, {}
  };
  const std::vector<std::string> valid{
    EncodeQuarantineMessage(
      SuspectReport{ 7, notice, { { "s2", std::chrono::seconds(1) } } }),
    EncodeQuarantineMessage(SuspectNotice{ 0, notice }),
    EncodeQuarantineMessage(
      SuspectCleared{ fingerprint, std::chrono::seconds(1) }),
  };
  std::mt19937_64 random(20261204);
  for (const std::string& bytes : valid) {
    REQUIRE(DecodeQuarantineMessage(bytes));
    for (int i = 0; i < 3000; ++i) {
      std::string changed = bytes.substr(0, random() % (bytes.size() + 1));
      for (std::size_t flips = random() % 4; flips > 0 && !changed.empty();
           --flips) {
        changed[random() % changed.size()] = static_cast<char>(random());
      }
      const auto message = DecodeQuarantineMessage(changed);
      if (const auto* report =
            message ? std::get_if<SuspectReport>(&*message) : nullptr) {
        REQUIRE(report->id_ != 0);
        REQUIRE(IsFingerprint(report->notice_.fingerprint_));
      }
    }
  }
}
