// The front's reload, and its periodic work: changes of the worker list, repeated move requests, and the
// removal of what has ended or is idle.
#include <algorithm>

#include "check/check.h"
#include "quic/front.h"

namespace marblehub::quic {

using core::CloseKind;

namespace {

constexpr Time kEarlyDataLifetime = 500'000;
// How long a client that repeats its Initial gets the same CONNECTION_CLOSE. After that it begins a new call.
constexpr Time kRejectionLifetime = 3'000'000;

}  // namespace

std::vector<std::string> Front::reload(QuicSettings next) {
  if (std::string conflict = ids_.conflict(next.ids); !conflict.empty()) throw ConfigError(conflict);
  std::vector<std::string> names;
  for (const auto& [name, worker] : dispatcher_.workers())
    if (worker.health != marblehub::policy::Health::deleted) names.push_back(name);
  if (auto found = server_id_conflicts(next, names); !found.empty()) throw ConfigError(found[0]);
  std::vector<std::string> restart_keys = needs_restart(settings_, next);
  // Nothing below throws.
  next.listen = settings_.listen;
  next.forwarding = settings_.forwarding;
  ids_.replace(next.ids, loop_.now(), next.retirement_period);
  // Issued tokens stay valid unless the mode or the keys change.
  const ValidationSettings &old_retry = settings_.retry, &new_retry = next.retry;
  if (old_retry.mode != new_retry.mode || old_retry.secret != new_retry.secret ||
      old_retry.from_rate != new_retry.from_rate || old_retry.token_lifetime != new_retry.token_lifetime ||
      old_retry.key_lifetime != new_retry.key_lifetime)
    validation_ = AddressValidation(new_retry);
  if (next.reset_key != settings_.reset_key || next.resets_per_second != settings_.resets_per_second)
    reset_ = StatelessReset(next.reset_key, next.resets_per_second);
  settings_ = std::move(next);
  workers_stale_ = true;
  return restart_keys;
}

void Front::refresh_workers() {
  if (!workers_stale_ && workers_version_ == dispatcher_.list_version()) return;
  workers_stale_ = false;
  workers_version_ = dispatcher_.list_version();
  std::vector<WorkerTable::Worker*> moved =
      workers_.refresh(dispatcher_.workers(), settings_, ids_.codec().configs());
  for (WorkerTable::Worker* worker : moved) close_sockets_of(*worker);
  for (WorkerTable::Worker* worker : moved) end_attempts_at(*worker);
}

// Closes the sockets to a worker whose address has changed; the next datagram opens new ones.
void Front::close_sockets_of(WorkerTable::Worker& worker) {
  if (auto shared = shared_upstreams_.find(&worker); shared != shared_upstreams_.end()) {
    std::erase(unflushed_, shared->second.get());
    shared->second->close();
    // Deferred, since a callback of this socket may be on the stack.
    loop_.defer_release(std::shared_ptr<Upstream>(std::move(shared->second)));
    shared_upstreams_.erase(shared);
  }
  for (auto& [raw, path] : all_paths_) {
    if (&path->worker != &worker || !path->dedicated_upstream) continue;
    std::erase(unflushed_, path->dedicated_upstream.get());
    path->dedicated_upstream->close();
  }
}

// Another process may listen at a worker's new address, and must not get what the old one may have executed.
void Front::end_attempts_at(const WorkerTable::Worker& worker) {
  std::vector<Flow*> affected;  // only the sweep frees flows
  for (auto& [key, flow] : pending_attempts_)
    if (&flow->path->worker == &worker) affected.push_back(flow);
  for (Flow* flow : affected)
    fail_call(*flow, flow->reached_no_worker() ? core::Outcome::not_sent : core::Outcome::reset);
}

// A client whose call may have run has not got the CONNECTION_CLOSE if it repeats its Initial. It may do so
// until it gives up its handshake, and must not begin a new call.
Time Front::close_packet_lifetime(const Flow& flow) const {
  if (!flow.handshake_state->may_have_run) return kRejectionLifetime;
  return std::max(kRejectionLifetime, settings_.idle_timeout);
}

void Front::sweep() {
  Time now = loop_.now();
  if (ids_.expire(now)) workers_stale_ = true;
  std::vector<std::shared_ptr<Flow>> removed;
  for (auto& [key, flow] : flows_) {
    if (flow->move_requests_left > 0) flow->request_move();
    bool answered = flow->refused() && now - flow->last_used > close_packet_lifetime(*flow);
    bool idle = flow->is_established && now - flow->last_used > settings_.idle_timeout;
    if (answered || idle || flow->finished) removed.push_back(flow);
  }
  for (auto& flow : removed) {
    if (core::Exchange* exchange = std::exchange(flow->exchange, nullptr))
      exchange->client_left(CloseKind::orderly);
    remove(*flow);
  }
  while (oldest_ && now - oldest_->last_used > settings_.idle_timeout) drop_path(*oldest_);
  MARBLEHUB_DEBUG_INVARIANT("quic", table_fault().empty(), table_fault());
  std::erase_if(early_data_,
                [now](const auto& entry) { return now - entry.second.received_at > kEarlyDataLifetime; });
  flows_gauge_.set(static_cast<double>(flows_.size()));
  paths_gauge_.set(static_cast<double>(all_paths_.size()));
  retry_gauge_.set(validation_.requires_retry());
  retiring_gauge_.set(static_cast<double>(ids_.retiring()));
  auto closed = std::count_if(workers_.workers().begin(), workers_.workers().end(),
                              [](const auto& worker) { return worker->port_closed && !worker->deleted; });
  closed_gauge_.set(static_cast<double>(closed));
  sockets_gauge_.set(static_cast<double>(
      settings_.forwarding == Forwarding::socket ? all_paths_.size() : shared_upstreams_.size()));
  sweep_timer_.start(kSweepInterval);
}

}  // namespace marblehub::quic
