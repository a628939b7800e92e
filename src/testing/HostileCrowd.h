#pragma once

// Many callers' connections that send at the same time and stay open. Sending
// never blocks, so that a host which stops reading does not stop the test.
//
//   HostileCrowd crowd(address, 32, { head, piece, 100 });
//   bool settled = crowd.Run();

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace peridotsail {

// The bytes that each connection of a crowd sends.
struct CrowdMessage
{
  std::string head_;
  // Sent aCount times after the head.
  std::string piece_;
  std::size_t count_ = 0;
  std::string end_;
  // The most bytes that are sent at once.
  std::size_t bytesAtOnce_ = 256 << 10;
  // Waits for the beginning of an answer, and does not read it.
  bool awaitsAnswer_ = false;
};

class HostileCrowd
{
public:
  HostileCrowd(const std::string& aAddress,
               int aConnections,
               CrowdMessage aMessage);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  // Sends in turn on all connections, until each of them has sent its message
  // or the host has answered or closed it. Returns false if some connection
  // reaches neither within the time limit of WaitUntil.
  bool Run();
  // Returns the number of connections whose answer has the status.
  int Answered(int aStatus) const;

private:
  struct Member;

  bool Settled(const Member& aMember) const;
  void Send(Member& aMember) const;

  CrowdMessage message_;
  std::vector<std::unique_ptr<Member>> members_;
};

}
