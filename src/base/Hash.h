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

// Spreads low entropy over all bits.
std::uint64_t
MixHash(std::uint64_t aValue);

// A number in (0, 1) that is spread evenly over different values.
double
UnitHash(std::uint64_t aValue);

// The rendezvous score of a candidate for a key; the largest score wins. Each
// candidate wins a part of the keys in proportion to its weight, and a change
// of one candidate moves only keys to or from it.
double
RendezvousScore(std::uint64_t aKey,
                std::uint64_t aCandidateHash,
                double aWeight);

// Compares in a time that does not depend on where the texts differ.
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

// A random id of 32 hexadecimal digits from the system's random source.
std::string
RandomId();

}
