#pragma once

// Executes one request on one backend server: sends the head and the body, and
// forwards the response, with back pressure in both directions. Internal to the
// proxy library.
//
// The execution state of the result is NotRun only when no byte of the request
// was written to the connection or the server reported that it did not execute
// the request.

#include "http/MessageWriter.h"
#include "proxy/BackendConnections.h"
#include "proxy/ExchangeResult.h"
#include "proxy/IncomingRequest.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace peridotsail::detail {

struct ExchangeOptions
{
  std::string serverAddress_;
  // The response head must arrive by this time.
  TimePoint deadline_;
  // The exchange fails when the caller makes no progress for longer.
  // ConnectionHealth applies its own limits to the server.
  Duration progressTimeout_ = std::chrono::seconds(10);
  Duration connectTimeout_ = std::chrono::seconds(2);
  // A larger body fails the exchange with body-too-large.
  std::uint64_t maxBodyBytes_ = 1 << 20;
  // A server may close an idle connection just when it is reused, which leaves
  // unknown whether the request was executed. A request that must not be
  // executed twice therefore uses a new connection.
  bool reuseConnection_ = true;
  // Checked immediately before the first byte is sent. No check if empty.
  std::function<bool()> mayStart_;
  // The connection becomes suspect when the response takes longer.
  std::optional<Duration> responseTimeout_;
};

class BackendExchange : public std::enable_shared_from_this<BackendExchange>
{
public:
  using Done = std::function<void(const ExchangeResult&)>;

  // aHead is sent instead of the caller's head and must not contain its key.
  BackendExchange(BackendConnections& aConnections,
                  IncomingRequestPtr aRequest,
                  RequestHead aHead,
                  ExchangeOptions aOptions,
                  Done aDone);

  void Start();
  // Closes the connection, which cancels the request on the server.
  void Cancel(const Error& aError);

private:
  using ResponseParser = http::response_parser<http::buffer_body>;

  void Connect();
  // Returns the head of the request to the server.
  std::string HeadText() const;
  void SendHead();
  void ForwardRequestBody();
  void WriteRequestChunk(BodyChunk aChunk);
  void ReadHead();
  void OnResponseHead(const ErrorCode& aError);
  void ForwardHead();
  void ForwardResponseBody();
  // Returns whether a response that ended with the connection is incomplete.
  bool IsTruncated();
  void ForwardResponseChunk(const ErrorCode& aError);
  void Complete();
  void Fail(const Error& aError);
  void FailConnection(const ErrorCode& aError);
  void ArmTimer();
  void OnTimer();
  void Progress(ConnectionPhase aPhase);

  BackendConnections& connections_;
  IncomingRequestPtr incoming_;
  RequestHead head_;
  ExchangeOptions options_;
  Done done_;
  ExchangeResult result_;
  BackendConnectionPtr connection_;
  asio::steady_timer timer_;
  TimePoint lastProgress_;
  std::string headText_;
  std::optional<ResponseParser> parser_;
  std::string writeBuffer_;
  ChunkFrame frame_;
  // Allocated when the response arrives.
  std::vector<char> readBuffer_;
  std::uint64_t bodyBytes_ = 0;
  bool headReceived_ = false;
  int interimResponses_ = 0;
  bool requestSent_ = false;
  bool finished_ = false;
};

// Returns the headers without Authorization, Content-Length and hop-by-hop
// headers.
HttpHeaders
ForwardableHeaders(const HttpHeaders& aHeaders);

}
