/// marblehub-quic: encodes and decodes connection ids, and runs the conformance suite of the QUIC front.
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

// Throws CLI::ValidationError naming `what` if the text is not hexadecimal.
std::string bytes_from_hex(const std::string& text, const char* what) {
  auto bytes = quic::unhex(text);
  if (!bytes) throw CLI::ValidationError(what, "expected hexadecimal digits");
  return *bytes;
}

// The options of the id commands; key, id, server id and nonce are hexadecimal.
struct IdArguments {
  std::string key, id, server_id, nonce;
  std::size_t server_id_length = 0, nonce_length = 0;
  unsigned rotation = 0;
  bool no_length = false;

  quic::IdConfig config() const {
    quic::IdConfig c{rotation, server_id_length, nonce_length, bytes_from_hex(key, "--key"), !no_length};
    if (std::string error = quic::config_error(c); !error.empty())
      throw CLI::ValidationError("config", error);
    return c;
  }
};

int decode(const IdArguments& args) {
  std::string id = bytes_from_hex(args.id, "ID");
  quic::IdCodec codec({args.config()});
  auto decoded = codec.decode(id, true);
  if (!decoded) {
    std::cerr << "marblehub-quic: the id does not match this config: wrong rotation, length byte or "
                 "length\n";
    return 1;
  }
  std::cout << "server-id " << quic::hex(decoded->server_id) << "\nnonce "
            << quic::hex(codec.nonce_of(*decoded)) << '\n';
  return 0;
}

int encode(const IdArguments& args) {
  quic::IdConfig config = args.config();
  std::string server_id = bytes_from_hex(args.server_id, "--server-id");
  std::string nonce =
      args.nonce.empty() ? quic::random_bytes(config.nonce_length) : bytes_from_hex(args.nonce, "--nonce");
  if (server_id.size() != config.server_id_length || nonce.size() != config.nonce_length)
    throw CLI::ValidationError("--server-id, --nonce",
                               "the number of bytes does not match the configured length");
  std::cout << quic::hex(quic::IdCodec({config}).encode(config.rotation, server_id, nonce)) << '\n';
  return 0;
}

// Runs all suites, or the one named `only`. Returns the exit code.
int run_conformance(const std::string& only, bool as_json) {
  nlohmann::json lines = nlohmann::json::array();
  conformance::Report report([&](const conformance::Result& result) {
    if (as_json) {
      lines.push_back({{"suite", result.suite},
                       {"section", result.section},
                       {"requirement", result.requirement},
                       {"passed", result.passed}});
    } else {
      std::cout << (result.passed ? "passed  " : "FAILED  ") << result.suite << "  [" << result.section
                << "] " << result.requirement << std::endl;
    }
  });
  bool found = false;
  for (const conformance::Suite& suite : conformance::suites()) {
    if (!only.empty() && only != suite.name) continue;
    found = true;
    suite.run(report);
  }
  if (!found) {
    std::cerr << "marblehub-quic: unknown suite " << only << "; known suites:\n";
    for (const conformance::Suite& suite : conformance::suites())
      std::cerr << "  " << suite.name << "  " << suite.description << '\n';
    return 2;
  }
  std::size_t failed = report.failed(), all = report.results().size();
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
  CLI::App app(
      "Encodes and decodes connection ids, and runs the conformance suite of marblehub's QUIC front.",
      "marblehub-quic");
  app.require_subcommand(1);
  CLI::App* id = app.add_subcommand("id", "connection ids of draft-ietf-quic-load-balancers");
  id->require_subcommand(1);
  IdArguments args;
  auto add_config_options = [&](CLI::App* command) {
    command->add_option("--key", args.key, "32 hexadecimal digits; without a key ids are not encrypted");
    command->add_option("--server-id-length", args.server_id_length, "bytes, 1 to 15")->required();
    command->add_option("--nonce-length", args.nonce_length, "bytes, 4 to 18; at most 19 with the server id")
        ->required();
    command->add_option("--rotation", args.rotation, "0 to 6")->capture_default_str();
    command->add_flag("--no-length", args.no_length, "the first byte does not encode the length");
  };
  CLI::App* decode_command = id->add_subcommand("decode", "print the server id and the nonce of an id");
  add_config_options(decode_command);
  decode_command->add_option("ID", args.id, "in hexadecimal")->required();
  CLI::App* encode_command = id->add_subcommand("encode", "generate an id, as a worker does");
  add_config_options(encode_command);
  encode_command->add_option("--server-id", args.server_id, "in hexadecimal")->required();
  encode_command->add_option("--nonce", args.nonce, "in hexadecimal; random by default");
  CLI::App* new_key_command = id->add_subcommand("new-key", "print a new random key of 16 bytes");
  std::string suite, program;
  bool as_json = false;
  CLI::App* conformance_command =
      app.add_subcommand("conformance", "check every requirement against a router, with built-in peers");
  conformance_command->add_option("SUITE", suite, "run only this suite");
  conformance_command->add_flag("--json", as_json, "print one JSON document");
  conformance_command->add_option("--program", program,
                                  "the balancer to test; by default the one in the folder of this tool");
  try {
    app.parse(argc, argv);
    if (*new_key_command) {
      std::cout << quic::hex(quic::random_bytes(16)) << '\n';
      return 0;
    }
    if (*decode_command) return decode(args);
    if (*encode_command) return encode(args);
    std::error_code error;
    auto sibling = std::filesystem::read_symlink("/proc/self/exe", error).parent_path() / "marblehub";
    if (!program.empty()) {
      test::program_path() = program;
    } else if (std::filesystem::exists(sibling)) {
      test::program_path() = sibling;
    }
    return run_conformance(suite, as_json);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
}
