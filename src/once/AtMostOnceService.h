#pragma once

// At-most-once execution on this host: owns the ClaimRegistry of the host's
// slot, performs its store operations and keeps the requests that wait for its
// decisions. Used on the traffic thread only.
//
//   AtMostOnceService once(options, hooks);
//   once.SetLeaseTerm(leaseTerm, sameProcess, now);  // from the slot lease
//   once.Begin(request, now, [](ClaimDecision d, AtMostOnceExecution run) {
//     if (d.verdict_ == ClaimVerdict::Execute) { … run.Finish(…); }
//   });
//   once.Pump(now);                                  // no later than WakeAt()

#include "once/ClaimRegistry.h"
#include "once/SlotMap.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotsail {

// Store access and timer of AtMostOnceService. Answers must arrive on the
// calling thread; an operation that times out must be answered as Lost.
struct ClaimStoreHooks
{
  using Answer = std::function<void(const StoreAnswer&)>;
  using Loaded = std::function<void(std::optional<std::vector<LoadedRecord>>)>;

  // Performs one operation. A Write compares the fence of the lease term.
  std::function<void(const SlotLeaseTerm&, const StoreOperation&, Answer)>
    perform_;
  // Reads all records below the prefix. Passes nothing to the callback when the
  // store did not answer.
  std::function<void(const std::string& aPrefix, Loaded)> load_;
  // Schedules a call of Pump and replaces the time scheduled before.
  std::function<void(TimePoint)> wakeAt_;
};

// Permission to execute one request once. Keeps the registry that granted it
// alive, also after the slot has got another holder.
class AtMostOnceExecution
{
public:
  AtMostOnceExecution() = default;
  AtMostOnceExecution(std::shared_ptr<ClaimRegistry> aRegistry,
                      std::string aKey,
                      std::uint64_t aTicket);

  // To be checked immediately before the first byte is sent to a backend
  // server.
  bool MayStart(TimePoint aNow) const;
  // Must be called exactly once for each execution.
  void Finish(RunResult aResult, RecordedOutcome aOutcome, TimePoint aNow);

private:
  std::shared_ptr<ClaimRegistry> registry_;
  std::string key_;
  std::uint64_t ticket_ = 0;
};

class AtMostOnceService
{
public:
  // Called once per request. The execution is valid only for the verdict
  // Execute.
  using Callback =
    std::function<void(const ClaimDecision&, AtMostOnceExecution)>;

  AtMostOnceService(ClaimRegistryOptions aOptions, ClaimStoreHooks aHooks);

  void SetSlots(std::vector<std::string> aSlots, TimePoint aNow);
  void SetHolders(std::map<std::string, SlotHolderHost> aHolders);
  // Sets the lease term of the slot that this host holds, if any. aSameProcess:
  // the previous holder was this process.
  void SetLeaseTerm(const std::optional<SlotLeaseTerm>& aLeaseTerm,
                    bool aSameProcess,
                    TimePoint aNow);
  SlotRoute RouteOf(const std::string& aKey, TimePoint aNow) const;
  // Whether this host holds the slot that the key maps to.
  bool Holds(const std::string& aKey, TimePoint aNow) const;

  // Returns the ticket of the request. May call aCallback before it returns.
  std::uint64_t Begin(const std::string& aKey,
                      const std::string& aFingerprint,
                      TimePoint aDeadline,
                      TimePoint aNow,
                      Callback aCallback);
  void Pump(TimePoint aNow);
  TimePoint WakeAt(TimePoint aNow) const;
  // Writes outcomes without delay from now on. The slot may be released as soon
  // as IsIdle returns true.
  void Flush();
  bool IsIdle() const;
  // Whether some claims or outcomes exist only in memory.
  bool HasUnwritten(TimePoint aNow) const;
  const ClaimRegistry* Registry() const { return registry_.get(); }

private:
  struct WaitingRequest
  {
    TimePoint deadline_{};
    std::string key_;
    std::shared_ptr<ClaimRegistry> registry_;
    Callback callback_;
  };

  void Load(const std::shared_ptr<ClaimRegistry>& aRegistry, TimePoint aNow);
  // Refuses the requests that wait for a registry that has been replaced.
  void RefuseWaiting(const std::shared_ptr<ClaimRegistry>& aRegistry);
  void RefuseTimedOut(TimePoint aNow);
  void PumpRegistry(const std::shared_ptr<ClaimRegistry>& aRegistry,
                    TimePoint aNow);
  void LogDecision(const std::string& aKey, const ClaimDecision& aDecision);

  ClaimRegistryOptions options_;
  ClaimStoreHooks hooks_;
  SlotMap slotMap_;
  std::shared_ptr<ClaimRegistry> registry_;
  // Unwritten entries of the previous lease term, kept until registry_ has been
  // loaded.
  std::vector<ClaimEntry> unwritten_;
  TimePoint nextLoad_{};
  std::unordered_map<std::uint64_t, WaitingRequest> waiting_;
  std::uint64_t lastTicket_ = 0;
  // Lets callbacks detect that this object has been destroyed; later answers
  // are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
