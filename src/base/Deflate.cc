#include "base/Deflate.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace peridotsail {

namespace zlib = boost::beast::zlib;

std::string
Deflate(std::string_view aBytes)
{
  // Fast rather than small: the entry hosts share their processor with the
  // traffic.
  constexpr int kLevel = 1;
  constexpr int kWindowBits = 15;
  constexpr int kMemoryLevel = 8;
  zlib::deflate_stream stream;
  stream.reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string packed(stream.upper_bound(aBytes.size()), '\0');
  zlib::z_params params;
  params.next_in = aBytes.data();
  params.avail_in = aBytes.size();
  params.next_out = packed.data();
  params.avail_out = packed.size();
  boost::system::error_code error;
  stream.write(params, zlib::Flush::finish, error);
  packed.resize(params.total_out);
  return packed;
}

std::optional<std::string>
Inflate(std::string_view aBytes, std::size_t aSize)
{
  zlib::inflate_stream stream;
  // One more byte than expected shows that the input is too long.
  std::string bytes(aSize + 1, '\0');
  zlib::z_params params;
  params.next_in = aBytes.data();
  params.avail_in = aBytes.size();
  params.next_out = bytes.data();
  params.avail_out = bytes.size();
  boost::system::error_code error;
  stream.write(params, zlib::Flush::sync, error);
  if (error != zlib::error::end_of_stream || params.total_out != aSize) {
    return std::nullopt;
  }
  bytes.resize(aSize);
  return bytes;
}

}
