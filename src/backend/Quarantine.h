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

#include "base/BootClock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotsail {

// The fingerprint of a request: 32 hexadecimal digits. aBodyStart is the part
// of the body that is at hand when a server is chosen. The customer belongs to
// it, so that no customer can have another one's requests refused.
std::string
MakeFingerprint(std::string_view aCustomer,
                std::string_view aMethod,
                std::string_view aTarget,
                std::uint64_t aBodySize,
                std::string_view aBodyStart);

// Tells peers of servers that died under a fingerprint.
struct QuarantineNotice
{
  std::string fingerprint_;
  // Servers whose deaths under it are confirmed.
  std::vector<std::string> servers_;
  // The sender refuses the fingerprint.
  bool quarantined_ = false;
  // Time since the last of the deaths, or since the quarantine began. Ages are
  // sent because hosts do not share a clock.
  Duration age_{};
};

// CBOR. Decoding returns nothing for a malformed, oversized or unknown message.
std::vector<std::uint8_t>
EncodeQuarantineNotice(const QuarantineNotice& aNotice);
std::optional<QuarantineNotice>
DecodeQuarantineNotice(const std::vector<std::uint8_t>& aBytes);

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
  // The fingerprints that are refused now.
  std::vector<std::string> Refused(TimePoint aNow) const;

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
    std::optional<TimePoint> refusedSince_;
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
  void Decide(Suspect& aSuspect, TimePoint aNow);
  void LogServerDeath(const std::string& aServer, TimePoint aTime);
  void Forget(TimePoint aNow);
  void ForgetUnconfirmed(Suspect& aSuspect, TimePoint aNow) const;
  QuarantineNotice NoticeOf(const std::string& aFingerprint,
                            const Suspect& aSuspect,
                            TimePoint aNow) const;

  QuarantineOptions options_;
  std::map<std::string, Suspect> suspects_;
  std::unordered_map<std::string, int> running_;
  std::set<std::string> knownDead_;
  // Confirmed deaths of servers, whatever the cause, in the order of time.
  std::deque<ServerDeath> serverDeaths_;
  std::vector<Completion> completions_;
};

}
