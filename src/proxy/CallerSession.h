#pragma once

// One caller's connection. Internal to CallerServer.
//
// What it holds is accounted for in the server's memory pool, if there is one:
// the head from its first byte on, and the buffers of a request until its
// response has been sent. CallerSessionMemory.cc has this part.

#include "base/EventLog.h"
#include "http/BeastTypes.h"
#include "http/MessageParser.h"
#include "http/MessageWriter.h"
#include "http/StringBody.h"
#include "proxy/CallerServer.h"

#include <memory>
#include <optional>
#include <set>

namespace peridotsail {

namespace detail {

class CallerSession;

}

struct CallerServer::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(boost::asio::io_context& aContext,
       CallerServerOptions aOptions,
       Handler aHandler);
  void Accept();
  // Waits before the next accept, since a failed one fails again at once.
  void AcceptLater();
  // Closes the connection without a request whose caller has been silent for
  // longest. Returns false if there is none.
  bool CloseSilent();
  void Add(detail::CallerSession& aSession);
  void Remove(detail::CallerSession& aSession);
  // Accounts for the connections after their number has changed.
  void CountConnections();

  boost::asio::io_context& context_;
  CallerServerOptions options_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retryTimer_;
  // Sessions remove themselves in their destructor.
  std::set<detail::CallerSession*> sessions_;
  // Sessions that wait for memory, so that no operation keeps them.
  std::set<std::shared_ptr<detail::CallerSession>> waiting_;
  std::uint64_t closed_ = 0;
  bool closing_ = false;
};

namespace detail {

// Read into the buffer of a connection that waits for a request, and of one
// that has read a part of it.
constexpr std::size_t kIdleReadBytes = 4 << 10;
constexpr std::size_t kReadBytes = 16 << 10;

class CallerSession
  : public IncomingRequest
  , public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(tcp::socket aSocket,
                std::shared_ptr<CallerServer::Impl> aServer);
  ~CallerSession() override;

  void Start();
  void CloseIfIdle();
  void Close();
  // Returns whether the connection can be closed without the loss of a request
  // or of a response.
  bool IsSilent() const { return idle_ && !paused_ && !closed_; }
  TimePoint LastActivity() const { return lastActivity_; }

  const RequestHead& Head() const override { return head_; }
  void ReadBody(ReadCallback aCallback) override;
  void SendHead(ResponseHead aHead, WriteCallback aCallback) override;
  void SendBody(BodyChunk aChunk, WriteCallback aCallback) override;
  void Abort() override;

private:
  using RequestParser = MessageParser<true, StringBody>;

  void ReadHead();
  // Parses the buffered part of the head and reads on if it is not complete.
  void ParseHead();
  // Reads up to aBytes more and calls aNext, also on an error.
  void ReadMore(std::size_t aBytes, std::function<void(ErrorCode)> aNext);
  void ReadMoreOfHead(std::size_t aBytes);
  void OnHead(const ErrorCode& aError);
  void StartRequest();
  void RefuseMalformed(const ErrorCode& aError);
  void RefuseUnfinished(ErrorKind aKind);
  void ReadChunk(ReadCallback aCallback);
  // Parses the buffered part of the body. Returns whether there is a chunk to
  // deliver.
  bool ParseChunk(ErrorCode& aError);
  void DeliverChunk(const ReadCallback& aCallback, const ErrorCode& aError);
  void SendContinue(ReadCallback aCallback);
  void WatchForDisconnect();
  void FinishResponse();
  void DiscardInput();
  bool BodyAllowed() const;
  std::string HeadText(const ResponseHead& aHead) const;

  // Requests memory for the input that is about to be parsed, or for the
  // request. Returns false if the connection must wait or was refused.
  bool Reserve(std::size_t aBytes);
  void OnMemory(MemoryNotice aNotice);
  void RefuseForMemory(Event aEvent);
  std::size_t InputBytes() const;
  std::size_t RequestBytes() const;

  beast::tcp_stream stream_;
  std::shared_ptr<CallerServer::Impl> server_;
  beast::flat_buffer buffer_;
  std::optional<RequestParser> parser_;
  RequestHead head_;
  int responseStatus_ = 0;
  // The response's body is sent with chunked transfer coding.
  bool chunked_ = false;
  std::string writeBuffer_;
  ChunkFrame frame_;
  // The memory of the current request.
  std::shared_ptr<MemoryHold> hold_;
  TimePoint lastActivity_;
  // No request was read since the last response.
  bool idle_ = true;
  bool closed_ = false;
  // A request that was not read whole is being refused.
  bool refused_ = false;
  // The last response of the connection was sent; further input is discarded.
  bool responded_ = false;
  bool reading_ = false;
  // Waits for memory.
  bool paused_ = false;
  bool keepAlive_ = false;
  bool continueSent_ = false;
  bool watching_ = false;
};

}

}
