#include <docopt/docopt.h>
#include <map>
#include <string>
#include <vector>

namespace {

constexpr char kUsage[] = R"(peridotsail: global traffic steering.

Usage:
  peridotsail (-h | --help)
  peridotsail --version

Options:
  -h --help   Show this text.
  --version   Show the version.
)";

}

int
main(int aArgc, char** aArgv)
{
  const std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  docopt::docopt(kUsage, arguments, true, "peridotsail 0.1.0");
  return 0;
}
