#include "slots/testing/SlotFleet.h"

#include "base/Hash.h"

#include <algorithm>
#include <sstream>

namespace peridotsail {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr const char* kRegion = "east";

int
HostOf(const std::string& aAddress)
{
  return std::stoi(aAddress);
}

}

struct SlotFleet::Host
{
  Host(int aIndex, SlotGateHooks aHooks, std::uint64_t aSeed)
    : owners_(std::to_string(aIndex), kRegion)
    , grants_(SlotQueueOptions())
    , gate_(owners_, grants_, {}, std::move(aHooks), aSeed)
  {
  }

  SlotOwners owners_;
  SlotGrants grants_;
  SlotGate gate_;
  // What the host knows of each server by itself.
  std::vector<QueueEstimate> estimates_;
  std::vector<RequestPtr> requests_;
  bool alive_ = true;
  TimePoint frozenUntil_;
};

struct SlotFleet::Request
{
  SlotLoad load_;
  int host_ = 0;
  std::uint64_t object_ = 0;
  TimePoint arrivedAt_;
  TimePoint sentAt_;
  double queueAtSend_ = 0;
  std::uint64_t ticket_ = 0;
  std::optional<SlotGrant> grant_;
  int server_ = -1;
  int grants_ = 0;
  bool ended_ = false;
};

struct SlotFleet::Server
{
  std::vector<RequestPtr> running_;
  std::deque<RequestPtr> waiting_;
  // Requests that hosts have sent here and that have not ended for them.
  int assigned_ = 0;
  double slowness_ = 1;
};

double
SlotStats::Quantile(double aFraction) const
{
  if (latencies_.empty()) {
    return 0;
  }
  std::vector<double> sorted = latencies_;
  std::sort(sorted.begin(), sorted.end());
  return sorted[static_cast<std::size_t>(
    aFraction * static_cast<double>(sorted.size() - 1))];
}

SlotFleet::SlotFleet(SlotFleetOptions aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , now_(std::chrono::seconds(1000))
  , servers_(static_cast<std::size_t>(aOptions.servers_))
{
  for (int i = 0; i < options_.hosts_; ++i) {
    SlotGateHooks hooks;
    hooks.send_ = [this, i](const std::string& aAddress,
                            const SlotMessage& aMessage) {
      SendMessage(i, aAddress, aMessage);
    };
    hosts_.push_back(std::make_unique<Host>(i, hooks, random_()));
    QueueEstimate estimate(options_.slots_);
    estimate.SetHostCount(options_.hosts_);
    hosts_.back()->estimates_.assign(servers_.size(), estimate);
  }
  SetView();
  for (int i = 0; i < options_.hosts_; ++i) {
    Tick(i);
  }
}

SlotFleet::~SlotFleet() = default;

void
SlotFleet::After(Duration aDelay, std::function<void()> aFunction)
{
  events_.push({ now_ + aDelay, ++sequence_, std::move(aFunction) });
}

void
SlotFleet::At(double aSeconds, std::function<void()> aFunction)
{
  After(FromSeconds(aSeconds), std::move(aFunction));
}

void
SlotFleet::SetView()
{
  std::vector<SlotHost> view;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i]->alive_) {
      view.push_back({ std::to_string(i), std::to_string(i), kRegion, false });
    }
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Host& host = *hosts_[i];
    host.owners_.SetHosts(view);
    SlotReplies replies;
    host.grants_.RemoveHosts(
      [&](const std::string& aHost) {
        return !aHost.empty() && !host.owners_.HasAddress(aHost);
      },
      now_,
      replies);
    host.gate_.Deliver(replies, now_);
    host.gate_.OnHostsChanged(now_);
  }
}

void
SlotFleet::Tick(int aHost)
{
  Host& host = *hosts_[static_cast<std::size_t>(aHost)];
  if (!host.alive_) {
    return;
  }
  if (now_ >= host.frozenUntil_) {
    SlotReplies replies;
    host.grants_.OnTimer(now_, replies);
    host.gate_.Deliver(replies, now_);
    host.gate_.OnTimer(now_);
  }
  After(kTick, [this, aHost] { Tick(aHost); });
}

void
SlotFleet::AddLoad(const SlotLoad& aLoad)
{
  At(aLoad.from_, [this, aLoad] { ScheduleArrival(aLoad); });
}

void
SlotFleet::ScheduleArrival(const SlotLoad& aLoad)
{
  const double gap =
    std::exponential_distribution<double>(aLoad.perSecond_)(random_);
  const double at =
    ToSeconds(now_ - TimePoint(std::chrono::seconds(1000))) + gap;
  if (at >= aLoad.to_ || now_ + FromSeconds(gap) >= end_) {
    return;
  }
  At(gap, [this, aLoad] {
    Arrive(aLoad);
    ScheduleArrival(aLoad);
  });
}

