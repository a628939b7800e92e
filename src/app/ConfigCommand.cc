#include "app/ConfigCommand.h"

#include "app/LookupCommand.h"
#include "config/ConfigurationParser.h"
#include "config/DocumentEdit.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace peridotsail {

namespace {

using Json = nlohmann::json;
using Row = std::vector<std::string>;

int
Fail(int aCode, const std::string& aMessage)
{
  std::cerr << "peridotsail: " << aMessage << '\n';
  return aCode;
}

// Prints rows in aligned columns. The first row is the heading.
void
PrintTable(const std::vector<Row>& aRows)
{
  std::vector<std::size_t> widths;
  for (const Row& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const Row& row : aRows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2)
                << row[i];
    }
    std::cout << row.back() << '\n';
  }
}

void
PrintDifferences(const std::string& aLeft,
                 const std::string& aLeftDocument,
                 const std::string& aRight,
                 const std::string& aRightDocument,
                 bool aJson)
{
  const auto differences = CompareDocuments(aLeftDocument, aRightDocument);
  if (aJson) {
    const auto value = [](const std::string& aText) {
      return aText.empty() ? Json() : Json::parse(aText);
    };
    Json rows = Json::array();
    for (const DocumentDifference& row : differences) {
      rows.push_back({ { "section", row.section_ },
                       { "item", row.item_ },
                       { aLeft, value(row.left_) },
                       { aRight, value(row.right_) } });
    }
    std::cout << Json{ { "differences", rows } }.dump(2) << '\n';
    return;
  }
  if (differences.empty()) {
    std::cout << "no differences\n";
  }
  const auto valueOrAbsent = [](const std::string& aText) {
    return aText.empty() ? std::string("(absent)") : aText;
  };
  for (const DocumentDifference& row : differences) {
    std::cout << row.section_ << ' ' << row.item_ << '\n'
              << "  " << aLeft << ": " << valueOrAbsent(row.left_) << '\n'
              << "  " << aRight << ": " << valueOrAbsent(row.right_) << '\n';
  }
}

class ConfigCommandRunner
{
public:
  explicit ConfigCommandRunner(const ConfigArguments& aArguments)
    : arguments_(aArguments)
  {
  }

  int Run()
  {
    static const std::map<std::string, int (ConfigCommandRunner::*)()> kActions{
      { "validate", &ConfigCommandRunner::Validate },
      { "show", &ConfigCommandRunner::Show },
      { "diff", &ConfigCommandRunner::Diff },
      { "apply", &ConfigCommandRunner::Apply },
      { "history", &ConfigCommandRunner::History },
      { "status", &ConfigCommandRunner::Status },
      { "issue", &ConfigCommandRunner::Issue },
      { "withdraw", &ConfigCommandRunner::Withdraw }
    };
    const auto action = kActions.find(arguments_.action_);
    return action == kActions.end()
             ? Fail(kConfigInvalidArguments, "unknown command")
             : (this->*action->second)();
  }

private:
  // Reads the file into document_ and prints its faults. Returns an exit code.
  int ReadFile()
  {
    std::ifstream file(arguments_.file_, std::ios::binary);
    if (!file) {
      return Fail(kConfigInvalidArguments, "cannot read " + arguments_.file_);
    }
    std::ostringstream text;
    text << file.rdbuf();
    document_ = text.str();
    std::vector<ConfigurationFault> faults;
    if (ParseConfiguration(document_, faults)) {
      return kConfigSuccess;
    }
    std::vector<Row> rows{ { "FIELD", "FAULT" } };
    for (const ConfigurationFault& fault : faults) {
      rows.push_back(
        { fault.path_.empty() ? "document" : fault.path_, fault.message_ });
    }
    if (arguments_.json_) {
      Json list = Json::array();
      for (const ConfigurationFault& fault : faults) {
        list.push_back(
          { { "field", fault.path_ }, { "fault", fault.message_ } });
      }
      std::cout << Json{ { "valid", false }, { "faults", list } }.dump(2)
                << '\n';
    } else {
      PrintTable(rows);
    }
    return kConfigInvalid;
  }

  // Calls the host and stores the JSON response in response_. On failure,
  // prints the reason and returns its exit code.
  int Call(const std::string& aMethod,
           const std::string& aTarget,
           const Json& aBody = nullptr)
  {
    const auto address = ParseAddress(arguments_.operators_);
    if (!address) {
      return Fail(kConfigInvalidArguments,
                  "--operators is not an IP address with a port");
    }
    const HttpRequest request{ aMethod,
                               aTarget,
                               { { "Authorization",
                                   "Bearer " + arguments_.operatorToken_ } },
                               aBody.is_null() ? "" : aBody.dump() };
    std::string reason;
    const auto response = CallAndWait(*address, request, reason);
    if (!response) {
      return Fail(kConfigFailed, "the host does not answer: " + reason);
    }
    response_ = Json::parse(response->body_, nullptr, false);
    if (!response_.is_object()) {
      return Fail(kConfigFailed, "the host's answer is malformed");
    }
    if (response->status_ == 200) {
      return kConfigSuccess;
    }
    const std::string kind = response_.value("kind", "");
    if (kind == "version-conflict") {
      return kConfigConflict;
    }
    return Fail(kind == "configuration-invalid" ? kConfigInvalid
                                                : kConfigFailed,
                kind + ": " + response_.value("detail", ""));
  }

  int Validate()
  {
    const int code = ReadFile();
    if (code == kConfigSuccess) {
      std::cout << (arguments_.json_ ? "{\"valid\": true}" : "valid") << '\n';
    }
    return code;
  }

