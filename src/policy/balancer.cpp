// Composes the components of the policy and dispatches each event to the component that handles it.
#include <memory>
#include <utility>
#include <variant>

#include "marblehub/policy.h"
#include "policy/context.h"
#include "policy/discovery/endpoint_list.h"
#include "policy/health/delay_signals.h"
#include "policy/health/prober.h"
#include "policy/migration/migration.h"
#include "policy/placement/group_affinity.h"
#include "policy/placement/selector.h"
#include "policy/requests/admission.h"
#include "policy/requests/request_handler.h"
#include "policy/requests/resumptions.h"
#include "policy/requests/retry_rules.h"
#include "policy/slow_start/ramp.h"
#include "policy/state/backend_table.h"
#include "policy/state/request_table.h"

namespace marblehub::policy {

/// Owns all components. They hold references to each other, so it is neither copied nor moved.
struct Balancer::Impl {
  Impl(Settings settings, std::uint64_t seed, Time now) : context(std::move(settings), seed, now) {}
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void on(const EndpointListEvent& event) { endpoints.on(event); }
  void on(const ProbeResultEvent& event) { prober.on(event); }
  void on(const TimerEvent& event);
  template <class OfRequest>
  void on(const OfRequest& event) {
    handler.on(event);
  }

  void schedule_sweep(Time after);
  void sweep();

  static constexpr Time kNotScheduled = -1;

  Context context;
  BackendTable backends;
  RequestTable requests;
  GroupConnections groups;
  DelaySignals delays{context};
  EndpointList endpoints{context, backends};
  Prober prober{context, backends, delays, requests};
  SlowStartRamp ramp{context, backends, requests};
  RetryRules rules{context, backends};
  GroupAffinity affinity{context, backends, delays, ramp, rules, groups};
  Selector selector{context, backends, delays, ramp, rules, affinity};
  Admission admission{context, backends, delays};
  Migration migration{context, backends, delays, admission, requests};
  Resumptions resumptions{context, backends, endpoints};
  RequestHandler handler{{context, backends, requests, groups, delays, ramp, rules, admission, prober,
                          selector, endpoints, resumptions}};
  Time sweep_due = kNotScheduled;
};

void Balancer::Impl::on(const TimerEvent&) {
  if (context.now < sweep_due) return;  // not the timer of the sweep
  sweep();
  schedule_sweep(kSweepInterval);
}

void Balancer::Impl::schedule_sweep(Time after) {
  sweep_due = context.now + after;
  context.emit(SetTimer{after, 0});
}

void Balancer::Impl::sweep() {
  endpoints.poll();
  ramp.draw_open_backends();
  admission.update();
  prober.probe_due_backends();
  handler.forget_unused_limiters();
  migration.redirect_leaving();
  handler.process_waiting();
}

Balancer::Balancer(Settings settings, std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Time now, const Event& event, std::vector<Action>& actions) {
  Impl& self = *impl_;
  self.context.now = now;
  self.context.actions = &actions;
  // Balancers may start simultaneously, so the time of the first sweep is random.
  if (self.sweep_due == Impl::kNotScheduled)
    self.schedule_sweep(1 + self.context.random.up_to(kSweepInterval));
  std::visit([&self](const auto& kind) { self.on(kind); }, event);
  self.context.actions = nullptr;
}

void Balancer::set_balancer_count(int balancers) { impl_->prober.set_balancer_count(balancers); }

Balancer::Counts Balancer::counts() const {
  Counts counts = impl_->requests.counts();
  counts.down = impl_->backends.down_backends().size();
  return counts;
}

EndpointListState Balancer::endpoint_list_state() const { return impl_->endpoints.state(); }

std::vector<std::string> Balancer::down_backends() const { return impl_->backends.down_backends(); }

int Balancer::active_connections(const std::string& backend) const {
  int index = impl_->backends.find(backend);
  return index == kNoBackend ? 0 : impl_->backends[index].active;
}

}  // namespace marblehub::policy