void
SlotFleet::Arrive(const SlotLoad& aLoad)
{
  const auto request = std::make_shared<Request>();
  request->load_ = aLoad;
  request->arrivedAt_ = now_;
  request->object_ = random_();
  do {
    request->host_ = static_cast<int>(random_() % hosts_.size());
  } while (!hosts_[static_cast<std::size_t>(request->host_)]->alive_);
  Host& host = *hosts_[static_cast<std::size_t>(request->host_)];
  host.requests_.push_back(request);
  ++open_;
  Count(request, &SlotStats::asked_);
  After(FromSeconds(aLoad.deadlineSeconds_),
        [this, request] { OnDeadline(request); });
  if (options_.owners_) {
    Acquire(request);
  } else {
    ChooseAlone(request);
  }
}

int
SlotFleet::CandidateOf(const Request& aRequest, int aPosition) const
{
  return static_cast<int>(
    (aRequest.object_ + static_cast<std::uint64_t>(aPosition)) %
    servers_.size());
}

void
SlotFleet::Acquire(const RequestPtr& aRequest)
{
  Host& host = *hosts_[static_cast<std::size_t>(aRequest->host_)];
  const auto toServer = [this](int aServer) {
    return SlotServer{ std::to_string(aServer),
                       options_.slots_,
                       std::chrono::milliseconds(300) };
  };
  const SlotLoad& load = aRequest->load_;
  SlotQuery query;
  query.server_ = toServer(CandidateOf(*aRequest, 0));
  query.rank_ = load.rank_;
  query.customer_ = StableHash(load.customer_);
  query.route_ = StableHash(load.route_);
  query.aim_ = aRequest->arrivedAt_ + FromSeconds(load.aimSeconds_);
  query.deadline_ = aRequest->arrivedAt_ + FromSeconds(load.deadlineSeconds_);
  query.next_ =
    [this, aRequest, toServer](
      const std::set<std::string>& aSeen) -> std::optional<SlotServer> {
    if (aSeen.size() >= servers_.size()) {
      return std::nullopt;
    }
    return toServer(CandidateOf(*aRequest, static_cast<int>(aSeen.size())));
  };
  aRequest->ticket_ = host.gate_.NewTicket();
  host.gate_.Acquire(
    aRequest->ticket_, query, now_, [this, aRequest](const SlotOutcome& aOut) {
      if (aOut.result_ == SlotResult::Granted) {
        maxGrants_ = std::max(maxGrants_, ++aRequest->grants_);
        aRequest->grant_ = aOut.grant_;
        SendToServer(aRequest, std::stoi(aOut.grant_->server_));
      } else if (aOut.result_ == SlotResult::Refused) {
        Refuse(aRequest);
      } else {
        ChooseAlone(aRequest);
      }
    });
}

// The rules of ChooseInstance for a single region.
void
SlotFleet::ChooseAlone(const RequestPtr& aRequest)
{
  Host& host = *hosts_[static_cast<std::size_t>(aRequest->host_)];
  const Duration limit =
    FromSeconds(0.9 * (aRequest->load_.deadlineSeconds_ -
                       ToSeconds(now_ - aRequest->arrivedAt_)));
  bool overloaded = false;
  for (int i = 0; i < options_.servers_; ++i) {
    const int server = CandidateOf(*aRequest, i);
    const QueueEstimate& queue =
      host.estimates_[static_cast<std::size_t>(server)];
    const bool fits = overloaded ? queue.IsHalfIdle(now_)
                                 : queue.ExpectedLatency(now_) <= limit ||
                                     queue.HasFreeSlot(now_);
    if (fits) {
      SendToServer(aRequest, server);
      return;
    }
    overloaded = true;
  }
  Refuse(aRequest);
}

void
SlotFleet::SendToServer(const RequestPtr& aRequest, int aServer)
{
  Host& host = *hosts_[static_cast<std::size_t>(aRequest->host_)];
  QueueEstimate& estimate = host.estimates_[static_cast<std::size_t>(aServer)];
  aRequest->server_ = aServer;
  ++servers_[static_cast<std::size_t>(aServer)].assigned_;
  aRequest->sentAt_ = now_;
  aRequest->queueAtSend_ = aRequest->grant_ ? 0 : estimate.QueueLength(now_);
  estimate.OnRequestSent();
  After(options_.oneWay_, [this, aRequest, aServer] {
    if (aRequest->ended_) {
      return;
    }
    Server& server = servers_[static_cast<std::size_t>(aServer)];
    server.waiting_.push_back(aRequest);
    StartRuns(aServer);
    maxQueue_ = std::max(maxQueue_, static_cast<int>(server.waiting_.size()));
  });
}

