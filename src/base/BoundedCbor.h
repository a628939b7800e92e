#pragma once

// Decodes CBOR that other processes wrote. Included by .cc files.
//
//   std::optional<nlohmann::json> value = DecodeBoundedCbor(bytes, 4);

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace peridotsail {

// Returns nothing when the bytes are malformed or nested deeper than aMaxDepth:
// the library's reader recurses once for each level, so a message of array
// headers alone would exhaust the stack.
std::optional<nlohmann::json>
DecodeBoundedCbor(std::string_view aBytes, int aMaxDepth);

}
