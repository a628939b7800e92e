#pragma once

// The header names that the Connection headers of a message list. Looking up a
// name takes logarithmic time: a message may list thousands of names and have
// thousands of fields.
//
//   HeaderNameList listed({ "close, X-Trace", "Upgrade" });
//   if (listed.Has("x-trace")) { ... }

#include <cstddef>
#include <string_view>
#include <vector>

namespace peridotsail {

class HeaderNameList
{
public:
  // Each of aValues is a list of names, separated by commas. The texts must
  // outlive the list.
  explicit HeaderNameList(const std::vector<std::string_view>& aValues);
  // Names are compared case-insensitively.
  bool Has(std::string_view aName) const;
  // The number of different names.
  std::size_t Size() const { return names_.size(); }

private:
  void Add(std::string_view aValue);

  // In order, each once.
  std::vector<std::string_view> names_;
};

}
