// Cost of the decisions for one call (placement, establishment and end), by fleet size.
#include <benchmark/benchmark.h>

#include "marblehub/policy.h"

namespace {

using namespace marblehub::policy;

void decision(benchmark::State& state) {
  auto workers = static_cast<int>(state.range(0));
  Settings s;
  s.zone = "a";
  s.max_attempts = 4;
  s.max_retry_after_us = 1'000'000;
  s.groups = state.range(1) != 0;
  RequestClass c;
  c.name = "telemetry", c.slo_us = 500'000, c.message_objective_us = 150'000, c.stream = true;
  s.classes = {c};
  Balancer balancer(s, 7, 0);
  auto entries = std::make_shared<std::vector<BackendEntry>>();
  for (int i = 0; i < workers; ++i)
    entries->push_back({Health::serving, "worker-" + std::to_string(i), "a", 0, 1, i});
  std::vector<Action> actions;
  Time now = 0;
  balancer.handle(now, EndpointListEvent{EndpointListKind::full, entries}, actions);
  for (int i = 0; i < workers; ++i)
    balancer.handle(
        now, ProbeResultEvent{"worker-" + std::to_string(i), 2000 + i % 7 * 100, Outcome::served, {0.3}},
        actions);
  std::uint64_t id = 1;
  for (auto _ : state) {
    now += 10;
    actions.clear();
    RequestEvent request;
    request.id = id;
    request.expires_in = 3'000'000;
    request.group = state.range(1) != 0 ? id % 50 + 1 : 0;
    balancer.handle(now, request, actions);
    std::string backend;
    for (const Action& action : actions)
      if (auto* submit = std::get_if<Submit>(&action)) backend = submit->backend;
    balancer.handle(now, EstablishedEvent{id, 0, 3000}, actions);
    balancer.handle(now, ResultEvent{id, 0, true, backend, 3000, Outcome::served, {}}, actions);
    id += 1;
  }
}
BENCHMARK(decision)
    ->ArgNames({"workers", "groups"})
    ->ArgsProduct({{10, 100, 1000, 10000}, {0, 1}})
    ->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
