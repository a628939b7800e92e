#pragma once

// A request of a caller and its response, as the connection hands them to the
// handler of requests. Used on the traffic thread only; included by .cc files.

#include "base/BootClock.h"
#include "http/BlockBuffer.h"
#include "http/HeaderFields.h"
#include "memory/MemoryPool.h"

#include <functional>
#include <memory>
#include <string>

namespace peridotsail::detail {

struct CallerRequest
{
  std::string method_;
  std::string target_;
  std::string host_;
  HeaderFields headers_;
  // Holds the memory of the whole request as long as anyone uses it.
  std::shared_ptr<const BlockBuffer> body_;
  TimePoint arrivedAt_;
};

struct CallerResponse
{
  int status_ = 503;
  HeaderFields headers_;
  // Null if there is no body.
  std::shared_ptr<const BlockBuffer> body_;
  // The memory of the response, or null if it is not accounted for.
  std::shared_ptr<MemoryHold> hold_;
  // Closes the connection after this response.
  bool close_ = false;
};

// A request and its position in the connection's pipeline.
class CallerExchange
{
public:
  virtual ~CallerExchange() = default;
  // The headers and the body are released by the response.
  virtual const CallerRequest& Request() const = 0;
  // Returns whether all earlier requests of the connection have been answered.
  virtual bool IsFront() const = 0;
  // Sends the response. May be called once; further calls are ignored.
  virtual void Respond(CallerResponse aResponse) = 0;
};

// The callbacks of a request. Each may be empty.
struct RequestCallbacks
{
  // The request becomes the oldest unanswered one of its connection.
  std::function<void()> onFront_;
  // The caller disconnects.
  std::function<void()> onDisconnect_;
  // The request must be answered because the process is about to exit.
  std::function<void()> onHostExit_;
};

// Returns the head of a response to a request with this method. Removes the
// body if the response must not have one.
std::string
SerializeHead(CallerResponse& aResponse, const std::string& aMethod);

}
