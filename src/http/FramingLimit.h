#pragma once

// Bounds the bytes of a message that are not its body: the head, chunk lines
// with their extensions, trailers and interim responses. The parser's limits on
// heads and bodies do not cover all of these, so a peer could send them without
// end.
//
//   FramingLimit limit;
//   limit.OnParsed(consumed);
//   if (limit.IsExceeded(buffered, body.size())) { ... }

#include <cstddef>

namespace peridotsail::detail {

class FramingLimit
{
public:
  void OnParsed(std::size_t aBytes) { parsedBytes_ += aBytes; }
  // Starts another message of the same exchange, for example the one after an
  // interim response. The limit on their framing is a common one.
  void OnMessage(std::size_t aBodyBytes) { earlierBodyBytes_ += aBodyBytes; }

  // aUnparsedBytes have been received and wait for the rest of the head, chunk
  // line or trailers that they belong to. aBodyBytes is the size of the current
  // body.
  bool IsExceeded(std::size_t aUnparsedBytes, std::size_t aBodyBytes) const
  {
    const std::size_t bodyBytes = earlierBodyBytes_ + aBodyBytes;
    return parsedBytes_ - bodyBytes + aUnparsedBytes >
           kMaxFramingBytes + kMaxFramingPerBodyByte * bodyBytes;
  }

private:
  // A head of the largest size and as much again.
  static constexpr std::size_t kMaxFramingBytes = 128 << 10;
  // A body in chunks of a single byte has five other bytes for each of them.
  static constexpr std::size_t kMaxFramingPerBodyByte = 8;

  std::size_t parsedBytes_ = 0;
  std::size_t earlierBodyBytes_ = 0;
};

}
