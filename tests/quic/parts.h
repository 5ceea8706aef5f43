// Helpers shared by the tests of the QUIC front's components.
#pragma once

#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "config/json.h"
#include "quic/initial.h"
#include "quic/proxy_header.h"
#include "quic/settings.h"
#include "quic/stateless_reset.h"
#include "quic/validation.h"
#include "quic/worker_table.h"

namespace marblehub::test {

using namespace quic;

inline constexpr std::int64_t kSecond = 1'000'000, kStart = 1'700'000'000 * kSecond;

/// The bytes of a hexadecimal text.
inline std::string from_hex(std::string_view text) { return *unhex(text); }

inline Endpoint at(const char* text) { return *Endpoint::parse(text); }

/// The header of an Initial with these fields.
inline Header initial_of(std::string_view destination, std::string_view token = "",
                         std::uint32_t version = kVersion1) {
  Header header;
  header.type = PacketType::initial;
  header.version = version;
  header.destination = destination;
  header.source = "client";
  header.token = token;
  return header;
}

/// A Retry packet and its source id and token, parsed as a client does.
struct ParsedRetry {
  ParsedRetry(AddressValidation& validation, const Header& initial, const Endpoint& from, std::int64_t now)
      : packet(validation.make_retry(initial, from, now)) {
    auto header = parse(packet);
    REQUIRE(header.has_value());
    REQUIRE(header->type == PacketType::retry);
    id = header->source;
    std::size_t token_at = 7 + header->destination.size() + header->source.size();
    token = packet.substr(token_at, packet.size() - token_at - 16);
  }
  std::string packet, id, token;
};

/// Writes a temporary file with this mode and returns its path; the caller removes it.
inline std::string temporary_file(const std::string& text, mode_t mode) {
  char path[] = "/tmp/marblehub-key-XXXXXX";
  ::close(mkstemp(path));
  std::ofstream(path) << text;
  ::chmod(path, mode);
  return path;
}

/// A valid quic.json; %s stands for further settings.
inline constexpr std::string_view kQuicJson =
    R"({"enabled": true, "listen": "127.0.0.1:7443", "class": "telemetry",
  "deadline_ms": 3000, "idle_ms": 30000, "calls": 512, "paths": 512,
  "ids": [{"rotation": 0, "server_id_length": 4, "nonce_length": 6, "key": ""}]%s})";

/// kFile with further settings.
inline std::string quic_json_with(std::string_view more) {
  std::string text(kQuicJson);
  return text.replace(text.find("%s"), 2, more);
}

/// The error message for a quic.json with this text; empty if it is valid.
inline std::string settings_error(const std::string& text) {
  config::Options options = config::flatten(text, "quic.json: ");
  try {
    quic_settings_from(options);
  } catch (const config::DecodeError& error) {
    return error.what();
  }
  return "";
}

}  // namespace marblehub::test
