#include "pace/ColdRate.h"
#include "base/Hash.h"
#include "pace/ColdRegimes.h"
#include "pace/ColdStartLimit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <set>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261206;
constexpr double kPerSecond = 5.2;
constexpr double kTick = 0.01;
constexpr double kLease = 4;
constexpr int kServers = 4;

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

double
Bound(double aPerSecond)
{
  const ColdRateOptions options;
  return aPerSecond * options.overage_ + options.slack_;
}

// The largest number of requests in any second.
int
MaxPerSecond(std::vector<double> aSent)
{
  std::sort(aSent.begin(), aSent.end());
  std::size_t most = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < aSent.size(); ++end) {
    while (aSent[end] - aSent[begin] >= 1) {
      ++begin;
    }
    most = std::max(most, end - begin + 1);
  }
  return static_cast<int>(most);
}

std::string
OwnerOf(const std::set<std::string>& aHosts, const std::string& aServer)
{
  std::string best;
  std::uint64_t bestScore = 0;
  for (const std::string& host : aHosts) {
    const std::uint64_t score = MixHash(StableHash(aServer) ^ StableHash(host));
    if (best.empty() || score > bestScore) {
      best = host;
      bestScore = score;
    }
  }
  return best;
}

// Hosts that own cold servers, each with its own view of the registered hosts.
// Hosts are cut off from the store, suspended, killed, restarted and added.
class ColdFleet
{
public:
  ColdFleet(int aHosts, std::uint64_t aSeed, ColdRateOptions aOptions)
    : options_(aOptions)
    , random_(aSeed)
  {
    for (int i = 0; i < aHosts; ++i) {
      AddHost();
    }
  }

  void Run(double aSeconds)
  {
    for (; now_ < aSeconds; now_ += kTick) {
      if (now_ > 4 && Chance(kTick * 1.5)) {
        AddFault();
      }
      for (Host& host : hosts_) {
        Step(host);
      }
    }
  }
  const std::vector<double>& Sent(int aServer) const { return sent_[aServer]; }

private:
  struct Host
  {
    std::string name_;
    std::unique_ptr<ColdRate> rate_;
    std::set<std::string> view_;
    double confirmedAt_ = 0;
    double nextReadAt_ = 0;
    double cutSince_ = -1;
    double cutUntil_ = -1;
    double frozenUntil_ = -1;
    // The process starts again then, if it was killed.
    double startsAt_ = -1;
  };

  bool Chance(double aProbability) { return Uniform(0, 1) < aProbability; }
  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(random_);
  }
  void AddHost()
  {
    Host host;
    host.name_ = "h" + std::to_string(hosts_.size());
    hosts_.push_back(std::move(host));
    Start(hosts_.back());
  }
  void Start(Host& aHost)
  {
    aHost.rate_ = std::make_unique<ColdRate>(options_);
    aHost.startsAt_ = -1;
    registered_.insert(aHost.name_);
    Read(aHost);
  }
  void Read(Host& aHost)
  {
    aHost.confirmedAt_ = now_;
    aHost.nextReadAt_ = now_ + Uniform(0.05, 0.5);
    aHost.view_ = registered_;
    const bool self = registered_.count(aHost.name_) > 0;
    aHost.rate_->SetHosts(
      self ? std::vector<std::string>(aHost.view_.begin(), aHost.view_.end())
           : std::vector<std::string>(),
      At(now_));
    std::vector<OwnedServer> servers;
    for (int i = 0; i < kServers; ++i) {
      const std::string id = "i" + std::to_string(i);
      servers.push_back({ id, OwnerOf(aHost.view_, id) == aHost.name_ });
    }
    aHost.rate_->SetServers(servers, At(now_));
  }
  void AddFault()
  {
    Host& host = hosts_[random_() % hosts_.size()];
    switch (random_() % 4) {
      case 0:
        host.cutSince_ = now_;
        host.cutUntil_ = now_ + Uniform(0.5, 7);
        break;
      case 1:
        host.frozenUntil_ = now_ + Uniform(0.2, 6);
        host.cutSince_ = now_;
        host.cutUntil_ = host.frozenUntil_ + 0.02;
        break;
      case 2:
        host.startsAt_ = now_ + Uniform(0.1, 6);
        host.cutSince_ = now_;
        break;
      default:
        if (hosts_.size() < 12) {
          AddHost();
        }
    }
  }
  void Step(Host& aHost)
  {
    const bool dead = aHost.startsAt_ > 0;
    const bool cut = dead || now_ < aHost.cutUntil_;
    if (cut && now_ - aHost.cutSince_ >= kLease) {
      registered_.erase(aHost.name_);
    }
    if (dead) {
      if (now_ >= aHost.startsAt_) {
        Start(aHost);
      }
      return;
    }
    if (now_ < aHost.frozenUntil_) {
      return;
    }
    if (!cut && now_ >= aHost.nextReadAt_) {
      registered_.insert(aHost.name_);
      Read(aHost);
    }
    const Duration age = FromSeconds(now_ - aHost.confirmedAt_);
    aHost.rate_->OnViewAge(age, At(now_));
    for (int i = 0; i < kServers; ++i) {
      if (aHost.rate_->TryTake(
            "i" + std::to_string(i), kPerSecond, age, At(now_))) {
        sent_[i].push_back(now_ + Uniform(0, ToSeconds(kColdGrantLifetime)));
      }
    }
  }

  ColdRateOptions options_;
  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  std::set<std::string> registered_;
  std::vector<double> sent_[kServers];
  double now_ = 0;
};

}

