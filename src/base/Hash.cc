#include "base/Hash.h"

#include <array>
#include <cmath>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <vector>

namespace peridotsail {

namespace {

std::string
ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(aSize * 2);
  for (std::size_t i = 0; i < aSize; ++i) {
    hex.push_back(kDigits[aBytes[i] >> 4]);
    hex.push_back(kDigits[aBytes[i] & 15]);
  }
  return hex;
}

}

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string
Sha256Hex(const std::vector<std::string_view>& aParts)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
    EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : aParts) {
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  return ToHex(digest.data(), digest.size());
}

std::uint64_t
MixHash(std::uint64_t aValue)
{
  // The finalizer of SplitMix64.
  aValue ^= aValue >> 30;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  aValue ^= aValue >> 27;
  aValue *= 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed)
{
  // FNV-1a. MixHash spreads the low entropy of short texts over all bits.
  std::uint64_t hash = 14695981039346656037ULL ^ aSeed;
  for (const char c : aText) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  return MixHash(hash);
}

double
UnitHash(std::uint64_t aValue)
{
  // The mantissa of a double holds 53 bits.
  constexpr double kScale = 1.0 / 9007199254740992.0;
  return (static_cast<double>(MixHash(aValue) >> 11) + 0.5) * kScale;
}

double
RendezvousScore(std::uint64_t aKey,
                std::uint64_t aCandidateHash,
                double aWeight)
{
  return aWeight / -std::log(UnitHash(aKey ^ aCandidateHash));
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
RandomId()
{
  std::array<unsigned char, 16> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return ToHex(bytes.data(), bytes.size());
}

}
