#pragma once

// An HTTP/1.1 server connection of a caller. Supports pipelining: further
// requests are read while earlier ones are in progress, and responses are
// written in request order. Used on the traffic thread only; included by .cc
// files.

#include "base/EventLog.h"
#include "gateway/CallerExchange.h"
#include "gateway/RoutingTable.h"
#include "http/BlockBuffer.h"
#include "http/FramingLimit.h"
#include "http/MessageParser.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail::detail {

struct CallerHooks
{
  std::function<GatewayLimits()> limits_;
  // Called for each complete request.
  using RequestCallbacks = detail::RequestCallbacks;
  std::function<RequestCallbacks(std::shared_ptr<CallerExchange>)> onRequest_;
  // Called when a request could not be parsed; the connection has answered it
  // with this status.
  std::function<void(int aStatus, const std::string& aReason)> onMalformed_;
  // Returns whether the host is draining; connections are then closed after
  // their last response.
  std::function<bool()> isDraining_;
  // Accounts for what is held for callers.
  MemoryPool* memory_ = nullptr;
};

// Read into the buffer of a connection that waits for a request, and of one
// that has read a part of it.
constexpr std::size_t kIdleReadBytes = 4 << 10;
constexpr std::size_t kReadBytes = 16 << 10;
// Requests of one connection that may be in progress at the same time.
constexpr std::size_t kMaxPipelined = 16;

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
  // Returns whether the connection can be closed without the loss of a request
  // that was read whole, or of a response.
  bool IsEvictable() const { return pipeline_.empty() && !writing_; }
  TimePoint LastActivity() const { return lastActivity_; }
  void Close();
  // Enforces the header and idle timeouts. Call a few times per second.
  void CheckTimeouts(TimePoint aNow);

private:
  class PendingRequest;
  using Parser = MessageParser<true, BlockBuffer>;

  void Read();
  void OnRead(const ErrorCode& aError, std::size_t aSize);
  // Reads and ignores what follows the last request.
  void Discard();
  void OnDiscarded(const ErrorCode& aError, std::size_t aSize);
  void ParseBuffered();
  bool ParseOne();
  // Continues with the next buffered request after other connections had their
  // turn.
  void ParseLater();
  // Rejects the request and returns true if its chunk lines, their extensions
  // or its trailers are too long.
  bool RejectLongFraming();
  std::size_t MaxBufferedBytes() const;
  void NewParser();
  void SendContinue();
  void OnRequest();
  void RespondLast(int aStatus, HeaderFields aHeaders);
  void Reject(int aStatus, const std::string& aReason);
  void WriteNextResponse();
  void StartWrite();
  // aWritten bytes of the response have been written.
  void OnProgress(std::size_t aWritten);
  void OnWritten(const ErrorCode& aError);
  void NotifyFront();
  void CancelAll();
  // Requests memory for the input that is about to be read. Returns false if
  // reading must pause or the request was refused.
  bool Reserve();
  std::size_t BytesToReserve() const;
  // The memory of the current request, without the buffered input.
  std::size_t RequestBytes() const;
  // The memory of the input buffer, as it is when the next read is pending.
  std::size_t InputBytes() const;
  // Returns the memory that an unfinished or complete head does not need.
  void ReleaseUnused();
  void ReserveBuffer();
  void OnMemory(MemoryNotice aNotice);
  // Answers the unfinished request, for which there is no memory.
  void RefuseUnfinished(Event aEvent);
  // Closes a connection whose caller does not read its response.
  void CloseUnread();
  // Releases the memory of the current request.
  void DropInput();
  void ShutdownSend();

  tcp::socket socket_;
  const CallerHooks& hooks_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  // Of the current request.
  FramingLimit framing_;
  std::deque<std::shared_ptr<PendingRequest>> pipeline_;
  // The response that is being written.
  std::string outgoingHead_;
  CallerResponse outgoing_;
  std::size_t writtenBytes_ = 0;
  // The memory of the current request.
  std::shared_ptr<MemoryHold> hold_;
  // The size of the current request's head.
  std::size_t headBytes_ = 0;
  // Bytes that were read after the last response.
  std::size_t discardedBytes_ = 0;
  TimePoint lastActivity_;
  // When the last response was written.
  TimePoint lingerSince_;
  // When the first byte of the current request header arrived.
  std::optional<TimePoint> headerSince_;
  bool continueSent_ = false;
  bool reading_ = false;
  // Waits for memory.
  bool paused_ = false;
  // The next buffered request is parsed when it is this connection's turn.
  bool parseLater_ = false;
  bool writing_ = false;
  bool wroteLastResponse_ = false;
  // No further requests are read from this connection.
  bool readClosed_ = false;
  bool closed_ = false;
};

}
