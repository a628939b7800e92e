// Simulates the load of a whole service to test server selection without
// network: a fleet of servers on which an object that ran there recently takes
// a third of the time.

#include "gateway/InstanceChooser.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <queue>
#include <random>

using namespace peridotsail;

namespace {

constexpr int kServers = 20;
constexpr int kSlots = 6;
constexpr int kHosts = 3;
// The length of a server's queue, beyond its slots, at which it refuses.
constexpr int kServerQueue = 9;
// The number of objects that a server keeps warm.
constexpr std::size_t kWarmObjects = 24;
constexpr double kColdSeconds = 0.64;
constexpr double kWarmSeconds = 0.192;
constexpr double kTimeoutSeconds = 1.2;
constexpr int kObjects = 60;

struct Job
{
  int host_ = 0;
  int object_ = 0;
  double sentAt_ = 0;
  double waiting_ = 0;
};

struct Server
{
  std::deque<Job> queue_;
  int running_ = 0;
  // The most recently used object is last.
  std::deque<int> warm_;
  // Each host's view of this server.
  std::vector<InstancePtr> views_;
};

struct Finish
{
  double at_ = 0;
  int server_ = 0;
  Job job_;
  bool inTime_ = false;
  bool operator<(const Finish& aOther) const { return at_ > aOther.at_; }
};

struct Outcome
{
  int sent_ = 0;
  int served_ = 0;
  int refused_ = 0;
  int wasted_ = 0;
};

TimePoint
At(double aSeconds)
{
  return TimePoint() + FromSeconds(aSeconds + 1000);
}

class Fleet
{
public:
  explicit Fleet(bool aWarm)
    : random_(7)
    , servers_(kServers)
  {
    FleetSnapshot snapshot;
    for (int i = 0; i < kHosts; ++i) {
      HostRecord host;
      host.region_ = "here";
      snapshot.hosts_["h" + std::to_string(i)] = host;
    }
    for (int i = 0; i < kServers; ++i) {
      InstanceRecord record;
      record.id_ = "i-" + std::to_string(i);
      record.service_ = "catalogue";
      record.failureDomain_ = "a";
      record.slots_ = kSlots;
      snapshot.instances_[record.id_] = record;
    }
    for (int host = 0; host < kHosts; ++host) {
      tables_.push_back(std::make_unique<InstanceTable>(
        std::map<std::string, std::string>{ { "a", "here" } }, "here"));
      tables_.back()->Apply(snapshot);
      candidates_.push_back(tables_.back()->OfService("catalogue"));
    }
    for (int i = 0; i < kServers; ++i) {
      for (int host = 0; host < kHosts; ++host) {
        servers_[i].views_.push_back(candidates_[host][i]);
      }
    }
    if (aWarm) {
      for (int object = 0; object < kObjects; ++object) {
        const InstancePtr home = Choose(0, object, 0).instance_;
        MarkUsed(servers_[IndexOf(home)], object);
      }
    }
  }

  // Simulates requests that arrive at the given rate for aSeconds. Counts those
  // that were sent from aCountFrom on.
  Outcome Simulate(double aPerSecond, double aSeconds, double aCountFrom)
  {
    std::exponential_distribution<double> gap(aPerSecond);
    std::uniform_int_distribution<int> host(0, kHosts - 1);
    std::uniform_int_distribution<int> object(0, kObjects - 1);
    Outcome outcome;
    for (double now = gap(random_); now < aSeconds; now += gap(random_)) {
      RunUntil(now, aCountFrom, outcome);
      Send(host(random_), object(random_), now, now >= aCountFrom, outcome);
    }
    return outcome;
  }

private:
  Choice Choose(int aHost, int aObject, double aNow)
  {
    ChoiceQuery query;
    query.hasObject_ = true;
    query.objectHash_ = static_cast<std::uint64_t>(aObject) * 7919 + 13;
    query.region_ = "here";
    query.timeLeft_ = FromSeconds(kTimeoutSeconds);
    query.takeColdToken_ = [](const Instance&) { return true; };
    return ChooseInstance(candidates_[aHost], query, At(aNow), {});
  }

  int IndexOf(const InstancePtr& aInstance) const
  {
    for (int i = 0; i < kServers; ++i) {
      if (servers_[i].views_[0]->Record().id_ == aInstance->Record().id_) {
        return i;
      }
    }
    return 0;
  }

  void Send(int aHost, int aObject, double aNow, bool aCount, Outcome& aOutcome)
  {
    aOutcome.sent_ += aCount ? 1 : 0;
    const Choice choice = Choose(aHost, aObject, aNow);
    if (!choice.instance_) {
      aOutcome.refused_ += aCount ? 1 : 0;
      return;
    }
    const int index = IndexOf(choice.instance_);
    Server& server = servers_[index];
    if (server.queue_.size() >= kServerQueue) {
      aOutcome.refused_ += aCount ? 1 : 0;
      return;
    }
    QueueEstimate& view = server.views_[aHost]->queue_;
    const Job job{ aHost, aObject, aNow, view.QueueLength(At(aNow)) };
    view.OnRequestSent();
    server.queue_.push_back(job);
    StartNext(index, aNow);
  }

