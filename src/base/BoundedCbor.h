#pragma once

// Decodes CBOR from other processes with a limit on the nesting depth. Include
// it only from .cc files.
//
//   std::optional<nlohmann::json> value = DecodeBoundedCbor(bytes, 4);

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace peridotsail {

// Returns nullopt if the bytes are malformed or nested deeper than aMaxDepth.
// The limit is necessary because the library's parser recurses once per level,
// so that a message consisting of array headers would exhaust the stack.
std::optional<nlohmann::json>
DecodeBoundedCbor(std::string_view aBytes, int aMaxDepth);

}
