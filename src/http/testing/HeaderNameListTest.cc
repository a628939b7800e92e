#include "http/HeaderNameList.h"

#include <catch2/catch.hpp>

using namespace peridotsail;

// Guards against hop-by-hop headers that are forwarded, and end-to-end headers
// that are lost.
TEST_CASE("The names of Connection headers are found in any form")
{
  struct Row
  {
    std::vector<std::string_view> values_;
    std::string_view name_;
    bool listed_;
  };
  const Row rows[] = {
    { {}, "close", false },
    { { "" }, "", false },
    { { "close" }, "Close", true },
    { { "keep-alive, X-Trace" }, "x-trace", true },
    { { " \t X-Trace\t ,,close" }, "X-TRACE", true },
    { { ",,, " }, "", false },
    { { "X-Trace" }, "X-Trac", false },
    { { "X-Trace" }, "X-Tracer", false },
    { { "b,a", "d,c" }, "c", true },
    { { "b,a", "d,c" }, "e", false },
    { { "a b" }, "a", false },
  };
  for (const Row& row : rows) {
    INFO("name " << row.name_);
    CHECK(HeaderNameList(row.values_).Has(row.name_) == row.listed_);
  }
}

TEST_CASE("A name that is listed thousands of times is kept once")
{
  std::string value = "x";
  for (int i = 0; i < 5000; ++i) {
    value += i % 2 == 0 ? ",x" : ",X";
  }
  const HeaderNameList listed({ value });
  CHECK(listed.Size() == 1);
  CHECK(listed.Has("x"));
}