  void StartNext(int aServer, double aNow)
  {
    Server& server = servers_[aServer];
    while (server.running_ < kSlots && !server.queue_.empty()) {
      const Job job = server.queue_.front();
      server.queue_.pop_front();
      const double end = job.sentAt_ + kTimeoutSeconds;
      if (aNow >= end) {
        server.views_[job.host_]->queue_.OnRequestEnded();
        continue;
      }
      const auto found =
        std::find(server.warm_.begin(), server.warm_.end(), job.object_);
      const double run =
        found == server.warm_.end() ? kColdSeconds : kWarmSeconds;
      ++server.running_;
      const bool inTime = aNow + run <= end;
      finishes_.push({ std::min(aNow + run, end), aServer, job, inTime });
    }
  }

  void RunUntil(double aNow, double aCountFrom, Outcome& aOutcome)
  {
    while (!finishes_.empty() && finishes_.top().at_ <= aNow) {
      const Finish finish = finishes_.top();
      finishes_.pop();
      Server& server = servers_[finish.server_];
      --server.running_;
      QueueEstimate& view = server.views_[finish.job_.host_]->queue_;
      view.OnRequestEnded();
      view.RecordServiceTime(FromSeconds(finish.at_ - finish.job_.sentAt_),
                             finish.job_.waiting_,
                             At(finish.at_));
      const bool count = finish.job_.sentAt_ >= aCountFrom;
      if (finish.inTime_) {
        MarkUsed(server, finish.job_.object_);
        view.Report({ server.running_,
                      static_cast<int>(server.queue_.size()),
                      At(finish.at_) });
        aOutcome.served_ += count ? 1 : 0;
      } else {
        aOutcome.wasted_ += count ? 1 : 0;
      }
      StartNext(finish.server_, finish.at_);
    }
  }

  static void MarkUsed(Server& aServer, int aObject)
  {
    const auto found =
      std::find(aServer.warm_.begin(), aServer.warm_.end(), aObject);
    if (found != aServer.warm_.end()) {
      aServer.warm_.erase(found);
    }
    aServer.warm_.push_back(aObject);
    if (aServer.warm_.size() > kWarmObjects) {
      aServer.warm_.pop_front();
    }
  }

  std::mt19937 random_;
  std::vector<Server> servers_;
  std::vector<std::unique_ptr<InstanceTable>> tables_;
  std::vector<std::vector<InstancePtr>> candidates_;
  std::priority_queue<Finish> finishes_;
};

}

// Guards against a metastable overload: a fleet that starts cold (after the
// loss of a zone, an evacuation or a mass restart) under a load that it can
// only serve when warm. Without admission control all requests reach their
// deadline and no object becomes warm.
TEST_CASE("A cold fleet under full load warms up and serves requests")
{
  // This needs 160 of 120 slots when cold, and 48 when warm.
  constexpr double kPerSecond = 250;
  Fleet fleet(false);
  const Outcome outcome = fleet.Simulate(kPerSecond, 20, 10);
  INFO("asked " << outcome.sent_ << " served " << outcome.served_ << " refused "
                << outcome.refused_ << " wasted " << outcome.wasted_);
  CHECK(outcome.served_ >= outcome.sent_ * 95 / 100);
}

// Guards against refusals by a warm fleet that runs well below its capacity,
// because of the momentary load of single servers.
TEST_CASE("A warm fleet refuses nothing at two thirds of its capacity")
{
  constexpr double kPerSecond = 250;
  Fleet fleet(true);
  const Outcome outcome = fleet.Simulate(kPerSecond, 20, 0);
  INFO("asked " << outcome.sent_ << " refused " << outcome.refused_);
  CHECK(outcome.refused_ == 0);
  CHECK(outcome.wasted_ == 0);
}

// Guards against work on requests whose callers no longer wait, when more
// requests arrive than the warm fleet can serve.
TEST_CASE("An overloaded fleet keeps serving what it can")
{
  // The warm capacity is 120 slots / 0.192 s = 625 requests per second.
  constexpr double kPerSecond = 900;
  Fleet fleet(true);
  const Outcome outcome = fleet.Simulate(kPerSecond, 20, 5);
  INFO("asked " << outcome.sent_ << " served " << outcome.served_ << " wasted "
                << outcome.wasted_);
  CHECK(outcome.served_ >= outcome.sent_ / 2);
  CHECK(outcome.wasted_ <= outcome.sent_ / 20);
}
