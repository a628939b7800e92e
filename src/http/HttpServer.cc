#include "http/HttpServer.h"

#include "http/BeastTypes.h"
#include "http/MessageParser.h"
#include "http/StringBody.h"

#include <algorithm>
#include <deque>
#include <map>

namespace peridotsail {

using namespace detail;

namespace {

constexpr Duration kAcceptRetryInterval = std::chrono::milliseconds(50);
constexpr std::size_t kReadBytes = 4 << 10;

}

struct HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(asio::io_context& aContext, HttpServerOptions aOptions, Handler aHandler)
    : context_(aContext)
    , options_(aOptions)
    , handler_(std::move(aHandler))
    , acceptor_(aContext)
    , retryTimer_(aContext)
  {
  }

  void Accept();
  // Waits before the next accept, since a failed one fails again at once.
  void AcceptLater();
  // Closes the connection whose peer has been waited for for longest. Returns
  // false if there is none.
  bool CloseLongestWaiting();
  // Closes connections until the input fits.
  void LimitInput();

  asio::io_context& context_;
  HttpServerOptions options_;
  Handler handler_;
  tcp::acceptor acceptor_;
  asio::steady_timer retryTimer_;
  std::size_t connections_ = 0;
  // Connections that wait for their peer to send a request or to read a
  // response, and since when.
  std::map<HttpReply*, TimePoint> waiting_;
  // The memory of the requests that are being read.
  std::size_t inputBytes_ = 0;
  std::uint64_t closed_ = 0;
};

namespace {

// A connection; also the reply to its current request.
class Session
  : public HttpReply
  , public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, std::shared_ptr<HttpServer::Impl> aServer);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void ReadRequest();
  void Send(HttpResponse aResponse) override;
  void Begin(int aStatus, const HttpHeaders& aHeaders) override;
  bool Write(std::string aChunk) override;
  void End() override;
  void Abort() override;

private:
  void Read();
  void OnRead(const ErrorCode& aError, std::size_t aSize);
  void Parse();
  void OnRequest(const ErrorCode& aError);
  // Accounts for the memory of the request that is being read.
  void SetInputBytes(std::size_t aBytes);
  void CountInput();
  void SendMalformed(const ErrorCode& aError);
  void Enqueue(std::string aBytes);
  void WriteNext();
  void OnWritten(const ErrorCode& aError);

  beast::tcp_stream stream_;
  std::shared_ptr<HttpServer::Impl> server_;
  beast::flat_buffer buffer_;
  std::optional<MessageParser<true, StringBody>> parser_;
  std::size_t inputBytes_ = 0;
  bool keepAlive_ = false;
  bool closed_ = false;
  // Set when the last chunk of a response is queued.
  bool responseQueued_ = false;
  std::deque<std::string> queue_;
};

// The number of unsent chunks above which a streamed response is aborted.
constexpr std::size_t kMaxQueuedChunks = 1000;

std::string
Serialize(int aStatus, const HttpHeaders& aHeaders, const std::string* aBody)
{
  http::response<http::string_body> response;
  response.version(11);
  response.result(static_cast<unsigned>(aStatus));
  SetHeaders(response, aHeaders);
  if (aBody != nullptr) {
    response.body() = *aBody;
    response.prepare_payload();
  } else {
    response.chunked(true);
  }
  std::ostringstream head;
  head << response.base();
  std::string bytes = head.str();
  if (aBody != nullptr) {
    bytes += *aBody;
  }
  return bytes;
}

Session::Session(tcp::socket aSocket, std::shared_ptr<HttpServer::Impl> aServer)
  : stream_(std::move(aSocket))
  , server_(std::move(aServer))
{
  ++server_->connections_;
}

Session::~Session()
{
  --server_->connections_;
  server_->waiting_.erase(this);
  SetInputBytes(0);
}

void
Session::ReadRequest()
{
  parser_.emplace();
  parser_->header_limit(
    static_cast<std::uint32_t>(server_->options_.maxHeaderBytes_));
  parser_->body_limit(server_->options_.maxBodyBytes_);
  parser_->eager(true);
  responseQueued_ = false;
  server_->waiting_[this] = BootClock::now();
  stream_.expires_after(ToSteady(server_->options_.timeout_));
  Parse();
}

void
Session::Read()
{
  stream_.async_read_some(
    buffer_.prepare(kReadBytes),
    [self = shared_from_this()](ErrorCode aError, std::size_t aSize) {
      self->OnRead(aError, aSize);
    });
  CountInput();
}

void
Session::OnRead(const ErrorCode& aError, std::size_t aSize)
{
  if (closed_) {
    return;
  }
  buffer_.commit(aSize);
  if (aError) {
    // The peer has left, or was too slow.
    server_->waiting_.erase(this);
    return;
  }
  Parse();
}

void
Session::Parse()
{
  ErrorCode error;
  while (buffer_.size() > 0 && !parser_->is_done() && !error) {
    buffer_.consume(parser_->put(buffer_.data(), error));
  }
  const bool tooLong = buffer_.size() >= kMaxUnparsedBytes;
  if (error == http::error::need_more && tooLong) {
    error = http::error::buffer_overflow;
  }
  if (parser_->is_done()) {
    OnRequest({});
  } else if (error && error != http::error::need_more) {
    OnRequest(error);
  } else {
    Read();
  }
}

void
Session::SetInputBytes(std::size_t aBytes)
{
  server_->inputBytes_ = server_->inputBytes_ - inputBytes_ + aBytes;
  inputBytes_ = aBytes;
}

