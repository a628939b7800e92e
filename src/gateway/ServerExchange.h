#pragma once

// Sends one request to a backend server and reads the complete response. Used
// on the traffic thread only; included by .cc files.
//
// The response is buffered completely before any of it is sent to the caller,
// so that a truncated response never looks complete. A response without a
// length is complete only if the server ended the connection in an orderly way
// after the whole request had been written: a server that ends earlier may have
// failed, and the reset that tells so may come after the end or be reported to
// the write.

#include "gateway/GatewayHeaders.h"
#include "gateway/ServerConnections.h"
#include "http/BlockBuffer.h"
#include "http/FramingLimit.h"
#include "http/MessageParser.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail {

enum class ExchangeOutcome
{
  // A complete response of the server to this request.
  Answered,
  // No byte of the request was sent, or the server stated that it did not
  // execute the request.
  NotExecuted,
  // The connection was closed or timed out; the request may have been executed.
  ConnectionLost,
  // The server sent no valid response to this request; the request may have
  // been executed.
  InvalidResponse,
};

std::string_view
NameOf(ExchangeOutcome aOutcome);

struct ServerResponse
{
  int status_ = 0;
  HeaderFields headers_;
  // Null if there is no body.
  std::shared_ptr<const BlockBuffer> body_;
  // The memory of the response.
  std::shared_ptr<MemoryHold> hold_;
};

struct ServerExchangeResult
{
  ExchangeOutcome outcome_ = ExchangeOutcome::ConnectionLost;
  ServerResponse response_;
  // The connection could not be opened.
  bool unreachable_ = false;
  // This host may open no further connection, so nothing was sent.
  bool noConnection_ = false;
  // The response was aborted because this host had no memory for it.
  bool noMemory_ = false;
  // A description of the failure, for the log.
  std::string reason_;
};

namespace detail {

struct ServerRequest
{
  InstancePtr instance_;
  std::string requestId_;
  std::string head_;
  // Shared with later attempts of the request.
  std::shared_ptr<const BlockBuffer> body_;
  bool isHeadMethod_ = false;
  // The owner of the server's slots granted one, so the request does not queue
  // at the server.
  bool granted_ = false;
  Duration connectTimeout_ = std::chrono::milliseconds(600);
};

class ServerExchange : public std::enable_shared_from_this<ServerExchange>
{
public:
  using Callback = std::function<void(ServerExchangeResult)>;

  ServerExchange(ServerConnections& aConnections,
                 const GatewayHeaders& aHeaders,
                 ServerRequest aRequest,
                 Callback aCallback);
  void Start();
  // Closes the connection, so that the server can stop working on the request.
  // The callback is not called afterwards.
  void Cancel();
  // Returns whether any part of the request may have been sent.
  bool WasSent() const { return sent_; }

private:
  using Parser = MessageParser<false, BlockBuffer>;

  void Connect();
  void Send();
  // Ends the exchange, which has no connection, after Start has returned.
  void FailWithoutConnection();
  void Read();
  void ReadAvailable();
  void OnRead(const ErrorCode& aError);
  bool Parse();
  bool OnCompleteResponse();
  // Handles the end of the connection; aError is eof if the server ended it.
  void OnEnd(const ErrorCode& aError);
  // Returns whether the end of the connection ends a response without a length.
  bool EndsResponse();
  // Returns whether the response is one to this request that cannot be used
  // whatever follows its head.
  bool HasUnusableStatus();
  bool IsResponseToRequest(const MessageHead& aMessage);
  void ClassifyResponse(const MessageHead& aMessage);
  void UpdateLoad(const MessageHead& aMessage);
  // Updates whether the server is shutting down or asked for a pause.
  void UpdateState(const MessageHead& aMessage);
  // Accounts for the buffered bytes of the response. Returns false and sets
  // aReason if a limit is exceeded.
  std::size_t BodyBytes() const;
  // The memory of the response until the caller has read it.
  std::size_t ResponseBytes() const;
  bool UpdateBufferedBytes(std::string& aReason);
  void OnMemory(MemoryNotice aNotice);
  // Skips an interim response or one to another request. Returns false if there
  // were too many.
  bool SkipMessage();
  void ReturnConnection(const MessageHead& aMessage);
  void Finish(ExchangeOutcome aOutcome, std::string aReason);
  void NewParser();
  void ReleaseServer(bool aExecuted);

  ServerConnections& connections_;
  const GatewayHeaders& headers_;
  ServerRequest request_;
  Callback callback_;
  ServerConnectionPtr connection_;
  asio::steady_timer connectTimer_;
  std::optional<Parser> parser_;
  FramingLimit framing_;
  int skippedMessages_ = 0;
  ServerExchangeResult result_;
  // The estimated queue length when the request was sent, and that time.
  double queueLengthAtStart_ = 0;
  TimePoint startedAt_;
  // The memory of the response.
  std::shared_ptr<MemoryHold> hold_;
  // Reading waits for memory.
  bool paused_ = false;
  bool sent_ = false;
  // The whole request was written without an error.
  bool written_ = false;
  bool finished_ = false;
  // A response to another request arrived on this connection.
  bool unrelatedResponse_ = false;
};

}

}
