#include "testing/HostileCrowd.h"

#include "http/HttpTypes.h"
#include "testing/ProcessGroup.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace peridotsail {

namespace {

// The receive buffer of a member, so that the host keeps what is not read.
constexpr int kReceiveBytes = 4096;
// The bytes of an answer that are looked at.
constexpr std::size_t kPeekBytes = 64;

// Returns the status of an answer's first bytes, or 0 if they are none.
int
StatusOfPrefix(const std::string& aText)
{
  const std::string version = "HTTP/1.1 ";
  const bool isAnswer = aText.compare(0, version.size(), version) == 0;
  return isAnswer ? std::atoi(aText.c_str() + version.size()) : 0;
}

}

struct HostileCrowd::Member
{
  explicit Member(const std::string& aAddress);
  ~Member() { close(socket_); }
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;
  // Returns the beginning of the answer without reading it.
  std::string Peek() const;

  int socket_;
  // Bytes of the message that have been sent.
  std::size_t sent_ = 0;
  bool closed_ = false;
};

HostileCrowd::Member::Member(const std::string& aAddress)
  : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  setsockopt(
    socket_, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes, sizeof(kReceiveBytes));
  const auto address = ParseAddress(aAddress);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address->port_);
  inet_pton(AF_INET, address->ip_.c_str(), &target.sin_addr);
  if (connect(socket_, reinterpret_cast<sockaddr*>(&target), sizeof(target)) !=
      0) {
    throw std::runtime_error("cannot connect to " + aAddress);
  }
}

std::string
HostileCrowd::Member::Peek() const
{
  char text[kPeekBytes];
  const ssize_t got =
    recv(socket_, text, sizeof(text), MSG_PEEK | MSG_DONTWAIT);
  return got > 0 ? std::string(text, static_cast<std::size_t>(got)) : "";
}

HostileCrowd::HostileCrowd(const std::string& aAddress,
                           int aConnections,
                           CrowdMessage aMessage)
  : message_(std::move(aMessage))
{
  for (int i = 0; i < aConnections; ++i) {
    members_.push_back(std::make_unique<Member>(aAddress));
  }
}

HostileCrowd::~HostileCrowd() = default;

bool
HostileCrowd::Settled(const Member& aMember) const
{
  const std::size_t size = message_.head_.size() +
                           message_.piece_.size() * message_.count_ +
                           message_.end_.size();
  if (aMember.closed_ || !aMember.Peek().empty()) {
    return true;
  }
  return aMember.sent_ == size && !message_.awaitsAnswer_;
}

void
HostileCrowd::Send(Member& aMember) const
{
  const std::size_t head = message_.head_.size();
  const std::size_t pieces = message_.piece_.size() * message_.count_;
  const std::string* text = &message_.head_;
  std::size_t at = aMember.sent_;
  if (at >= head + pieces) {
    text = &message_.end_;
    at -= head + pieces;
  } else if (at >= head) {
    text = &message_.piece_;
    at = (at - head) % message_.piece_.size();
  }
  const std::size_t size = std::min(text->size() - at, message_.bytesAtOnce_);
  if (size > 0) {
    const ssize_t sent = send(
      aMember.socket_, text->data() + at, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      aMember.sent_ += static_cast<std::size_t>(sent);
    }
    aMember.closed_ = sent < 0 && errno != EAGAIN;
    return;
  }
  char byte = 0;
  const ssize_t got = recv(aMember.socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  aMember.closed_ = got == 0 || (got < 0 && errno != EAGAIN);
}

bool
HostileCrowd::Run()
{
  // Members send in turn while any of them can.
  return WaitUntil([&] {
    bool progress = true;
    bool settled = true;
    while (progress) {
      progress = false;
      settled = true;
      for (const auto& member : members_) {
        if (Settled(*member)) {
          continue;
        }
        settled = false;
        const std::size_t before = member->sent_;
        Send(*member);
        progress = progress || member->sent_ > before;
      }
    }
    return settled;
  });
}

int
HostileCrowd::Answered(int aStatus) const
{
  return static_cast<int>(
    std::count_if(members_.begin(), members_.end(), [&](const auto& aMember) {
      return StatusOfPrefix(aMember->Peek()) == aStatus;
    }));
}

}
