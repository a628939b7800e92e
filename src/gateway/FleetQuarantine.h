#pragma once

// Detects requests that crash the backend servers that execute them, from the
// combined observations of all hosts. No single host sees enough: each
// repetition of such a request may arrive at another host, and crashed servers
// soon return under new ids.
//
// The evidence about a fingerprint is aggregated by a few hosts, its
// collectors: the first hosts in rendezvous order, two in the reporter's region
// and one in each other region. A host reports to them each server that died
// while executing the request. Once two servers have died, the collector of
// each region notifies the hosts of its region. A host at which the request has
// completed since the first death sends an objection, which clears the request
// on all hosts. In the meantime, hosts delay further executions of the request.
// Afterwards all hosts come to the same decision.
//
// The first collector of each region also publishes refused requests in its
// registration, for hosts that start later or missed the messages. A host whose
// reports are not acknowledged publishes them in its own registration, and so
// does a host that objects to a published suspicion.
//
// Performs no I/O itself; used on the traffic thread. Messages may be lost,
// duplicated or delayed: reports are repeated, and evidence carries its age.
//
//   FleetQuarantine quarantine(options, owners, hooks);
//   switch (quarantine.Check(fingerprint, now)) { ... }
//   quarantine.Started(fingerprint);
//   quarantine.Died(fingerprint, server, now);      // then check the server
//   quarantine.AwaitVerdict(fingerprint, server, now, callback);
//   quarantine.ServerChecked(server, false, startedAt, now);
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
  // The longest wait for the check of a server and the response of a collector:
  // a round trip to another region.
  Duration verdictTimeout_ = std::chrono::milliseconds(150);
  // The age in a message includes neither the transit time of this message nor
  // that of the one before it. Deaths are assumed to be older by this, in
  // favour of hosts at which the request completed just before.
  Duration transitTime_ = std::chrono::milliseconds(200);
  // A further completion of a cleared request is only forwarded if it is newer
  // by this; without forwarding, the latest deaths might stay uncleared.
  Duration minCompletionGap_ = std::chrono::milliseconds(500);
  // A report may be lost, or its collector may have changed. It is repeated
  // after an initial delay that doubles up to the maximum.
  Duration initialRepeatDelay_ = std::chrono::milliseconds(500);
  Duration maxRepeatDelay_ = std::chrono::seconds(32);
  // The maximum number of other deaths in a report.
  std::size_t maxOtherDeaths_ = 8;
  // The maximum number of refused requests, the newest ones, and of suspected
  // requests that a host publishes; bounds the size of its registration.
  std::size_t maxPublished_ = 64;
};

struct FleetQuarantineHooks
{
  std::function<void(const std::string& aAddress, const QuarantineMessage&)>
    send_;
  // Called when a request starts to be refused. May be empty.
  std::function<void(const QuarantineNotice&)> onRefused_;
};

// A request and the time of an event.
struct FingerprintTime
{
  std::string fingerprint_;
  TimePoint time_;
};

class FleetQuarantine
{
public:
  using Callback = std::function<void()>;

  FleetQuarantine(FleetQuarantineOptions aOptions,
                  const AllowanceOwners& aHosts,
                  FleetQuarantineHooks aHooks);

  QuarantineVerdict Check(const std::string& aFingerprint, TimePoint aNow);
  // Execution of the request on a backend server starts or ends, whatever the
  // outcome.
  void Started(const std::string& aFingerprint);
  void Ended(const std::string& aFingerprint);
  // A complete response arrived.
  void Completed(const std::string& aFingerprint, TimePoint aNow);
  // The connection to the server was lost during an execution.
  void Died(const std::string& aFingerprint,
            const std::string& aServer,
            TimePoint aNow);
  // A connection attempt or request to the server that started at aStartedAt
  // has ended. Returns the deaths that it confirmed.
  std::vector<QuarantineNotice> ServerChecked(const std::string& aServer,
                                              bool aAlive,
                                              TimePoint aStartedAt,
                                              TimePoint aNow);
  // Calls aCallback once the server has been checked and, if it is dead, a
  // collector has responded with the evidence of the other hosts; at the latest
  // after verdictTimeout_.
  void AwaitVerdict(const std::string& aFingerprint,
                    const std::string& aServer,
                    TimePoint aNow,
                    Callback aCallback);

