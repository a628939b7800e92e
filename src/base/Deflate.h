#pragma once

// Compresses bytes with the deflate algorithm.
//
//   std::string packed = Deflate(text);
//   std::optional<std::string> text = Inflate(packed, size);

#include <optional>
#include <string>
#include <string_view>

namespace peridotsail {

std::string
Deflate(std::string_view aBytes);

// Returns nullopt if the input is malformed or does not have exactly aSize
// bytes when decompressed. The caller bounds aSize.
std::optional<std::string>
Inflate(std::string_view aBytes, std::size_t aSize);

}
