#pragma once

// A request whose body is read whole before it runs, for at-most-once
// execution: the body is hashed first and can be sent again after a stated
// not-run. The response is passed on, and its first part is kept as the
// outcome. A caller that goes away does not end the run, so that the outcome is
// there when the caller asks again.

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

  // Reads the body; an error when it is larger than the bound or breaks off.
  void ReadWhole(std::uint64_t aMaxBytes, const Done& aDone);
  const std::string& Body() const { return body_; }
  const RecordedOutcome& Outcome() const { return outcome_; }

  const RequestHead& Head() const override { return head_; }
  void ReadBody(ReadCallback aCallback) override;
  void SendHead(ResponseHead aHead, WriteCallback aCallback) override;
  void SendBody(BodyPiece aPiece, WriteCallback aCallback) override;
  void Abort() override;

private:
  void ReadNext(std::uint64_t aMaxBytes, const Done& aDone);
  // Wraps the callback of a write: the run goes on without its caller.
  WriteCallback GoOn(WriteCallback aCallback);

  boost::asio::io_context& context_;
  IncomingRequestPtr inner_;
  RequestHead head_;
  std::string body_;
  RecordedOutcome outcome_;
  bool callerDisconnected_ = false;
};

}
