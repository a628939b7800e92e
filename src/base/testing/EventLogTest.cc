#include "base/EventLog.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

using namespace peridotsail;

namespace {

// Reads the rows `| 1001 | process-started | info | sentence |` by number.
std::map<int, std::string>
ReadDocumentedEvents()
{
  std::map<int, std::string> rows;
  std::ifstream file(PERIDOTSAIL_SOURCE_DIR "/docs/events.md");
  std::string line;
  while (std::getline(file, line)) {
    if (line.size() > 2 && line[0] == '|' && std::isdigit(line[2]) != 0) {
      rows[std::stoi(line.substr(2))] = line;
    }
  }
  return rows;
}

std::string
ExpectedRow(const EventInfo& aInfo)
{
  std::ostringstream row;
  row << "| " << static_cast<int>(aInfo.event_) << " | " << aInfo.name_ << " | "
      << NameOf(aInfo.level_) << " | " << aInfo.sentence_ << " |";
  return row.str();
}

}

// Guards against events that operators cannot find in the documentation.
TEST_CASE("docs/events.md lists the events of the table and no others")
{
  std::map<int, std::string> rows = ReadDocumentedEvents();
  for (const EventInfo& info : EventTable()) {
    CHECK(rows[static_cast<int>(info.event_)] == ExpectedRow(info));
    rows.erase(static_cast<int>(info.event_));
  }
  CHECK(rows.empty());
}

// Guards the precondition of the binary search over the table, and against two
// events with one name.
TEST_CASE("the event table is sorted and its names are unique")
{
  int last = 0;
  std::set<std::string_view> names;
  for (const EventInfo& info : EventTable()) {
    CHECK(static_cast<int>(info.event_) > last);
    last = static_cast<int>(info.event_);
    CHECK(names.insert(info.name_).second);
  }
}

// Guards against a queue of lines that holds whole request heads: thousands of
// lines may wait while the log is not read.
TEST_CASE("a text in a log line is cut to a bounded length")
{
  const std::string text(16 << 10, 'x');
  CHECK(LogField("object", text).value_.size() == kMaxLoggedBytes);
  CHECK(LogField("object", text.c_str()).value_.size() == kMaxLoggedBytes);
  CHECK(LogField("object", std::string_view(text)).value_.size() ==
        kMaxLoggedBytes);
  CHECK(LogField("object", "8").value_ == "8");
  CHECK(LogField("bytes", text.size()).value_ == "16384");
}
