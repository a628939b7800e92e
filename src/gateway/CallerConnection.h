#pragma once

// An HTTP/1.1 server connection of a caller. Supports pipelining: further
// requests are read while earlier ones are in progress, and responses are
// written in request order. Used on the traffic thread only; included by .cc
// files.

#include "gateway/RoutingTable.h"
#include "http/BeastTypes.h"
#include "http/FramingLimit.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail::detail {

struct CallerRequest
{
  std::string method_;
  std::string target_;
  std::string host_;
  HttpHeaders headers_;
  std::string body_;
  TimePoint arrivedAt_;
};

struct CallerResponse
{
  int status_ = 503;
  HttpHeaders headers_;
  std::string body_;
  // Closes the connection after this response.
  bool close_ = false;
};

// A request and its position in the connection's pipeline.
class CallerExchange
{
public:
  virtual ~CallerExchange() = default;
  virtual const CallerRequest& Request() const = 0;
  // Returns whether all earlier requests of the connection have been answered.
  virtual bool IsFront() const = 0;
  // Sends the response. May be called once; further calls are ignored.
  virtual void Respond(CallerResponse aResponse) = 0;
};

struct CallerHooks
{
  std::function<GatewayLimits()> limits_;
  // Called for each complete request. The returned onFront_ is called when the
  // request becomes the oldest unanswered one of its connection, onDisconnect_
  // when the caller disconnects, and onHostExit_ when the request must be
  // answered because the process is about to exit. Each may be empty.
  struct RequestCallbacks
  {
    std::function<void()> onFront_;
    std::function<void()> onDisconnect_;
    std::function<void()> onHostExit_;
  };
  std::function<RequestCallbacks(std::shared_ptr<CallerExchange>)> onRequest_;
  // Called when a request could not be parsed; the connection has answered it
  // with this status.
  std::function<void(int aStatus, const std::string& aReason)> onMalformed_;
  // Returns whether the host is draining; connections are then closed after
  // their last response.
  std::function<bool()> isDraining_;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(tcp::socket aSocket, const CallerHooks& aHooks);
  void Start();
  // Closes the connection if no request is in progress on it.
  void CloseIfIdle();
  // Ends all requests in progress before the process exits; further input is
  // ignored.
  void AnswerRemaining();
  bool IsIdle() const;
  bool IsClosed() const { return closed_; }
  // Enforces the header and idle timeouts. Call a few times per second.
  void CheckTimeouts(TimePoint aNow);

private:
  class PendingRequest;
  using Parser = http::request_parser<http::string_body>;

  void Read();
  void OnRead(const ErrorCode& aError);
  void ParseBuffered();
  bool ParseOne();
  // Rejects the request and returns true if its chunk lines, their extensions
  // or its trailers are too long.
  bool RejectLongFraming();
  std::size_t MaxBufferedBytes() const;
  void NewParser();
  void SendContinue();
  void OnRequest();
  void RespondLast(int aStatus, HttpHeaders aHeaders);
  void Reject(int aStatus, const std::string& aReason);
  void WriteNextResponse();
  void OnWritten(const ErrorCode& aError);
  void NotifyFront();
  void CancelAll();
  void Close();
  void ShutdownSend();

  tcp::socket socket_;
  const CallerHooks& hooks_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  // Of the current request.
  FramingLimit framing_;
  std::deque<std::shared_ptr<PendingRequest>> pipeline_;
  std::string outgoing_;
  TimePoint lastActivity_;
  // When the first byte of the current request header arrived.
  std::optional<TimePoint> headerSince_;
  bool continueSent_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool wroteLastResponse_ = false;
  // No further requests are read from this connection.
  bool readClosed_ = false;
  bool closed_ = false;
};

}
