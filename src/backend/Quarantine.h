#pragma once

// Finds requests that crash each backend server that runs them, and refuses
// them. Pure; one object per host; peers exchange QuarantineNotice.
//
//   switch (quarantine.Check(fingerprint, now)) { ... }
//   quarantine.Started(fingerprint);
//   // the server's connection died before a response:
//   quarantine.Died(fingerprint, server, now);      // then probe the server
//   for (auto& notice : quarantine.ServerChecked(server, false, begun, now)) {
//     SendToPeers(notice);
//   }
//   quarantine.Ended(fingerprint);
//
// Rules:
// - A death counts once the next probe or connection attempt to the server
//   failed too; an attempt that succeeds clears it.
// - Two different servers that died under a fingerprint quarantine it. Each
//   other server that died at about the same time, and that no quarantined
//   request explains, raises this number by one (up to three), because servers
//   that crash on their own also hit one request twice, through a retry.
// - A fingerprint that completed shortly before the death, or completes after
//   it, is innocent: a request of the kind looked for never completes.
// - A suspected fingerprint runs once at a time on a host, and waits while
//   enough deaths for a quarantine await their confirmation.
// - Where hosts can object (objectionTime_), a fingerprint waits that long once
//   its deaths are serious, and is not refused before.

#include "backend/QuarantineNotice.h"
#include "base/BootClock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotsail {

enum class QuarantineVerdict
{
  Run,
  // Enough deaths to quarantine, not all confirmed yet, or a run of a
  // suspected request is in progress: wait and check again.
  Wait,
  Refuse,
};

struct QuarantineOptions
{
  // Also the time for which a single death is remembered.
  Duration lifetime_ = std::chrono::minutes(10);
  // A death that no probe confirmed within this time no longer counts.
  Duration confirmationTime_ = std::chrono::seconds(10);
  // Deaths within this time of each other may have one common cause.
  Duration commonCauseTime_ = std::chrono::seconds(30);
  // A completion this recent shows that a request was not the cause.
  Duration completionEvidence_ = std::chrono::seconds(5);
  std::size_t serversNeeded_ = 2;
  // From so many confirmed deaths on, other hosts have objectionTime_ to tell
  // that the request completed there.
  std::size_t seriousDeaths_ = 2;
  Duration objectionTime_{};
  // The most by which unexplained deaths raise serversNeeded_.
  std::size_t mostRaised_ = 3;
  // Bounds of memory; the oldest are dropped.
  std::size_t mostSuspects_ = 4096;
  // Remembered completions; a power of two.
  std::size_t completionSlots_ = 32768;
};

class Quarantine
{
public:
  explicit Quarantine(QuarantineOptions aOptions = {});

  QuarantineVerdict Check(const std::string& aFingerprint, TimePoint aNow);
  // A run on a backend server begins or ends, however it ends.
  void Started(const std::string& aFingerprint);
  void Ended(const std::string& aFingerprint);
  // A whole response arrived.
  void Completed(const std::string& aFingerprint, TimePoint aNow);
  // The connection to the server died during the request.
  void Died(const std::string& aFingerprint,
            const std::string& aServer,
            TimePoint aNow);
  // A probe or a connection attempt that began at aBegun ended. Returns what
  // peers have to know.
  std::vector<QuarantineNotice> ServerChecked(const std::string& aServer,
                                              bool aAlive,
                                              TimePoint aBegun,
                                              TimePoint aNow);
  void Apply(const QuarantineNotice& aNotice, TimePoint aNow);
  // A server died under another request, or another host saw it die.
  void NoteServerDeath(const std::string& aServer, TimePoint aTime);
  // The request completed at another host.
  void CompletedElsewhere(const std::string& aFingerprint,
                          TimePoint aCompletedAt);
  // Whether a completion shows that the request did not cause a death.
  bool IsClearedBy(TimePoint aCompletedAt, TimePoint aDiedAt) const;
  // The last completion that is remembered.
  std::optional<TimePoint> LastCompletion(
    const std::string& aFingerprint) const;
  bool IsSuspected(const std::string& aFingerprint) const
  {
    return suspects_.count(aFingerprint) > 0;
  }
  // What is known of the fingerprint; no deaths when it is not suspected.
  QuarantineNotice NoticeOf(const std::string& aFingerprint,
                            TimePoint aNow) const;
  // The last servers that died, whatever the cause.
  std::vector<QuarantineDeath> RecentDeaths(std::size_t aMost,
                                            TimePoint aNow) const;
  // When the next objection time ends after which a request may be refused.
  std::optional<TimePoint> NextDecision(TimePoint aNow) const;
  // Decides on all suspects, and returns those that are refused.
  std::vector<QuarantineNotice> DecideAll(TimePoint aNow);
  // Those that are refused now.
  std::vector<QuarantineNotice> Refused(TimePoint aNow) const;

private:
  struct Suspect
  {
    // By server: the time of the death, and whether it is confirmed.
    struct Death
    {
      TimePoint time_;
      bool confirmed_ = false;
    };
    std::map<std::string, Death> deaths_;
    TimePoint last_;
    // Since when the confirmed deaths are serious.
    std::optional<TimePoint> seriousSince_;
    std::optional<TimePoint> refusedSince_;

    std::size_t Confirmed() const;
  };
  struct ServerDeath
  {
    std::string server_;
    TimePoint time_;
  };
  struct Completion
  {
    std::uint64_t hash_ = 0;
    TimePoint time_;
  };

  std::size_t Needed(const Suspect& aSuspect) const;
  bool ExplainedByQuarantine(const std::string& aServer) const;
  bool CompletedSince(const std::string& aFingerprint, TimePoint aTime) const;
  Suspect& SuspectOf(const std::string& aFingerprint, TimePoint aNow);
  bool AwaitsObjections(const Suspect& aSuspect, TimePoint aNow) const;
  void Decide(Suspect& aSuspect, TimePoint aNow);
  void Forget(TimePoint aNow);
  void ForgetUnconfirmed(Suspect& aSuspect, TimePoint aNow) const;
  static QuarantineNotice MakeNotice(const std::string& aFingerprint,
                                     const Suspect& aSuspect,
                                     TimePoint aNow);
  // The slot of the fingerprint's hash, which another one may share.
  std::size_t CompletionSlot(std::uint64_t aHash) const
  {
    return aHash & (completions_.size() - 1);
  }

  QuarantineOptions options_;
  std::map<std::string, Suspect> suspects_;
  std::unordered_map<std::string, int> running_;
  std::set<std::string> knownDead_;
  // Confirmed deaths of servers, whatever the cause, in the order of time.
  std::deque<ServerDeath> serverDeaths_;
  std::vector<Completion> completions_;
};

}
