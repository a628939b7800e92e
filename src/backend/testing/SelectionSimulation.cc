#include "backend/testing/SelectionSimulation.h"

#include "backend/FairQueue.h"
#include "backend/RetryBudget.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace peridotsail {

namespace {

constexpr double kServiceSeconds = 0.05;
constexpr double kSlowFactor = 4;
constexpr Duration kNetworkDelay = std::chrono::microseconds(250);
constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr Duration kPollInterval = std::chrono::milliseconds(5);
constexpr int kCustomerCount = 8;

struct Request
{
  std::uint64_t id_ = 0;
  std::string customer_;
  TimePoint arrival_;
  std::set<std::string> tried_;
};

struct Host
{
  Host(const BackendPoolOptions& aOptions, std::uint64_t aSeed)
    : pool_(aOptions, aSeed)
  {
  }
  BackendPool pool_;
  FairQueue queue_;
  RetryBudget budget_;
  std::map<std::uint64_t, Request> waiting_;
  bool pollScheduled_ = false;
};

struct Event
{
  TimePoint time_;
  std::uint64_t order_;
  std::function<void()> run_;
};

struct RunsLater
{
  bool operator()(const Event& aLeft, const Event& aRight) const
  {
    return aLeft.time_ != aRight.time_ ? aLeft.time_ > aRight.time_
                                       : aLeft.order_ > aRight.order_;
  }
};

BackendPoolOptions
OptionsFor(SelectionPolicy aPolicy)
{
  BackendPoolOptions options;
  options.sharePolicy_ = SharePolicy::Ignored;
  switch (aPolicy) {
    case SelectionPolicy::Random:
      options.chooser_ = [](const auto& aAll, std::mt19937_64& aRandom)
        -> const ServerCandidate& { return aAll[aRandom() % aAll.size()]; };
      break;
    case SelectionPolicy::RoundRobin:
      options.chooser_ = [last = std::make_shared<std::size_t>(0)](
                           const auto& aAll,
                           std::mt19937_64&) -> const ServerCandidate& {
        const ServerCandidate* chosen = &aAll.front();
        for (const ServerCandidate& candidate : aAll) {
          if (candidate.index_ > *last) {
            chosen = &candidate;
            break;
          }
        }
        *last = chosen->index_;
        return *chosen;
      };
      break;
    case SelectionPolicy::LeastOwnInFlight:
      options.chooser_ = [](auto aAll, std::mt19937_64& aRandom) -> const auto&
      {
        static thread_local ServerCandidate chosen;
        std::shuffle(aAll.begin(), aAll.end(), aRandom);
        chosen = *std::min_element(
          aAll.begin(), aAll.end(), [](const auto& aLeft, const auto& aRight) {
            return aLeft.ownInFlight_ < aRight.ownInFlight_;
          });
        return chosen;
      };
      break;
    case SelectionPolicy::LeastLoadedOfTwo:
      break;
    case SelectionPolicy::OwnShareOnly:
      options.sharePolicy_ = SharePolicy::OwnShareOnly;
      break;
    case SelectionPolicy::OwnShareFirst:
      options.sharePolicy_ = SharePolicy::OwnShareFirst;
      break;
  }
  return options;
}

class Simulation
{
public:
  Simulation(const SelectionCase& aCase,
             SelectionPolicy aPolicy,
             std::uint64_t aSeed)
    : case_(aCase)
    , random_(aSeed)
    , running_(static_cast<std::size_t>(aCase.servers_), 0)
  {
    std::vector<BackendServerConfig> servers;
    for (int i = 0; i < aCase.servers_; ++i) {
      BackendServerConfig config;
      config.name_ = std::to_string(i);
      config.slots_ = aCase.slots_;
      servers.push_back(config);
    }
    for (int i = 0; i < aCase.hosts_; ++i) {
      hosts_.push_back(std::make_unique<Host>(OptionsFor(aPolicy), random_()));
      hosts_.back()->pool_.SetServers({}, servers, {}, now_);
      hosts_.back()->pool_.SetHosts(i, aCase.hosts_);
    }
  }

