#include "base/Base64.h"

#include <openssl/evp.h>

namespace peridotsail {

std::string
EncodeBase64(std::string_view aBytes)
{
  // Four characters for every three bytes, and the terminating null that
  // EVP_EncodeBlock writes.
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / 4 * 3 + 1, '\0');
  const int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock decodes padding to zero bytes and includes them in the
  // size.
  std::size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}
