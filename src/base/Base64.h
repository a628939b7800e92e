#pragma once

// Standard base64 with padding, which the stores use for keys and values.

#include <optional>
#include <string>
#include <string_view>

namespace peridotsail {

std::string
EncodeBase64(std::string_view aBytes);

// Returns nullopt if aText is not valid base64.
std::optional<std::string>
DecodeBase64(std::string_view aText);

}
