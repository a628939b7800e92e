#include "Net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace peridotsail::review {

namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = 64 << 10;

sockaddr_in
ToAddress(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

int
PortOf(int aHandle)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aHandle, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void
SetFlag(int aHandle, int aLevel, int aName)
{
  const int on = 1;
  setsockopt(aHandle, aLevel, aName, &on, sizeof(on));
}

// Returns a bound socket, or a closed one.
Socket
Bind(const std::string& aIp, int aPort)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  SetFlag(socket.Handle(), SOL_SOCKET, SO_REUSEADDR);
  const sockaddr_in address = ToAddress(aIp, aPort);
  if (bind(socket.Handle(),
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    return Socket();
  }
  return socket;
}

std::string
ToLower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  return aText;
}

}

Socket::Socket(Socket&& aOther) noexcept
  : handle_(std::exchange(aOther.handle_, -1))
{
}

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  std::swap(handle_, aOther.handle_);
  return *this;
}

void
Socket::Close()
{
  if (handle_ >= 0) {
    close(handle_);
    handle_ = -1;
  }
}

bool
Socket::Send(const std::string& aBytes) const
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(handle_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

Socket
Connect(const std::string& aIp, int aPort)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  SetFlag(socket.Handle(), IPPROTO_TCP, TCP_NODELAY);
  const sockaddr_in address = ToAddress(aIp, aPort);
  if (connect(socket.Handle(),
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return Socket();
  }
  return socket;
}

int
Listen(const std::string& aIp, std::function<void(Socket)> aServe)
{
  Socket acceptor = Bind(aIp, 0);
  if (!acceptor.IsOpen() || listen(acceptor.Handle(), kBacklog) != 0) {
    return 0;
  }
  const int port = PortOf(acceptor.Handle());
  std::thread([acceptor = std::move(acceptor), serve = std::move(aServe)] {
    while (true) {
      Socket socket(accept4(acceptor.Handle(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!socket.IsOpen()) {
        return;
      }
      SetFlag(socket.Handle(), IPPROTO_TCP, TCP_NODELAY);
      std::thread([serve, connection = std::move(socket)]() mutable {
        serve(std::move(connection));
      }).detach();
    }
  }).detach();
  return port;
}

int
FindFreePort(const std::string& aIp, int aPort)
{
  const Socket socket = Bind(aIp, aPort);
  return socket.IsOpen() ? PortOf(socket.Handle()) : 0;
}

std::string
Message::Header(const std::string& aName) const
{
  const auto found = headers_.find(ToLower(aName));
  return found == headers_.end() ? "" : found->second;
}

std::string
Message::SecondWord() const
{
  std::istringstream words(firstLine_);
  std::string word;
  words >> word >> word;
  return word;
}

std::string
Message::Method() const
{
  return firstLine_.substr(0, firstLine_.find(' '));
}

int
Message::Status() const
{
  return std::atoi(SecondWord().c_str());
}

bool
MessageReader::ReadMore(Clock::time_point aEnd)
{
  const auto left =
    std::chrono::duration_cast<Milliseconds>(aEnd - Clock::now()).count();
  pollfd ready{ socket_.Handle(), POLLIN, 0 };
  if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  std::vector<char> bytes(kReadBytes);
  const ssize_t count = recv(socket_.Handle(), bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

bool
MessageReader::ReadHead(Message& aMessage, Clock::time_point aEnd)
{
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(aEnd)) {
      return false;
    }
  }
  std::istringstream head(buffer_.substr(0, end + 2));
  buffer_.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  aMessage.firstLine_ = line.substr(0, line.size() - 1);
  while (std::getline(head, line)) {
    const std::size_t colon = line.find(':');
    const std::size_t start = line.find_first_not_of(' ', colon + 1);
    if (colon != std::string::npos && start < line.size()) {
      aMessage.headers_[ToLower(line.substr(0, colon))] =
        line.substr(start, line.size() - 1 - start);
    }
  }
  return true;
}

bool
MessageReader::Read(Message& aMessage, Milliseconds aTimeout)
{
  const Clock::time_point end = Clock::now() + aTimeout;
  aMessage = Message();
  if (!ReadHead(aMessage, end)) {
    return false;
  }
  const std::size_t length =
    std::strtoull(aMessage.Header("Content-Length").c_str(), nullptr, 10);
  while (buffer_.size() < length) {
    if (!ReadMore(end)) {
      return false;
    }
  }
  aMessage.body_ = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

}
