#include "keys/DisseminationMessages.h"

#include "peer/CborReader.h"

namespace peridotsail {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxHashBytes = 64;
constexpr std::size_t kMaxIdBytes = 100;
// Upper bound (about 11.6 days) for received durations, which prevents an
// overflow; receivers need no longer ones.
constexpr std::uint64_t kMaxNanoseconds = 1'000'000'000'000'000;

Duration
ReadDuration(CborReader& aReader, const char* aField)
{
  return Duration(static_cast<Duration::rep>(
    std::min(aReader.Unsigned(aField), kMaxNanoseconds)));
}

std::uint64_t
Nanoseconds(Duration aDuration)
{
  return static_cast<std::uint64_t>(
    std::max(aDuration, Duration::zero()).count());
}

}

std::string
EncodeGossip(const GossipMessage& aMessage)
{
  const GossipTiming& timing = aMessage.timing_;
  Json map{ { "v", aMessage.version_ },
            { "h", aMessage.hash_ },
            { "w", aMessage.withdrawnDigest_ },
            { "n", timing.sequence_ },
            { "e", timing.echo_ },
            { "d", Nanoseconds(timing.echoDelay_) } };
  if (aMessage.storeReachable_) {
    map["s"] = *aMessage.storeReachable_;
  }
  if (timing.confirmationAge_) {
    map["a"] = Nanoseconds(*timing.confirmationAge_);
  }
  return ToCbor(map);
}

std::optional<GossipMessage>
DecodeGossip(std::string_view aPayload)
{
  CborReader reader(aPayload);
  GossipMessage message;
  message.version_ = reader.Signed("v");
  message.hash_ = reader.Text("h", kMaxHashBytes);
  message.withdrawnDigest_ = reader.Text("w", kMaxHashBytes);
  message.timing_.sequence_ = reader.Unsigned("n");
  message.timing_.echo_ = reader.Unsigned("e");
  message.timing_.echoDelay_ = ReadDuration(reader, "d");
  if (reader.Has("s")) {
    message.storeReachable_ = reader.Flag("s");
  }
  if (reader.Has("a")) {
    message.timing_.confirmationAge_ = ReadDuration(reader, "a");
  }
  return reader.Valid() ? std::optional(message) : std::nullopt;
}

std::string
EncodeConfigurationRequest(const ConfigurationRequestMessage& aMessage)
{
  return ToCbor({ { "v", aMessage.version_ },
                  { "h", aMessage.hash_ },
                  { "whole", aMessage.whole_ } });
}

std::optional<ConfigurationRequestMessage>
DecodeConfigurationRequest(std::string_view aPayload)
{
  CborReader reader(aPayload);
  ConfigurationRequestMessage message;
  message.version_ = reader.Signed("v");
  message.hash_ = reader.Text("h", kMaxHashBytes);
  message.whole_ = reader.Flag("whole");
  return reader.Valid() ? std::optional(message) : std::nullopt;
}

std::string
EncodeWithdrawnKeys(const std::vector<WithdrawnKey>& aKeys)
{
  Json rows = Json::array();
  for (const WithdrawnKey& key : aKeys) {
    rows.push_back({ { "id", key.id_ }, { "v", key.version_ } });
  }
  return ToCbor({ { "keys", rows } });
}

std::optional<std::vector<WithdrawnKey>>
DecodeWithdrawnKeys(std::string_view aPayload)
{
  CborReader reader(aPayload);
  std::vector<WithdrawnKey> keys;
  for (const Json& row : reader.Array("keys", kMaxWithdrawnKeys)) {
    CborReader item(row);
    WithdrawnKey key;
    key.id_ = item.Text("id", kMaxIdBytes);
    key.version_ = item.Signed("v");
    if (!item.Valid() || key.id_.empty()) {
      return std::nullopt;
    }
    keys.push_back(std::move(key));
  }
  return reader.Valid() ? std::optional(keys) : std::nullopt;
}

}
