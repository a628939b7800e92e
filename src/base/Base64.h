#pragma once

// Standard base64 with padding, as stores write keys and values.

#include <optional>
#include <string>
#include <string_view>

namespace peridotsail {

std::string
EncodeBase64(std::string_view aBytes);

// Nothing when the text is no base64.
std::optional<std::string>
DecodeBase64(std::string_view aText);

}
