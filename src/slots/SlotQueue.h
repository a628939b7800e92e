#pragma once

// Grants the slots of one backend server to requests of all hosts of its
// region, at the host that owns them. The other requests wait here and not at
// the server, so that urgent work does not stand behind slow work.
//
// - Grants never exceed the server's slots less the load of requests that were
//   not granted here, which shows in the server's load reports.
// - Order: routes and customers that are served too seldom, then rank, then
//   requests that can still meet their target latency, then fair between
//   customers by the work they got, then the nearest time by which to start.
// - Slots are kept back for the highest rank that arrived lately.
// - A request that cannot complete by its deadline is refused at once, the
//   lowest rank first. None is refused while a slot that fits is free.
//
// Messages may be lost, late or doubled: a repeated ask changes nothing, a
// release may overtake its ask, and a grant whose release was lost ends by
// itself.
//
// Performs no I/O. Traffic thread only.
//
//   SlotQueue queue(server, options);
//   queue.Ask(host, ask, now, replies);
//   queue.Release(host, release, now, replies);
//   queue.OnTimer(now, replies);   // some 50 times a second

#include "slots/CustomerWork.h"
#include "slots/RankArrivals.h"
#include "slots/ServedShares.h"
#include "slots/ServerLoad.h"
#include "slots/SlotRequest.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace peridotsail {

struct SlotQueueOptions
{
  // The maximum number of waiting requests.
  std::size_t maxWaiting_ = 64;
  // The fraction of the remaining time within which a request must be expected
  // to complete.
  double timeLeftFraction_ = 0.9;
  // A request counts as in time if it starts within this fraction of the time
  // to its target latency, even if the expected service time is longer: the
  // expected one is a mean over objects that are in the server's cache and
  // others.
  double minStartFraction_ = 0.25;
  // The time constant over which arrivals are counted.
  Duration arrivalWindow_ = std::chrono::seconds(3);
  // Slots are kept back for the highest rank if at least this number of its
  // requests are expected to be late because of the request that would take the
  // slot.
  double minDelayed_ = 0.5;
  // A waiting request may use a slot that is kept back this long before the
  // last time at which it must start.
  Duration lastChance_ = std::chrono::milliseconds(100);
  // A grant of this age, in service times plus the margin, ends if the server
  // reports fewer requests than there are grants: its release was lost.
  double overdueFactor_ = 4;
  Duration overdueMargin_ = std::chrono::milliseconds(200);
  // Hosts repeat the asks of their waiting requests every 250 ms. A request
  // whose ask is older than this has lost its host.
  Duration renewTimeout_ = std::chrono::milliseconds(700);
  ServerLoadOptions load_;
  // Returns the number of concurrent requests that the server can take now, if
  // that is less than its slots. May be empty.
  std::function<double(const std::string& aServer, TimePoint aNow)> limit_;
  // Takes a token for starting a request at the server; returns false if there
  // is none at the moment. May be empty.
  std::function<bool(const std::string& aServer, TimePoint aNow)> mayStart_;
};

class SlotQueue
{
public:
  SlotQueue(std::string aServer, const SlotQueueOptions& aOptions);

  // aHost is the address of the asking host, empty for the owner itself.
  // Appends the answers to aReplies, also those to other requests.
  void Ask(const std::string& aHost,
           const SlotAsk& aAsk,
           TimePoint aNow,
           SlotReplies& aReplies);
  void Release(const std::string& aHost,
               const SlotRelease& aRelease,
               TimePoint aNow,
               SlotReplies& aReplies);
  // Ends the grants and removes the waiting requests of hosts that are gone.
  void RemoveHosts(const std::function<bool(const std::string& aHost)>& aIsGone,
                   TimePoint aNow,
                   SlotReplies& aReplies);
  // Grants, refuses and ends what is due.
  void OnTimer(TimePoint aNow, SlotReplies& aReplies);
  // Uses a load report that did not come with a release.
  void Report(const ReportedLoad& aLoad, TimePoint aNow);
  std::size_t Waiting() const { return waiting_.size(); }
  std::size_t Granted() const { return grants_.size(); }
  // Returns whether nothing was asked for some time and nothing is pending.
  bool IsIdle(TimePoint aNow) const;

private:
  struct Grant
  {
    std::uint64_t route_ = 0;
    int rank_ = 0;
    TimePoint at_;
    TimePoint expiresAt_;
  };
  struct WaitingRequest
  {
    SlotKey key_;
    SlotAsk ask_;
    // When the host asked last.
    TimePoint askedAt_;
    // Starting later than this misses the target latency, and the deadline.
    TimePoint startBy_;
    TimePoint latestStart_;
    TimePoint deadline_;
    // Whether the host needs an answer.
    bool needsAnswer_ = true;
    // Set when the request arrives and when it becomes late: it is refused
    // unless it can still complete if requests keep arriving as they do.
    bool isJudged_ = true;
    // Will miss the target latency. Goes behind the others of its rank, so that
    // not all of them are late in an overload.
    bool late_ = false;
  };
  // The place of a waiting request in the queue.
  struct Position
  {
    std::size_t index_ = 0;
    bool belowFloor_ = false;
    // The customer's work at the time of the start, for fair queueing.
    double startTag_ = 0;
  };
  // The expected start of a waiting request.
  struct Forecast
  {
    std::size_t index_ = 0;
    int ahead_ = 0;
    TimePoint start_;
    bool inTime_ = true;
  };

