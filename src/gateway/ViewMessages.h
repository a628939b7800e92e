#pragma once

// What a host answers to one that follows its view, in CBOR.

#include "gateway/KvStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct ViewResponse
{
  // Done; Gone: the events are no longer kept; Unknown: no usable answer.
  KvStatus status_ = KvStatus::Unknown;
  // Everything after the revision that the follower stated, up to revision_.
  std::vector<KvItem> events_;
  std::uint64_t revision_ = 0;
  // When the view was last confirmed by the store, counted from the arrival of
  // the question; negative: before it. A follower that counts from when it
  // asked, which was earlier, never takes the view for newer than it is.
  Duration confirmedAfter_{};
  // The host from which the answering one has its view; empty: the store.
  std::string source_;
  // How long ago the store came back, when that was a moment ago.
  std::optional<Duration> storeBack_;
};

// When and from where a host has its view.
struct ViewConfirmation
{
  TimePoint at_ = TimePoint::min();
  // As ViewResponse::source_.
  std::string source_;
  // When the store came back last; TimePoint::min(): it was never away.
  TimePoint storeBackAt_ = TimePoint::min();
};

std::string
EncodeViewResponse(const ViewResponse& aAnswer);

// Nothing from malformed bytes.
std::optional<ViewResponse>
DecodeViewResponse(const std::string& aBytes);

}
