#pragma once

// One direction of a relayed body: a sender with credits and a receiver that
// checks the order and grants credits. Pure state; used by RelayNode.

#include "proxy/RelayMessages.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace peridotsail::detail {

// Bytes that a sender may have in flight in one direction of one relay.
constexpr std::uint64_t kRelayWindowBytes = 256 << 10;

class RelaySender
{
public:
  // True when another piece may be sent.
  bool MaySend() const { return credit_ > 0; }

  // Gives the sequence number of a piece of this size.
  std::uint64_t Take(std::size_t aBytes)
  {
    credit_ -= static_cast<std::int64_t>(aBytes);
    return next_++;
  }

  void AddCredit(std::uint64_t aBytes)
  {
    credit_ += static_cast<std::int64_t>(aBytes);
  }

private:
  std::int64_t credit_ = kRelayWindowBytes;
  std::uint64_t next_ = 0;
};

class RelayReceiver
{
public:
  // Returns false when a piece was lost or sent without credit. A repeated
  // piece is ignored.
  bool Put(std::uint64_t aSequence, BodyPiece aPiece)
  {
    if (aSequence < next_) {
      return true;
    }
    buffered_ += aPiece.bytes_.size();
    if (aSequence != next_ || ended_ ||
        buffered_ > kRelayWindowBytes + kMaxOverrunBytes) {
      return false;
    }
    ++next_;
    ended_ = aPiece.last_;
    pieces_.push_back(std::move(aPiece));
    return true;
  }

  // The next piece, or nothing yet. The receiver owes credit for its bytes.
  std::optional<BodyPiece> Take()
  {
    if (pieces_.empty()) {
      return std::nullopt;
    }
    BodyPiece piece = std::move(pieces_.front());
    pieces_.pop_front();
    buffered_ -= piece.bytes_.size();
    return piece;
  }

private:
  // A sender stops only after the piece that used up its credit.
  static constexpr std::uint64_t kMaxOverrunBytes = 64 << 10;

  std::deque<BodyPiece> pieces_;
  std::uint64_t buffered_ = 0;
  std::uint64_t next_ = 0;
  bool ended_ = false;
};

}