void
SlotFleet::StartRuns(int aServer)
{
  Server& server = servers_[static_cast<std::size_t>(aServer)];
  while (static_cast<int>(server.running_.size()) < options_.slots_ &&
         !server.waiting_.empty()) {
    const RequestPtr request = server.waiting_.front();
    server.waiting_.pop_front();
    server.running_.push_back(request);
    // Between half and one and a half of the mean.
    const double factor =
      server.slowness_ *
      std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    After(FromSeconds(request->load_.serviceSeconds_ * factor),
          [this, request, aServer] {
            if (request->ended_) {
              return;
            }
            Server& at = servers_[static_cast<std::size_t>(aServer)];
            ReportedLoad load;
            const int answered = options_.countsAnswered_ ? 1 : 0;
            RemoveFromServer(request);
            load.running_ = static_cast<int>(at.running_.size()) + answered;
            load.waiting_ = static_cast<int>(at.waiting_.size());
            After(options_.oneWay_,
                  [this, request, load] { OnServerAnswer(request, load); });
          });
  }
}

void
SlotFleet::RemoveFromServer(const RequestPtr& aRequest)
{
  if (aRequest->server_ < 0) {
    return;
  }
  Server& server = servers_[static_cast<std::size_t>(aRequest->server_)];
  auto& running = server.running_;
  auto& waiting = server.waiting_;
  running.erase(std::remove(running.begin(), running.end(), aRequest),
                running.end());
  waiting.erase(std::remove(waiting.begin(), waiting.end(), aRequest),
                waiting.end());
  StartRuns(aRequest->server_);
}

void
SlotFleet::OnServerAnswer(const RequestPtr& aRequest, const ReportedLoad& aLoad)
{
  Host& host = *hosts_[static_cast<std::size_t>(aRequest->host_)];
  if (aRequest->ended_) {
    return;
  }
  if (now_ < host.frozenUntil_) {
    After(host.frozenUntil_ - now_,
          [this, aRequest, aLoad] { OnServerAnswer(aRequest, aLoad); });
    return;
  }
  End(*aRequest);
  ReportedLoad load = aLoad;
  load.at_ = now_;
  QueueEstimate& estimate =
    host.estimates_[static_cast<std::size_t>(aRequest->server_)];
  estimate.Report(load);
  estimate.OnRequestEnded();
  estimate.RecordServiceTime(
    now_ - aRequest->sentAt_, aRequest->queueAtSend_, now_);
  if (aRequest->grant_) {
    host.gate_.Release(
      *aRequest->grant_, { true, now_ - aRequest->sentAt_, load }, now_);
  }
  const double latency = ToSeconds(now_ - aRequest->arrivedAt_);
  Count(aRequest,
        latency <= aRequest->load_.aimSeconds_ ? &SlotStats::inTime_
                                               : &SlotStats::late_);
  stats_[aRequest->load_.route_].latencies_.push_back(latency);
}

void
SlotFleet::OnDeadline(const RequestPtr& aRequest)
{
  if (aRequest->ended_) {
    return;
  }
  End(*aRequest);
  Host& host = *hosts_[static_cast<std::size_t>(aRequest->host_)];
  RemoveFromServer(aRequest);
  if (aRequest->server_ >= 0) {
    QueueEstimate& estimate =
      host.estimates_[static_cast<std::size_t>(aRequest->server_)];
    estimate.OnRequestEnded();
    estimate.RecordServiceTime(
      now_ - aRequest->sentAt_, aRequest->queueAtSend_, now_);
  }
  Count(aRequest, &SlotStats::failed_);
  host.gate_.Cancel(aRequest->ticket_, now_);
  if (aRequest->grant_) {
    host.gate_.Release(*aRequest->grant_, {}, now_);
  }
}

void
SlotFleet::Refuse(const RequestPtr& aRequest)
{
  End(*aRequest);
  Count(aRequest, &SlotStats::refused_);
  const Server& first =
    servers_[static_cast<std::size_t>(CandidateOf(*aRequest, 0))];
  if (first.assigned_ + 1 < options_.slots_) {
    Count(aRequest, &SlotStats::refusedWhileFree_);
  }
  if (now_ - aRequest->arrivedAt_ > std::chrono::milliseconds(50)) {
    Count(aRequest, &SlotStats::refusedLate_);
  }
}

