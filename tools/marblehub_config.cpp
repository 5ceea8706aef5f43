/// marblehub-config: writes sample configuration files and validates configuration files.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "application.h"
#include "config/json.h"

namespace {

using namespace marblehub::config;

int usage(std::ostream& out, int code) {
  out << "usage: marblehub-config list\n"
         "       marblehub-config write APPLICATION [FILE]\n"
         "       marblehub-config check [--quic|--remote-write|--rebalance|--log|--fleet|--routes|--wallet] "
         "FILE\n"
         "\n"
         "list   lists the applications that have a sample configuration.\n"
         "write  writes a commented sample to FILE, which must not exist, or to standard output.\n"
         "check  validates a configuration file and the files that it names, or one of those "
         "alone.\n"
         "       Prints one line per error, with its key, and exits with 1. Unknown keys are warnings.\n"
         "       Exit code 2: wrong command line.\n";
  return code;
}

int write(const std::vector<std::string>& args) {
  for (const Application& application : applications()) {
    if (application.name != args[1]) continue;
    if (args.size() == 2) {
      std::cout << sample_config(application);
      return 0;
    }
    if (std::ifstream(args[2])) {
      std::cerr << "marblehub-config: " << args[2] << " already exists\n";
      return 1;
    }
    std::ofstream file(args[2]);
    file << sample_config(application);
    file.close();
    if (file) return 0;
    std::cerr << "marblehub-config: cannot write " << args[2] << '\n';
    return 1;
  }
  std::cerr << "marblehub-config: unknown application " << args[1] << "; see: marblehub-config list\n";
  return 1;
}

int check_file(const std::string& path, FileKind kind) {
  auto text = read_file(path);
  if (!text) {
    std::cerr << "marblehub-config: cannot read " << path << '\n';
    return 1;
  }
  // File names in the main file are relative to the working directory, as for the balancer itself.
  std::string folder = kind == FileKind::quic ? std::filesystem::path(path).parent_path().string() : ".";
  Findings findings = check(*text, kind, folder);
  for (const std::string& line : findings.warnings) std::cerr << path << ": warning: " << line << '\n';
  for (const std::string& line : findings.errors) std::cerr << path << ": " << line << '\n';
  if (findings.errors.empty()) std::cout << path << ": valid\n";
  return findings.errors.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> args(argv + 1, argv + argc);
  if (!args.empty() && (args[0] == "--help" || args[0] == "-h")) return usage(std::cout, 0);
  if (args.size() == 1 && args[0] == "list") {
    for (const Application& a : applications()) std::cout << a.name << "  " << a.summary << '\n';
    return 0;
  }
  if (args.size() >= 2 && args.size() <= 3 && args[0] == "write") return write(args);
  static const std::map<std::string, FileKind> kinds = {
      {"--quic", FileKind::quic},           {"--remote-write", FileKind::remote_write},
      {"--rebalance", FileKind::rebalance}, {"--log", FileKind::log},
      {"--fleet", FileKind::fleet},         {"--routes", FileKind::routes},
      {"--wallet", FileKind::wallet}};
  if (args.size() == 2 && args[0] == "check") return check_file(args[1], FileKind::start);
  if (args.size() == 3 && args[0] == "check")
    if (auto kind = kinds.find(args[1]); kind != kinds.end()) return check_file(args[2], kind->second);
  return usage(std::cerr, 2);
}