// Guards against a cold server that crashes because a former and a new owner
// both grant within one second.
TEST_CASE("No second has more than the cold rate while owners change")
{
  std::size_t total = 0;
  for (std::uint64_t seed = kSeed; seed < kSeed + 30; ++seed) {
    INFO("seed " << seed);
    ColdFleet fleet(5, seed, {});
    fleet.Run(60);
    for (int i = 0; i < kServers; ++i) {
      REQUIRE(MaxPerSecond(fleet.Sent(i)) <= Bound(kPerSecond));
      total += fleet.Sent(i).size();
    }
  }
  // The fleet is used: at least a fifth of what is allowed.
  CHECK(static_cast<double>(total) >
        0.2 * Bound(kPerSecond) * 60 * kServers * 30);
}

// Guards against a wait that is shorter than an old view and the window
// together: the check above must find it.
TEST_CASE("A shorter wait after a change of owner exceeds the cold rate")
{
  ColdRateOptions options;
  options.takeoverDelay_ = std::chrono::milliseconds(500);
  int exceeded = 0;
  for (std::uint64_t seed = kSeed; seed < kSeed + 30; ++seed) {
    ColdFleet fleet(5, seed, options);
    fleet.Run(60);
    for (int i = 0; i < kServers; ++i) {
      exceeded += MaxPerSecond(fleet.Sent(i)) > Bound(kPerSecond) ? 1 : 0;
    }
  }
  INFO("seed " << kSeed);
  CHECK(exceeded > 0);
}

// Guards against an owner that is cut off, whose last grants fall into the
// second in which the next owner begins.
TEST_CASE("The next owner waits for an old view and for the window")
{
  const ColdRateOptions options;
  ColdRate former(options);
  ColdRate next(options);
  former.SetHosts({ "a" }, At(0));
  former.SetServers({ { "i", true } }, At(0));
  next.SetHosts({ "a", "b" }, At(10));
  next.SetServers({ { "i", true } }, At(10));
  double lastOfFormer = 0;
  double firstOfNext = 0;
  for (double now = 0; now < 20; now += 0.01) {
    const Duration age = FromSeconds(std::max(0.0, now - 10));
    if (former.TryTake("i", kPerSecond, age, At(now))) {
      lastOfFormer = now;
    }
    if (now >= 10 && firstOfNext == 0 &&
        next.TryTake("i", kPerSecond, Duration::zero(), At(now))) {
      firstOfNext = now;
    }
  }
  CHECK(lastOfFormer > 10.5);
  CHECK(firstOfNext - lastOfFormer >= 1 + ToSeconds(kColdGrantLifetime));
  CHECK(firstOfNext < 13.5);
}