void
SlotFleet::End(Request& aRequest)
{
  aRequest.ended_ = true;
  --open_;
  if (aRequest.server_ >= 0) {
    --servers_[static_cast<std::size_t>(aRequest.server_)].assigned_;
  }
}

void
SlotFleet::Count(const RequestPtr& aRequest, int SlotStats::*aCounter)
{
  ++(stats_[aRequest->load_.route_].*aCounter);
  ++(stats_[aRequest->load_.customer_].*aCounter);
}

void
SlotFleet::SendMessage(int aFrom,
                       const std::string& aAddress,
                       const SlotMessage& aMessage)
{
  if (!hosts_[static_cast<std::size_t>(aFrom)]->alive_) {
    return;
  }
  ++messages_;
  std::uniform_real_distribution<double> unit(0, 1);
  const int to = HostOf(aAddress);
  const int copies = unit(random_) < options_.doubled_ ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (unit(random_) < options_.lost_) {
      continue;
    }
    const double late = unit(random_) < options_.late_ ? 0.05 : 0;
    After(options_.oneWay_ + FromSeconds(late * unit(random_)),
          [this, aFrom, to, aMessage] { DeliverMessage(aFrom, to, aMessage); });
  }
}

void
SlotFleet::DeliverMessage(int aFrom, int aTo, const SlotMessage& aMessage)
{
  Host& host = *hosts_[static_cast<std::size_t>(aTo)];
  if (!host.alive_) {
    return;
  }
  if (now_ < host.frozenUntil_) {
    After(host.frozenUntil_ - now_, [this, aFrom, aTo, aMessage] {
      DeliverMessage(aFrom, aTo, aMessage);
    });
    return;
  }
  SlotReplies replies;
  const std::string from = std::to_string(aFrom);
  if (const auto* ask = std::get_if<SlotAsk>(&aMessage)) {
    host.grants_.Ask(from, *ask, now_, replies);
  } else if (const auto* release = std::get_if<SlotRelease>(&aMessage)) {
    host.grants_.Release(from, *release, now_, replies);
  } else {
    host.gate_.Accept(std::get<SlotAnswer>(aMessage), from, now_);
  }
  host.gate_.Deliver(replies, now_);
}

void
SlotFleet::Kill(int aHost)
{
  Host& host = *hosts_[static_cast<std::size_t>(aHost)];
  host.alive_ = false;
  for (const RequestPtr& request : host.requests_) {
    if (!request->ended_) {
      End(*request);
      Count(request, &SlotStats::failed_);
      RemoveFromServer(request);
    }
  }
  After(std::chrono::seconds(1), [this] { SetView(); });
}

void
SlotFleet::Freeze(int aHost, double aUntil)
{
  hosts_[static_cast<std::size_t>(aHost)]->frozenUntil_ =
    TimePoint(std::chrono::seconds(1000)) + FromSeconds(aUntil);
}

void
SlotFleet::Slow(int aServer, double aFactor)
{
  servers_[static_cast<std::size_t>(aServer)].slowness_ = aFactor;
}

int
SlotFleet::OwnerOf(int aServer) const
{
  SlotOwners owners("none", kRegion);
  std::vector<SlotHost> view;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i]->alive_) {
      view.push_back({ std::to_string(i), std::to_string(i), kRegion, false });
    }
  }
  owners.SetHosts(view);
  return std::stoi(owners.OwnerOf(std::to_string(aServer))->name_);
}

std::size_t
SlotFleet::OpenGrants() const
{
  std::size_t open = 0;
  for (const auto& host : hosts_) {
    open += host->alive_ && host->grants_.IsBusy() ? 1 : 0;
  }
  return open;
}

std::string
SlotFleet::Figures(const std::string& aName)
{
  const SlotStats& stats = stats_[aName];
  std::ostringstream text;
  text << aName << ": asked " << stats.asked_ << ", in time " << stats.inTime_
       << ", late " << stats.late_ << ", refused " << stats.refused_
       << " (while free " << stats.refusedWhileFree_ << ", after 50 ms "
       << stats.refusedLate_ << "), failed " << stats.failed_ << ", p50 "
       << stats.Quantile(0.5) << " s, p99 " << stats.Quantile(0.99) << " s";
  return text.str();
}

void
SlotFleet::Run(double aSeconds)
{
  end_ = now_ + FromSeconds(aSeconds);
  const TimePoint last = end_ + std::chrono::seconds(30);
  while (!events_.empty() && events_.top().at_ <= last &&
         (now_ < end_ || open_ > 0 || OpenGrants() > 0)) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at_;
    event.run_();
  }
}

}
