#pragma once

// The payloads of the peer messages Gossip, ConfigurationRequest and
// WithdrawnKeys, in CBOR. The payload of ConfigurationDelta is the text of
// EncodeDelta.

#include "keys/ConfigurationNode.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

struct ConfigurationRequestMessage
{
  // In force at the sender; 0 for none.
  std::int64_t version_ = 0;
  std::string hash_;
  bool whole_ = false;
};

std::string
EncodeGossip(const GossipMessage& aMessage);
std::string
EncodeConfigurationRequest(const ConfigurationRequestMessage& aMessage);
std::string
EncodeWithdrawnKeys(const std::vector<WithdrawnKey>& aKeys);

// Return nothing when the payload is malformed.
std::optional<GossipMessage>
DecodeGossip(std::string_view aPayload);
std::optional<ConfigurationRequestMessage>
DecodeConfigurationRequest(std::string_view aPayload);
std::optional<std::vector<WithdrawnKey>>
DecodeWithdrawnKeys(std::string_view aPayload);

}
