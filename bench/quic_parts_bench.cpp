// Benchmarks of the QUIC front's parsers and cryptography, on Google Benchmark: build-test/quic_parts_bench
#include <benchmark/benchmark.h>

#include "quic/connection_id.h"
#include "quic/initial.h"
#include "quic/proxy_header.h"
#include "quic/stateless_reset.h"
#include "quic/validation.h"

namespace {

using namespace marblehub::quic;

void decode(benchmark::State& state, IdConfig config) {
  IdCodec codec({config});
  std::string id = codec.encode(config.rotation, std::string(config.server_id_length, 's'),
                                std::string(config.nonce_length, 'n'));
  for (auto _ : state) benchmark::DoNotOptimize(codec.decode(id, false));
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK_CAPTURE(decode, in_the_clear, IdConfig{0, 4, 6, ""});
BENCHMARK_CAPTURE(decode, one_pass, IdConfig{0, 4, 12, std::string(16, 'k')});
BENCHMARK_CAPTURE(decode, four_passes, IdConfig{0, 4, 6, std::string(16, 'k')});
BENCHMARK_CAPTURE(decode, four_passes_longest, IdConfig{0, 8, 11, std::string(16, 'k')});

void judge_token(benchmark::State& state) {
  TokenSealer sealer(std::string(16, 's'), 3'600'000'000);
  Endpoint client = *Endpoint::parse("127.0.0.1:4000");
  std::int64_t now = 1'700'000'000'000'000;
  std::string token = sealer.seal({"original", "retry id", now}, client, now);
  for (auto _ : state) benchmark::DoNotOptimize(sealer.open(token, client, now));
}
BENCHMARK(judge_token);

void make_retry(benchmark::State& state) {
  AddressValidation validation({.mode = RetryMode::always});
  Header initial;
  initial.type = PacketType::initial;
  initial.version = kVersion1;
  initial.destination = "original";
  initial.source = "client";
  Endpoint client = *Endpoint::parse("127.0.0.1:4000");
  for (auto _ : state)
    benchmark::DoNotOptimize(validation.make_retry(initial, client, 1'700'000'000'000'000));
}
BENCHMARK(make_retry);

void make_reset_token(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(stateless_reset_token("a key of sixteen", "connection id"));
}
BENCHMARK(make_reset_token);

void proxy_header_written(benchmark::State& state) {
  std::array<char, kMaxProxyHeaderSize> out;
  Endpoint client = *Endpoint::parse("127.0.0.1:4000"), balancer = *Endpoint::parse("127.0.0.1:7443");
  for (auto _ : state) benchmark::DoNotOptimize(write_proxy_header(out, {false, client, balancer, {}, {}}));
}
BENCHMARK(proxy_header_written);

void open_an_initial(benchmark::State& state) {
  InitialKeys keys = initial_keys("original", true);
  std::string packet = seal_initial(keys, "client", "worker", 0, std::string(1100, '\0'));
  for (auto _ : state) benchmark::DoNotOptimize(open_initial(keys, packet));
}
BENCHMARK(open_an_initial);

}  // namespace

BENCHMARK_MAIN();
