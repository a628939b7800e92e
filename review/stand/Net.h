#pragma once

// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review. Each
// connection has a thread of its own, so that a stand-in is plain sequential
// code.

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace peridotsail::review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// An open socket, closed by the destructor.
class Socket
{
public:
  explicit Socket(int aHandle = -1)
    : handle_(aHandle)
  {
  }
  ~Socket() { Close(); }
  Socket(Socket&& aOther) noexcept;
  Socket& operator=(Socket&& aOther) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool IsOpen() const { return handle_ >= 0; }
  int Handle() const { return handle_; }
  void Close();
  // Returns false if the peer closed the connection.
  bool Send(const std::string& aBytes) const;

private:
  int handle_;
};

// Returns a closed socket on failure.
Socket
Connect(const std::string& aIp, int aPort);

// Listens on a free port and calls aServe in a detached thread for each
// connection. Returns the port, or 0 on failure.
int
Listen(const std::string& aIp, std::function<void(Socket)> aServe);

// Returns a port of the address that was free when it was checked, or 0. A
// fixed port is checked instead if aPort is not 0.
int
FindFreePort(const std::string& aIp, int aPort = 0);

// A request or a response.
struct Message
{
  // "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string firstLine_;
  // By name in lower case.
  std::map<std::string, std::string> headers_;
  std::string body_;

  std::string Header(const std::string& aName) const;
  // The second word of the first line: the target or the status.
  std::string SecondWord() const;
  std::string Method() const;
  int Status() const;
};

// Reads the messages of one connection.
class MessageReader
{
public:
  explicit MessageReader(const Socket& aSocket)
    : socket_(aSocket)
  {
  }
  // Reads a message whose body has a Content-Length or is empty. Returns false
  // at the end of the connection or after aTimeout.
  bool Read(Message& aMessage, Milliseconds aTimeout);

private:
  bool ReadMore(Clock::time_point aEnd);
  bool ReadHead(Message& aMessage, Clock::time_point aEnd);

  const Socket& socket_;
  std::string buffer_;
};

}
