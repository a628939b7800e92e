#include "gateway/ServerExchange.h"

#include <array>
#include <charconv>

namespace peridotsail {

namespace {

struct OutcomeName
{
  ExchangeOutcome outcome_;
  std::string_view name_;
};

constexpr std::array<OutcomeName, 4> kOutcomeNames{ {
  { ExchangeOutcome::Answered, "answered" },
  { ExchangeOutcome::NotRun, "not-run" },
  { ExchangeOutcome::ConnectionLost, "connection-lost" },
  { ExchangeOutcome::BrokenAnswer, "broken-answer" },
} };

}

std::string_view
NameOf(ExchangeOutcome aOutcome)
{
  for (const OutcomeName& row : kOutcomeNames) {
    if (row.outcome_ == aOutcome) {
      return row.name_;
    }
  }
  return "";
}

}

namespace peridotsail::detail {

namespace {

constexpr std::size_t kReadBytes = 16 << 10;
// The largest header and body of an answer.
// A server's longer wish is malformed or as good as for ever.
constexpr double kMostRestSeconds = 3600;
constexpr std::uint32_t kMostHeaderBytes = 64 << 10;
constexpr std::uint64_t kMostBodyBytes = 16 << 20;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

std::string_view
Field(const http::fields& aFields, const std::string& aName)
{
  return ToView(aFields[aName]);
}

// The seconds of "timeout=5, max=100"; zero when there are none.
Duration
KeepAliveTime(const http::fields& aFields)
{
  constexpr std::string_view kName = "timeout=";
  const std::string_view text = ToView(aFields["Keep-Alive"]);
  const std::size_t at = text.find(kName);
  if (at == std::string_view::npos) {
    return Duration::zero();
  }
  int seconds = 0;
  const char* begin = text.data() + at + kName.size();
  const auto parsed =
    std::from_chars(begin, text.data() + text.size(), seconds);
  return parsed.ec == std::errc() ? Duration(std::chrono::seconds(seconds))
                                  : Duration::zero();
}

}

ServerExchange::ServerExchange(ServerConnections& aConnections,
                               const GatewayHeaders& aHeaders,
                               ServerRequest aRequest,
                               Done aDone)
  : connections_(aConnections)
  , headers_(aHeaders)
  , request_(std::move(aRequest))
  , done_(std::move(aDone))
  , connectTimer_(aConnections.Context())
{
}

void
ServerExchange::Start()
{
  startedAt_ = BootClock::now();
  waitingAtStart_ = request_.instance_->queue_.Waiting(startedAt_);
  request_.instance_->queue_.Sent();
  connection_ = connections_.TakeIdle(request_.instance_, startedAt_);
  if (connection_) {
    Send();
  } else {
    Connect();
  }
}

void
ServerExchange::Connect()
{
  connection_ = connections_.MakeNew(request_.instance_);
  connectTimer_.expires_after(ToSteady(request_.connectLimit_));
  connectTimer_.async_wait([self = shared_from_this()](ErrorCode aError) {
    // After a freeze the connection may have opened in the same turn, and the
    // request be on its way.
    if (!aError && !self->finished_ && !self->sent_) {
      self->result_.unreachable_ = true;
      self->Finish(ExchangeOutcome::NotRun, "connect timeout");
    }
  });
  connection_->socket_.async_connect(
    ToEndpoint(request_.instance_->Record().address_),
    [self = shared_from_this()](ErrorCode aError) {
      if (self->finished_) {
        return;
      }
      self->connectTimer_.cancel();
      if (aError) {
        self->result_.unreachable_ = true;
        self->Finish(ExchangeOutcome::NotRun, aError.message());
        return;
      }
      self->connections_.Connected(*self->request_.instance_,
                                   BootClock::now() - self->startedAt_);
      self->connection_->Configure(self->connections_.Options().silenceLimit_);
      self->Send();
    });
}

void
ServerExchange::Send()
{
  sent_ = true;
  ++connection_->served_;
  const std::array<asio::const_buffer, 2> bytes{
    asio::buffer(request_.head_), asio::buffer(*request_.body_)
  };
  asio::async_write(connection_->socket_,
                    bytes,
                    [self = shared_from_this()](ErrorCode aError, std::size_t) {
                      // The reader notices a broken connection too, after the
                      // bytes that the server sent before.
                      self->written_ = !aError;
                    });
  NewParser();
  Read();
}

void
ServerExchange::NewParser()
{
  parser_.emplace();
  parser_->eager(true);
  parser_->skip(request_.isHead_);
  parser_->header_limit(kMostHeaderBytes);
  parser_->body_limit(kMostBodyBytes);
}

void
ServerExchange::Read()
{
  connection_->socket_.async_read_some(
    connection_->buffer_.prepare(kReadBytes),
    [self = shared_from_this()](ErrorCode aError, std::size_t aSize) {
      if (self->finished_) {
        return;
      }
      self->connection_->buffer_.commit(aSize);
      self->OnRead(aError);
    });
}

void
ServerExchange::OnRead(const ErrorCode& aError)
{
  if (!aError) {
    if (Parse()) {
      Read();
    }
    return;
  }
  // An answer without a length ends with its connection, but only with an
  // orderly end.
  if (aError == asio::error::eof && parser_->is_header_done() &&
      !parser_->is_done()) {
    ErrorCode error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
      OnWholeAnswer();
      return;
    }
  }
  Finish(ExchangeOutcome::ConnectionLost, aError.message());
}

