// Guards against parsers of the QUIC front that read beyond malformed datagrams; .ci/run builds it with the
// sanitizers.
#include <catch2/catch.hpp>
#include <random>

#include "../fuzz/quic_parsers.h"

namespace marblehub::test {

TEST_CASE("every parser handles a million mutated datagrams", "[mutation]") {
  using namespace quic;
  InitialKeys keys = initial_keys("destination", false);
  std::vector<std::string> seeds;
  for (std::uint32_t version : {kVersion1, kVersion2}) {
    seeds.push_back(
        seal_initial(keys, "destination", "source", 0, std::string(60, '\0'), version, "a token"));
    seeds.push_back(retry_packet(version, "destination", "source", "token", "original"));
  }
  seeds.push_back(seeds[0] + seal_initial(keys, "destination", "source", 1, std::string(60, '\0')));
  Header unsupported_header;
  unsupported_header.destination = "destination";
  unsupported_header.source = "source";
  seeds.push_back(version_negotiation(unsupported_header, {kVersion1, kVersion2}));
  std::array<char, kMaxProxyHeaderSize> out;
  Endpoint ipv4 = *Endpoint::parse("127.0.0.1:1"), ipv6 = *Endpoint::parse("[::1]:1");
  for (const ProxyHeader& header : {ProxyHeader{false, ipv4, ipv4, "original", "retry"},
                                    {false, ipv6, ipv6, {}, {}},
                                    {true, {}, {}, {}, {}}})
    seeds.push_back(std::string(out.data(), write_proxy_header(out, header)) + seeds[0]);
  seeds.push_back("\x40" + IdCodec({{1, 4, 12, std::string(16, 'a')}}).encode(1, "WXYZ", "twelve octet") +
                  "payload");
  AddressValidation validation({.mode = RetryMode::always, .secret = std::string(16, 's')});
  Header initial;
  initial.destination = "original id";
  initial.version = kVersion1;
  seeds.push_back(validation.make_retry(initial, ipv4, 1'700'000'000'000'000));
  std::size_t parsed = 0;
  for (const std::string& seed : seeds) parsed += parse(seed).has_value();
  REQUIRE(parsed >= seeds.size() - 3);  // all but those with a PROXY header in front

  std::mt19937_64 random(20261201);
  auto below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
  for (int i = 0; i < 1'000'000; ++i) {
    std::string bytes = seeds[below(seeds.size())];
    for (std::size_t changes = 1 + below(4); changes > 0 && !bytes.empty(); --changes) {
      std::size_t at = below(std::min<std::size_t>(bytes.size(), 80));
      switch (below(5)) {
        case 0:
          bytes[at] = static_cast<char>(random());
          break;
        case 1:
          bytes[at] = static_cast<char>(bytes[at] ^ 1 << below(8));
          break;
        case 2:
          bytes.resize(at);
          break;
        case 3:
          bytes.insert(at, 1 + below(8), static_cast<char>(random()));
          break;
        default:
          bytes.erase(at, 1 + below(8));
          break;
      }
    }
    // A heap copy of exact size, in which AddressSanitizer detects a read one byte beyond the end.
    std::vector<char> exact(bytes.begin(), bytes.end());
    parse_all({exact.data(), exact.size()});
  }
  SUCCEED("no parser read beyond its input");
}

}  // namespace marblehub::test
