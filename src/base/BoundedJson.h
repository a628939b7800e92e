#pragma once

// Decodes JSON and CBOR from other processes with a limit on the nesting depth.
// Include it only from .cc files.
//
//   std::optional<nlohmann::json> value = DecodeBoundedCbor(bytes, 4);
//   nlohmann::json document = ParseBoundedJson(text);

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace peridotsail {

// Returns nullopt if the bytes are malformed or nested deeper than aMaxDepth.
// The limit is necessary because the library's parser recurses once per level,
// so that a message consisting of array headers would exhaust the stack.
std::optional<nlohmann::json>
DecodeBoundedCbor(std::string_view aBytes, int aMaxDepth);

// The depth of JSON documents that is accepted; those in use have eight levels.
constexpr int kMaxJsonDepth = 64;

// Returns a discarded value if the text is malformed or nested deeper than
// kMaxJsonDepth. The library parses any depth, but copies and writes values
// recursively, and each level takes a hundred times the memory of its text.
nlohmann::json
ParseBoundedJson(std::string_view aText);

// The same; throws std::runtime_error with a description instead.
nlohmann::json
ParseBoundedJsonOrThrow(std::string_view aText);

}
