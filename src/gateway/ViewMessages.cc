#include "gateway/ViewMessages.h"

#include "base/BoundedJson.h"
#include "base/Deflate.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace peridotsail {

using nlohmann::json;

namespace {

// A map that contains a list of maps.
constexpr int kMaxDepth = 4;
// The largest decompressed value that is accepted.
constexpr std::size_t kMaxValueBytes = 4 << 20;
// The largest decompressed list of events that is accepted: twice what a host
// retains, see ViewCacheOptions.
constexpr std::size_t kMaxEventsBytes = 8 << 20;
// The highest era that the store's client accepts. A higher one would make all
// later answers of the store look old.
constexpr std::uint64_t kMaxEra = std::numeric_limits<std::uint32_t>::max();
constexpr std::chrono::microseconds kMaxAge = std::chrono::hours(24);

std::int64_t
ToMicroseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
    .count();
}

// Returns nullopt for a time that is implausible for any host's view.
std::optional<Duration>
ReadMicroseconds(const json& aMessage, const char* aField)
{
  const std::chrono::microseconds time(aMessage.at(aField).get<std::int64_t>());
  const bool usable = time >= -kMaxAge && time <= kMaxAge;
  return usable ? std::optional<Duration>(time) : std::nullopt;
}

// Hosts of builds that do not know of eras send none.
std::uint64_t
ReadEra(const json& aMessage)
{
  return aMessage.value("era", std::uint64_t{ 0 });
}

// Values are binary, not necessarily valid UTF-8.
json
ToJson(const KvItem& aItem)
{
  json item{ { "key", aItem.key_ },
             { "revision", aItem.revision_ },
             { "era", aItem.era_ } };
  if (aItem.deferred_) {
    item["deferred"] = true;
  } else if (!aItem.removed_) {
    item["value"] = json::binary(
      std::vector<std::uint8_t>(aItem.value_.begin(), aItem.value_.end()));
  }
  return item;
}

KvItem
ToItem(const json& aItem)
{
  KvItem item;
  item.key_ = aItem.at("key").get<std::string>();
  item.revision_ = aItem.at("revision").get<std::uint64_t>();
  item.era_ = ReadEra(aItem);
  item.deferred_ = aItem.value("deferred", false);
  item.removed_ = !item.deferred_ && !aItem.contains("value");
  if (aItem.contains("value")) {
    const json::binary_t& bytes = aItem.at("value").get_binary();
    item.value_.assign(bytes.begin(), bytes.end());
  }
  return item;
}

json::binary_t
ToBinary(const std::string& aBytes)
{
  return std::vector<std::uint8_t>(aBytes.begin(), aBytes.end());
}

// Inflates the binary member of a message that has aSize bytes when
// decompressed.
std::optional<std::string>
InflateMember(const json& aMember, std::size_t aSize, std::size_t aMaxSize)
{
  if (aSize > aMaxSize) {
    return std::nullopt;
  }
  const json::binary_t& deflated = aMember.get_binary();
  return Inflate(
    { reinterpret_cast<const char*>(deflated.data()), deflated.size() }, aSize);
}

void
AddEvents(json& aMessage, const std::vector<KvItem>& aEvents, bool aDeflate)
{
  json events = json::array();
  for (const KvItem& event : aEvents) {
    events.push_back(ToJson(event));
  }
  if (aDeflate) {
    std::string bytes;
    json::to_cbor(events, bytes);
    if (bytes.size() >= kMinDeflatedEventsBytes) {
      aMessage["events_size"] = bytes.size();
      aMessage["events_deflated"] = ToBinary(Deflate(bytes));
      return;
    }
  }
  aMessage["events"] = std::move(events);
}

// Returns the list of events, or nullopt for malformed input.
std::optional<json>
FindEvents(const json& aMessage)
{
  if (!aMessage.contains("events_deflated")) {
    return aMessage.at("events");
  }
  const auto bytes =
    InflateMember(aMessage.at("events_deflated"),
                  aMessage.at("events_size").get<std::size_t>(),
                  kMaxEventsBytes);
  return bytes ? DecodeBoundedCbor(*bytes, kMaxDepth) : std::nullopt;
}

}

std::string
EncodeViewResponse(const ViewResponse& aResponse, bool aDeflate)
{
  json message{ { "gone", aResponse.status_ == KvStatus::Gone },
                { "source", aResponse.source_ },
                { "revision", aResponse.position_.revision_ },
                { "era", aResponse.position_.era_ },
                { "confirmed_us",
                  ToMicroseconds(aResponse.confirmedOffset_) } };
  if (aResponse.storeRecoveredAgo_) {
    message["store_back_us"] = ToMicroseconds(*aResponse.storeRecoveredAgo_);
  }
  message["version"] = aResponse.version_;
  if (aResponse.unstored_) {
    message["unstored"] = true;
  }
  AddEvents(message, aResponse.events_, aDeflate);
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

std::optional<ViewResponse>
DecodeViewResponse(const std::string& aBytes)
{
  try {
    const std::optional<json> message = DecodeBoundedCbor(aBytes, kMaxDepth);
    if (!message || !message->is_object()) {
      return std::nullopt;
    }
    ViewResponse response;
    const bool gone = message->at("gone").get<bool>();
    response.status_ = gone ? KvStatus::Gone : KvStatus::Done;
    response.source_ = message->at("source").get<std::string>();
    response.position_ = { message->at("revision").get<std::uint64_t>(),
                           ReadEra(*message) };
    const auto confirmedAfter = ReadMicroseconds(*message, "confirmed_us");
    if (!confirmedAfter || response.position_.era_ > kMaxEra) {
      return std::nullopt;
    }
    response.confirmedOffset_ = *confirmedAfter;
    if (message->contains("store_back_us")) {
      response.storeRecoveredAgo_ = ReadMicroseconds(*message, "store_back_us");
    }
    response.version_ = message->value("version", std::uint64_t{ 0 });
    response.unstored_ = message->value("unstored", false);
    const std::optional<json> events = FindEvents(*message);
    if (!events) {
      return std::nullopt;
    }
    for (const json& event : *events) {
      response.events_.push_back(ToItem(event));
    }
    return response;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string
EncodeViewValue(const KvItem& aItem)
{
  const json message{ { "key", aItem.key_ },
                      { "revision", aItem.revision_ },
                      { "era", aItem.era_ },
                      { "size", aItem.value_.size() },
                      { "deflated", ToBinary(Deflate(aItem.value_)) } };
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

std::optional<KvItem>
DecodeViewValue(const std::string& aBytes)
{
  try {
    const std::optional<json> message = DecodeBoundedCbor(aBytes, kMaxDepth);
    if (!message || !message->is_object()) {
      return std::nullopt;
    }
    KvItem item;
    item.key_ = message->at("key").get<std::string>();
    item.revision_ = message->at("revision").get<std::uint64_t>();
    item.era_ = ReadEra(*message);
    auto value = InflateMember(message->at("deflated"),
                               message->at("size").get<std::size_t>(),
                               kMaxValueBytes);
    if (!value) {
      return std::nullopt;
    }
    item.value_ = std::move(*value);
    return item;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}
