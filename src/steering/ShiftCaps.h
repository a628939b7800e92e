#pragma once

// Caps on the bytes that the hosts of one region send to another region, for
// requests that are relayed and for responses to relayed requests. Each host
// controls the pairs that start in its own region; a response from region B to
// region A therefore takes tokens of the pair (B, A) on the host in B. Pure.
//
//   ShiftCaps caps("eu-west", makeBudget);
//   caps.SetConfiguration(*configuration, now);
//   std::optional<ShiftReservation> reservation = caps.Reserve("ap-east",
//   estimate, now); if (!reservation) { refuse with ErrorKind::ShiftCapReached
//   } std::size_t sendNow = caps.Consume(*reservation, pieceSize, now);
//   caps.Release(*reservation, now);
//
// Invariant: the bytes that Cover allows on all hosts of the source region are
// at most cap * t + one second's worth of the cap in any window of length t.
// Tokens that are reserved or were given back can be sent at once at a later
// time, while the budget refills. The second's worth is therefore divided: the
// budget's burst is one part, and the tokens outside the budget are limited to
// the other.

#include "base/BootClock.h"
#include "config/Configuration.h"
#include "steering/ByteBudget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotsail {

struct ShiftCapsOptions
{
  // Part of the second's worth that reservations may hold outside the budget.
  double heldFraction_ = 0.5;
  // The largest reservation; a longer stream takes further tokens as it goes.
  double maxReserveBytes_ = 256 * 1024;
  // Estimate of a response whose route has no measurement.
  double defaultResponseBytes_ = 16 * 1024;
};

// A reservation of one relayed request or response.
struct ShiftReservation
{
  std::string to_;
  // Bytes that may still be sent without further tokens.
  double remainingBytes_ = 0;
  double sentBytes_ = 0;
  // The pair has no cap.
  bool isUncapped_ = false;
  bool isReleased_ = false;
};

struct ShiftPairStatus
{
  std::string to_;
  double capBytesPerSecond_ = 0;
  double heldBytes_ = 0;
  double sentBytes_ = 0;
  std::uint64_t refusedCount_ = 0;
};

class ShiftCaps
{
public:
  // Makes the budget of the pair from the own region to aTo.
  using MakeBudget =
    std::function<std::unique_ptr<ByteBudget>(const std::string& aTo)>;

  ShiftCaps(std::string aOwnRegion,
            MakeBudget aMakeBudget,
            ShiftCapsOptions aOptions = {});

  void SetConfiguration(const Configuration& aConfiguration, TimePoint aNow);

  // Reserves a bounded estimate; nothing when the cap has no room for it. A
  // pair without a cap in the configuration always has room.
  std::optional<ShiftReservation> Reserve(const std::string& aTo,
                                          double aEstimateBytes,
                                          TimePoint aNow);
  // How many of aBytes may be sent now; they must be sent at once. 0 means that
  // the sender waits and asks again.
  double Consume(ShiftReservation& aReservation, double aBytes, TimePoint aNow);
  // Frees what was not sent. Does nothing the second time.
  void Release(ShiftReservation& aReservation, TimePoint aNow);

  // The expected size of a route's response, from the sizes seen so far.
  double EstimateResponseSize(const std::string& aRoute) const;
  void RecordResponseSize(const std::string& aRoute, double aBytes);

  std::vector<ShiftPairStatus> Status() const;

private:
  struct HeldLimit
  {
    double bytes_ = 0;
    // When the next version replaced it.
    TimePoint replacedAt_ = TimePoint::max();
  };
  struct Pair
  {
    std::unique_ptr<ByteBudget> budget_;
    double cap_ = 0;
    bool isCapped_ = false;
    std::vector<HeldLimit> heldLimits_;
    // Tokens in tickets, and tokens that settled tickets left over.
    double reservedBytes_ = 0;
    double returnedBytes_ = 0;
    double sentBytes_ = 0;
    std::uint64_t refusedCount_ = 0;
  };

  static double HeldLimitAt(const Pair& aPair, TimePoint aNow);
  void SetPairLimits(Pair& aPair, double aCap, int aSlots, TimePoint aNow);

  std::string ownRegion_;
  MakeBudget makeBudget_;
  ShiftCapsOptions options_;
  std::map<std::string, Pair> pairs_;
  std::map<std::string, double> responseBytes_;
};

}
