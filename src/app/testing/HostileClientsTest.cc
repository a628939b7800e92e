// Crowds of clients that try to exhaust the memory or the descriptors of a host
// that `peridotsail serve` runs, with lowered limits. Checks nothing that
// depends on the speed of the machine: the process lives, its memory and
// descriptors stay under the bounds, an ordinary caller gets an answer while
// the crowd is there, and is served afterwards.

#include "testing/HostileCrowd.h"
#include "testing/ProcessGroup.h"
#include "testing/ProcessUsage.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

using namespace peridotsail;

namespace {

// Ports below the ephemeral range; each row has its own.
constexpr std::uint16_t kFirstPort = 18300;
constexpr std::uint16_t kPortsPerRow = 20;
constexpr int kMemoryMb = 96;
// The part of the memory that a process without requests may use. Sanitized
// programs use more, so memory is measured relative to the idle process.
constexpr int kIdleMb = 32;
constexpr int kMaxConnections = 1500;
// Callers' connections, and those to other processes and to servers.
constexpr int kMaxDescriptors = kMaxConnections + 200;
constexpr std::size_t kMaxHeaderBytes = 16 << 10;
// The limit of routes that configure none.
constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr int kCrowd = 1400;
constexpr int kListing = 450;
constexpr int kUploads = 150;
constexpr int kSilent = 2 * kMaxConnections;

const char kShortField[] = "a:b\r\n";

std::string
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

// Returns a head without its end.
std::string
Head(const std::string& aRequestLine, const std::string& aMore)
{
  return aRequestLine +
         " HTTP/1.1\r\nHost: post.example\r\nAuthorization: Bearer " +
         kTestKey + "\r\n" + aMore;
}

// Returns a head without its end, of the largest legal size, that consists of
// short fields.
std::string
ShortFields(const std::string& aRequestLine, const std::string& aMore)
{
  std::string head = Head(aRequestLine, aMore);
  while (head.size() + sizeof(kShortField) + 2 < kMaxHeaderBytes) {
    head += kShortField;
  }
  return head;
}

std::string
ListedNames()
{
  return "Connection: x" + Repeat(",x", kMaxHeaderBytes / 4) + "\r\n";
}

CrowdMessage
Whole(const std::string& aText)
{
  CrowdMessage message;
  message.head_ = aText;
  return message;
}

// Returns an order whose body stops short of its end.
CrowdMessage
Order(const std::string& aLength, const std::string& aPiece, std::size_t aCount)
{
  CrowdMessage message;
  message.head_ =
    Head("POST /stamps/1", "Idempotency-Key: order\r\n" + aLength + "\r\n\r\n");
  message.piece_ = aPiece;
  message.count_ = aCount;
  return message;
}

struct Group
{
  int connections_;
  CrowdMessage message_;
  bool toOperators_ = false;
};

struct Row
{
  const char* name_;
  std::vector<Group> groups_;
  // The host reads everything, and does not wait for a server first.
  bool isRead_ = true;
};

std::vector<Row>
Rows()
{
  const std::string block(kMaxBodyBytes / 64, 'x');
  const CrowdMessage upload =
    Whole(ShortFields("PUT /inbox/1", "Content-Length: 2\r\n") + "\r\nx");
  const CrowdMessage unfinished = Whole(ShortFields("GET /inbox/1", ""));
  const CrowdMessage toOperators =
    Whole(ShortFields("POST /status", "Content-Length: 2\r\n") + "\r\nx");
  const CrowdMessage listing =
    Whole(ShortFields("GET /inbox/1", ListedNames()) + "\r\n");
  const CrowdMessage whole =
    Order("Content-Length: " + std::to_string(kMaxBodyBytes), block, 63);
  const CrowdMessage largeChunks =
    Order("Transfer-Encoding: chunked", "4000\r\n" + block + "\r\n", 63);
  const CrowdMessage smallChunks =
    Order("Transfer-Encoding: chunked",
          Repeat("10\r\n" + std::string(16, 'x') + "\r\n", 256),
          255);
  const CrowdMessage announced =
    Order("Content-Length: " + std::to_string(100 * kMaxBodyBytes), block, 200);
  const CrowdMessage justSent =
    Order("Transfer-Encoding: chunked", "4000\r\n" + block + "\r\n", 200);
  CrowdMessage streamed;
  streamed.head_ =
    Head("PUT /inbox/1",
         "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n");
  streamed.piece_ = block;
  streamed.count_ = 63;
  CrowdMessage relayed = streamed;
  relayed.head_ =
    Head("PUT /far/1",
         "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n");
  return {
    { "heads of many short fields, unfinished bodies",
      { { kCrowd, upload } },
      false },
    { "unfinished heads of many short fields", { { kCrowd, unfinished } } },
    { "heads that list thousands of names", { { kListing, listing } } },
    { "orders whose bodies stop short of their end", { { kUploads, whole } } },
    { "orders in large chunks", { { kUploads, largeChunks } } },
    { "orders in very small chunks", { { kUploads, smallChunks } } },
    { "orders announced far over the limit", { { kUploads, announced } } },
    { "orders sent far over the limit", { { kUploads, justSent } } },
    { "uploads that stop short of their end",
      { { kListing, streamed } },
      false },
    { "uploads to another region", { { kListing, relayed } }, false },
    { "many connections that send nothing", { { kSilent, Whole("") } } },
    { "heads of many short fields to the operators' port",
      { { kCrowd, toOperators, true } } },
    { "all kinds of crowd",
      { { 400, upload },
        { 400, unfinished },
        { 50, listing },
        { 40, whole },
        { 40, smallChunks },
        { 40, relayed },
        { 40, streamed },
        { 400, toOperators, true } },
      false },
  };
}

// Sets the limits of the processes that are started while it exists.
class LimitsInEnvironment
{
public:
  LimitsInEnvironment()
  {
    const char* options = std::getenv("ASAN_OPTIONS");
    former_ = options == nullptr ? "" : options;
    // Sanitized programs then keep no freed memory.
    const std::string none = former_ + ":quarantine_size_mb=0:"
                                       "thread_local_quarantine_size_kb=0:"
                                       "allocator_release_to_os_interval_ms=0";
    setenv("ASAN_OPTIONS", none.c_str(), 1);
    setenv("PERIDOTSAIL_MEMORY_LIMIT", std::to_string(kMemoryMb).c_str(), 1);
    setenv("PERIDOTSAIL_MAX_CONNECTIONS",
           std::to_string(kMaxConnections).c_str(),
           1);
  }
  ~LimitsInEnvironment()
  {
    setenv("ASAN_OPTIONS", former_.c_str(), 1);
    unsetenv("PERIDOTSAIL_MEMORY_LIMIT");
    unsetenv("PERIDOTSAIL_MAX_CONNECTIONS");
  }
  LimitsInEnvironment(const LimitsInEnvironment&) = delete;
  LimitsInEnvironment& operator=(const LimitsInEnvironment&) = delete;

private:
  std::string former_;
};

HttpRequest
OrdinaryRequest()
{
  return { "GET",
           "/inbox/7",
           { { "Authorization", std::string("Bearer ") + kTestKey } },
           "" };
}

}

