#pragma once

// Finds requests that crash the backend servers that run them, from what all
// hosts see together: such a request comes to another host each time, and the
// servers that it crashed are soon back under other ids.
//
// The evidence about a fingerprint is kept by a few collectors, the first hosts
// in rendezvous order: two in the reporter's region and one in each other one.
// A host reports each death of a server under a request to them. As soon as a
// second server has died, the collector of each region tells the hosts of its
// region; a host that saw the request complete since the first death objects,
// which clears it everywhere. Meanwhile runs of the request wait. All hosts
// then decide alike. The first collector of each region also publishes what is
// refused with its registration, for hosts that start later or heard nothing. A
// host whose reports nobody answers publishes them with its own registration,
// and so do those that object to what was published.
//
// Pure; used on the traffic thread. Messages may be lost, doubled or late:
// reports are repeated, and evidence carries its age.
//
//   FleetQuarantine quarantine(options, owners, hooks);
//   switch (quarantine.Check(fingerprint, now)) { ... }
//   quarantine.Started(fingerprint);
//   quarantine.Died(fingerprint, server, now);      // then check the server
//   quarantine.AwaitVerdict(fingerprint, server, now, done);
//   quarantine.ServerChecked(server, false, begun, now);
//   quarantine.Ended(fingerprint);

#include "backend/Quarantine.h"
#include "gateway/AllowanceOwners.h"
#include "gateway/QuarantineMessages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotsail {

struct FleetQuarantineOptions
{
  FleetQuarantineOptions();

  QuarantineOptions quarantine_;
  // A request is not held longer for the check of its server and for the
  // answer of a collector: a way to another region and back.
  Duration verdictWait_ = std::chrono::milliseconds(150);
  // An age in a message lacks the time on its way, and that of the message
  // before; a death counts as so much older, for whoever saw the request
  // complete just before it.
  Duration transit_ = std::chrono::milliseconds(200);
  // Of several completions that clear a request, one is passed on when it is
  // newer by this: an old one may leave the last deaths uncleared.
  Duration newerCompletion_ = std::chrono::milliseconds(500);
  // A report is repeated after this time, and again after twice the time each,
  // until the last pause: it may be lost, or its collector may have changed.
  Duration firstRepeat_ = std::chrono::milliseconds(500);
  Duration lastRepeat_ = std::chrono::seconds(32);
  // Other deaths in a report.
  std::size_t mostOtherDeaths_ = 8;
  // The newest requests that a host publishes as refused, and as suspected;
  // bounds its registration.
  std::size_t mostPublished_ = 64;
};

struct FleetQuarantineHooks
{
  std::function<void(const std::string& aAddress, const QuarantineMessage&)>
    send_;
  // A request is refused from now on. May be empty.
  std::function<void(const QuarantineNotice&)> onRefused_;
};

// A request and when something happened to it.
struct FingerprintTime
{
  std::string fingerprint_;
  TimePoint time_;
};

class FleetQuarantine
{
public:
  using Done = std::function<void()>;

  FleetQuarantine(FleetQuarantineOptions aOptions,
                  const AllowanceOwners& aHosts,
                  FleetQuarantineHooks aHooks);

  QuarantineVerdict Check(const std::string& aFingerprint, TimePoint aNow);
  // A run on a backend server begins or ends, however it ends.
  void Started(const std::string& aFingerprint);
  void Ended(const std::string& aFingerprint);
  // A whole answer arrived.
  void Completed(const std::string& aFingerprint, TimePoint aNow);
  // The connection to the server was lost in a run.
  void Died(const std::string& aFingerprint,
            const std::string& aServer,
            TimePoint aNow);
  // An attempt to reach the server, or a run there, that began at aBegun ended.
  // Returns what was confirmed by it.
  std::vector<QuarantineNotice> ServerChecked(const std::string& aServer,
                                              bool aAlive,
                                              TimePoint aBegun,
                                              TimePoint aNow);
  // Calls back once the server has been checked and, when it is dead, a
  // collector has told what other hosts know; after a while in any case.
  void AwaitVerdict(const std::string& aFingerprint,
                    const std::string& aServer,
                    TimePoint aNow,
                    Done aDone);

