#pragma once

// Accounts for all bytes that a process holds for callers and servers, and
// decides who may hold more: admission, back pressure, refusal and which
// connections are closed. Performs no I/O; the caller passes the time.
//
//   MemoryAccount account(options);
//   const HoldId id = account.Open(HoldStage::Receiving, now);
//   if (account.Request(id, bytes, now) == MemoryVerdict::Waiting) {
//     // Stop reading until Decide admits, refuses or closes the hold.
//   }
//   account.Close(id);

#include "base/BootClock.h"

#include <cstdint>
#include <limits>
#include <map>
#include <vector>

namespace peridotsail {

struct MemoryOptions
{
  // The memory that the process may use, in bytes.
  std::size_t machineBytes_ = std::size_t{ 256 } * 1000 * 1000;
  // The share of it for callers and servers. The rest is for the program, the
  // views of the store, the allocator and the kernel's buffers.
  double share_ = 0.5;
  // The share may grow up to this one, so that the largest body fits.
  double maxShare_ = 0.75;
  // The part of the bound that only small holds may use.
  double reserve_ = 0.125;
  // The largest size of a small hold, in bytes.
  std::size_t smallBytes_ = 96 << 10;
  // A hold whose peer neither sent nor read progressBytes_ for this long may be
  // closed when others wait.
  Duration stallTimeout_ = std::chrono::seconds(1);
  std::size_t progressBytes_ = 4 << 10;
  // How long a hold waits for room before it is refused.
  Duration maxWait_ = std::chrono::seconds(2);
  // The kernel buffers up to this much for a connection that is not read.
  std::size_t waiterBytes_ = 128 << 10;
  // The part of the memory for such buffers; bounds the number that wait.
  double waiterShare_ = 1.0 / 16;
  // What a connection of a caller needs besides its request, in bytes, and the
  // part of the memory that all connections may use.
  std::size_t connectionBytes_ = 8 << 10;
  double connectionsShare_ = 1.0 / 8;
};

// Returns the number of callers' connections for which there is memory.
std::size_t
MaxConnections(const MemoryOptions& aOptions);

using HoldId = std::uint64_t;

// What the bytes of a hold wait for.
enum class HoldStage
{
  // The rest of a request. Its peer can be refused.
  Receiving,
  // A server that executes the request or sends its response.
  Executing,
  // A caller that reads its response.
  Sending,
};

enum class MemoryVerdict
{
  Admitted,
  Waiting,
  Refused,
};

struct MemoryDecisions
{
  // Waiting holds that were admitted.
  std::vector<HoldId> admitted_;
  // Holds that waited too long or in a deadlock, and wait no more.
  std::vector<HoldId> refused_;
  // Holds whose connections must be closed, in this order.
  std::vector<HoldId> closed_;
};

class MemoryAccount
{
public:
  explicit MemoryAccount(MemoryOptions aOptions);

  // Sets the size of the largest legal body. A single one always fits, unless
  // it exceeds what the machine can hold.
  void SetLargestBody(std::size_t aBytes);
  // Sets the number of callers' connections, whose bytes are held, too.
  void SetConnections(std::size_t aConnections);
  // The most bytes that are held at the same time.
  std::size_t Bound() const { return bound_; }
  std::size_t Held() const { return connections_ + held_; }
  std::size_t Waiting() const { return waiting_; }

  // Opens a hold of no bytes.
  HoldId Open(HoldStage aStage, TimePoint aNow);
  // Requests that the hold has aBytes in total. Less than before is always
  // admitted. A hold that waits keeps what it has.
  MemoryVerdict Request(HoldId aId, std::size_t aBytes, TimePoint aNow);
  // Sets the size of a hold whose bytes have already arrived, even if that
  // exceeds the bound.
  void Force(HoldId aId, std::size_t aBytes);
  void SetStage(HoldId aId, HoldStage aStage, TimePoint aNow);
  // The peer sent or read aBytes.
  void Progress(HoldId aId, std::size_t aBytes, TimePoint aNow);
  void Close(HoldId aId);
  // Returns what has changed for the holds. Call after holds have become
  // smaller, and now and then while any hold waits.
  MemoryDecisions Decide(TimePoint aNow);

private:
  struct Hold
  {
    HoldStage stage_ = HoldStage::Receiving;
    std::size_t bytes_ = 0;
    // The requested size, while waiting.
    std::size_t wanted_ = 0;
    TimePoint waitingSince_;
    TimePoint progressAt_;
    std::size_t bytesSinceProgress_ = 0;
    bool closing_ = false;
  };

  void UpdateBound();
  bool IsSmall(std::size_t aBytes) const;
  bool Fits(const Hold& aHold, std::size_t aBytes) const;
  bool IsStalled(const Hold& aHold, TimePoint aNow) const;
  void Resize(Hold& aHold, std::size_t aBytes);
  void StopWaiting(Hold& aHold);
  std::vector<HoldId> WaitingInOrder() const;
  // Ends a deadlock of unfinished requests that hold most of the memory and all
  // wait for more: refuses those that hold least until the first one fits.
  void EndDeadlock(const Hold& aFirst, MemoryDecisions& aDecisions);
  // Returns the stalled holds to close so that the hold fits, or none if they
  // are not enough.
  std::vector<HoldId> ToClose(const Hold& aWaiter, TimePoint aNow) const;

  MemoryOptions options_;
  std::size_t bound_ = 0;
  std::size_t largestBody_ = 0;
  // The bytes of callers' connections, and those of all holds.
  std::size_t connections_ = 0;
  std::size_t held_ = 0;
  std::size_t waiting_ = 0;
  HoldId lastId_ = 0;
  std::map<HoldId, Hold> holds_;
};

}
