#pragma once

// Admits requests of customers within their rate and burst over all hosts: gets
// a token for each from the owner of the nearest share, and from the owners of
// the other shares when that one has none left or does not answer. Requests of
// a customer that come while others wait are asked for together, so that the
// messages do not grow with the requests. Once all owners have said that they
// have none, further requests are refused at once until the first of them
// expects a token.
//
// Pure; used on the traffic thread. Messages go through the hooks.
//
//   gate.Admit(customer, now, [](const Admission& admission) { ... });
//   TakeReply reply = gate.Answer(request, now);   // at the owner
//   gate.Accept(reply, now);                       // where it was asked
//   gate.OnTimer(now);                             // at gate.NextTimeout()

#include "gateway/AllowanceMessages.h"
#include "gateway/CustomerAllowances.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

namespace peridotsail {

struct GateOptions
{
  // An owner in this host's region that has not answered for so long is passed
  // over: its answer takes a millisecond, unless its host has spent its
  // processor time or is gone.
  Duration nearTimeout_ = std::chrono::milliseconds(80);
  // The same for an owner in another region.
  Duration farTimeout_ = std::chrono::milliseconds(300);
  // An owner that did not answer is not asked again for this time.
  Duration silence_ = std::chrono::milliseconds(500);
  // A later answer is dropped: a host that was frozen must not use tokens of an
  // earlier window.
  Duration answerLife_ = std::chrono::milliseconds(500);
  // Tokens that no request waited for any more are used for so long.
  Duration spareLife_ = std::chrono::milliseconds(500);
  // The longest time for which requests are refused without asking again.
  Duration longestRefusal_ = std::chrono::milliseconds(1000);
  // An owner whose view of the hosts is older grants nothing: another host may
  // own the share. Shorter than the life of a registration.
  Duration mostViewAge_ = std::chrono::milliseconds(3500);
};

enum class AdmissionResult
{
  Admitted,
  // The customer has no token left at any owner.
  UsedUp,
  // No owner is known, or none that has tokens answers.
  NoOwner,
};

std::string_view
NameOf(AdmissionResult aResult);

struct Admission
{
  AdmissionResult result_ = AdmissionResult::Admitted;
  // When used up: until the next token.
  Duration retryAfter_{};
};

struct GateHooks
{
  std::function<void(const std::string& aAddress, const TakeRequest&)> send_;
  // Runs after tokens of a share of this host were taken. May be empty.
  std::function<void(const ShareKey&)> onTaken_;
  // Time since this host's view of the other hosts was last confirmed.
  std::function<Duration(TimePoint)> viewAge_;
};

class AllowanceGate
{
public:
  using Callback = std::function<void(const Admission&)>;

  AllowanceGate(CustomerAllowances& aAllowances,
                AllowanceOwners& aOwners,
                GateOptions aOptions,
                GateHooks aHooks,
                std::uint64_t aSeed);

  // The callback runs once, at once or after messages.
  void Admit(const GatewayCustomer& aCustomer,
             TimePoint aNow,
             Callback aCallback);
  // Returns the token of a request that did not run.
  void ReturnToken(const std::string& aCustomer, TimePoint aNow);
  // As the owner: what the request gets.
  TakeReply Answer(const TakeRequest& aRequest, TimePoint aNow);
  void Accept(const TakeReply& aReply, TimePoint aNow);
  // Goes on without the owners that have not answered in time.
  void OnTimer(TimePoint aNow);
  // When OnTimer is due; nothing while no answer is awaited.
  std::optional<TimePoint> NextTimeout() const;

private:
  // Requests that wait for tokens together.
  struct Round
  {
    std::string customer_;
    std::deque<Callback> waiting_;
    // Of Shares() steps: the nearest share, then the others.
    std::size_t step_ = 0;
    // The order of the others.
    std::size_t farStart_ = 0;
    double asked_ = 0;
    // An owner said that it has none left.
    bool usedUp_ = false;
    Duration leastWait_ = Duration::max();
  };
  using RoundPtr = std::shared_ptr<Round>;
  // A request to an owner.
  struct Asked
  {
    RoundPtr round_;
    std::string owner_;
    std::size_t step_ = 0;
    TimePoint at_;
    TimePoint timeout_;
    bool timedOut_ = false;
  };
  struct Customer
  {
    double spare_ = 0;
    TimePoint spareUntil_;
    TimePoint refusedUntil_;
    // The nearest owner has no token until then.
    TimePoint nearEmptyUntil_;
    // The rounds that further requests join: at the nearest owner, and at the
    // others while the nearest one has none.
    RoundPtr near_;
    RoundPtr far_;
  };

  ShareKey ShareAt(const Round& aRound) const;
  // The round that the request joins; null when a new one must begin.
  static RoundPtr& RoundFor(Customer& aCustomer, TimePoint aNow);
  void Run(const RoundPtr& aRound, TimePoint aNow);
  // Returns whether the round awaits an answer.
  bool AskOwner(const RoundPtr& aRound, TimePoint aNow);
  TokenGrant TakeHere(const ShareKey& aShare, double aTokens, TimePoint aNow);
  void OnGrant(Round& aRound, const TokenGrant& aGrant, TimePoint aNow);
  void Deliver(Round& aRound, TimePoint aNow);
  void End(Round& aRound, TimePoint aNow);
  void AddSpare(Customer& aCustomer, double aTokens, TimePoint aNow) const;
  bool TakeSpare(Customer& aCustomer, TimePoint aNow) const;

  CustomerAllowances& allowances_;
  AllowanceOwners& owners_;
  GateOptions options_;
  GateHooks hooks_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, Customer> customers_;
  std::map<std::uint64_t, Asked> asked_;
  // By host name.
  std::unordered_map<std::string, TimePoint> silentUntil_;
};

}
