#include "EntryHost.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace peridotsail::review {

using nlohmann::json;

HostTemplate
TemplateOf(const Process& aProcess)
{
  const std::string process = "/proc/" + std::to_string(aProcess.Id());
  std::ifstream file(process + "/cmdline");
  std::string argument;
  const std::string option = "--settings=";
  while (std::getline(file, argument, '\0')) {
    if (argument.rfind(option, 0) == 0) {
      std::ifstream settings(argument.substr(option.size()));
      return { std::filesystem::read_symlink(process + "/exe").string(),
               json::parse(settings) };
    }
  }
  throw std::runtime_error("a host without settings");
}

EntryHost::EntryHost(const HostTemplate& aTemplate,
                     const json& aBounds,
                     const std::string& aFolder,
                     const HostPlace& aPlace)
  : name_(aPlace.name_)
{
  constexpr char kRegion[] = "eu-west";
  json settings = aTemplate.settings_;
  const std::string former = settings.at("ip");
  const std::string ip =
    former.substr(0, former.rfind('.') + 1) + std::to_string(aPlace.number_);
  settings["nodeName"] = name_;
  settings["ip"] = ip;
  settings["zone"] = aPlace.failureDomain_;
  settings["region"] = kRegion;
  settings["zones"] = { { "dublin-a", kRegion }, { "dublin-b", kRegion } };
  settings["bounds"] = aBounds;
  for (auto& address : settings["listen"]) {
    const std::string text = address;
    address = ip + text.substr(text.rfind(':'));
  }
  callers_ = settings["listen"]["front"];
  readiness_ = settings["listen"]["readiness"];
  const std::string path = aFolder + "/" + name_ + ".json";
  std::ofstream(path) << settings.dump();
  process_ = std::make_unique<Process>(std::vector<std::string>{
    "/bin/sh",
    "-c",
    "exec " + aTemplate.program_ + " serve-platform --settings=" + path + " >" +
      aFolder + "/" + name_ + ".log" });
}

bool
EntryHost::IsReady() const
{
  const auto answer =
    CallOnce(readiness_, { "GET", "/peridotsail/ready", {}, "" });
  return answer && answer->status_ == 200;
}

int
EntryHost::Call(const std::string& aKey, const std::string& aId) const
{
  const Caller caller(callers_);
  caller.Send(Request(
    "GET", "/safe/" + aId, aId, "", "Authorization: Token " + aKey + "\r\n"));
  return StatusOf(caller.ReadAnswer(std::chrono::seconds(3)));
}

std::string
MakeFolder()
{
  char folder[] = "/tmp/peridotsail-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return folder;
}

}
