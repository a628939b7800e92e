#include "gateway/testing/AllowanceFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <queue>

using namespace peridotsail;

namespace {

constexpr std::uint64_t kSeed = 20261206;
constexpr double kRate = 200;
constexpr double kSeconds = 20;
constexpr std::size_t kRegionCount = 3;
// Tries of a caller, and the part of its time left for which it waits.
constexpr int kMaxTries = 4;
constexpr double kPatience = 0.3;
constexpr double kTargetLatency = 0.5;

struct LoadOptions
{
  // New requests a second, as a multiple of the customer's rate.
  double load_ = 5;
  // Whether callers can be recognized when they return.
  bool recognized_ = true;
  // A place is promised only if its time is at most this far away.
  double maxWait_ = kTargetLatency / 2;
  // Fraction of the callers that return after half of the time told.
  double impatient_ = 0;
  FleetFaults faults_{};
  // The host that is killed and started again; none if negative.
  int killed_ = -1;
};

struct LoadResult
{
  int returned_ = 0;
  int refusedAgain_ = 0;
  // Callers that returned to a place in line at the time they were told, and
  // those of them that were refused.
  int promised_ = 0;
  int promisedRefused_ = 0;
  int served_ = 0;
  // Those of them within the target latency since their first try.
  int inTime_ = 0;
  int patientCallers_ = 0;
  int patientServed_ = 0;
  int impatientCallers_ = 0;
  int impatientServed_ = 0;
  int messages_ = 0;
  double maxInWindow_ = 0;
  double bound_ = 0;
};

// Callers of one customer who ask for more than its rate. Each connects to a
// random host of its region at each try, and waits as told.
class ReturningLoad
{
public:
  ReturningLoad(int aHosts, LoadOptions aOptions)
    : options_(aOptions)
    , random_(kSeed)
    , fleet_(MakeAllowanceTable({ kRate }), aHosts, kSeed)
  {
    fleet_.SetFaults(options_.faults_);
  }

  LoadResult Run()
  {
    // The shares fill first.
    double nextNew = 6;
    const double end = nextNew + kSeconds;
    std::exponential_distribution<double> gap(kRate * options_.load_);
    bool killed = options_.killed_ < 0;
    while (nextNew < end) {
      if (!killed && nextNew > 12) {
        killed = true;
        fleet_.Kill(static_cast<std::size_t>(options_.killed_), 0.5);
      }
      if (!returning_.empty() && returning_.top().at_ < nextNew) {
        const Try next = returning_.top();
        returning_.pop();
        Ask(next);
        continue;
      }
      Try first;
      first.at_ = nextNew;
      first.firstAt_ = nextNew;
      first.caller_ = ++callers_;
      first.deadline_ = nextNew + Uniform(1, 4);
      first.impatient_ = Uniform(0, 1) < options_.impatient_;
      (first.impatient_ ? result_.impatientCallers_
                        : result_.patientCallers_) += 1;
      nextNew += gap(random_);
      Ask(first);
    }
    fleet_.RunUntil(end + 1);
    result_.messages_ = fleet_.Counts().messages_;
    result_.maxInWindow_ = MaxInWindow(
      fleet_.Admitted(0), ToSeconds(AllowanceFleet::Options().window_));
    result_.bound_ = AllowanceFleet::Bound(fleet_.Customer(0));
    return result_;
  }
  std::size_t OwnerOf(std::size_t aShare) { return fleet_.OwnerOf(0, aShare); }

private:
  struct Try
  {
    double at_ = 0;
    double firstAt_ = 0;
    std::uint64_t caller_ = 0;
    double deadline_ = 0;
    bool impatient_ = false;
    int tries_ = 0;
    // The last refusal promised a place, and the caller waited as told.
    bool promised_ = false;

    bool operator<(const Try& aOther) const { return at_ > aOther.at_; }
  };

  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(random_);
  }
  void Ask(Try aTry)
  {
    result_.returned_ += aTry.tries_ > 0 ? 1 : 0;
    result_.promised_ += aTry.promised_ ? 1 : 0;
    ++aTry.tries_;
    const std::size_t region = aTry.caller_ % kRegionCount;
    const std::size_t host =
      region + kRegionCount * (random_() % (fleet_.Hosts() / kRegionCount));
    ReturningCaller caller;
    caller.hash_ = options_.recognized_ ? aTry.caller_ : 0;
    caller.patience_ = FromSeconds(
      std::min(options_.maxWait_, (aTry.deadline_ - aTry.at_) * kPatience));
    fleet_.RequestAs(
      caller, host, 0, aTry.at_, [this, aTry](const Admission& aAdmission) {
        OnAnswer(aTry, aAdmission);
      });
  }
  void OnAnswer(Try aTry, const Admission& aAdmission)
  {
    if (aAdmission.result_ == AdmissionResult::Admitted) {
      ++result_.served_;
      result_.inTime_ += fleet_.Now() - aTry.firstAt_ <= kTargetLatency ? 1 : 0;
      (aTry.impatient_ ? result_.impatientServed_ : result_.patientServed_) +=
        1;
      return;
    }
    result_.refusedAgain_ += aTry.tries_ > 1 ? 1 : 0;
    result_.promisedRefused_ += aTry.promised_ ? 1 : 0;
    const double left = aTry.deadline_ - fleet_.Now();
    double wait = std::min(ToSeconds(aAdmission.retryAfter_), left * kPatience);
    aTry.promised_ = aAdmission.place_ > 0 && !aTry.impatient_;
    wait *= aTry.impatient_ ? 0.5 : 1;
    if (aTry.tries_ < kMaxTries && left > 0.2) {
      aTry.at_ = fleet_.Now() + wait + 0.001;
      returning_.push(aTry);
    }
  }

