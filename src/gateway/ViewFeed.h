#pragma once

// Distributes the view of the store between hosts by long polling: answers
// requests from hosts that follow this one as soon as there are changes, and
// polls other hosts. Each response is a separate HTTP call that waits at the
// polled host like a watch at the store, so a follower can switch to another
// host at any time and neither side keeps state about the other. Control thread
// only.
//
//   ViewFeed feed(context, options);
//   if (!feed.Listen(address, error)) { ... }
//   feed.Publish(cache, confirmation);   // after each confirmation
//   feed.Poll(address, position, wait, callback);
//   feed.FetchValue(address, key, position, callback);
//
// Large values are not part of the responses to polls. A follower fetches them
// on connections of their own, so that small changes do not wait for them.

#include "base/ErrorKind.h"
#include "gateway/ReadReport.h"
#include "gateway/ViewCache.h"
#include "gateway/ViewMessages.h"
#include "http/HttpTypes.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail {

struct ViewFeedOptions
{
  // Upper bound on the wait that a request can ask for.
  Duration maxWait_ = std::chrono::milliseconds(5000);
  // Limits the wait for a response, in addition to the wait at the polled host,
  // and each pause while the response is received. Hosts of the same region are
  // about a millisecond apart.
  Duration timeout_ = std::chrono::milliseconds(250);
  // How long a polled host waits for a large value that it is still receiving
  // itself.
  Duration valueWait_ = std::chrono::milliseconds(1000);
  // Maximum number of waiting requests; further ones are answered immediately.
  std::size_t maxWaiting_ = 512;
  // Called after each poll of another host. May be empty.
  ReadHook onRead_;
};

class ViewFeed
{
public:
  using Callback = std::function<void(ViewResponse)>;
  using ValueCallback = std::function<void(std::optional<KvItem>)>;

  ViewFeed(boost::asio::io_context& aContext, ViewFeedOptions aOptions);
  ~ViewFeed();
  ViewFeed(const ViewFeed&) = delete;
  ViewFeed& operator=(const ViewFeed&) = delete;

  bool Listen(const Address& aAddress, Error& aError);
  // The port in use; differs from the requested one if that was 0.
  std::uint16_t Port() const;
  // Answers the waiting requests if anything has changed. aCache must outlive
  // the feed.
  void Publish(const ViewCache& aCache, ViewConfirmation aConfirmation);
  // Calls the callback once, with KvStatus::Unknown if there is no usable
  // response. The polled host waits for changes for at most aWait.
  void Poll(const std::string& aAddress,
            const StorePosition& aAfter,
            Duration aWait,
            Callback aCallback);
  // Calls the callback once, with the value of the key at the position or a
  // later one, or with nullopt if there is no usable response.
  void FetchValue(const std::string& aAddress,
                  const std::string& aKey,
                  const StorePosition& aPosition,
                  ValueCallback aCallback);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
