#include "http/MessageParser.h"

#include "http/BlockBuffer.h"
#include "http/MessageWriter.h"
#include "http/StringBody.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace peridotsail;
using namespace peridotsail::detail;

namespace {

using RequestParser = MessageParser<true, BlockBuffer>;

std::string
HeadOfShortFields(std::size_t aFields)
{
  std::string head = "GET /safe/1 HTTP/1.1\r\nHost: post.example\r\n";
  for (std::size_t i = 0; i < aFields; ++i) {
    head += "a:b\r\n";
  }
  return head + "\r\n";
}

// Parses the text in pieces. Returns false on an error.
bool
Parse(RequestParser& aParser,
      const std::string& aText,
      const std::function<std::size_t()>& aNextPiece)
{
  beast::flat_buffer buffer;
  aParser.eager(true);
  std::size_t at = 0;
  while (at < aText.size()) {
    const std::size_t size = std::min(aNextPiece(), aText.size() - at);
    buffer.commit(asio::buffer_copy(buffer.prepare(size),
                                    asio::buffer(aText.data() + at, size)));
    at += size;
    ErrorCode error;
    buffer.consume(aParser.put(buffer.data(), error));
    if (error && error != http::error::need_more) {
      return false;
    }
  }
  return true;
}

}

// Guards against a head that depends on how its bytes arrive, and against
// trailer fields that pass for fields of the head.
TEST_CASE("A message is parsed alike in any pieces, without its trailers")
{
  constexpr unsigned kSeed = 11;
  INFO("seed " << kSeed);
  std::mt19937 random(kSeed);
  const std::string text = "POST /upload/1 HTTP/1.1\r\nHost: post.example\r\n"
                           "x: 1\r\nX: 2\r\nEmpty:\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n"
                           "Authorization: Token trailer\r\n\r\n";
  for (int round = 0; round < 200; ++round) {
    RequestParser parser;
    REQUIRE(Parse(parser, text, [&] { return 1 + random() % 40; }));
    REQUIRE(parser.is_done());
    const MessageHead& head = parser.Head();
    CHECK(head.method_ == "POST");
    CHECK(head.target_ == "/upload/1");
    REQUIRE(head.fields_.Size() == 5);
    CHECK(head.fields_.Value("host") == "post.example");
    CHECK(head.fields_.Value("X") == "1");
    CHECK(head.fields_[2].value_ == "2");
    CHECK(head.fields_.Has("empty"));
    CHECK(head.fields_.Value("Empty").empty());
    CHECK_FALSE(head.fields_.Has("Authorization"));
    CHECK(parser.Body().Prefix(9) == "abcde");
  }
}

// Guards against heads that take many times their bytes: an account that counts
// bytes of the head would be exceeded.
TEST_CASE("A head of short fields stays within the memory stated for its bytes")
{
  for (const std::size_t fields : { 0u, 1u, 40u, 1000u, 3200u }) {
    const std::string text = HeadOfShortFields(fields);
    RequestParser parser;
    parser.header_limit(64 << 10);
    REQUIRE(Parse(parser, text, [&] { return text.size(); }));
    REQUIRE(parser.is_header_done());
    INFO(fields << " fields, " << text.size() << " bytes");
    CHECK(parser.Head().fields_.Size() == fields + 1);
    CHECK(parser.Head().Bytes() <= MessageHead().MaxBytesAfter(text.size()));
    CHECK(parser.Head().Bytes() <= 3 * text.size());
  }
}

// Guards against growth that is accounted for too late: the bytes allocated
// while a head arrives never exceed what was stated before.
TEST_CASE("An unfinished head stays within the memory stated for its bytes")
{
  const std::string text = HeadOfShortFields(3000);
  for (const std::size_t piece : { 1u, 100u, 4096u }) {
    RequestParser parser;
    parser.header_limit(64 << 10);
    beast::flat_buffer buffer;
    for (std::size_t at = 0; at + piece < text.size(); at += piece) {
      buffer.commit(asio::buffer_copy(buffer.prepare(piece),
                                      asio::buffer(text.data() + at, piece)));
      const std::size_t stated = parser.Head().MaxBytesAfter(buffer.size());
      ErrorCode error;
      buffer.consume(parser.put(buffer.data(), error));
      REQUIRE(error == http::error::need_more);
      REQUIRE(parser.Head().Bytes() <= stated);
    }
  }
}

// Guards against bodies in chunks that a reader understands differently.
TEST_CASE("Framed chunks are read as the body that was written")
{
  const std::vector<std::vector<std::size_t>> bodies{
    { 0 }, { 1 }, { 16, 0 }, { 4096, 65536, 255, 0 }, { 10, 11, 12 }
  };
  for (const auto& sizes : bodies) {
    std::string text = "POST / HTTP/1.1\r\n";
    AppendField(text, "Transfer-Encoding", "chunked");
    text += "\r\n";
    std::string body;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      const std::string part(sizes[i], static_cast<char>('a' + i));
      const ChunkFrame frame = FrameChunk(part.size(), i + 1 == sizes.size());
      text += frame.before_ + part + frame.after_;
      body += part;
    }
    MessageParser<true, StringBody> parser;
    parser.eager(true);
    ErrorCode error;
    const std::size_t used = parser.put(asio::buffer(text), error);
    CHECK_FALSE(error);
    CHECK(used == text.size());
    CHECK(parser.is_done());
    CHECK(parser.Body().Text() == body);
  }
}