void
Session::CountInput()
{
  SetInputBytes(buffer_.capacity() + parser_->Head().Bytes() +
                parser_->Body().Text().capacity());
  server_->LimitInput();
}

void
Session::OnRequest(const ErrorCode& aError)
{
  server_->waiting_.erase(this);
  if (aError) {
    SendMalformed(aError);
    return;
  }
  stream_.expires_never();
  MessageHead& head = parser_->Head();
  HttpRequest request;
  request.method_ = std::move(head.method_);
  request.target_ = std::move(head.target_);
  request.headers_ = ToHeaders(head.fields_);
  request.body_ = std::move(parser_->Body().Text());
  keepAlive_ = parser_->keep_alive();
  parser_.reset();
  SetInputBytes(buffer_.capacity());
  server_->handler_(request, shared_from_this());
}

void
Session::SendMalformed(const ErrorCode& aError)
{
  keepAlive_ = false;
  if (aError == http::error::header_limit) {
    Send({ 431, {}, "" });
  } else if (aError == http::error::body_limit) {
    Send({ 413, {}, "" });
  } else if (aError.category() ==
               http::make_error_code(http::error::bad_method).category() &&
             aError != http::error::end_of_stream &&
             aError != http::error::partial_message) {
    Send({ 400, {}, "" });
  }
}

void
Session::Send(HttpResponse aResponse)
{
  if (!keepAlive_) {
    aResponse.headers_.push_back({ "Connection", "close" });
  }
  responseQueued_ = true;
  Enqueue(Serialize(aResponse.status_, aResponse.headers_, &aResponse.body_));
}

void
Session::Begin(int aStatus, const HttpHeaders& aHeaders)
{
  Enqueue(Serialize(aStatus, aHeaders, nullptr));
}

bool
Session::Write(std::string aChunk)
{
  if (closed_ || queue_.size() > kMaxQueuedChunks) {
    Abort();
    return false;
  }
  std::ostringstream chunk;
  chunk << std::hex << aChunk.size() << "\r\n" << aChunk << "\r\n";
  Enqueue(chunk.str());
  return true;
}

void
Session::End()
{
  responseQueued_ = true;
  Enqueue("0\r\n\r\n");
}

void
Session::Abort()
{
  closed_ = true;
  server_->waiting_.erase(this);
  SetInputBytes(0);
  stream_.close();
}

void
Session::Enqueue(std::string aBytes)
{
  if (closed_) {
    return;
  }
  queue_.push_back(std::move(aBytes));
  if (queue_.size() == 1) {
    WriteNext();
  }
}

void
Session::WriteNext()
{
  server_->waiting_[this] = BootClock::now();
  stream_.expires_after(ToSteady(server_->options_.timeout_));
  asio::async_write(stream_,
                    asio::buffer(queue_.front()),
                    [self = shared_from_this()](ErrorCode aError, std::size_t) {
                      self->OnWritten(aError);
                    });
}

void
Session::OnWritten(const ErrorCode& aError)
{
  if (aError || closed_) {
    Abort();
    return;
  }
  server_->waiting_.erase(this);
  queue_.pop_front();
  if (!queue_.empty()) {
    WriteNext();
    return;
  }
  stream_.expires_never();
  if (!responseQueued_) {
    return;
  }
  if (keepAlive_) {
    ReadRequest();
    return;
  }
  ErrorCode ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  closed_ = true;
}

}

bool
HttpServer::Impl::CloseLongestWaiting()
{
  const auto longest =
    std::min_element(waiting_.begin(),
                     waiting_.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second < aRight.second;
                     });
  if (longest == waiting_.end()) {
    return false;
  }
  longest->first->Abort();
  ++closed_;
  return true;
}

void
HttpServer::Impl::LimitInput()
{
  while (inputBytes_ > options_.maxInputBytes_ && CloseLongestWaiting()) {
  }
}

void
HttpServer::Impl::Accept()
{
  acceptor_.async_accept(
    [self = shared_from_this()](ErrorCode aError, tcp::socket aSocket) {
      if (!self->acceptor_.is_open()) {
        return;
      }
      if (aError) {
        // Most likely no descriptor is left.
        self->CloseLongestWaiting();
        self->AcceptLater();
        return;
      }
      const bool hasRoom = self->connections_ < self->options_.maxConnections_;
      if (hasRoom || self->CloseLongestWaiting()) {
        std::make_shared<Session>(std::move(aSocket), self)->ReadRequest();
      }
      self->Accept();
    });
}

void
HttpServer::Impl::AcceptLater()
{
  retryTimer_.expires_after(ToSteady(kAcceptRetryInterval));
  retryTimer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError && self->acceptor_.is_open()) {
      self->Accept();
    }
  });
}

HttpServer::HttpServer(asio::io_context& aContext,
                       HttpServerOptions aOptions,
                       Handler aHandler)
  : impl_(std::make_shared<Impl>(aContext, aOptions, std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  Close();
}

bool
HttpServer::Listen(const Address& aAddress, Error& aError)
{
  const bool opened = OpenAcceptor(impl_->acceptor_,
                                   aAddress,
                                   asio::socket_base::max_listen_connections,
                                   aError);
  if (!opened) {
    return false;
  }
  impl_->Accept();
  return true;
}

std::uint16_t
HttpServer::Port() const
{
  return impl_->acceptor_.local_endpoint().port();
}

std::uint64_t
HttpServer::Closed() const
{
  return impl_->closed_;
}

void
HttpServer::Close()
{
  ErrorCode ignored;
  impl_->acceptor_.close(ignored);
}

}
