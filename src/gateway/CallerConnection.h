#pragma once

// A caller's connection: reads requests, also ones sent before the earlier ones
// were answered, and writes the answers in the order of the requests. Traffic
// thread only; included by .cc files.

#include "gateway/RoutingTable.h"
#include "http/BeastTypes.h"

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

struct CallerAnswer
{
  int status_ = 503;
  HttpHeaders headers_;
  std::string body_;
  // Ends the connection after this answer.
  bool close_ = false;
};

// One request and the place of its answer in the connection's order.
class CallerExchange
{
public:
  virtual ~CallerExchange() = default;
  virtual const CallerRequest& Request() const = 0;
  // Whether all earlier requests of the connection have been answered.
  virtual bool IsFirst() const = 0;
  // Once.
  virtual void Answer(CallerAnswer aAnswer) = 0;
};

struct CallerHooks
{
  std::function<GatewayLimits()> limits_;
  // A whole request is there. The result is asked to go on when the request
  // becomes the first of its connection, and to end when the caller left; both
  // may be empty.
  struct Handling
  {
    std::function<void()> onFirst_;
    std::function<void()> onGone_;
  };
  std::function<Handling(std::shared_ptr<CallerExchange>)> onRequest_;
  // A request could not be read; the connection answered it with this status.
  std::function<void(int aStatus, const std::string& aReason)> onMalformed_;
  // Every answer ends its connection.
  std::function<bool()> closing_;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(tcp::socket aSocket, const CallerHooks& aHooks);
  void Start();
  // Closes the connection when no request is in progress on it.
  void CloseIfIdle();
  bool IsIdle() const;
  bool IsClosed() const { return closed_; }
  // Enforces the header and idle timeouts; call a few times a second.
  void CheckTimeouts(TimePoint aNow);

private:
  class Slot;
  using Parser = http::request_parser<http::string_body>;

  void Read();
  void OnRead(const ErrorCode& aError);
  void ParseAll();
  bool ParseOne();
  void NewParser();
  void SendContinue();
  void OnRequest();
  void Reject(int aStatus, const std::string& aReason);
  void WriteReady();
  void OnWritten(const ErrorCode& aError);
  void AdvanceFirst();
  void Abandon();
  void Close();
  void FinishWriting();

  tcp::socket socket_;
  const CallerHooks& hooks_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::deque<std::shared_ptr<Slot>> slots_;
  std::string outgoing_;
  TimePoint lastActivity_;
  // When the first byte of the header being read arrived.
  std::optional<TimePoint> headerSince_;
  bool continueSent_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool lastWritten_ = false;
  // No further requests are read.
  bool readClosed_ = false;
  bool closed_ = false;
};

}
