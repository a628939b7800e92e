#pragma once

// The registry of this host's slot together with its store traffic and the
// requests that wait for its decisions. Belongs to the traffic thread.
//
//   AtMostOnceService once(options, hooks);
//   once.SetLeaseTerm(tenure, now);               // from the slot lease
//   once.Begin(request, now, [](ClaimDecision d, AtMostOnceExecution run) {
//     if (d.verdict_ == ClaimVerdict::Execute) { … run.Finish(…); }
//   });
//   once.Pump(now);                            // at least when WakeAt says so

#include "once/ClaimRegistry.h"
#include "once/SlotMap.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotsail {

// The store as AtMostOnceService uses it. The answers come back on the same
// thread; an operation without an answer after its time limit is answered as
// lost.
struct ClaimStoreHooks
{
  using Answer = std::function<void(const StoreAnswer&)>;
  using Loaded = std::function<void(std::optional<std::vector<LoadedRecord>>)>;

  // Performs one operation; a Write compares the fence of the tenure.
  std::function<void(const SlotLeaseTerm&, const StoreOperation&, Answer)>
    perform_;
  // Reads all records below the prefix; nothing when the store did not answer.
  std::function<void(const std::string& aPrefix, Loaded)> load_;
  // Pump is to be called at this time; replaces an earlier call's time.
  std::function<void(TimePoint)> wakeAt_;
};

// The right to run one request once. Keeps the registry that gave it, also when
// the slot has changed hands.
class AtMostOnceExecution
{
public:
  AtMostOnceExecution() = default;
  AtMostOnceExecution(std::shared_ptr<ClaimRegistry> aRegistry,
                      std::string aKey,
                      std::uint64_t aTicket);

  // Ask immediately before the first byte is written to a backend server.
  bool MayStart(TimePoint aNow) const;
  // Exactly one call for each execution.
  void Finish(RunResult aResult, RecordedOutcome aOutcome, TimePoint aNow);

private:
  std::shared_ptr<ClaimRegistry> registry_;
  std::string key_;
  std::uint64_t ticket_ = 0;
};

class AtMostOnceService
{
public:
  // Called once for each request. The execution is valid for Execute only.
  using Callback =
    std::function<void(const ClaimDecision&, AtMostOnceExecution)>;

  AtMostOnceService(ClaimRegistryOptions aOptions, ClaimStoreHooks aHooks);

  void SetSlots(std::vector<std::string> aSlots, TimePoint aNow);
  void SetHolders(std::map<std::string, SlotHolderHost> aHolders);
  // The slot that this host holds, or nothing. aSameProcess: the previous
  // holder was this process.
  void SetLeaseTerm(const std::optional<SlotLeaseTerm>& aTenure,
                    bool aSameProcess,
                    TimePoint aNow);
  SlotRoute RouteOf(const std::string& aKey, TimePoint aNow) const;
  // Whether this host holds the slot of the key.
  bool Holds(const std::string& aKey, TimePoint aNow) const;

  // Returns the ticket; aCallback may run before the return.
  std::uint64_t Begin(const std::string& aKey,
                      const std::string& aFingerprint,
                      TimePoint aDeadline,
                      TimePoint aNow,
                      Callback aCallback);
  void Pump(TimePoint aNow);
  TimePoint WakeAt(TimePoint aNow) const;
  // Ends the delay of outcomes; the slot may be released when IsIdle.
  void Flush();
  bool IsIdle() const;
  // Whether claims or outcomes are in memory only.
  bool HasUnwritten(TimePoint aNow) const;
  const ClaimRegistry* Registry() const { return registry_.get(); }

private:
  struct Waiting
  {
    TimePoint deadline_{};
    std::string key_;
    std::shared_ptr<ClaimRegistry> registry_;
    Callback callback_;
  };

  void Load(const std::shared_ptr<ClaimRegistry>& aRegistry, TimePoint aNow);
  // Answers the requests that wait for a registry that is no longer in use.
  void RefuseWaiting(const std::shared_ptr<ClaimRegistry>& aRegistry);
  void RefuseOverdue(TimePoint aNow);
  void PumpRegistry(const std::shared_ptr<ClaimRegistry>& aRegistry,
                    TimePoint aNow);
  void LogDecision(const std::string& aKey, const ClaimDecision& aDecision);

  ClaimRegistryOptions options_;
  ClaimStoreHooks hooks_;
  SlotMap map_;
  std::shared_ptr<ClaimRegistry> registry_;
  // Of the load of registry_; kept for a further try.
  std::vector<ClaimEntry> carried_;
  TimePoint nextLoad_{};
  std::unordered_map<std::uint64_t, Waiting> waiting_;
  std::uint64_t lastTicket_ = 0;
  // Expires with this object; answers that come later are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
