#pragma once

// Passes the view of the store between hosts: answers those that follow this
// one as soon as there is news, and asks others. One HTTP call for each answer,
// which waits at the asked host like a watch at the store, so that a follower
// can turn to another host at any time and neither end keeps state of the
// other. Control thread only.
//
//   ViewFeed feed(context, options);
//   if (!feed.Listen(address, error)) { ... }
//   feed.Publish(cache, confirmation);   // after each confirmation
//   feed.Ask(address, revision, wait, callback);

#include "base/ErrorKind.h"
#include "gateway/ViewCache.h"
#include "gateway/ViewMessages.h"
#include "http/HttpTypes.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace peridotsail {

struct ViewFeedOptions
{
  // The longest wait of a question, whatever it states.
  Duration mostWait_ = std::chrono::milliseconds(5000);
  // For an answer beyond the wait. Hosts of one region are a millisecond apart.
  Duration timeout_ = std::chrono::milliseconds(250);
  // Questions that wait at one time; further ones are answered at once.
  std::size_t mostWaiting_ = 512;
};

class ViewFeed
{
public:
  using Callback = std::function<void(ViewResponse)>;

  ViewFeed(boost::asio::io_context& aContext, ViewFeedOptions aOptions);
  ~ViewFeed();
  ViewFeed(const ViewFeed&) = delete;
  ViewFeed& operator=(const ViewFeed&) = delete;

  bool Listen(const Address& aAddress, Error& aError);
  // The port in use; differs from the requested one when that was 0.
  std::uint16_t Port() const;
  // Answers the waiting questions when there is news. aCache must outlive the
  // feed.
  void Publish(const ViewCache& aCache, ViewConfirmation aConfirmation);
  // The callback runs once, with KvStatus::Unknown without a usable answer. The
  // asked host waits for news for aWait at most.
  void Poll(const std::string& aAddress,
            std::uint64_t aAfterRevision,
            Duration aWait,
            Callback aCallback);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
