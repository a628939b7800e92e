#pragma once

// A request whose body is buffered before it is executed. At-most-once
// execution needs this to hash the body, and to send it again after an attempt
// that reported not-run. The response is forwarded, and its beginning is kept
// as the recorded outcome. The execution continues when the caller disconnects,
// so that the outcome is available when the caller repeats the request.

#include "http/BlockBuffer.h"
#include "memory/MemoryPool.h"
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

  // aMemory accounts for the body. Null if nothing does.
  BufferedRequest(boost::asio::io_context& aContext,
                  IncomingRequestPtr aInner,
                  MemoryPool* aMemory);

  // Buffers the body. Reports an error when it exceeds aMaxBytes or ends early,
  // or when there is no memory for it.
  void BufferBody(std::uint64_t aMaxBytes, Done aDone);
  const BlockBuffer& Body() const { return body_; }
  // Lets the next attempt read the body from its beginning.
  void Rewind() { nextBlock_ = 0; }
  const RecordedOutcome& Outcome() const { return outcome_; }

  const RequestHead& Head() const override { return head_; }
  void ReadBody(ReadCallback aCallback) override;
  void SendHead(ResponseHead aHead, WriteCallback aCallback) override;
  void SendBody(BodyChunk aChunk, WriteCallback aCallback) override;
  void Abort() override;

private:
  void ReadNextChunk();
  void OnChunk(std::optional<BodyChunk> aChunk, const Error& aError);
  // Continues when there is memory for a body of aBytes.
  void Reserve(std::size_t aBytes);
  void OnMemory(MemoryNotice aNotice);
  // Appends the chunk that was read last.
  void AppendChunk();
  void Finish(const std::optional<Error>& aError);
  // Wraps the callback of a write so that a failed write to the caller does not
  // end the execution.
  WriteCallback IgnoreDisconnect(WriteCallback aCallback);

  boost::asio::io_context& context_;
  IncomingRequestPtr inner_;
  MemoryPool* memory_;
  RequestHead head_;
  std::uint64_t maxBytes_ = 0;
  // Empty once the body was read or has failed.
  Done done_;
  // The chunk that waits for memory.
  std::optional<BodyChunk> chunk_;
  BlockBuffer body_;
  // The memory of the body.
  std::shared_ptr<MemoryHold> hold_;
  // The block of the body that the current attempt reads next.
  std::size_t nextBlock_ = 0;
  RecordedOutcome outcome_;
  bool callerDisconnected_ = false;
};

}
