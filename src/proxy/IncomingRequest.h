#pragma once

// A request whose body is read, and whose response is written, in chunks. It
// comes from a caller's connection or is relayed by a peer. Used on the traffic
// thread only. At most one read and one write may be pending at a time.

#include "base/ErrorKind.h"
#include "http/HttpTypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace peridotsail {

struct RequestHead
{
  std::string method_;
  std::string target_;
  HttpHeaders headers_;
  bool hasBody_ = false;
  // Absent for a body of unknown length.
  std::optional<std::uint64_t> contentLength_;
};

struct ResponseHead
{
  int status_ = 200;
  // Without Content-Length and hop-by-hop headers.
  HttpHeaders headers_;
  // Absent for a body of unknown length.
  std::optional<std::uint64_t> contentLength_;
};

struct BodyChunk
{
  std::string bytes_;
  bool last_ = false;
};

class IncomingRequest
{
public:
  using ReadCallback =
    std::function<void(std::optional<BodyChunk>, const Error&)>;
  // Called with false when the receiver has disconnected.
  using WriteCallback = std::function<void(bool)>;

  IncomingRequest() = default;
  virtual ~IncomingRequest() = default;
  IncomingRequest(const IncomingRequest&) = delete;
  IncomingRequest& operator=(const IncomingRequest&) = delete;

  virtual const RequestHead& Head() const = 0;
  // Reads the next chunk; the last one may be empty. Never invokes the callback
  // before it returns.
  virtual void ReadBody(ReadCallback aCallback) = 0;
  virtual void SendHead(ResponseHead aHead, WriteCallback aCallback) = 0;
  virtual void SendBody(BodyChunk aChunk, WriteCallback aCallback) = 0;
  // Ends the response in a way that the receiver recognizes as incomplete.
  virtual void Abort() = 0;

  // True after the first call of SendHead.
  bool HeadSent() const { return headSent_; }
  // Sets the hook that is called, at most once, when the sender cancels the
  // request before the response is complete.
  void SetOnCancelled(std::function<void()> aHook)
  {
    onCancelled_ = std::move(aHook);
  }

protected:
  void NotifyCancelled()
  {
    const auto hook = std::exchange(onCancelled_, nullptr);
    if (hook) {
      hook();
    }
  }

  bool headSent_ = false;

private:
  std::function<void()> onCancelled_;
};

using IncomingRequestPtr = std::shared_ptr<IncomingRequest>;

}
