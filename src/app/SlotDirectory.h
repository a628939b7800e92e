#pragma once

// Tracks which host holds each slot in all regions, from announcements that the
// holders repeat once a second. The entries are hints and may be outdated: the
// host that receives a request checks its own slot. Runs on the traffic thread.
//
//   SlotDirectory directory(ioContext, self, hooks);
//   directory.Start();
//   directory.SetSlot(validity);               // this host's own slot
//   directory.OnMessage(from, payload);        // PeerMessageType::SlotHeld

#include "budget/SlotTypes.h"
#include "once/SlotMap.h"
#include "peer/PeerMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace peridotsail {

// A host's announcement that it holds a slot.
struct SlotAnnouncement
{
  SlotId slot_;
  std::uint64_t epoch_ = 0;
};

std::string
EncodeSlotAnnouncement(const SlotAnnouncement& aAnnouncement);

// Returns nothing if the bytes are malformed.
std::optional<SlotAnnouncement>
DecodeSlotAnnouncement(std::string_view aBytes);

struct SlotDirectoryHooks
{
  std::function<void(const PeerMessage&)> sendToAll_;
  // Called when a holder changes, with the holders by slot name.
  std::function<void(std::map<std::string, SlotHolderHost>)> onHolders_;
};

class SlotDirectory
{
public:
  SlotDirectory(boost::asio::io_context& aContext,
                const PeerHello& aSelf,
                SlotDirectoryHooks aHooks);

  void Start();
  void SetSlot(const SlotValidity& aValidity);
  void OnMessage(const PeerHello& aFrom, const std::string& aPayload);
  void OnLink(const PeerHello& aPeer, bool aUp);

private:
  struct Holder
  {
    std::string host_;
    std::uint64_t epoch_ = 0;
  };

  void Announce();
  // Records the holder unless a later epoch is known. Returns whether the entry
  // was updated.
  bool UpdateHolder(const std::string& aHost,
                    const SlotAnnouncement& aAnnouncement);
  void RemoveHolder(const std::string& aHost);
  void Publish();

  boost::asio::steady_timer timer_;
  std::string self_;
  SlotDirectoryHooks hooks_;
  std::optional<SlotAnnouncement> ownSlot_;
  std::map<std::string, Holder> holders_;
};

}
