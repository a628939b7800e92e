#pragma once

// The responses of a host to a host that follows its view, encoded as CBOR.

#include "gateway/KvStore.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

struct ViewResponse
{
  // Done; Gone if the events are no longer retained; Unknown if there was no
  // usable response.
  KvStatus status_ = KvStatus::Unknown;
  // All events after the position stated by the follower, up to position_.
  std::vector<KvItem> events_;
  // Its era is 0 if the host is of a build that does not know of eras.
  StorePosition position_;
  // When the store last confirmed the view, relative to the arrival of the
  // request; negative means before it. The follower adds this to the time at
  // which it sent the request, which is earlier, so it never considers the view
  // newer than it is.
  Duration confirmedOffset_{};
  // The host from which the responding host received its view; empty for the
  // store.
  std::string source_;
  // Time since the store's recovery, if that was recent.
  std::optional<Duration> storeRecoveredAgo_;
  // See ViewConfirmation.
  std::uint64_t version_ = 0;
  bool unstored_ = false;
};

// When a host's view was last confirmed, and by whom.
struct ViewConfirmation
{
  TimePoint at_ = TimePoint::min();
  // See ViewResponse::source_.
  std::string source_;
  // Time of the store's last recovery; TimePoint::min() if there was no outage.
  TimePoint storeRecoveredAt_ = TimePoint::min();
  // The version of the configuration in force; 0 for none.
  std::uint64_t version_ = 0;
  // Whether the store holds an older one, for example because it was restored
  // from an older copy.
  bool unstored_ = false;
};

// Events that need more bytes than this are worth compressing.
constexpr std::size_t kMinDeflatedEventsBytes = 512;

// aDeflate: the follower accepts compressed events. Records of one kind are
// alike, so compression saves most of their bytes.
std::string
EncodeViewResponse(const ViewResponse& aResponse, bool aDeflate = false);

// Returns nullopt for malformed input.
std::optional<ViewResponse>
DecodeViewResponse(const std::string& aBytes);

// The response to a request for a large value, which is compressed.
std::string
EncodeViewValue(const KvItem& aItem);

// Returns nullopt for malformed input.
std::optional<KvItem>
DecodeViewValue(const std::string& aBytes);

}
