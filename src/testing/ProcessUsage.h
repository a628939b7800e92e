#pragma once

// What a process that a test started uses, and what it has not read yet.

#include "testing/ProcessGroup.h"

#include <cstddef>
#include <string>

namespace peridotsail {

// Returns a field of /proc/PID/status in MB.
double
MemoryMb(const Process& aProcess, const std::string& aField);

int
OpenDescriptors(const Process& aProcess);

// Returns the bytes that were sent to the address and that its process has not
// read yet.
std::size_t
UnreadBytes(const std::string& aAddress);

}
