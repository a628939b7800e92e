#pragma once

// The header fields of a message in one block of text. A field takes its bytes
// and eight more, so a head of many short fields is not much larger in memory
// than on the wire.
//
//   HeaderFields fields{ { "Host", "post.example" } };
//   fields.Add("Accept", "*/*");
//   std::string_view host = fields.Value("host");
//   for (const HeaderField field : fields) { ... }

#include "http/HttpTypes.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

struct HeaderField
{
  std::string_view name_;
  std::string_view value_;
};

class HeaderFields
{
public:
  // The fields in the order in which they were added. Invalidated by Add.
  class Iterator
  {
  public:
    Iterator(const HeaderFields& aFields, std::size_t aIndex)
      : fields_(&aFields)
      , index_(aIndex)
    {
    }
    HeaderField operator*() const { return (*fields_)[index_]; }
    Iterator& operator++()
    {
      ++index_;
      return *this;
    }
    bool operator!=(const Iterator& aOther) const
    {
      return index_ != aOther.index_;
    }

  private:
    const HeaderFields* fields_;
    std::size_t index_;
  };

  HeaderFields() = default;
  HeaderFields(std::initializer_list<HeaderField> aFields);

  // The texts of all fields together must not exceed 4 GB.
  void Add(std::string_view aName, std::string_view aValue);
  std::size_t Size() const { return ends_.size(); }
  HeaderField operator[](std::size_t aIndex) const;
  Iterator begin() const { return { *this, 0 }; }
  Iterator end() const { return { *this, Size() }; }
  // Names are compared case-insensitively.
  bool Has(std::string_view aName) const;
  // Returns the value of the first field with this name, or an empty text.
  std::string_view Value(std::string_view aName) const;

  // The bytes that are allocated.
  std::size_t Bytes() const;
  // The most bytes that are allocated after fields were added that were read
  // from aMore bytes of a head.
  std::size_t MaxBytesAfter(std::size_t aMore) const;
  // Returns memory that was allocated for more fields.
  void ShrinkToFit();

private:
  // Where the name and the value of a field end in the text. It begins where
  // the one before ends.
  struct Ends
  {
    std::uint32_t name_;
    std::uint32_t value_;
  };

  // Returns the index of the first field with this name, or Size().
  std::size_t Find(std::string_view aName) const;

  std::string text_;
  std::vector<Ends> ends_;
};

HttpHeaders
ToHeaders(const HeaderFields& aFields);

}
