#pragma once

// The value under which the store holds a configuration: the document with its
// version, its author and the id of the write attempt.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotsail {

constexpr char kConfigurationKey[] = "peridotsail/config";

struct ConfigurationEnvelope
{
  std::int64_t version_ = 0;
  std::string attempt_;
  std::string author_;
  // JSON text.
  std::string document_;
};

std::string
EncodeEnvelope(const ConfigurationEnvelope& aEnvelope);

// Returns nothing when the text is malformed.
std::optional<ConfigurationEnvelope>
DecodeEnvelope(std::string_view aText);

}