  SelectionResult Run()
  {
    for (auto& host : hosts_) {
      for (int i = 0; i < case_.servers_; ++i) {
        const Duration phase =
          FromSeconds(std::uniform_real_distribution<>()(random_) *
                      ToSeconds(case_.reportPeriod_));
        At(phase, [this, &host = *host, i] { Report(host, i); });
      }
    }
    ScheduleArrival();
    while (!events_.empty() && FinishedRequests() < RequestCount()) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time_;
      event.run_();
    }
    std::sort(waits_.begin(), waits_.end());
    result_.waitP50Ms_ = waits_[waits_.size() / 2] * 1e3;
    result_.waitP99Ms_ = waits_[waits_.size() * 99 / 100] * 1e3;
    return result_;
  }

private:
  void At(Duration aDelay, std::function<void()> aRun)
  {
    events_.push({ now_ + aDelay, ++order_, std::move(aRun) });
  }

  std::uint64_t RequestCount() const
  {
    return static_cast<std::uint64_t>(case_.requests_);
  }

  std::uint64_t FinishedRequests() const
  {
    return result_.refused_ + waits_.size();
  }

  void ScheduleArrival()
  {
    if (result_.requests_ >= RequestCount()) {
      return;
    }
    const double rate =
      case_.load_ * case_.servers_ * case_.slots_ / kServiceSeconds;
    const double gap = std::exponential_distribution<>(rate)(random_);
    At(FromSeconds(gap), [this] {
      Arrive();
      ScheduleArrival();
    });
  }

  void Arrive()
  {
    ++result_.requests_;
    const std::size_t live =
      hosts_.size() - static_cast<std::size_t>(case_.deadHosts_);
    std::size_t index = random_() % live;
    if (case_.firstHostFraction_ > 0) {
      const bool first =
        std::uniform_real_distribution<>()(random_) < case_.firstHostFraction_;
      index = first ? 0 : 1 + random_() % (live - 1);
    }
    Host& host = *hosts_[index];
    Request request;
    request.id_ = result_.requests_;
    request.customer_ = std::to_string(random_() % kCustomerCount);
    request.arrival_ = now_;
    host.budget_.RecordRequest(now_);
    if (host.queue_.size() > 0 || !TryDispatch(host, request)) {
      std::vector<QueueRefusal> refused;
      host.waiting_[request.id_] = request;
      host.queue_.Push(
        Queued(request), host.pool_.UsableSlots(now_), now_, refused);
      Refuse(host, refused);
      SchedulePoll(host);
    }
  }

  static QueuedRequest Queued(const Request& aRequest)
  {
    return { aRequest.id_, aRequest.customer_, aRequest.arrival_ + kDeadline };
  }

  bool TryDispatch(Host& aHost, Request aRequest)
  {
    const std::optional<std::string> server =
      aHost.pool_.Acquire(now_, aRequest.tried_);
    if (!server) {
      return false;
    }
    aRequest.tried_.insert(*server);
    At(kNetworkDelay, [this, &aHost, aRequest, name = *server] {
      ReachServer(aHost, aRequest, name);
    });
    return true;
  }

  void ReachServer(Host& aHost,
                   const Request& aRequest,
                   const std::string& aName)
  {
    const auto index = static_cast<std::size_t>(std::stoi(aName));
    if (running_[index] >= case_.slots_) {
      ++result_.shed_;
      At(kNetworkDelay, [this, &aHost, aRequest, aName] {
        aHost.pool_.Release(aName, AttemptOutcome::Shed, now_);
        RetryShed(aHost, aRequest);
        Drain(aHost);
      });
      return;
    }
    ++running_[index];
    waits_.push_back(ToSeconds(now_ - aRequest.arrival_));
    const bool slow = static_cast<int>(index) < case_.slowServers_;
    const double mean = kServiceSeconds * (slow ? kSlowFactor : 1);
    const Duration service =
      FromSeconds(std::exponential_distribution<>(1 / mean)(random_));
    At(service, [this, index] { --running_[index]; });
    At(service + kNetworkDelay, [this, &aHost, aName, service] {
      aHost.pool_.Release(aName, AttemptOutcome::Completed, now_);
      aHost.queue_.RecordServiceTime(service);
      Drain(aHost);
    });
  }

  void RetryShed(Host& aHost, const Request& aRequest)
  {
    // Without retry budget the request waits for a free slot.
    if (!aHost.budget_.TryTake(now_) || !TryDispatch(aHost, aRequest)) {
      aHost.waiting_[aRequest.id_] = aRequest;
      aHost.queue_.PushFront(Queued(aRequest));
      SchedulePoll(aHost);
    }
  }

  void Refuse(Host& aHost, const std::vector<QueueRefusal>& aRefused)
  {
    for (const QueueRefusal& refusal : aRefused) {
      aHost.waiting_.erase(refusal.id_);
      ++result_.refused_;
    }
  }

