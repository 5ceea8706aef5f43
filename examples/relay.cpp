// A relay in miniature: how an event loop hands events to a Balancer and carries out what it decides.
#include <marblehub/policy.h>

#include <cstdio>

namespace ls = marblehub::policy;

int main() {
  ls::Settings settings;
  settings.balancers = 4;
  settings.zone = "north";
  settings.max_attempts = 3;
  settings.classes.push_back({.name = "updates", .slo_us = 300'000, .stream = true});
  if (std::string key = ls::settings_error(settings); !key.empty()) {
    std::printf("bad setting %s\n", key.c_str());
    return 1;
  }
  ls::Balancer balancer(settings, /*seed=*/42, /*now=*/0);

  std::vector<ls::Action> actions;
  auto entries = std::make_shared<std::vector<ls::BackendEntry>>();
  entries->push_back({.address = "10.0.0.1:7000", .zone = "north"});
  entries->push_back({.address = "10.0.0.2:7000", .zone = "south"});
  balancer.handle(0, ls::MembersEvent{ls::ListForm::all, entries}, actions);
  balancer.handle(1000, ls::RequestEvent{.id = 1, .request_class = 0, .expires_in = 1'800'000}, actions);

  int submitted = 0;
  for (const ls::Action& action : actions) {
    if (const auto* submit = std::get_if<ls::Submit>(&action)) {
      std::printf("request %llu goes to %s\n", static_cast<unsigned long long>(submit->id),
                  submit->backend.c_str());
      ++submitted;
    } else if (const auto* timer = std::get_if<ls::SetTimer>(&action)) {
      std::printf("wake me in %lld us\n", static_cast<long long>(timer->after));
    }
  }
  return submitted == 1 ? 0 : 1;
}
