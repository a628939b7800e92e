#include "http/HeaderFields.h"

#include <algorithm>

namespace peridotsail {

namespace {

// The bytes of the shortest field on the wire: a name of one letter, a colon
// and the end of the line.
constexpr std::size_t kMinFieldBytes = 4;
// What a text and a list of a few fields allocate at least.
constexpr std::size_t kMinTextBytes = 64;

}

HeaderFields::HeaderFields(std::initializer_list<HeaderField> aFields)
{
  for (const HeaderField& field : aFields) {
    Add(field.name_, field.value_);
  }
}

void
HeaderFields::Add(std::string_view aName, std::string_view aValue)
{
  text_.append(aName);
  const auto nameEnd = static_cast<std::uint32_t>(text_.size());
  text_.append(aValue);
  ends_.push_back({ nameEnd, static_cast<std::uint32_t>(text_.size()) });
}

HeaderField
HeaderFields::operator[](std::size_t aIndex) const
{
  const std::size_t begin = aIndex == 0 ? 0 : ends_[aIndex - 1].value_;
  const Ends& ends = ends_[aIndex];
  const std::string_view text = text_;
  return { text.substr(begin, ends.name_ - begin),
           text.substr(ends.name_, ends.value_ - ends.name_) };
}

std::size_t
HeaderFields::Find(std::string_view aName) const
{
  std::size_t index = 0;
  while (index < Size() && !EqualIgnoreCase((*this)[index].name_, aName)) {
    ++index;
  }
  return index;
}

bool
HeaderFields::Has(std::string_view aName) const
{
  return Find(aName) < Size();
}

std::string_view
HeaderFields::Value(std::string_view aName) const
{
  const std::size_t index = Find(aName);
  return index < Size() ? (*this)[index].value_ : std::string_view();
}

std::size_t
HeaderFields::Bytes() const
{
  return text_.capacity() + ends_.capacity() * sizeof(Ends);
}

// Both containers double when they grow.
std::size_t
HeaderFields::MaxBytesAfter(std::size_t aMore) const
{
  const std::size_t fields = ends_.size() + aMore / kMinFieldBytes;
  const std::size_t text = text_.size() + aMore;
  return std::max(Bytes(), 2 * (text + fields * sizeof(Ends)) + kMinTextBytes);
}

void
HeaderFields::ShrinkToFit()
{
  text_.shrink_to_fit();
  ends_.shrink_to_fit();
}

HttpHeaders
ToHeaders(const HeaderFields& aFields)
{
  HttpHeaders headers;
  headers.reserve(aFields.Size());
  for (const HeaderField field : aFields) {
    headers.push_back({ std::string(field.name_), std::string(field.value_) });
  }
  return headers;
}

}
