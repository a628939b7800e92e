#pragma once

// Enforces bandwidth caps between regions for relayed requests and their
// responses. Each host enforces the caps of the region pairs that start in its
// own region: a response from region B to region A takes tokens of the pair (B,
// A) on the host in B. Performs no I/O and reads no clock.
//
//   ShiftCaps caps("eu-west", makeBudget);
//   caps.SetConfiguration(*configuration, now);
//   auto reservation = caps.Reserve("ap-east", estimate, now);
//   if (!reservation) { refuse with ErrorKind::ShiftCapReached }
//   double sendNow = caps.Consume(*reservation, pieceSize, now);
//   caps.Release(*reservation, now);
//
// Invariant: Consume permits at most cap * (t + 1 s) bytes on all hosts of the
// source region together in any window of length t. Reserved and returned
// tokens can be used all at once later, while the budget refills. The burst of
// one second is therefore divided into the burst of the budget and a limit on
// the tokens held outside the budget.

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
  // Fraction of the one-second burst that can be held outside the budget.
  double heldFraction_ = 0.5;
  // Maximum size of a reservation. A longer stream takes more tokens while it
  // is sent.
  double maxReserveBytes_ = 256 * 1024;
  // Estimated response size of a route without measurements.
  double defaultResponseBytes_ = 16 * 1024;
};

// Reserves bytes for one relayed request or response.
struct ShiftReservation
{
  std::string to_;
  // Bytes that can still be sent without taking more tokens.
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
  // Creates the budget for traffic from the own region to aTo.
  using MakeBudget =
    std::function<std::unique_ptr<ByteBudget>(const std::string& aTo)>;

  ShiftCaps(std::string aOwnRegion,
            MakeBudget aMakeBudget,
            ShiftCapsOptions aOptions = {});

  void SetConfiguration(const Configuration& aConfiguration, TimePoint aNow);

  // Reserves the estimated size, limited to maxReserveBytes_. Returns nullopt
  // if the cap does not permit it. Always succeeds for a pair without a
  // configured cap.
  std::optional<ShiftReservation> Reserve(const std::string& aTo,
                                          double aEstimateBytes,
                                          TimePoint aNow);
  // Takes tokens for up to aBytes and returns the number of bytes to send. They
  // must be sent immediately. If 0, the sender must wait and call again.
  double Consume(ShiftReservation& aReservation, double aBytes, TimePoint aNow);
  // Releases the unused part of the reservation. Idempotent.
  void Release(ShiftReservation& aReservation, TimePoint aNow);

  // Returns the expected response size of a route, based on previous responses.
  double EstimateResponseSize(const std::string& aRoute) const;
  void RecordResponseSize(const std::string& aRoute, double aBytes);

  std::vector<ShiftPairStatus> Status() const;

private:
  struct HeldLimit
  {
    double bytes_ = 0;
    // Time at which the next version replaced this one.
    TimePoint replacedAt_ = TimePoint::max();
  };
  struct Pair
  {
    std::unique_ptr<ByteBudget> budget_;
    double cap_ = 0;
    bool isCapped_ = false;
    std::vector<HeldLimit> heldLimits_;
    // Tokens in open reservations, and unused tokens of released ones.
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