  void Drain(Host& aHost)
  {
    std::vector<QueueRefusal> refused;
    while (aHost.queue_.size() > 0 && aHost.pool_.HasFreeSlot(now_)) {
      const std::optional<std::uint64_t> id = aHost.queue_.Pop(now_, refused);
      if (!id) {
        break;
      }
      TryDispatch(aHost, aHost.waiting_[*id]);
      aHost.waiting_.erase(*id);
    }
    Refuse(aHost, refused);
  }

  // Needed because a server that shed a request is treated as full for a time
  // whose end triggers no event.
  void SchedulePoll(Host& aHost)
  {
    if (aHost.pollScheduled_) {
      return;
    }
    aHost.pollScheduled_ = true;
    At(kPollInterval, [this, &aHost] {
      aHost.pollScheduled_ = false;
      Drain(aHost);
      if (aHost.queue_.size() > 0) {
        SchedulePoll(aHost);
      }
    });
  }

  void Report(Host& aHost, int aServer)
  {
    LoadReport report;
    report.slots_ = case_.slots_;
    report.inFlight_ = running_[static_cast<std::size_t>(aServer)];
    if (case_.reportsWrongLoad_ && aServer == case_.servers_ - 1) {
      report.inFlight_ = 0;
    }
    At(case_.reportLag_, [this, &aHost, aServer, report] {
      aHost.pool_.OnLoadReport(std::to_string(aServer), report, now_);
    });
    At(case_.reportPeriod_,
       [this, &aHost, aServer] { Report(aHost, aServer); });
  }

  SelectionCase case_;
  std::mt19937_64 random_;
  TimePoint now_{ std::chrono::seconds(1000) };
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, RunsLater> events_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<int> running_;
  std::vector<double> waits_;
  SelectionResult result_;
};

}

const char*
NameOf(SelectionPolicy aPolicy)
{
  switch (aPolicy) {
    case SelectionPolicy::Random:
      return "random";
    case SelectionPolicy::RoundRobin:
      return "round robin";
    case SelectionPolicy::LeastOwnInFlight:
      return "least own in-flight";
    case SelectionPolicy::LeastLoadedOfTwo:
      return "least of two";
    case SelectionPolicy::OwnShareOnly:
      return "divided slots";
    case SelectionPolicy::OwnShareFirst:
      return "own share, then any slot";
  }
  return "";
}

SelectionResult
Simulate(const SelectionCase& aCase,
         SelectionPolicy aPolicy,
         std::uint64_t aSeed)
{
  return Simulation(aCase, aPolicy, aSeed).Run();
}

std::vector<SelectionCase>
SelectionCases()
{
  const auto make =
    [](const char* aName, int aServers, int aSlots, int aHosts) {
      SelectionCase result;
      result.name_ = aName;
      result.servers_ = aServers;
      result.slots_ = aSlots;
      result.hosts_ = aHosts;
      return result;
    };
  std::vector<SelectionCase> cases{
    make("20x3, 2 hosts", 20, 3, 2), make("20x3, 3 hosts", 20, 3, 3),
    make("20x6, 2 hosts", 20, 6, 2), make("20x6, 3 hosts", 20, 6, 3),
    make("12x5, 2 hosts", 12, 5, 2), make("12x5, 3 hosts", 12, 5, 3)
  };
  SelectionCase varied = make("20x3, 2 hosts, reports 3 s late", 20, 3, 2);
  varied.reportLag_ = std::chrono::seconds(3);
  cases.push_back(varied);
  varied = make("20x3, 3 hosts, 2 slow servers", 20, 3, 3);
  varied.slowServers_ = 2;
  varied.load_ = 0.7;
  cases.push_back(varied);
  varied = make("20x3, 3 hosts, misleading server", 20, 3, 3);
  varied.reportsWrongLoad_ = true;
  cases.push_back(varied);
  varied = make("20x3, 2 hosts, 80% on one host", 20, 3, 2);
  varied.firstHostFraction_ = 0.8;
  cases.push_back(varied);
  varied = make("20x3, 3 hosts, one dead but listed", 20, 3, 3);
  varied.deadHosts_ = 1;
  cases.push_back(varied);
  varied = make("20x3, 3 hosts, load 0.95", 20, 3, 3);
  varied.load_ = 0.95;
  cases.push_back(varied);
  varied = make("12x5, 2 hosts, load 0.5", 12, 5, 2);
  varied.load_ = 0.5;
  cases.push_back(varied);
  return cases;
}

}
