#pragma once

// The body of a MessageParser as a string.

#include <cstddef>
#include <string>

namespace peridotsail::detail {

class StringBody
{
public:
  void Expect(std::size_t /*aBytes*/) {}
  void Append(const char* aData, std::size_t aBytes)
  {
    text_.append(aData, aBytes);
  }
  std::string& Text() { return text_; }

private:
  std::string text_;
};

}
