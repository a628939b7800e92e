#include "testing/ProcessUsage.h"

#include <arpa/inet.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace peridotsail {

double
MemoryMb(const Process& aProcess, const std::string& aField)
{
  std::ifstream file("/proc/" + std::to_string(aProcess.Id()) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.compare(0, aField.size(), aField) == 0) {
      return std::stod(line.substr(aField.size() + 1)) / 1000.0;
    }
  }
  return 0;
}

int
OpenDescriptors(const Process& aProcess)
{
  int count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(
         "/proc/" + std::to_string(aProcess.Id()) + "/fd")) {
    ++count;
  }
  return count;
}

std::size_t
UnreadBytes(const std::string& aAddress)
{
  const auto address = ParseAddress(aAddress);
  in_addr ip{};
  inet_pton(AF_INET, address->ip_.c_str(), &ip);
  char local[16];
  std::snprintf(local, sizeof(local), "%08X:%04X", ip.s_addr, address->port_);
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::size_t unread = 0;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string from;
    std::string to;
    std::string state;
    std::string queues;
    fields >> number >> from >> to >> state >> queues;
    const std::size_t colon = queues.find(':');
    const std::string listening = "0A";
    if (from == local && state != listening && colon != std::string::npos) {
      unread += std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
  }
  return unread;
}

}