  void Receive(const QuarantineMessage& aMessage,
               const std::string& aFrom,
               TimePoint aNow);
  // Applies a refusal that another host published.
  void ApplyPublished(const FingerprintTime& aRefused, TimePoint aNow);
  // Returns the refused requests that this host publishes.
  std::vector<FingerprintTime> PublishedRefusals(TimePoint aNow) const;
  // Returns this host's reports that no collector has acknowledged.
  std::vector<QuarantineNotice> UnacknowledgedReports(TimePoint aNow) const;
  // Returns the requests that completed here although another host has
  // published a suspicion.
  std::vector<FingerprintTime> Objections() const;
  // Applies an objection that another host published.
  void ApplyObjection(const FingerprintTime& aCompleted, TimePoint aNow);
  // Applies a suspicion that another host published.
  void ApplySuspicion(const QuarantineNotice& aNotice, TimePoint aNow);
  // Returns when OnTimer must be called next, if at all.
  std::optional<TimePoint> NextTimeout(TimePoint aNow) const;
  void OnTimer(TimePoint aNow);

private:
  // The deaths that this host observed itself.
  struct OwnReport
  {
    std::map<std::string, TimePoint> deaths_;
    TimePoint nextReportAt_;
    Duration repeatDelay_{};
    // The id of the last report if no collector has acknowledged it, or zero.
    std::uint64_t unacknowledgedReport_ = 0;
    // The number of unacknowledged reports before that one.
    int unacknowledgedCount_ = 0;
  };
  struct Waiter
  {
    std::string fingerprint_;
    std::string server_;
    // The id of the report to the collectors, or zero before it is sent.
    std::uint64_t reportId_ = 0;
    TimePoint deadline_;
    Callback callback_;
  };
  struct Notified
  {
    std::size_t deaths_ = 0;
    bool refused_ = false;
    // The completion that the hosts were notified of.
    TimePoint completedAt_ = TimePoint::min();
    // Hosts of any region whose reports were answered with a serious number of
    // deaths.
    std::set<std::string> notifiedReporters_;
  };

  // Returns the addresses of the other collectors and sets aSelf to whether
  // this host is one.
  std::vector<std::string> Collectors(const std::string& aFingerprint,
                                      bool& aSelf) const;
  std::uint64_t Report(const std::string& aFingerprint, TimePoint aNow);
  static QuarantineNotice OwnNotice(const std::string& aFingerprint,
                                    const OwnReport& aOwn,
                                    TimePoint aNow);
  void NotifyRegion(const std::string& aFingerprint, TimePoint aNow);
  void BroadcastToRegion(const QuarantineMessage& aMessage);
  void SendCleared(const std::string& aFingerprint,
                   Duration aAge,
                   TimePoint aNow);
  void ApplyCleared(const SuspectCleared& aCleared, TimePoint aNow);
  // Applies the notice, except for deaths that a completion at this host
  // clears. Returns the time of that completion.
  std::optional<TimePoint> Apply(const QuarantineNotice& aNotice,
                                 TimePoint aNow);
  void OnReport(const SuspectReport& aReport,
                const std::string& aFrom,
                TimePoint aNow);
  void CompleteWaiters(const std::function<bool(const Waiter&)>& aPredicate);
  void RepeatReports(TimePoint aNow);
  void ExpirePublished(TimePoint aNow);
  void UpdateRefusals(TimePoint aNow);

  FleetQuarantineOptions options_;
  const AllowanceOwners& hosts_;
  FleetQuarantineHooks hooks_;
  Quarantine quarantine_;
  std::map<std::string, OwnReport> ownReports_;
  // What the hosts of this region were notified of, by fingerprint.
  std::map<std::string, Notified> notified_;
  // The refused fingerprints for which onRefused_ was called.
  std::set<std::string> reportedRefusals_;
  // Suspicions that other hosts published, with the time when they were last
  // read, and this host's objections to them.
  std::map<std::string, TimePoint> publishedSuspicions_;
  std::map<std::string, TimePoint> objections_;
  std::vector<Waiter> waiters_;
  std::uint64_t nextReport_ = 1;
};

}
