#include "proxy/RelayMessages.h"

#include "peer/CborReader.h"

namespace peridotsail {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxMethodBytes = 32;
constexpr std::size_t kMaxTargetBytes = 16 << 10;
constexpr std::size_t kMaxHeaders = 200;
constexpr std::size_t kMaxHeaderBytes = 32 << 10;
constexpr std::size_t kMaxNameBytes = 100;
constexpr std::size_t kMaxKindBytes = 100;
constexpr std::size_t kMaxChunkBytes = 64 << 10;

json
HeadersToJson(const HttpHeaders& aHeaders)
{
  json list = json::array();
  for (const HttpHeader& header : aHeaders) {
    list.push_back(CborBinary(header.name_));
    list.push_back(CborBinary(header.value_));
  }
  return list;
}

// Names and values alternate in the array.
std::optional<HttpHeaders>
HeadersFromJson(const json& aList)
{
  HttpHeaders headers;
  if (aList.size() % 2 != 0) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < aList.size(); i += 2) {
    if (!aList[i].is_binary() || !aList[i + 1].is_binary()) {
      return std::nullopt;
    }
    const auto& name = aList[i].get_binary();
    const auto& value = aList[i + 1].get_binary();
    if (name.size() + value.size() > kMaxHeaderBytes) {
      return std::nullopt;
    }
    headers.push_back({ std::string(name.begin(), name.end()),
                        std::string(value.begin(), value.end()) });
  }
  return headers;
}

void
PutLength(json& aMap, const std::optional<std::uint64_t>& aLength)
{
  if (aLength) {
    aMap["length"] = *aLength;
  }
}

std::optional<std::uint64_t>
ReadLength(CborReader& aReader)
{
  if (!aReader.Has("length")) {
    return std::nullopt;
  }
  return aReader.Unsigned("length");
}

int
ToNumber(RelayDirection aDirection)
{
  return static_cast<int>(aDirection);
}

// Returns nothing for a number that is not a direction.
std::optional<RelayDirection>
ReadDirection(CborReader& aReader)
{
  const std::uint64_t number = aReader.Unsigned("d");
  if (!aReader.Valid() || number > 1) {
    return std::nullopt;
  }
  return static_cast<RelayDirection>(number);
}

}

std::string
Encode(const RelayRequestHead& aHead)
{
  json map{ { "d", ToNumber(RelayDirection::Request) },
            { "id", aHead.id_ },
            { "method", aHead.head_.method_ },
            { "target", CborBinary(aHead.head_.target_) },
            { "headers", HeadersToJson(aHead.head_.headers_) },
            { "body", aHead.head_.hasBody_ },
            { "customer", aHead.customer_ },
            { "route", aHead.route_ },
            { "remaining", aHead.remainingMs_ },
            { "once", aHead.atMostOnce_ } };
  PutLength(map, aHead.head_.contentLength_);
  return ToCbor(map);
}

std::string
Encode(const RelayResponseHead& aHead)
{
  json map{ { "d", ToNumber(RelayDirection::Response) },
            { "id", aHead.id_ },
            { "status", aHead.head_.status_ },
            { "headers", HeadersToJson(aHead.head_.headers_) } };
  PutLength(map, aHead.head_.contentLength_);
  return ToCbor(map);
}

std::string
Encode(const RelayBodyChunk& aChunk)
{
  return ToCbor({ { "d", ToNumber(aChunk.direction_) },
                  { "id", aChunk.id_ },
                  { "seq", aChunk.sequence_ },
                  { "bytes", CborBinary(aChunk.chunk_.bytes_) },
                  { "last", aChunk.chunk_.last_ } });
}

std::string
Encode(const RelayCredit& aCredit)
{
  return ToCbor({ { "d", ToNumber(aCredit.direction_) },
                  { "id", aCredit.id_ },
                  { "bytes", aCredit.bytes_ } });
}

std::string
Encode(const RelayEnd& aEnd)
{
  json map{ { "d", ToNumber(aEnd.direction_) }, { "id", aEnd.id_ } };
  if (aEnd.refusal_) {
    map["refusal"] = std::string(NameOf(*aEnd.refusal_));
  }
  return ToCbor(map);
}

std::optional<RelayDirection>
DecodeRelayHeadDirection(std::string_view aBytes)
{
  CborReader reader(aBytes);
  return ReadDirection(reader);
}

std::optional<RelayRequestHead>
DecodeRelayRequestHead(std::string_view aBytes)
{
  CborReader reader(aBytes);
  RelayRequestHead message;
  message.id_ = reader.Unsigned("id");
  message.head_.method_ = reader.Text("method", kMaxMethodBytes);
  message.head_.target_ = reader.Binary("target", kMaxTargetBytes);
  const auto headers =
    HeadersFromJson(reader.Array("headers", 2 * kMaxHeaders));
  message.head_.hasBody_ = reader.Flag("body");
  message.head_.contentLength_ = ReadLength(reader);
  message.customer_ = reader.Text("customer", kMaxNameBytes);
  message.route_ = reader.Text("route", kMaxNameBytes);
  message.remainingMs_ = reader.Signed("remaining");
  message.atMostOnce_ = reader.Flag("once");
  if (!reader.Valid() || !headers) {
    return std::nullopt;
  }
  message.head_.headers_ = *headers;
  return message;
}

std::optional<RelayResponseHead>
DecodeRelayResponseHead(std::string_view aBytes)
{
  CborReader reader(aBytes);
  RelayResponseHead message;
  message.id_ = reader.Unsigned("id");
  const std::uint64_t status = reader.Unsigned("status");
  const auto headers =
    HeadersFromJson(reader.Array("headers", 2 * kMaxHeaders));
  message.head_.contentLength_ = ReadLength(reader);
  if (!reader.Valid() || !headers || status < 200 || status > 599) {
    return std::nullopt;
  }
  message.head_.status_ = static_cast<int>(status);
  message.head_.headers_ = *headers;
  return message;
}

std::optional<RelayBodyChunk>
DecodeRelayBodyChunk(std::string_view aBytes)
{
  CborReader reader(aBytes);
  const auto direction = ReadDirection(reader);
  RelayBodyChunk message;
  message.id_ = reader.Unsigned("id");
  message.sequence_ = reader.Unsigned("seq");
  message.chunk_.bytes_ = reader.Binary("bytes", kMaxChunkBytes);
  message.chunk_.last_ = reader.Flag("last");
  if (!reader.Valid() || !direction) {
    return std::nullopt;
  }
  message.direction_ = *direction;
  return message;
}

std::optional<RelayCredit>
DecodeRelayCredit(std::string_view aBytes)
{
  CborReader reader(aBytes);
  const auto direction = ReadDirection(reader);
  RelayCredit message;
  message.id_ = reader.Unsigned("id");
  message.bytes_ = reader.Unsigned("bytes");
  if (!reader.Valid() || !direction) {
    return std::nullopt;
  }
  message.direction_ = *direction;
  return message;
}

std::optional<RelayEnd>
DecodeRelayEnd(std::string_view aBytes)
{
  CborReader reader(aBytes);
  const auto direction = ReadDirection(reader);
  RelayEnd message;
  message.id_ = reader.Unsigned("id");
  if (reader.Has("refusal")) {
    message.refusal_ = ErrorKindFromName(reader.Text("refusal", kMaxKindBytes));
    if (!message.refusal_) {
      return std::nullopt;
    }
  }
  if (!reader.Valid() || !direction) {
    return std::nullopt;
  }
  message.direction_ = *direction;
  return message;
}

}
