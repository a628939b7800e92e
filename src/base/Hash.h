#pragma once

// Hashes whose values are the same on every host and in every build.

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotsail {

// The SHA-256 of the text as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aText);

// A 64-bit hash that is stable across hosts and versions, for rendezvous
// hashing. Not for untrusted input where collisions matter.
std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0);

// Compares in a time that does not depend on where the texts differ.
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

// A random id of 32 hexadecimal digits from the system's random source.
std::string
RandomId();

}
