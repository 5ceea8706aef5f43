// Runs every parser of the QUIC front that reads untrusted bytes, for libFuzzer and for the mutation test.
// The sanitizers detect reads beyond the input; the results are checked here.
#pragma once

#include <cstdlib>
#include <string_view>

#include "quic/connection_id.h"
#include "quic/initial.h"
#include "quic/packet.h"
#include "quic/proxy_header.h"
#include "quic/validation.h"

namespace marblehub::quic {

/// Aborts if a condition does not hold, which libFuzzer reports as a crash.
inline void check(bool holds) {
  if (!holds) std::abort();
}

/// Passes `bytes` to every parser and aborts if a result is inconsistent with the input.
inline void parse_all(std::string_view bytes) {
  static const IdCodec codec({{0, 4, 6, ""},
                              {1, 4, 12, std::string(16, 'a')},
                              {2, 3, 4, std::string(16, 'b')},
                              {3, 8, 11, std::string(16, 'c')},
                              {4, 1, 4, std::string(16, 'd'), false}});
  static const InitialKeys keys = initial_keys("destination", false);
  static AddressValidation validation({.mode = RetryMode::always, .secret = std::string(16, 's')});
  static TokenSealer sealer(std::string(16, 's'), 3'600'000'000);
  static const Endpoint client = *Endpoint::parse("127.0.0.1:4000");
  constexpr std::int64_t now = 1'700'000'000'000'000;

  auto within = [](std::string_view part, std::string_view whole) {
    return part.empty() ||
           (part.data() >= whole.data() && part.data() + part.size() <= whole.data() + whole.size());
  };
  if (auto header = parse(bytes)) {
    check(within(header->destination, bytes) && within(header->source, bytes) &&
          within(header->token, bytes) && within(header->packet, bytes));
    std::size_t accepted_length = same_connection_length(bytes, *header);
    check(accepted_length <= bytes.size() &&
          (header->type == PacketType::version_negotiation || accepted_length >= header->packet.size()));
    bool known = header->type != PacketType::short_header &&
                 header->type != PacketType::version_negotiation &&
                 header->type != PacketType::unsupported_version;
    if (known)
      check(header->destination.size() <= kMaxConnectionIdLength &&
            header->source.size() <= kMaxConnectionIdLength);
    if (header->type == PacketType::initial) {
      open_initial(keys, bytes);
      validation.validate(*header, client, now);
    }
    if (header->type == PacketType::retry) retry_is_authentic(bytes, "original");
    if (header->type == PacketType::unsupported_version)
      check(version_negotiation(*header, {kVersion1}).size() <= bytes.size() + 16);
  }
  for (bool exact : {false, true})
    if (auto id = codec.decode(bytes, exact)) {
      check(within(id->id, bytes));
      check(codec.nonce_of(*id).size() + id->server_id.size() + 1 == id->id.size());
    }
  sealer.open(bytes, client, now);
  std::string_view rest = bytes;
  if (consume_proxy_header(rest)) check(rest.size() < bytes.size() && within(rest, bytes));
  rest = bytes;
  while (consume_varint(rest)) {
  }
}

}  // namespace marblehub::quic
