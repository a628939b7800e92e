#pragma once

// Detects requests that crash every backend server that runs them (poison
// requests) and refuses them. Each host has one instance, and hosts exchange
// QuarantineNotice messages. No I/O and no clock: callers pass in events and
// the current time.
//
//   switch (quarantine.Check(fingerprint, now)) { ... }
//   quarantine.Started(fingerprint);
//   // If the connection was lost before a response, also probe the server:
//   quarantine.Died(fingerprint, server, now);
//   for (auto& notice : quarantine.ServerChecked(server, false, begun, now)) {
//     SendToPeers(notice);
//   }
//   quarantine.Ended(fingerprint);
//
// Rules:
// - A death counts once the next probe of, or connection attempt to, the server
//   has failed too; an attempt that succeeds clears it.
// - A fingerprint is quarantined when two different servers have died while
//   running it. Each other server that died at about the same time, and whose
//   death no quarantined request explains, raises the required number by one
//   (up to three more). Otherwise servers that crash for other reasons could
//   quarantine a harmless request that they hit twice, once through a retry.
// - A fingerprint that completed shortly before the death, or completes after
//   it, is cleared: a poison request never completes.
// - A host runs a suspected fingerprint once at a time, and makes it wait while
//   enough deaths for a quarantine are not yet confirmed.
// - If completionReportTime_ is set, a fingerprint with deathsBeforeWait_
//   confirmed deaths waits for that time, so that other hosts can report that
//   it completed, before it can be refused.

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
  // Wait and check again: a run of the suspected request is in progress, its
  // deaths suffice but are not all confirmed, or other hosts may still report a
  // completion.
  Wait,
  Refuse,
};

struct QuarantineOptions
{
  // Duration of a quarantine; also how long a single death is remembered.
  Duration lifetime_ = std::chrono::minutes(10);
  // Deaths that no probe confirms within this time are discarded.
  Duration confirmationTime_ = std::chrono::seconds(10);
  // Deaths within this time of each other may have a common cause.
  Duration commonCauseTime_ = std::chrono::seconds(30);
  // A request that completed at most this long before a death did not cause it.
  Duration completionEvidence_ = std::chrono::seconds(5);
  std::size_t requiredServers_ = 2;
  // After this many confirmed deaths, other hosts have completionReportTime_ to
  // report that the request completed there.
  std::size_t deathsBeforeWait_ = 2;
  Duration completionReportTime_{};
  // Maximum by which unexplained deaths raise requiredServers_.
  std::size_t maxExtraServers_ = 3;
  // Bounds memory use; the oldest suspect is evicted.
  std::size_t maxSuspects_ = 4096;
  // Number of remembered completions; must be a power of two.
  std::size_t completionSlots_ = 32768;
};

class Quarantine
{
public:
  explicit Quarantine(QuarantineOptions aOptions = {});

  QuarantineVerdict Check(const std::string& aFingerprint, TimePoint aNow);
  // Call when a run on a backend server starts and when it ends, whatever its
  // outcome.
  void Started(const std::string& aFingerprint);
  void Ended(const std::string& aFingerprint);
  // Call when the complete response has arrived.
  void Completed(const std::string& aFingerprint, TimePoint aNow);
  // Call when the connection to the server was lost during the request.
  void Died(const std::string& aFingerprint,
            const std::string& aServer,
            TimePoint aNow);
  // Call when a probe or connection attempt that started at aStartedAt has
  // ended. Returns the notices to send to peers.
  std::vector<QuarantineNotice> ServerChecked(const std::string& aServer,
                                              bool aAlive,
                                              TimePoint aStartedAt,
                                              TimePoint aNow);
  void Apply(const QuarantineNotice& aNotice, TimePoint aNow);
  // Records the death of a server that was running another request, or that
  // another host observed.
  void RecordServerDeath(const std::string& aServer, TimePoint aTime);
  // Records that the request completed on another host.
  void RecordRemoteCompletion(const std::string& aFingerprint,
                              TimePoint aCompletedAt);
  // Whether the completion shows that the request did not cause the death.
  bool IsClearedBy(TimePoint aCompletedAt, TimePoint aDiedAt) const;
  // Time of the last completion, if it is still remembered.
  std::optional<TimePoint> LastCompletion(
    const std::string& aFingerprint) const;
  bool IsSuspected(const std::string& aFingerprint) const
  {
    return suspects_.count(aFingerprint) > 0;
  }
  // The state of the fingerprint; without deaths if it is not suspected.
  QuarantineNotice NoticeFor(const std::string& aFingerprint,
                             TimePoint aNow) const;
  // The most recent deaths of servers, whatever the cause.
  std::vector<QuarantineDeath> RecentDeaths(std::size_t aMaxCount,
                                            TimePoint aNow) const;
  // When the next completionReportTime_ ends after which a request can be
  // refused.
  std::optional<TimePoint> NextDecision(TimePoint aNow) const;
  // Updates the decision on each suspect and returns the refused ones.
  std::vector<QuarantineNotice> DecideAll(TimePoint aNow);
  // The fingerprints that are currently refused.
  std::vector<QuarantineNotice> Refused(TimePoint aNow) const;

private:
  struct Suspect
  {
    struct Death
    {
      TimePoint time_;
      bool confirmed_ = false;
    };
    // Keyed by server.
    std::map<std::string, Death> deaths_;
    TimePoint lastUpdate_;
    // When the confirmed deaths reached deathsBeforeWait_.
    std::optional<TimePoint> thresholdReachedAt_;
    std::optional<TimePoint> refusedSince_;

    std::size_t ConfirmedDeaths() const;
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

  std::size_t RequiredServers(const Suspect& aSuspect) const;
  bool ExplainedByQuarantine(const std::string& aServer) const;
  bool CompletedSince(const std::string& aFingerprint, TimePoint aTime) const;
  Suspect& FindOrAddSuspect(const std::string& aFingerprint, TimePoint aNow);
  bool AwaitsCompletionReports(const Suspect& aSuspect, TimePoint aNow) const;
  void Decide(Suspect& aSuspect, TimePoint aNow);
  void Expire(TimePoint aNow);
  void ExpireUnconfirmed(Suspect& aSuspect, TimePoint aNow) const;
  static QuarantineNotice MakeNotice(const std::string& aFingerprint,
                                     const Suspect& aSuspect,
                                     TimePoint aNow);
  // Index into completions_; different hashes can share a slot.
  std::size_t CompletionSlot(std::uint64_t aHash) const
  {
    return aHash & (completions_.size() - 1);
  }

  QuarantineOptions options_;
  std::map<std::string, Suspect> suspects_;
  std::unordered_map<std::string, int> running_;
  std::set<std::string> deadServers_;
  // Confirmed deaths of servers, whatever the cause, oldest first.
  std::deque<ServerDeath> serverDeaths_;
  std::vector<Completion> completions_;
};

}