  bool AnswerRepeated(const SlotKey& aKey,
                      TimePoint aNow,
                      SlotReplies& aReplies);
  void AskIfFree(const SlotKey& aKey,
                 const SlotAsk& aAsk,
                 TimePoint aNow,
                 SlotReplies& aReplies);
  void Enqueue(const SlotKey& aKey, const SlotAsk& aAsk, TimePoint aNow);
  // Ends what is over, grants free slots and refuses what cannot complete.
  void Advance(TimePoint aNow, SlotReplies& aReplies);
  // Removes requests of which the hosts have not renewed their asks.
  void RemoveSilent(TimePoint aNow);
  void EndExpiredGrants(TimePoint aNow);
  void EndLostGrants(int aReported, TimePoint aNow);
  void GrantFreeSlots(TimePoint aNow, SlotReplies& aReplies);
  void StartGrant(const SlotKey& aKey,
                  const SlotAsk& aAsk,
                  TimePoint aDeadline,
                  TimePoint aNow);
  SlotAnswer MakeAnswer(const SlotKey& aKey,
                        SlotState aState,
                        TimePoint aNow) const;
  void AnswerGranted(const SlotKey& aKey,
                     TimePoint aNow,
                     SlotReplies& aReplies);
  // Marks the requests that will miss their target latency.
  void MarkLate(TimePoint aNow);
  // Refuses requests that cannot complete in time and answers new ones.
  void AnswerWaiting(TimePoint aNow, SlotReplies& aReplies);
  void Refuse(const Forecast& aForecast, TimePoint aNow, SlotReplies& aReplies);
  void EraseWaiting(std::vector<std::size_t> aIndices);
  std::vector<Position> Order(TimePoint aNow) const;
  std::vector<Forecast> ForecastStarts(TimePoint aNow) const;
  // When the slots become free, one entry for each slot that may be used.
  std::vector<TimePoint> SlotTimes(TimePoint aNow) const;
  bool MayTake(const WaitingRequest& aRequest,
               bool aBelowFloor,
               int aFree,
               TimePoint aNow) const;
  // The free slots that a request of this rank and route must leave.
  int KeptBack(int aRank, std::uint64_t aRoute, TimePoint aNow) const;
  int Capacity(TimePoint aNow) const;
  int Free(TimePoint aNow) const;
  Duration ServiceTime(std::uint64_t aRoute, TimePoint aNow) const
  {
    return load_.ServiceTime(aRoute, aNow);
  }
  void RecordOutcome(const SlotAsk& aAsk, bool aGranted, TimePoint aNow);
  bool IsBelowFloor(const SlotAsk& aAsk, TimePoint aNow) const;
  void Remember(const SlotKey& aKey);
  ReportedLoad KnownLoad(TimePoint aNow) const;

  std::string server_;
  const SlotQueueOptions& options_;
  int slots_ = 1;
  std::map<SlotKey, Grant> grants_;
  std::vector<WaitingRequest> waiting_;
  // Requests that ended lately, so that a late copy of an ask is not granted.
  std::deque<SlotKey> ended_;
  ServerLoad load_;
  RankArrivals arrivals_;
  ServedShares routes_;
  ServedShares customers_;
  CustomerWork customerWork_;
  TimePoint usedAt_ = TimePoint::min();
};

}
