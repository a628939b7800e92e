#pragma once

// Holds an immutable value that one thread replaces and all threads read.

#include <memory>
#include <mutex>

namespace peridotsail {

template<typename T>
class Snapshot
{
public:
  // Null before the first Set.
  std::shared_ptr<const T> Get() const
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return value_;
  }

  void Set(std::shared_ptr<const T> aValue)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    value_ = std::move(aValue);
  }

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
};

}
