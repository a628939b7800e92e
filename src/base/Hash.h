#pragma once

// Hash functions whose values are the same on every host and in every version.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// Returns the SHA-256 of aText as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aText);
// Returns the digest of the parts, joined.
std::string
Sha256Hex(const std::vector<std::string_view>& aParts);

// Returns a 64-bit non-cryptographic hash, for rendezvous hashing. Do not use
// it for untrusted input where collisions matter.
std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0);

// Distributes the entropy of aValue over all bits.
std::uint64_t
MixHash(std::uint64_t aValue);

// Maps aValue to a pseudo-random number that is uniformly distributed in (0,
// 1).
double
UnitHash(std::uint64_t aValue);

// Returns the score of a candidate for a key in weighted rendezvous hashing;
// the candidate with the highest score wins. Each candidate wins keys in
// proportion to its weight, and adding, removing or reweighting a candidate
// moves keys only to or from that candidate.
double
RendezvousScore(std::uint64_t aKey,
                std::uint64_t aCandidateHash,
                double aWeight);

// Compares in time independent of the position of the first difference.
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

// Returns a random id of 32 hexadecimal digits from OpenSSL's random generator.
std::string
RandomId();

}
