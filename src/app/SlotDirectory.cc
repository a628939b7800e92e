#include "app/SlotDirectory.h"

#include "base/EventLog.h"
#include "peer/CborReader.h"

#include <limits>

namespace peridotsail {

namespace {

constexpr std::chrono::seconds kAnnounceInterval(1);
constexpr std::size_t kMaxNameBytes = 100;

std::string
SlotName(const SlotId& aSlot)
{
  return aSlot.region_ + "/" + std::to_string(aSlot.number_);
}

}

std::string
EncodeSlotAnnouncement(const SlotAnnouncement& aAnnouncement)
{
  return ToCbor({ { "region", aAnnouncement.slot_.region_ },
                  { "number", aAnnouncement.slot_.number_ },
                  { "epoch", aAnnouncement.epoch_ } });
}

std::optional<SlotAnnouncement>
DecodeSlotAnnouncement(std::string_view aBytes)
{
  CborReader reader(aBytes);
  SlotAnnouncement announcement;
  announcement.slot_.region_ = reader.Text("region", kMaxNameBytes);
  const std::uint64_t number = reader.Unsigned("number");
  announcement.epoch_ = reader.Unsigned("epoch");
  if (!reader.Valid() || number > std::numeric_limits<std::int32_t>::max()) {
    return std::nullopt;
  }
  announcement.slot_.number_ = static_cast<int>(number);
  return announcement;
}

SlotDirectory::SlotDirectory(boost::asio::io_context& aContext,
                             const PeerHello& aSelf,
                             SlotDirectoryHooks aHooks)
  : timer_(aContext)
  , self_(aSelf.hostName_)
  , hooks_(std::move(aHooks))
{
}

void
SlotDirectory::Start()
{
  Announce();
  timer_.expires_after(kAnnounceInterval);
  timer_.async_wait([this](auto aError) {
    if (!aError) {
      Start();
    }
  });
}

void
SlotDirectory::Announce()
{
  if (ownSlot_) {
    hooks_.sendToAll_(
      { PeerMessageType::SlotHeld, EncodeSlotAnnouncement(*ownSlot_) });
  }
}

void
SlotDirectory::SetSlot(const SlotValidity& aValidity)
{
  const bool holds = aValidity.index_ >= 0;
  const bool same = holds && ownSlot_ && ownSlot_->slot_ == aValidity.slot_ &&
                    ownSlot_->epoch_ == aValidity.epoch_;
  if (same || (!holds && !ownSlot_)) {
    return;
  }
  ownSlot_.reset();
  RemoveHolder(self_);
  if (holds) {
    ownSlot_ = SlotAnnouncement{ aValidity.slot_, aValidity.epoch_ };
    UpdateHolder(self_, *ownSlot_);
    Announce();
  }
  Publish();
}

void
SlotDirectory::OnMessage(const PeerHello& aFrom, const std::string& aPayload)
{
  const auto announcement = DecodeSlotAnnouncement(aPayload);
  if (!announcement) {
    LogEvent(Event::PeerMessageMalformed,
             { { "peer", aFrom.hostName_ }, { "type", "slot-held" } });
    return;
  }
  if (UpdateHolder(aFrom.hostName_, *announcement)) {
    Publish();
  }
}

void
SlotDirectory::OnLink(const PeerHello& aPeer, bool aUp)
{
  if (aUp) {
    Announce();
  } else {
    RemoveHolder(aPeer.hostName_);
    Publish();
  }
}

bool
SlotDirectory::UpdateHolder(const std::string& aHost,
                            const SlotAnnouncement& aAnnouncement)
{
  Holder& holder = holders_[SlotName(aAnnouncement.slot_)];
  // A holder that was removed when its link went down may announce the same
  // epoch again.
  const bool newer = holder.host_.empty()
                       ? aAnnouncement.epoch_ >= holder.epoch_
                       : aAnnouncement.epoch_ > holder.epoch_;
  if (newer) {
    holder = { aHost, aAnnouncement.epoch_ };
  }
  return newer;
}

void
SlotDirectory::RemoveHolder(const std::string& aHost)
{
  for (auto& [slot, holder] : holders_) {
    if (holder.host_ == aHost) {
      // The epoch is kept, so that a delayed announcement of an earlier holder
      // is ignored.
      holder.host_.clear();
    }
  }
}

void
SlotDirectory::Publish()
{
  std::map<std::string, SlotHolderHost> holders;
  for (const auto& [slot, holder] : holders_) {
    if (!holder.host_.empty()) {
      holders[slot] = { holder.host_, "" };
    }
  }
  hooks_.onHolders_(std::move(holders));
}

}