  void Receive(const QuarantineMessage& aMessage,
               const std::string& aFrom,
               TimePoint aNow);
  // Another host has published the refusal of a request.
  void ApplyPublished(const FingerprintTime& aRefused, TimePoint aNow);
  // The refused requests that this host publishes.
  std::vector<FingerprintTime> Published(TimePoint aNow) const;
  // What this host saw and reported, and no collector has heard of.
  std::vector<QuarantineNotice> Unheard(TimePoint aNow) const;
  // Requests that completed here although another host publishes a suspicion.
  std::vector<FingerprintTime> Objections() const;
  // Another host has published such a completion.
  void ApplyObjection(const FingerprintTime& aCompleted, TimePoint aNow);
  // Another host has published deaths that it saw.
  void ApplySuspicion(const QuarantineNotice& aNotice, TimePoint aNow);
  // When OnTimer has something to do.
  std::optional<TimePoint> NextTimeout(TimePoint aNow) const;
  void OnTimer(TimePoint aNow);

private:
  // The deaths that this host saw itself.
  struct OwnReport
  {
    std::map<std::string, TimePoint> deaths_;
    TimePoint next_;
    Duration pause_{};
    // Its last report that no collector has answered; zero: one has.
    std::uint64_t unanswered_ = 0;
    // Reports before that one that nobody answered.
    int ignored_ = 0;
  };
  struct Waiting
  {
    std::string fingerprint_;
    std::string server_;
    // Of the report to the collectors; zero before.
    std::uint64_t report_ = 0;
    TimePoint until_;
    Done done_;
  };
  struct Told
  {
    std::size_t deaths_ = 0;
    bool refused_ = false;
    // The completion that they were told of.
    TimePoint completedAt_ = TimePoint::min();
    // Hosts of any region whose reports were answered with serious deaths.
    std::set<std::string> answered_;
  };

  // The other collectors' addresses; aSelf tells whether this host is one.
  std::vector<std::string> Collectors(const std::string& aFingerprint,
                                      bool& aSelf) const;
  std::uint64_t Report(const std::string& aFingerprint, TimePoint aNow);
  static QuarantineNotice OwnNotice(const std::string& aFingerprint,
                                    const OwnReport& aOwn,
                                    TimePoint aNow);
  void TellRegion(const std::string& aFingerprint, TimePoint aNow);
  void SendToRegion(const QuarantineMessage& aMessage);
  void SendCleared(const std::string& aFingerprint,
                   Duration aAge,
                   TimePoint aNow);
  void Clear(const SuspectCleared& aCleared, TimePoint aNow);
  // Takes over the notice, but for the deaths that a completion here clears.
  // Returns the time of that completion.
  std::optional<TimePoint> Apply(const QuarantineNotice& aNotice,
                                 TimePoint aNow);
  void OnReport(const SuspectReport& aReport,
                const std::string& aFrom,
                TimePoint aNow);
  void Resume(const std::function<bool(const Waiting&)>& aWhich);
  void RepeatReports(TimePoint aNow);
  void ForgetPublished(TimePoint aNow);
  void NoteRefusals(TimePoint aNow);

  FleetQuarantineOptions options_;
  const AllowanceOwners& hosts_;
  FleetQuarantineHooks hooks_;
  Quarantine quarantine_;
  std::map<std::string, OwnReport> own_;
  // What the hosts of this region were told, by fingerprint.
  std::map<std::string, Told> told_;
  // Refusals that onRefused_ was called for.
  std::set<std::string> noted_;
  // Suspicions that other hosts published, and when they were last read, and
  // what this host has to say against them.
  std::map<std::string, TimePoint> publishedSuspicions_;
  std::map<std::string, TimePoint> objections_;
  std::vector<Waiting> waiting_;
  std::uint64_t nextReport_ = 1;
};

}
