#pragma once

// What hosts and the owner of a backend server tell each other about the slots
// of the server. A slot of a server is one concurrent request.

#include "slots/QueueEstimate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace peridotsail {

// Ranks are limited to 0 (the highest) to this one.
constexpr int kLowestRank = 15;

enum class SlotMode
{
  // Wait in the queue until a slot is free.
  Wait,
  // Refuse the request unless a slot is free now.
  IfFree,
  // Refuse the request unless at most half of the slots are in use.
  IfHalfIdle,
};

// Asks the owner of a server for a slot. Repeating it has no further effect.
struct SlotAsk
{
  // Chosen by the asking host at random.
  std::uint64_t id_ = 0;
  std::string server_;
  // The slots in the server's registration.
  int slots_ = 1;
  int rank_ = 0;
  // Hashes of the names.
  std::uint64_t customer_ = 0;
  std::uint64_t route_ = 0;
  // The time until the target latency and until the deadline.
  Duration toAim_{};
  Duration timeLeft_{};
  // The service time that the host expects of the server.
  Duration serviceTime_{};
  SlotMode mode_ = SlotMode::Wait;
};

enum class SlotState
{
  Granted,
  Queued,
  Refused,
};

struct SlotAnswer
{
  std::uint64_t id_ = 0;
  std::string server_;
  SlotState state_ = SlotState::Refused;
  // Queued: the expected wait. Refused: the time after which the server could
  // run such a request in time.
  Duration wait_{};
  // The number of waiting requests that come first.
  int ahead_ = 0;
  // The load of the server as the owner knows it.
  ReportedLoad load_;
};

// Ends a grant, or withdraws a request that waits.
struct SlotRelease
{
  std::uint64_t id_ = 0;
  std::string server_;
  // Whether serviceTime_ is a sample of the server's service time.
  bool executed_ = false;
  Duration serviceTime_{};
  // The load that the server reported in its response.
  std::optional<ReportedLoad> load_;
};

// Identifies a request for a slot at the owner.
struct SlotKey
{
  // The address of the asking host; empty for the owner itself.
  std::string host_;
  std::uint64_t id_ = 0;

  bool operator<(const SlotKey& aOther) const
  {
    return std::tie(id_, host_) < std::tie(aOther.id_, aOther.host_);
  }
  bool operator==(const SlotKey& aOther) const
  {
    return id_ == aOther.id_ && host_ == aOther.host_;
  }
};

// An answer for the host at the address.
struct SlotReply
{
  std::string host_;
  SlotAnswer answer_;
};

using SlotReplies = std::vector<SlotReply>;

}
