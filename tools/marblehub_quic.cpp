// marblehub-quic: connection ids by hand, and the conformance suite of the second front.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "quic/connection_id.h"
#include "quic/crypto.h"
#include "quic/packet.h"
#include "report.h"
#include "support/program.h"

namespace {

using namespace marblehub;

std::string octets_of(const std::string& text, const char* what) {
  auto bytes = quic::unhex(text);
  if (!bytes) throw CLI::ValidationError(what, "expected hexadecimal digits");
  return *bytes;
}

struct IdArguments {
  std::string key, id, server_id, nonce;
  std::size_t server_id_length = 0, nonce_length = 0;
  unsigned rotation = 0;
  bool no_length = false;

  quic::IdConfig config() const {
    quic::IdConfig c{rotation, server_id_length, nonce_length, octets_of(key, "--key"), !no_length};
    if (std::string error = quic::config_error(c); !error.empty())
      throw CLI::ValidationError("config", error);
    return c;
  }
};

int decode(const IdArguments& args) {
  std::string id = octets_of(args.id, "ID");
  quic::IdCodec codec({args.config()});
  auto decoded = codec.decode(id, true);
  if (!decoded) {
    std::cerr << "marblehub-quic: the id is not of this config: its rotation, its length octet or its length "
                 "differs\n";
    return 1;
  }
  std::cout << "server-id " << quic::hex(decoded->server_id) << "\nnonce "
            << quic::hex(codec.nonce_of(*decoded)) << '\n';
  return 0;
}

int encode(const IdArguments& args) {
  quic::IdConfig config = args.config();
  std::string server_id = octets_of(args.server_id, "--server-id");
  std::string nonce =
      args.nonce.empty() ? quic::random_bytes(config.nonce_length) : octets_of(args.nonce, "--nonce");
  if (server_id.size() != config.server_id_length || nonce.size() != config.nonce_length)
    throw CLI::ValidationError("--server-id, --nonce", "expected as many octets as the lengths say");
  std::cout << quic::hex(quic::IdCodec({config}).encode(config.rotation, server_id, nonce)) << '\n';
  return 0;
}

int conform(const std::string& only, bool as_json) {
  nlohmann::json lines = nlohmann::json::array();
  conformance::Report report([&](const conformance::Line& line) {
    if (as_json) {
      lines.push_back({{"suite", line.suite},
                       {"section", line.section},
                       {"requirement", line.words},
                       {"passed", line.passed}});
    } else {
      std::cout << (line.passed ? "passed  " : "FAILED  ") << line.suite << "  [" << line.section << "] "
                << line.words << std::endl;
    }
  });
  bool any = false;
  for (const conformance::Suite& suite : conformance::suites()) {
    if (!only.empty() && only != suite.name) continue;
    any = true;
    suite.run(report);
  }
  if (!any) {
    std::cerr << "marblehub-quic: no suite is named " << only << "; there are:\n";
    for (const conformance::Suite& suite : conformance::suites())
      std::cerr << "  " << suite.name << "  " << suite.about << '\n';
    return 2;
  }
  std::size_t failed = report.failed(), all = report.lines().size();
  if (as_json) {
    std::cout << nlohmann::json{{"requirements", lines}, {"passed", all - failed}, {"failed", failed}}.dump(2)
              << '\n';
  } else {
    std::cout << all - failed << " passed, " << failed << " failed\n";
  }
  return failed > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Connection ids by hand, and the conformance suite of marblehub's QUIC front.",
               "marblehub-quic");
  app.require_subcommand(1);
  CLI::App* id = app.add_subcommand("id", "connection ids of draft-ietf-quic-load-balancers");
  id->require_subcommand(1);
  IdArguments args;
  auto form = [&](CLI::App* command) {
    command->add_option("--key", args.key, "32 hexadecimal digits; none: in the clear");
    command->add_option("--server-id-length", args.server_id_length, "octets, 1 to 15")->required();
    command->add_option("--nonce-length", args.nonce_length, "octets, 4 to 18; 19 together at most")
        ->required();
    command->add_option("--rotation", args.rotation, "0 to 6")->capture_default_str();
    command->add_flag("--no-length", args.no_length, "the first octet holds no length");
  };
  CLI::App* decoding = id->add_subcommand("decode", "print the server id and the nonce of an id");
  form(decoding);
  decoding->add_option("ID", args.id, "in hexadecimal")->required();
  CLI::App* encoding = id->add_subcommand("encode", "make an id, as a worker does");
  form(encoding);
  encoding->add_option("--server-id", args.server_id, "in hexadecimal")->required();
  encoding->add_option("--nonce", args.nonce, "in hexadecimal; drawn if none is given");
  CLI::App* new_key = id->add_subcommand("new-key", "print a fresh key of 16 octets");
  std::string suite, program;
  bool as_json = false;
  CLI::App* conformance =
      app.add_subcommand("conformance", "put every requirement to a router with peers of its own");
  conformance->add_option("SUITE", suite, "one suite only");
  conformance->add_flag("--json", as_json, "one JSON document in place of lines");
  conformance->add_option("--program", program,
                          "the balancer to test; the one beside this tool if none is given");
  try {
    app.parse(argc, argv);
    if (*new_key) {
      std::cout << quic::hex(quic::random_bytes(16)) << '\n';
      return 0;
    }
    if (*decoding) return decode(args);
    if (*encoding) return encode(args);
    std::error_code error;
    auto beside = std::filesystem::read_symlink("/proc/self/exe", error).parent_path() / "marblehub";
    if (!program.empty()) {
      test::program_path() = program;
    } else if (std::filesystem::exists(beside)) {
      test::program_path() = beside;
    }
    return conform(suite, as_json);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
}