// Guards against a process that runs out of memory or descriptors, or no longer
// answers, because of clients that send much and finish nothing.
TEST_CASE("A crowd of hostile clients does not exhaust a host that serves")
{
  const LimitsInEnvironment environment;
  std::uint16_t port = kFirstPort;
  for (const Row& row : Rows()) {
    const std::uint16_t firstPort = port;
    port += kPortsPerRow;
    DYNAMIC_SECTION(row.name_)
    {
      TestSystem system(PERIDOTSAIL_BIN_DIR, firstPort, 1);
      REQUIRE(system.Start());
      const TestHost& host = system.hosts_[0];
      // The first request loads code and data that stay in memory.
      REQUIRE(CallOnce(host.callers_, OrdinaryRequest()));
      const double idle = MemoryMb(*host.process_, "VmRSS:");
      const double idleOther = MemoryMb(*system.hosts_[1].process_, "VmRSS:");
      {
        std::vector<std::unique_ptr<HostileCrowd>> crowds;
        std::vector<std::thread> threads;
        for (const Group& group : row.groups_) {
          crowds.push_back(std::make_unique<HostileCrowd>(
            group.toOperators_ ? host.operators_ : host.callers_,
            group.connections_,
            group.message_));
        }
        threads.reserve(crowds.size());
        for (const auto& crowd : crowds) {
          threads.emplace_back([&crowd] { crowd->Run(); });
        }
        for (std::thread& thread : threads) {
          thread.join();
        }
        CHECK(WaitUntil([&] {
          const std::size_t unread =
            row.isRead_ ? UnreadBytes(host.callers_) : 0;
          return unread + UnreadBytes(host.operators_) == 0;
        }));
        CHECK(WaitUntil([&] {
          return CallOnce(host.callers_, OrdinaryRequest()).has_value();
        }));
        // The crowd connected before and so was accepted before.
        CHECK(OpenDescriptors(*host.process_) < kMaxDescriptors);
      }
      CHECK(WaitUntil([&] {
        const auto answer = CallOnce(host.callers_, OrdinaryRequest());
        return answer && answer->status_ == 200;
      }));
      CHECK(host.process_->Running());
      CHECK(MemoryMb(*host.process_, "VmHWM:") - idle < kMemoryMb - kIdleMb);
      CHECK(MemoryMb(*system.hosts_[1].process_, "VmHWM:") - idleOther <
            kMemoryMb - kIdleMb);
    }
  }
}

// Guards against limits that refuse a request inside the configuration's limits
// when nothing else is there.
TEST_CASE("A single order of the largest size is served under a memory limit")
{
  const LimitsInEnvironment environment;
  TestSystem system(PERIDOTSAIL_BIN_DIR, kFirstPort - kPortsPerRow, 1);
  REQUIRE(system.Start());
  HttpRequest order{ "POST",
                     "/stamps/order",
                     { { "Authorization", std::string("Bearer ") + kTestKey },
                       { "Idempotency-Key", "largest" } },
                     std::string(kMaxBodyBytes, 'x') };
  const auto answer = CallOnce(system.hosts_[0].callers_, order);
  REQUIRE(answer);
  CHECK(answer->status_ == 200);
}
