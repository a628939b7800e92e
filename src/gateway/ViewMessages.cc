#include "gateway/ViewMessages.h"

#include "base/BoundedCbor.h"

#include <nlohmann/json.hpp>

namespace peridotsail {

using nlohmann::json;

namespace {

// A map with a list of maps.
constexpr int kDepth = 4;
constexpr std::chrono::microseconds kMostAge = std::chrono::hours(24);

std::int64_t
ToMicroseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
    .count();
}

// Nothing for a time that no host's view can have.
std::optional<Duration>
ReadMicroseconds(const json& aMessage, const char* aField)
{
  const std::chrono::microseconds time(aMessage.at(aField).get<std::int64_t>());
  const bool usable = time >= -kMostAge && time <= kMostAge;
  return usable ? std::optional<Duration>(time) : std::nullopt;
}

// Values are bytes, not text.
json
ToJson(const KvItem& aItem)
{
  json item{ { "key", aItem.key_ }, { "revision", aItem.revision_ } };
  if (!aItem.removed_) {
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
  item.removed_ = !aItem.contains("value");
  if (!item.removed_) {
    const json::binary_t& bytes = aItem.at("value").get_binary();
    item.value_.assign(bytes.begin(), bytes.end());
  }
  return item;
}

}

std::string
EncodeViewResponse(const ViewResponse& aAnswer)
{
  json message{ { "gone", aAnswer.status_ == KvStatus::Gone },
                { "source", aAnswer.source_ },
                { "revision", aAnswer.revision_ },
                { "confirmed_us", ToMicroseconds(aAnswer.confirmedAfter_) } };
  if (aAnswer.storeBack_) {
    message["store_back_us"] = ToMicroseconds(*aAnswer.storeBack_);
  }
  json events = json::array();
  for (const KvItem& event : aAnswer.events_) {
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
    const std::optional<json> message = DecodeBoundedCbor(aBytes, kDepth);
    if (!message || !message->is_object()) {
      return std::nullopt;
    }
    ViewResponse answer;
    const bool gone = message->at("gone").get<bool>();
    answer.status_ = gone ? KvStatus::Gone : KvStatus::Done;
    answer.source_ = message->at("source").get<std::string>();
    answer.revision_ = message->at("revision").get<std::uint64_t>();
    const auto confirmedAfter = ReadMicroseconds(*message, "confirmed_us");
    if (!confirmedAfter) {
      return std::nullopt;
    }
    answer.confirmedAfter_ = *confirmedAfter;
    if (message->contains("store_back_us")) {
      answer.storeBack_ = ReadMicroseconds(*message, "store_back_us");
    }
    for (const json& event : message->at("events")) {
      answer.events_.push_back(ToItem(event));
    }
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}
