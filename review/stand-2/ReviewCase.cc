#include "ReviewCase.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace peridotsail::review {

using nlohmann::json;

Record::Record(const std::string& aPath)
  : file_(aPath)
  , startedAt_(BootClock::now())
{
  if (!file_) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

void
Record::Write(const std::string& aLine)
{
  std::ostringstream line;
  line.setf(std::ios::fixed);
  line.precision(3);
  line << ToSeconds(BootClock::now() - startedAt_) << " s  " << aLine;
  file_ << line.str() << std::endl;
  std::cout << line.str() << std::endl;
}

bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int
RunCase(int aArgumentCount,
        char** aArguments,
        const std::function<Verdict(Record&)>& aCase)
{
  signal(SIGPIPE, SIG_IGN);
  if (aArgumentCount != 2) {
    std::cerr << "usage: " << aArguments[0] << " RECORD" << std::endl;
    return static_cast<int>(Verdict::NotRun);
  }
  try {
    Record record(aArguments[1]);
    record.Write(HasTrouble() ? "with the disruption"
                              : "without the disruption (TROUBLE=0)");
    const Verdict verdict = aCase(record);
    record.Write(verdict == Verdict::Broken ? "the rule was broken"
                 : verdict == Verdict::Held ? "the rule held"
                                            : "the case could not run");
    return static_cast<int>(verdict);
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << std::endl;
    return static_cast<int>(Verdict::NotRun);
  }
}

void
ChangeConfiguration(PlatformFixture& aFixture,
                    const std::function<void(json&)>& aChange)
{
  aFixture.Do([&](FakePlatformStore& aStore) {
    json document = json::parse(aStore.Values().at("op/config"));
    aChange(document);
    aStore.Put("op/config", document.dump());
  });
}

double
MemoryMb(const Process& aProcess, const std::string& aField)
{
  constexpr double kKilobyte = 1024;
  constexpr double kMegabyte = 1e6;
  std::ifstream file("/proc/" + std::to_string(aProcess.Id()) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.compare(0, aField.size(), aField) == 0) {
      return std::stod(line.substr(aField.size() + 1)) * kKilobyte / kMegabyte;
    }
  }
  return 0;
}

std::string
Visible(const std::string& aText, std::size_t aMost)
{
  std::string visible;
  for (const char byte : aText.substr(0, aMost)) {
    if (byte == '\r') {
      visible += "\\r";
    } else if (byte == '\n') {
      visible += "\\n";
    } else {
      visible += byte;
    }
  }
  return aText.size() > aMost ? visible + " ..." : visible;
}

Caller::Caller(const std::string& aAddress, int aReceiveBytes)
  : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  if (aReceiveBytes > 0) {
    setsockopt(
      socket_, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  const auto address = ParseAddress(aAddress);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address->port_);
  inet_pton(AF_INET, address->ip_.c_str(), &to.sin_addr);
  if (connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    close(socket_);
    socket_ = -1;
  }
}

Caller::~Caller()
{
  if (socket_ >= 0) {
    close(socket_);
  }
}

bool
Caller::Send(const std::string& aBytes) const
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(socket_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string
Caller::ReadSome(Duration aTime) const
{
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
  constexpr std::int64_t kSecond = 1000000;
  timeval limit{};
  limit.tv_sec = microseconds / kSecond;
  limit.tv_usec = microseconds % kSecond;
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  char piece[16384];
  const ssize_t count = recv(socket_, piece, sizeof(piece), 0);
  return count <= 0 ? "" : std::string(piece, static_cast<std::size_t>(count));
}

std::string
Caller::ReadUntilSilent(Duration aSilence) const
{
  std::string bytes;
  while (true) {
    const std::string piece = ReadSome(aSilence);
    if (piece.empty()) {
      return bytes;
    }
    bytes += piece;
  }
}

std::string
Caller::ReadAnswer(Duration aTime) const
{
  constexpr Duration kLeast = std::chrono::milliseconds(1);
  const TimePoint end = BootClock::now() + aTime;
  std::string bytes;
  while (BootClock::now() + kLeast < end) {
    const std::string piece = ReadSome(end - BootClock::now());
    if (piece.empty()) {
      break;
    }
    bytes += piece;
    const std::size_t headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
      continue;
    }
    const std::string length =
      HeaderOf(bytes.substr(0, headEnd + 4), "Content-Length");
    if (bytes.size() >= headEnd + 4 + std::stoul("0" + length)) {
      return bytes;
    }
  }
  return "";
}

void
Sleep(Duration aTime)
{
  std::this_thread::sleep_for(aTime);
}

}
