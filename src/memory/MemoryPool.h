#pragma once

// Holds of a MemoryAccount as objects with a callback. Used on one thread.
//
//   MemoryPool pool(options, schedule);
//   auto hold = pool.Open(HoldStage::Receiving, callback, now);
//   hold->Request(bytes, now);
//
// Memory is returned when a hold is destroyed. Holds may outlive the pool.

#include "memory/MemoryAccount.h"

#include <functional>
#include <memory>

namespace peridotsail {

// What happens to a hold after its last request for memory.
enum class MemoryNotice
{
  // The request that waited was admitted.
  Admitted,
  // The request that waited is refused; the hold keeps what it had before.
  Refused,
  // The memory is needed for others, and the peer made no progress: close.
  Close,
};

using MemoryCallback = std::function<void(MemoryNotice)>;

class MemoryHold
{
public:
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;
  ~MemoryHold();

  // See MemoryAccount::Request.
  MemoryVerdict Request(std::size_t aBytes, TimePoint aNow);
  void Force(std::size_t aBytes);
  // The size that was requested last.
  std::size_t Bytes() const { return bytes_; }
  // Replaces the callback, for the next stage of the same bytes.
  void SetStage(HoldStage aStage, MemoryCallback aCallback, TimePoint aNow);
  void Progress(std::size_t aBytes, TimePoint aNow);

private:
  friend class MemoryPool;
  struct Pool;

  MemoryHold(std::shared_ptr<Pool> aPool, HoldId aId);

  std::shared_ptr<Pool> pool_;
  HoldId id_;
  std::size_t bytes_ = 0;
};

struct MemoryPoolStatistics
{
  std::size_t held_ = 0;
  std::size_t bound_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t closed_ = 0;
};

class MemoryPool
{
public:
  // aSchedule must call Run after the duration, not from within the call. A
  // later call replaces an earlier one.
  using Schedule = std::function<void(Duration)>;

  MemoryPool(MemoryOptions aOptions, Schedule aSchedule);
  ~MemoryPool();
  MemoryPool(const MemoryPool&) = delete;
  MemoryPool& operator=(const MemoryPool&) = delete;

  void SetLargestBody(std::size_t aBytes);
  void SetConnections(std::size_t aConnections);
  std::shared_ptr<MemoryHold> Open(HoldStage aStage,
                                   MemoryCallback aCallback,
                                   TimePoint aNow);
  // Carries out the decisions that are due.
  void Run(TimePoint aNow);
  MemoryPoolStatistics Statistics() const;

private:
  std::shared_ptr<MemoryHold::Pool> pool_;
};

}
