#pragma once

// Gets a slot of a backend server for each request of this host, from the owner
// of the server's slots. If the wait at the first server is too long for the
// target latency, or that server refuses, the next ones are asked whether they
// are free now. The first grant counts; the others are given back. If an owner
// does not answer, the host decides alone for a while.
//
// A repeated, late or lost message never gives one request two slots: the host
// takes the first grant for an ask that it knows and returns all others.
//
// No I/O of its own: messages are sent through the hooks. Traffic thread only.
//
//   const std::uint64_t ticket = gate.NewTicket();
//   gate.Acquire(ticket, query, now, [](const SlotOutcome& outcome) { ... });
//   gate.Cancel(ticket, now);                 // the caller left
//   gate.Release(*outcome.grant_, usage, now);  // the exchange ended
//   gate.OnTimer(now);                        // some 50 times a second

#include "slots/SlotGrants.h"
#include "slots/SlotMessages.h"
#include "slots/SlotOwners.h"

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace peridotsail {

struct SlotGateOptions
{
  // An ask is repeated once after this time without an answer, in case it was
  // lost.
  Duration repeatAfter_ = std::chrono::milliseconds(40);
  // Then the owner is unresponsive. An answer normally takes a few
  // milliseconds, unless the owner's host is out of CPU time or gone.
  Duration timeout_ = std::chrono::milliseconds(80);
  // An owner that did not answer in time is not asked again for this long.
  Duration unresponsiveBackoff_ = std::chrono::milliseconds(500);
  // While a request waits at an owner, the ask is repeated at this interval, to
  // find out whether the owner still exists.
  Duration renewInterval_ = std::chrono::milliseconds(250);
  // The maximum number of further servers that are asked for one request.
  int maxProbes_ = 2;
  // With more waiting requests than this, the host decides alone.
  std::size_t maxPending_ = 16384;
};

struct SlotServer
{
  std::string id_;
  int slots_ = 1;
  // The service time that this host expects.
  Duration serviceTime_{};
};

struct SlotQuery
{
  SlotServer server_;
  int rank_ = 0;
  // Hashes of the names.
  std::uint64_t customer_ = 0;
  std::uint64_t route_ = 0;
  TimePoint aim_;
  TimePoint deadline_;
  // Returns the next candidate that is not in the set, or nothing. May be
  // empty.
  std::function<std::optional<SlotServer>(const std::set<std::string>& aSeen)>
    next_;
};

// A slot that was granted. Must be given back with SlotGate::Release.
struct SlotGrant
{
  std::uint64_t id_ = 0;
  std::string server_;
  // The owner's address; empty if it is this host.
  std::string address_;
};

enum class SlotResult
{
  Granted,
  Refused,
  // No owner is known, or it does not answer.
  NoOwner,
};

struct SlotOutcome
{
  SlotResult result_ = SlotResult::NoOwner;
  // Set if granted.
  std::optional<SlotGrant> grant_;
  // The time from Acquire to the outcome.
  Duration waited_{};
  // If refused: the time after which a slot is expected, and the number of
  // requests that come first.
  Duration retryAfter_{};
  int ahead_ = 0;
};

// How a granted slot was used.
struct SlotUsage
{
  // Whether the duration is a sample of the server's service time.
  bool executed_ = false;
  Duration duration_{};
  std::optional<ReportedLoad> load_;
};

struct SlotGateHooks
{
  std::function<void(const std::string& aAddress, const SlotMessage&)> send_;
  // Called when an owner becomes unresponsive. May be empty.
  std::function<void(const std::string& aOwner, const std::string& aServer)>
    onSilent_;
  // Receives the loads of servers that owners know. May be empty.
  std::function<void(const std::string& aServer, const ReportedLoad&)> onLoad_;
};

class SlotGate
{
public:
  using Callback = std::function<void(const SlotOutcome&)>;

  SlotGate(SlotOwners& aOwners,
           SlotGrants& aGrants,
           SlotGateOptions aOptions,
           SlotGateHooks aHooks,
           std::uint64_t aSeed);

  std::uint64_t NewTicket() { return ++lastTicket_; }
  // Calls the callback exactly once, either synchronously or later, unless the
  // ticket is cancelled before.
  void Acquire(std::uint64_t aTicket,
               SlotQuery aQuery,
               TimePoint aNow,
               Callback aCallback);
  // Withdraws a request that waits. Has no effect on other tickets.
  void Cancel(std::uint64_t aTicket, TimePoint aNow);
  void Release(const SlotGrant& aGrant,
               const SlotUsage& aUsage,
               TimePoint aNow);
  // Handles an answer of the owner with this address; empty for this host.
  void Accept(const SlotAnswer& aAnswer,
              const std::string& aFrom,
              TimePoint aNow);
  // Sends the answers of this host's own queues.
  void Deliver(const SlotReplies& aReplies, TimePoint aNow);
  // Asks again where an owner is no longer registered.
  void OnHostsChanged(TimePoint aNow);
  void OnTimer(TimePoint aNow);
  std::size_t Pending() const { return tickets_.size(); }

private:
  // An ask that was sent to an owner.
  struct PendingAsk
  {
    std::uint64_t id_ = 0;
    SlotServer server_;
    std::string owner_;
    std::string address_;
    SlotMode mode_ = SlotMode::Wait;
    bool queued_ = false;
    // The ask was sent a second time.
    bool repeated_ = false;
    TimePoint sentAt_;
  };
  struct Ticket
  {
    SlotQuery query_;
    Callback callback_;
    TimePoint startedAt_;
    std::vector<PendingAsk> asks_;
    std::set<std::string> seen_;
    int probes_ = 0;
    Duration retryAfter_{};
    int ahead_ = 0;
    // The queue of the first server refused the request.
    bool refused_ = false;
  };

  // Sends an ask for the ticket; returns false if the owner cannot be asked.
  bool Ask(std::uint64_t aTicket,
           const SlotServer& aServer,
           SlotMode aMode,
           TimePoint aNow);
  void SendAsk(const Ticket& aTicket, const PendingAsk& aAsk, TimePoint aNow);
  void SendRelease(const SlotGrant& aGrant,
                   const SlotUsage& aUsage,
                   TimePoint aNow);
  void Probe(std::uint64_t aTicket, SlotMode aMode, TimePoint aNow);
  void OnQueued(std::uint64_t aTicket,
                PendingAsk& aAsk,
                const SlotAnswer& aAnswer,
                TimePoint aNow);
  void OnRefused(std::uint64_t aTicket,
                 SlotMode aMode,
                 const SlotAnswer& aAnswer,
                 TimePoint aNow);
  // Ends the ticket without a grant if no ask is left.
  void FinishIfUnanswered(std::uint64_t aTicket, TimePoint aNow);
  void Finish(std::uint64_t aTicket, SlotOutcome aOutcome, TimePoint aNow);
  void RemoveAsk(Ticket& aTicket, std::uint64_t aId);
  void OnSilent(std::uint64_t aTicket, std::uint64_t aId, TimePoint aNow);
  bool IsUnresponsive(const std::string& aOwner, TimePoint aNow) const;

  SlotOwners& owners_;
  SlotGrants& grants_;
  SlotGateOptions options_;
  SlotGateHooks hooks_;
  std::mt19937_64 random_;
  std::uint64_t lastTicket_ = 0;
  std::unordered_map<std::uint64_t, Ticket> tickets_;
  // The ticket of each ask.
  std::unordered_map<std::uint64_t, std::uint64_t> ticketOfAsk_;
  // Grants that this host uses.
  std::unordered_set<std::uint64_t> held_;
  // By host name.
  std::unordered_map<std::string, TimePoint> unresponsiveUntil_;
};

}
