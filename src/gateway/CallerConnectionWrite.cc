// The responses of a caller's connection, in the order of its requests.

#include "gateway/PendingRequest.h"

#include <boost/asio/write.hpp>
#include <vector>

namespace peridotsail::detail {

// Answers a request that was not received completely, and closes the connection
// after it.
void
CallerConnection::RespondLast(int aStatus, HeaderFields aHeaders)
{
  readClosed_ = true;
  DropInput();
  const auto pending =
    std::make_shared<PendingRequest>(weak_from_this(), CallerRequest());
  pipeline_.push_back(pending);
  CallerResponse response;
  response.status_ = aStatus;
  response.headers_ = std::move(aHeaders);
  response.close_ = true;
  pending->Respond(std::move(response));
}

void
CallerConnection::WriteNextResponse()
{
  if (writing_ || closed_ || wroteLastResponse_ || pipeline_.empty() ||
      !pipeline_.front()->response_) {
    return;
  }
  const std::shared_ptr<PendingRequest> pending = pipeline_.front();
  pipeline_.pop_front();
  CallerResponse& response = *pending->response_;
  const bool last = pipeline_.empty() && (readClosed_ || hooks_.isDraining_());
  response.close_ = response.close_ || last;
  outgoingHead_ = SerializeHead(response, pending->request_.method_);
  outgoing_ = std::move(response);
  writing_ = true;
  wroteLastResponse_ = outgoing_.close_;
  lastActivity_ = BootClock::now();
  StartWrite();
  if (wroteLastResponse_) {
    // Requests that were pipelined behind the last response are dropped; the
    // caller must treat them as not processed.
    readClosed_ = true;
    CancelAll();
  } else {
    NotifyFront();
  }
}

void
CallerConnection::StartWrite()
{
  writtenBytes_ = 0;
  if (outgoing_.hold_) {
    outgoing_.hold_->SetStage(
      HoldStage::Sending,
      [weak = weak_from_this()](MemoryNotice aNotice) {
        const auto self = weak.lock();
        if (self && aNotice == MemoryNotice::Close) {
          self->CloseUnread();
        }
      },
      lastActivity_);
  }
  std::vector<asio::const_buffer> bytes{ asio::buffer(outgoingHead_) };
  if (outgoing_.body_) {
    for (const std::string_view block : outgoing_.body_->Blocks()) {
      bytes.emplace_back(block.data(), block.size());
    }
  }
  asio::async_write(
    socket_,
    bytes,
    [self = shared_from_this()](const ErrorCode& aError, std::size_t aWritten) {
      self->OnProgress(aWritten);
      return asio::transfer_all()(aError, aWritten);
    },
    [self = shared_from_this()](ErrorCode aError, std::size_t) {
      self->OnWritten(aError);
    });
}

void
CallerConnection::OnProgress(std::size_t aWritten)
{
  if (outgoing_.hold_ && aWritten > writtenBytes_) {
    outgoing_.hold_->Progress(aWritten - writtenBytes_, BootClock::now());
  }
  writtenBytes_ = aWritten;
}

void
CallerConnection::OnWritten(const ErrorCode& aError)
{
  writing_ = false;
  outgoing_ = {};
  if (closed_) {
    return;
  }
  if (aError) {
    wroteLastResponse_ = false;
    CancelAll();
    return;
  }
  lastActivity_ = BootClock::now();
  if (wroteLastResponse_) {
    ShutdownSend();
    return;
  }
  ParseBuffered();
  Read();
  WriteNextResponse();
}

// Sends FIN but keeps reading: unread input at close would make the kernel send
// RST, and the caller could lose the response.
void
CallerConnection::ShutdownSend()
{
  ErrorCode ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  lastActivity_ = BootClock::now();
  lingerSince_ = lastActivity_;
  Read();
}

void
CallerConnection::NotifyFront()
{
  if (pipeline_.empty() || pipeline_.front()->response_) {
    return;
  }
  const auto onFront = pipeline_.front()->callbacks_.onFront_;
  if (onFront) {
    onFront();
  }
}

void
CallerConnection::CloseUnread()
{
  LogEvent(Event::MemoryClosed,
           { { "bytes", outgoing_.hold_ ? outgoing_.hold_->Bytes() : 0 },
             { "written", writtenBytes_ } });
  wroteLastResponse_ = false;
  CancelAll();
}

}
