#pragma once

// An entry host whose settings differ from those of the fixture.

#include "ReviewCase.h"

#include <memory>
#include <string>

namespace peridotsail::review {

// What further hosts take over from one of the fixture.
struct HostTemplate
{
  std::string program_;
  nlohmann::json settings_;
};

// Reads it from the running process, which names its settings on its command
// line.
HostTemplate
TemplateOf(const Process& aProcess);

struct HostPlace
{
  std::string name_;
  std::string failureDomain_;
  // The last number of its address.
  int number_ = 0;
};

class EntryHost
{
public:
  // aBounds replaces the bounds of the template.
  EntryHost(const HostTemplate& aTemplate,
            const nlohmann::json& aBounds,
            const std::string& aFolder,
            const HostPlace& aPlace);

  bool IsReady() const;
  // Sends a request with the key and returns its status, or 0 if there is no
  // answer in three seconds.
  int Call(const std::string& aKey, const std::string& aId) const;
  const std::string& Name() const { return name_; }
  const std::string& CallerAddress() const { return callers_; }
  void Signal(int aSignal) const { process_->Signal(aSignal); }

private:
  std::string name_;
  std::string callers_;
  std::string readiness_;
  std::unique_ptr<Process> process_;
};

// Returns a new temporary folder.
std::string
MakeFolder();

}
