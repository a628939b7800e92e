#pragma once

// Encodes and decodes the CBOR payloads of the peer messages Gossip,
// ConfigurationRequest and WithdrawnKeys. The payload of ConfigurationDelta is
// the output of EncodeDelta.

#include "keys/ConfigurationNode.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

struct ConfigurationRequestMessage
{
  // The version in force at the sender, or 0 if there is none.
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
