// Minimal example: passes two events to a Balancer and executes the resulting actions.
#include <marblehub/policy.h>

#include <cstdio>

namespace policy = marblehub::policy;

int main() {
  policy::Settings settings;
  settings.balancers = 4;
  settings.zone = "north";
  settings.max_attempts = 3;
  settings.classes.push_back({.name = "updates", .slo_us = 300'000, .stream = true});
  if (auto error = policy::validate(settings)) {
    std::printf("invalid setting: %s\n", error->key.c_str());
    return 1;
  }
  policy::Balancer balancer(settings, /*seed=*/42, /*now=*/0);

  std::vector<policy::Action> actions;
  auto entries = std::make_shared<std::vector<policy::BackendEntry>>();
  entries->push_back({.address = "10.0.0.1:7000", .zone = "north"});
  entries->push_back({.address = "10.0.0.2:7000", .zone = "south"});
  balancer.handle(0, policy::EndpointListEvent{policy::EndpointListKind::full, entries}, actions);
  balancer.handle(1000, policy::RequestEvent{.id = 1, .request_class = 0, .expires_in = 1'800'000}, actions);

  int submitted = 0;
  for (const policy::Action& action : actions) {
    if (const auto* submit = std::get_if<policy::Submit>(&action)) {
      std::printf("request %llu: submit to %s\n", static_cast<unsigned long long>(submit->id),
                  submit->backend.c_str());
      ++submitted;
    } else if (const auto* timer = std::get_if<policy::SetTimer>(&action)) {
      std::printf("timer in %lld us\n", static_cast<long long>(timer->after));
    }
  }
  return submitted == 1 ? 0 : 1;
}
