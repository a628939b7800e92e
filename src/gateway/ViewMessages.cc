#include "gateway/ViewMessages.h"

#include "base/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace peridotsail {

using nlohmann::json;

namespace {

// A map that contains a list of maps.
constexpr int kMaxDepth = 4;
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

// Values are binary, not necessarily valid UTF-8.
json
ToJson(const KvItem& aItem)
{
  json item{ { "key", aItem.key_ }, { "revision", aItem.revision_ } };
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
  item.deferred_ = aItem.value("deferred", false);
  item.removed_ = !item.deferred_ && !aItem.contains("value");
  if (aItem.contains("value")) {
    const json::binary_t& bytes = aItem.at("value").get_binary();
    item.value_.assign(bytes.begin(), bytes.end());
  }
  return item;
}

}

std::string
EncodeViewResponse(const ViewResponse& aResponse)
{
  json message{ { "gone", aResponse.status_ == KvStatus::Gone },
                { "source", aResponse.source_ },
                { "revision", aResponse.revision_ },
                { "confirmed_us",
                  ToMicroseconds(aResponse.confirmedOffset_) } };
  if (aResponse.storeRecoveredAgo_) {
    message["store_back_us"] = ToMicroseconds(*aResponse.storeRecoveredAgo_);
  }
  json events = json::array();
  for (const KvItem& event : aResponse.events_) {
    events.push_back(ToJson(event));
  }
  message["events"] = std::move(events);
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
    response.revision_ = message->at("revision").get<std::uint64_t>();
    const auto confirmedAfter = ReadMicroseconds(*message, "confirmed_us");
    if (!confirmedAfter) {
      return std::nullopt;
    }
    response.confirmedOffset_ = *confirmedAfter;
    if (message->contains("store_back_us")) {
      response.storeRecoveredAgo_ = ReadMicroseconds(*message, "store_back_us");
    }
    for (const json& event : message->at("events")) {
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
  std::string bytes;
  json::to_cbor(ToJson(aItem), bytes);
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
    KvItem item = ToItem(*message);
    const bool complete = !item.deferred_ && !item.removed_;
    return complete ? std::optional(std::move(item)) : std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}