  int Show()
  {
    const int code = Call("GET", "/config");
    if (code != kConfigSuccess) {
      return code;
    }
    if (arguments_.json_) {
      std::cout << response_.dump(2) << '\n';
      return code;
    }
    // Only the document is written to standard output, so that it can be saved,
    // edited and applied again.
    std::cerr << "version " << response_.value("version", 0) << '\n';
    std::cout << response_.value("document", Json()).dump(2) << '\n';
    return code;
  }

  int Diff()
  {
    int code = ReadFile();
    if (code == kConfigSuccess) {
      code = Call("GET", "/config");
    }
    if (code == kConfigSuccess) {
      PrintDifferences("in_force",
                       response_.value("document", Json()).dump(),
                       "file",
                       document_,
                       arguments_.json_);
    }
    return code;
  }

  int Apply()
  {
    const std::string& expect = arguments_.expect_;
    if (expect.empty() || expect.size() > 15 ||
        expect.find_first_not_of("0123456789") != std::string::npos) {
      return Fail(kConfigInvalidArguments, "--expect is not a version");
    }
    const int code = ReadFile();
    return code == kConfigSuccess ? Commit(std::stoll(expect)) : code;
  }

  int Commit(std::int64_t aExpected)
  {
    const int code = Call("POST",
                          "/config",
                          { { "expect", aExpected },
                            { "author", arguments_.author_ },
                            { "document", Json::parse(document_) } });
    if (code == kConfigConflict) {
      PrintConflict(aExpected);
    } else if (code == kConfigSuccess && arguments_.action_ == "apply") {
      PrintResult();
    }
    return code;
  }

  void PrintConflict(std::int64_t aExpected)
  {
    const Json stored = response_.value("stored", Json::object());
    std::cerr << "peridotsail: version-conflict: expected " << aExpected
              << ", the store holds " << stored.value("version", 0) << " by '"
              << stored.value("author", "") << "'; nothing was written\n";
    PrintDifferences("stored",
                     stored.value("document", Json::object()).dump(),
                     "yours",
                     document_,
                     arguments_.json_);
  }

  void PrintResult()
  {
    if (arguments_.json_) {
      std::cout << response_.dump(2) << '\n';
    } else {
      std::cout << response_.value("result", "") << ", version "
                << response_.value("version", 0) << '\n';
    }
  }

  // Prints the response as JSON or the rows as a table.
  int PrintResponse(int aCode, const std::function<std::vector<Row>()>& aRows)
  {
    if (aCode == kConfigSuccess && arguments_.json_) {
      std::cout << response_.dump(2) << '\n';
    } else if (aCode == kConfigSuccess) {
      PrintTable(aRows());
    }
    return aCode;
  }

  int History()
  {
    return PrintResponse(Call("GET", "/config/history"), [this] {
      std::vector<Row> rows{ { "VERSION", "AUTHOR", "ATTEMPT" } };
      for (const Json& item : response_.value("versions", Json::array())) {
        rows.push_back({ std::to_string(item.value("version", 0)),
                         item.value("author", ""),
                         item.value("attempt", "") });
      }
      return rows;
    });
  }

  int Status()
  {
    return PrintResponse(Call("GET", "/config/status"), [this] {
      std::vector<Row> rows{ { "HOST", "VERSION", "CONFIRMED" } };
      rows.push_back({ "(asked host)",
                       std::to_string(response_.value("version", 0)),
                       "yes" });
      for (const Json& item : response_.value("hosts", Json::array())) {
        rows.push_back({ item.value("host", ""),
                         std::to_string(item.value("version", 0)),
                         item.value("confirmed", false) ? "yes" : "no" });
      }
      return rows;
    });
  }

  int Issue()
  {
    int code = Call("GET", "/config");
    if (code != kConfigSuccess) {
      return code;
    }
    const std::int64_t version = response_.value("version", std::int64_t{ 0 });
    const IssuedKey key = MakeKey();
    const auto document =
      AddKey(response_.value("document", Json::object()).dump(),
             arguments_.name_,
             key);
    if (!document) {
      return Fail(kConfigFailed,
                  "the customer '" + arguments_.name_ + "' does not exist");
    }
    document_ = *document;
    code = Commit(version);
    if (code == kConfigFailed) {
      std::cerr << "peridotsail: if key " << key.id_
                << " appears in the configuration, withdraw it\n";
    }
    if (code != kConfigSuccess) {
      return code;
    }
    // The secret is shown only here; the document stores just its hash.
    const std::string bearer = key.id_ + "." + key.secret_;
    if (arguments_.json_) {
      std::cout << Json{
        { "id", key.id_ },
        { "key", bearer },
        { "version", response_.value("version", 0) }
      }.dump(2) << '\n';
    } else {
      std::cout << "key id " << key.id_ << ", version "
                << response_.value("version", 0)
                << "; this key is not shown again:\n"
                << bearer << '\n';
    }
    return code;
  }

  int Withdraw()
  {
    const int code =
      Call("POST",
           "/config/withdraw",
           { { "id", arguments_.name_ }, { "author", arguments_.author_ } });
    if (code != kConfigSuccess) {
      return code;
    }
    if (response_.value("result", "") != "disseminating") {
      PrintResult();
      return code;
    }
    if (Call("GET", "/config/withdrawal?id=" + arguments_.name_) ==
          kConfigSuccess &&
        arguments_.json_) {
      std::cout << response_.dump(2) << '\n';
    } else {
      std::cout << "the store is unreachable: the withdrawal is being sent to "
                   "all hosts and is not yet committed\n";
    }
    return kConfigNotCommitted;
  }

  const ConfigArguments& arguments_;
  std::string document_;
  Json response_;
};

}

int
RunConfig(const ConfigArguments& aArguments)
{
  return ConfigCommandRunner(aArguments).Run();
}

}