  LoadOptions options_;
  std::mt19937_64 random_;
  AllowanceFleet fleet_;
  std::priority_queue<Try> returning_;
  std::uint64_t callers_ = 0;
  LoadResult result_;
};

void
Print(const char* aName, const LoadOptions& aOptions, const LoadResult& aResult)
{
  WARN(aName << ", load " << aOptions.load_ << ": returned "
             << aResult.returned_ << ", refused again " << aResult.refusedAgain_
             << ", returned to a place " << aResult.promised_
             << ", refused there " << aResult.promisedRefused_ << ", served "
             << aResult.served_ << " (in time " << aResult.inTime_ << ") of "
             << kRate * kSeconds << ", messages " << aResult.messages_
             << ", seed " << kSeed);
}

}

// Guards against callers who come back as told and are refused again. Compares
// with callers who cannot be recognized, under the same load.
TEST_CASE("Callers of a customer over its rate return to a token")
{
  for (const double load : { 1.5, 5.0 }) {
    for (const int hosts : { 7 * 3, 21 * 3 }) {
      LoadOptions options;
      options.load_ = load;
      const LoadResult places = ReturningLoad(hosts, options).Run();
      options.maxWait_ = 10;
      Print(
        "recognized, long line", options, ReturningLoad(hosts, options).Run());
      options.recognized_ = false;
      const LoadResult before = ReturningLoad(hosts, options).Run();
      INFO("load " << load << ", hosts " << hosts << ", seed " << kSeed);
      Print("not recognized", options, before);
      Print("recognized", options, places);
      CHECK(before.maxInWindow_ <= before.bound_);
      CHECK(places.maxInWindow_ <= places.bound_);
      CHECK(places.inTime_ > 1.1 * before.inTime_);
      // Those who get no token in their time return whatever they are told.
      CHECK(places.refusedAgain_ < 1.05 * before.refusedAgain_);
      CHECK(places.promised_ > 1000);
      CHECK(places.promisedRefused_ < 0.02 * places.promised_);
      CHECK(places.served_ >= 0.97 * before.served_);
    }
  }
}

// Guards against gains of callers who do not wait as told.
TEST_CASE("Callers who return early are not served more often")
{
  LoadOptions options;
  options.load_ = 2;
  options.impatient_ = 0.2;
  const LoadResult result = ReturningLoad(21, options).Run();
  INFO("seed " << kSeed);
  const double patient = double(result.patientServed_) / result.patientCallers_;
  const double impatient =
    double(result.impatientServed_) / result.impatientCallers_;
  WARN("served of those who wait " << patient << ", of those who are early "
                                   << impatient);
  CHECK(impatient <= patient + 0.02);
}

// Guards against tokens granted twice, or left unused, when an owner and its
// promises are lost and when messages are lost, late or doubled.
TEST_CASE("Lost owners and messages keep the bound while callers return")
{
  LoadOptions options;
  options.load_ = 3;
  const LoadResult whole = ReturningLoad(21, options).Run();
  options.killed_ = static_cast<int>(ReturningLoad(21, options).OwnerOf(0));
  const LoadResult lost = ReturningLoad(21, options).Run();
  options.killed_ = -1;
  options.faults_.lossRate_ = 0.05;
  options.faults_.duplicateRate_ = 0.05;
  options.faults_.maxExtraDelay_ = 0.3;
  const LoadResult faulty = ReturningLoad(21, options).Run();
  INFO("seed " << kSeed);
  for (const LoadResult& result : { whole, lost, faulty }) {
    CHECK(result.maxInWindow_ <= result.bound_);
    Print("whole, owner lost, faults of messages", options, result);
  }
  CHECK(lost.served_ > 0.85 * whole.served_);
  CHECK(faulty.served_ > 0.85 * whole.served_);
}
