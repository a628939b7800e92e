#pragma once

// A simulated region of hosts and backend servers, without a network, for tests
// of the decisions about slots. Time is simulated; messages between hosts take
// a fixed time and can be lost, doubled or late. Servers run as many requests
// as they have slots, first come, first served.
//
//   SlotFleet fleet(options);
//   fleet.AddLoad({ "urgent", 0, 40, 0.1, 0.4, 2 });
//   fleet.Run(seconds);
//   fleet.Stats("urgent").inTime_

#include "slots/SlotGate.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace peridotsail {

struct SlotFleetOptions
{
  std::uint64_t seed_ = 1;
  int hosts_ = 4;
  int servers_ = 4;
  int slots_ = 3;
  // False: hosts choose servers by the load reports that they get themselves.
  bool owners_ = true;
  // The time that a message between two hosts, or a host and a server, takes.
  Duration oneWay_ = std::chrono::milliseconds(1);
  // The fractions of messages that are lost, doubled, and late by up to 50 ms.
  double lost_ = 0;
  double doubled_ = 0;
  double late_ = 0;
  // Whether a server's report counts the request that it answers.
  bool countsAnswered_ = false;
};

// Requests with random arrivals, from random hosts for random objects.
struct SlotLoad
{
  std::string route_;
  int rank_ = 0;
  double perSecond_ = 0;
  double serviceSeconds_ = 0;
  double aimSeconds_ = 0;
  double deadlineSeconds_ = 0;
  std::string customer_ = "customer";
  // When the load begins and ends.
  double from_ = 0;
  double to_ = 1e9;
};

struct SlotStats
{
  int asked_ = 0;
  int inTime_ = 0;
  int late_ = 0;
  int refused_ = 0;
  // Not answered by the deadline.
  int failed_ = 0;
  // Refused while the first server had two free slots, so that one was not kept
  // back for a higher rank. Slots that became free while the refusal was on its
  // way, or other servers were asked, count here.
  int refusedWhileFree_ = 0;
  // Refused later than 50 ms after the arrival.
  int refusedLate_ = 0;
  std::vector<double> latencies_;

  int Served() const { return inTime_ + late_; }
  double Quantile(double aFraction) const;
};

class SlotFleet
{
public:
  explicit SlotFleet(SlotFleetOptions aOptions);
  ~SlotFleet();

  void AddLoad(const SlotLoad& aLoad);
  // Runs until this time, and then until all requests have ended.
  void Run(double aSeconds);
  // Calls the function at this time.
  void At(double aSeconds, std::function<void()> aFunction);
  // The process ends: its requests end, and its messages are dropped. The other
  // hosts learn of it a second later.
  void Kill(int aHost);
  // The process stops until the time. Messages for it wait.
  void Freeze(int aHost, double aUntil);
  // Requests that start at the server take this many times as long.
  void Slow(int aServer, double aFactor);
  // The host that owns the server in the others' view.
  int OwnerOf(int aServer) const;
  // Statistics by route, and by customer.
  SlotStats& Stats(const std::string& aName) { return stats_[aName]; }
  int Messages() const { return messages_; }
  // The largest number of requests that waited at a server, beyond its slots.
  int MaxQueue() const { return maxQueue_; }
  // Grants that hosts and owners hold.
  std::size_t OpenGrants() const;
  // The largest number of outstanding grants of one request.
  int MaxGrantsOfOneRequest() const { return maxGrants_; }
  std::string Figures(const std::string& aName);

private:
  struct Host;
  struct Request;
  struct Server;
  struct Event
  {
    TimePoint at_;
    std::uint64_t sequence_;
    std::function<void()> run_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(at_, sequence_) > std::tie(aOther.at_, aOther.sequence_);
    }
  };
  using RequestPtr = std::shared_ptr<Request>;

  void After(Duration aDelay, std::function<void()> aFunction);
  void ScheduleArrival(const SlotLoad& aLoad);
  void Arrive(const SlotLoad& aLoad);
  void Acquire(const RequestPtr& aRequest);
  void ChooseAlone(const RequestPtr& aRequest);
  void SendMessage(int aFrom, const std::string& aAddress, const SlotMessage&);
  void DeliverMessage(int aFrom, int aTo, const SlotMessage& aMessage);
  void SendToServer(const RequestPtr& aRequest, int aServer);
  void OnServerAnswer(const RequestPtr& aRequest, const ReportedLoad& aLoad);
  void StartRuns(int aServer);
  void RemoveFromServer(const RequestPtr& aRequest);
  void OnDeadline(const RequestPtr& aRequest);
  void Refuse(const RequestPtr& aRequest);
  void End(Request& aRequest);
  void Count(const RequestPtr& aRequest, int SlotStats::*aCounter);
  void SetView();
  void Tick(int aHost);
  int CandidateOf(const Request& aRequest, int aPosition) const;

  SlotFleetOptions options_;
  std::mt19937_64 random_;
  TimePoint now_;
  TimePoint end_;
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Server> servers_;
  std::map<std::string, SlotStats> stats_;
  int messages_ = 0;
  int maxQueue_ = 0;
  int maxGrants_ = 0;
  int open_ = 0;
};

}
