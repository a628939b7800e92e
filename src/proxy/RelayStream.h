#pragma once

// Flow control for one direction of a relayed body: a sender that is limited by
// credits, and a receiver that checks the order of chunks. Performs no I/O;
// used by RelayNode.

#include "proxy/RelayMessages.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace peridotsail::detail {

// Flow-control window: bytes that a sender may have in flight in one direction
// of one relay.
constexpr std::uint64_t kRelayWindowBytes = 256 << 10;

class RelaySender
{
public:
  // True when another chunk may be sent.
  bool HasCredit() const { return credit_ > 0; }

  // Uses up credit for a chunk of this size and returns its sequence number.
  std::uint64_t AssignSequence(std::size_t aBytes)
  {
    credit_ -= static_cast<std::int64_t>(aBytes);
    return nextSequence_++;
  }

  // Bytes that were sent and may still wait in this process or the other one.
  std::size_t Outstanding() const
  {
    const auto window = static_cast<std::int64_t>(kRelayWindowBytes);
    return static_cast<std::size_t>(
      std::max<std::int64_t>(0, window - credit_));
  }

  void AddCredit(std::uint64_t aBytes)
  {
    credit_ += static_cast<std::int64_t>(aBytes);
  }

private:
  std::int64_t credit_ = kRelayWindowBytes;
  std::uint64_t nextSequence_ = 0;
};

class RelayReceiver
{
public:
  // Returns false when a chunk is missing or was sent without credit. A
  // repeated chunk is ignored.
  bool Push(std::uint64_t aSequence, BodyChunk aChunk)
  {
    if (aSequence < nextSequence_) {
      return true;
    }
    bufferedBytes_ += aChunk.bytes_.size();
    if (aSequence != nextSequence_ || ended_ ||
        bufferedBytes_ > kRelayWindowBytes + kMaxOverrunBytes) {
      return false;
    }
    ++nextSequence_;
    ended_ = aChunk.last_;
    chunks_.push_back(std::move(aChunk));
    return true;
  }

  // Returns the next chunk, if any. The caller must grant the sender credit for
  // its bytes.
  std::optional<BodyChunk> Take()
  {
    if (chunks_.empty()) {
      return std::nullopt;
    }
    BodyChunk chunk = std::move(chunks_.front());
    chunks_.pop_front();
    bufferedBytes_ -= chunk.bytes_.size();
    return chunk;
  }

  std::size_t BufferedBytes() const
  {
    return static_cast<std::size_t>(bufferedBytes_);
  }

private:
  // A sender may exceed its credit by its last chunk.
  static constexpr std::uint64_t kMaxOverrunBytes = 64 << 10;

  std::deque<BodyChunk> chunks_;
  std::uint64_t bufferedBytes_ = 0;
  std::uint64_t nextSequence_ = 0;
  bool ended_ = false;
};

}