// Returns whether more bytes are needed.
bool
ServerExchange::Parse()
{
  beast::flat_buffer& buffer = connection_->buffer_;
  while (buffer.size() > 0) {
    ErrorCode error;
    const std::size_t used = parser_->put(buffer.data(), error);
    buffer.consume(used);
    if (error == http::error::need_more) {
      return true;
    }
    if (error) {
      Finish(ExchangeOutcome::BrokenAnswer, error.message());
      return false;
    }
    if (!CountHeld()) {
      Finish(ExchangeOutcome::BrokenAnswer, "too many bytes of answers held");
      return false;
    }
    if (parser_->is_done() && !OnWholeAnswer()) {
      return false;
    }
    if (used == 0) {
      return true;
    }
  }
  return true;
}

// Returns whether the answer to this request is still to come.
bool
ServerExchange::OnWholeAnswer()
{
  const auto& message = parser_->get();
  const bool interim = message.result_int() / 100 == 1;
  if (interim) {
    NewParser();
    return true;
  }
  if (!IsOwnAnswer(message)) {
    foreignAnswer_ = true;
    NewParser();
    return true;
  }
  ReportLoad(message);
  ReportState(message);
  Judge(message);
  return false;
}

// A late answer to an earlier request has that request's id.
bool
ServerExchange::IsOwnAnswer(const Parser::value_type& aMessage)
{
  const std::string_view id = Field(aMessage, headers_.requestId_);
  if (!id.empty()) {
    return id == request_.requestId_;
  }
  // A refusal may come without an id. On a connection that carried other
  // requests it may be a late one.
  return connection_->served_ == 1 && !foreignAnswer_;
}

void
ServerExchange::Judge(const Parser::value_type& aMessage)
{
  const int status = static_cast<int>(aMessage.result_int());
  const bool signedAnswer = !Field(aMessage, headers_.signature_).empty();
  // With 421 another server has the address.
  if (status == kMisdirected ||
      !Field(aMessage, headers_.notExecuted_).empty()) {
    KeepConnection(aMessage);
    Finish(ExchangeOutcome::NotRun,
           "status " + std::to_string(status) + ", not executed");
    return;
  }
  const bool success = status / 100 == 2;
  if (success && !signedAnswer) {
    Finish(ExchangeOutcome::BrokenAnswer, "success without a signature");
    return;
  }
  if (aMessage.count(http::field::content_encoding) > 0) {
    Finish(ExchangeOutcome::BrokenAnswer, "encoded body");
    return;
  }
  result_.answer_.status_ = status;
  result_.answer_.headers_ = ToHeaders(aMessage);
  result_.answer_.body_ = aMessage.body();
  KeepConnection(aMessage);
  Finish(ExchangeOutcome::Answered, "");
}

void
ServerExchange::ReportLoad(const Parser::value_type& aMessage)
{
  const std::string_view text = Field(aMessage, headers_.load_);
  ReportedLoad load;
  const char* end = text.data() + text.size();
  const auto running = std::from_chars(text.data(), end, load.running_);
  if (running.ec != std::errc() || running.ptr == end) {
    return;
  }
  const auto waiting = std::from_chars(running.ptr + 1, end, load.waiting_);
  if (waiting.ec != std::errc()) {
    return;
  }
  load.at_ = BootClock::now();
  request_.instance_->queue_.Report(load);
}

void
ServerExchange::ReportState(const Parser::value_type& aMessage)
{
  const int status = static_cast<int>(aMessage.result_int());
  // Another server than the one that was meant speaks of itself.
  if (status == kMisdirected) {
    return;
  }
  if (!Field(aMessage, headers_.leaving_).empty()) {
    request_.instance_->SetLeaving();
  }
  if (status == kUnavailable) {
    const std::string_view text = ToView(aMessage[http::field::retry_after]);
    double seconds = 0;
    const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec == std::errc() && seconds > 0) {
      request_.instance_->SetResting(
        BootClock::now() + FromSeconds(std::min(seconds, kMostRestSeconds)));
    }
  }
}

bool
ServerExchange::CountHeld()
{
  const std::size_t held = parser_->get().body().size();
  const bool fits = connections_.Hold(held_, held);
  held_ = held;
  return fits;
}

void
ServerExchange::KeepConnection(const Parser::value_type& aMessage)
{
  const bool reusable = written_ && aMessage.keep_alive() &&
                        !parser_->need_eof() && !foreignAnswer_ &&
                        connection_->buffer_.size() == 0;
  if (reusable) {
    connections_.Return(
      std::move(connection_), KeepAliveTime(aMessage), BootClock::now());
  }
}

// The request is no longer at the server; aRan: its time there tells of the
// server's run time.
void
ServerExchange::Leave(bool aRan)
{
  connections_.Hold(held_, 0);
  held_ = 0;
  QueueEstimate& queue = request_.instance_->queue_;
  queue.Ended();
  if (aRan) {
    const TimePoint now = BootClock::now();
    queue.RecordRun(now - startedAt_, waitingAtStart_, now);
  }
}

void
ServerExchange::Finish(ExchangeOutcome aOutcome, std::string aReason)
{
  if (finished_) {
    return;
  }
  finished_ = true;
  Leave(aOutcome == ExchangeOutcome::Answered);
  connectTimer_.cancel();
  if (connection_) {
    ErrorCode ignored;
    connection_->socket_.close(ignored);
  }
  result_.outcome_ = aOutcome;
  result_.reason_ = std::move(aReason);
  const Done done = std::move(done_);
  done(std::move(result_));
}

void
ServerExchange::Cancel()
{
  if (finished_) {
    return;
  }
  finished_ = true;
  Leave(sent_);
  connectTimer_.cancel();
  ErrorCode ignored;
  connection_->socket_.close(ignored);
  done_ = nullptr;
}

}