// Guards against a server that registers and waits for an owner that has been
// the same for long.
TEST_CASE("A new server of a lasting owner gets requests at once")
{
  ColdRate rate({});
  rate.SetHosts({ "a", "b" }, At(0));
  rate.SetServers({}, At(0));
  for (double now = 0; now <= 10; now += 0.5) {
    rate.OnViewAge(Duration::zero(), At(now));
  }
  rate.SetServers({ { "i", true } }, At(10));
  CHECK(rate.TryTake("i", kPerSecond, Duration::zero(), At(10)));
  // A host that was suspended may have missed another owner.
  rate.OnViewAge(Duration::zero(), At(13));
  CHECK_FALSE(rate.TryTake("i", kPerSecond, Duration::zero(), At(13)));
  // Without registration there is no owner.
  rate.SetHosts({}, At(13.1));
  rate.SetHosts({ "a", "b" }, At(13.2));
  rate.SetServers({ { "i", true } }, At(13.2));
  for (double now = 13.2; now < 16; now += 0.5) {
    CHECK_FALSE(rate.TryTake("i", kPerSecond, Duration::zero(), At(now)));
  }
}

// Guards against a small rate that is rounded down to nothing, and against one
// request where none is allowed.
TEST_CASE("Small rates of cold servers are rounded within the bound")
{
  ColdRateOptions options;
  options.overage_ = 1.5;
  options.slack_ = 0;
  const ColdRate rate(options);
  CHECK(rate.GrantsPerWindow(0.5) == 0);
  CHECK(rate.GrantsPerWindow(0.7) == 1);
  CHECK(rate.GrantsPerWindow(1.2) == 1);
  CHECK(rate.GrantsPerWindow(10) == 13);
}

// Guards against both limits in use at once while hosts learn of the change at
// different times.
TEST_CASE("A change between shares and owners keeps the cold rate")
{
  constexpr double kChangeAt = 10;
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < 20; ++round) {
    INFO("seed " << kSeed << " round " << round);
    const bool toOwner = round % 2 == 0;
    const ColdRegime before =
      toOwner ? ColdRegime::HostShares : ColdRegime::Owner;
    const ColdRegime after =
      toOwner ? ColdRegime::Owner : ColdRegime::HostShares;
    ColdRegimes regimes[2];
    std::vector<ColdStartLimit> shares(2, ColdStartLimit({}));
    ColdRate owner({});
    owner.SetHosts({ "a", "b" }, At(0));
    owner.SetServers({ { "i", true } }, At(0));
    double readAt[2] = { kChangeAt, kChangeAt };
    // The second host reads the change late; its view is older meanwhile.
    readAt[1] += std::uniform_real_distribution<double>(0, 6)(random);
    std::vector<double> sent;
    for (double now = 0; now < 25; now += kTick) {
      for (int i = 0; i < 2; ++i) {
        const double age =
          now >= kChangeAt && now < readAt[i] ? now - kChangeAt : 0;
        shares[i].SetHosts(true, 2, At(now));
        regimes[i].Set("s", now >= readAt[i] ? after : before, At(now));
        const bool ownerHere = i == 1;
        const bool granted =
          (regimes[i].MayUse("s", ColdRegime::HostShares, At(now)) &&
           shares[i].TryTake("i", kPerSecond, FromSeconds(age), At(now))) ||
          (ownerHere && regimes[i].MayUse("s", ColdRegime::Owner, At(now)) &&
           owner.TryTake("i", kPerSecond, FromSeconds(age), At(now)));
        if (granted) {
          sent.push_back(now);
        }
      }
    }
    REQUIRE(MaxPerSecond(sent) <= Bound(kPerSecond));
    // The new limit is used until the end; its window is 1.15 s.
    CHECK(sent.back() > 23.8);
  }
}
