#pragma once

// A request whose body is buffered before it is executed. At-most-once
// execution needs this to hash the body, and to send it again after an attempt
// that reported not-run. The response is forwarded, and its beginning is kept
// as the recorded outcome. The execution continues when the caller disconnects,
// so that the outcome is available when the caller repeats the request.

#include "once/OnceTypes.h"
#include "proxy/IncomingRequest.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail::detail {

class BufferedRequest
  : public IncomingRequest
  , public std::enable_shared_from_this<BufferedRequest>
{
public:
  using Done = std::function<void(const std::optional<Error>&)>;

  BufferedRequest(boost::asio::io_context& aContext, IncomingRequestPtr aInner);

  // Buffers the body. Reports an error when it exceeds aMaxBytes or ends early.
  void BufferBody(std::uint64_t aMaxBytes, const Done& aDone);
  const std::string& Body() const { return body_; }
  const RecordedOutcome& Outcome() const { return outcome_; }

  const RequestHead& Head() const override { return head_; }
  void ReadBody(ReadCallback aCallback) override;
  void SendHead(ResponseHead aHead, WriteCallback aCallback) override;
  void SendBody(BodyChunk aChunk, WriteCallback aCallback) override;
  void Abort() override;

private:
  void BufferNextChunk(std::uint64_t aMaxBytes, const Done& aDone);
  // Wraps the callback of a write so that a failed write to the caller does not
  // end the execution.
  WriteCallback IgnoreDisconnect(WriteCallback aCallback);

  boost::asio::io_context& context_;
  IncomingRequestPtr inner_;
  RequestHead head_;
  std::string body_;
  RecordedOutcome outcome_;
  bool callerDisconnected_ = false;
};

}
