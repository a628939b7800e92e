#pragma once

// A Boost.Beast parser that keeps the head of a message compactly and appends
// its body to a buffer of the caller's choice. Trailer fields are dropped.
// Included by .cc files only.
//
//   MessageParser<true, BlockBuffer> parser;
//   buffer.consume(parser.put(buffer.data(), error));
//   if (parser.is_header_done()) { ... parser.Head().target_ ... }
//
// The body buffer has the functions Expect(bytes), for an announced length, and
// Append(data, bytes).

#include "http/BeastTypes.h"
#include "http/HeaderFields.h"

#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace peridotsail::detail {

struct MessageHead
{
  // Of a request.
  std::string method_;
  std::string target_;
  // Of a response.
  int status_ = 0;
  HeaderFields fields_;

  // The bytes that are allocated.
  std::size_t Bytes() const
  {
    return method_.capacity() + target_.capacity() + fields_.Bytes();
  }
  // The most bytes that are allocated after aMore bytes of the head were read.
  std::size_t MaxBytesAfter(std::size_t aMore) const
  {
    // Strings allocate a few bytes at least.
    constexpr std::size_t kMinStringBytes = 32;
    return method_.capacity() + target_.capacity() + 2 * kMinStringBytes +
           fields_.MaxBytesAfter(aMore);
  }
};

template<bool isRequest, typename BodyBuffer>
class MessageParser : public http::basic_parser<isRequest>
{
public:
  const MessageHead& Head() const { return head_; }
  MessageHead& Head() { return head_; }
  const BodyBuffer& Body() const { return body_; }
  BodyBuffer& Body() { return body_; }

protected:
  // The interface that Beast's basic_parser requires.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(http::verb /*aMethod*/,
                       beast::string_view aMethodText,
                       beast::string_view aTarget,
                       int /*aVersion*/,
                       ErrorCode& /*aError*/) override
  {
    head_.method_ = std::string(ToView(aMethodText));
    head_.target_ = std::string(ToView(aTarget));
  }

  void on_response_impl(int aStatus,
                        beast::string_view /*aReason*/,
                        int /*aVersion*/,
                        ErrorCode& /*aError*/) override
  {
    head_.status_ = aStatus;
  }

  void on_field_impl(http::field /*aField*/,
                     beast::string_view aName,
                     beast::string_view aValue,
                     ErrorCode& /*aError*/) override
  {
    if (!headDone_) {
      head_.fields_.Add(ToView(aName), ToView(aValue));
    }
  }

  void on_header_impl(ErrorCode& /*aError*/) override
  {
    headDone_ = true;
    head_.fields_.ShrinkToFit();
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         ErrorCode& /*aError*/) override
  {
    if (aLength) {
      body_.Expect(static_cast<std::size_t>(*aLength));
    }
  }

  std::size_t on_body_impl(beast::string_view aBytes,
                           ErrorCode& /*aError*/) override
  {
    body_.Append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            beast::string_view /*aExtensions*/,
                            ErrorCode& /*aError*/) override
  {
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*aRemaining*/,
                                 beast::string_view aBytes,
                                 ErrorCode& /*aError*/) override
  {
    body_.Append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_finish_impl(ErrorCode& /*aError*/) override {}
  // NOLINTEND(readability-identifier-naming)

private:
  MessageHead head_;
  BodyBuffer body_;
  bool headDone_ = false;
};

}
