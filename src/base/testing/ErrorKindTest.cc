#include "base/ErrorKind.h"

#include <catch2/catch.hpp>
#include <set>

using namespace peridotsail;

// Guards against a row that is out of order, which would respond with the
// status of another kind.
TEST_CASE("the error table is indexed by kind and names are unique")
{
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    const ErrorResponse& response = ErrorResponseFor(kind);
    CHECK(response.kind_ == kind);
    CHECK(response.httpStatus_ >= 400);
    CHECK(names.insert(response.name_).second);
    CHECK(ErrorKindFromName(response.name_) == kind);
  }
  CHECK_FALSE(ErrorKindFromName("no-such-kind").has_value());
}
