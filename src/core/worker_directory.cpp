#include "core/worker_directory.h"

#include <unordered_set>

#include "log/log.h"

namespace marblehub::core {
namespace {

using policy::Health;

void log_entry(const policy::BackendEntry& entry, Time now) {
  if (entry.start_time > 0)
    log::debug("registry: {} started {:.3f} s ago, weight {}, zone {}", entry.address,
               static_cast<double>(now - entry.start_time) / 1e6, entry.scale, entry.zone);
  if (entry.health != Health::serving)
    log::debug("registry: {} {}", entry.address, entry.health == Health::draining ? "drains" : "is gone");
}

}  // namespace

void WorkerDirectory::set_health(Worker& worker, Health health, Time written_at) {
  if (health != Health::serving && worker.health == Health::serving) worker.leaving_since = written_at;
  worker.health = health;
}

void WorkerDirectory::update(const config::WorkerList& list, Time written_at, Time now) {
  version_ += 1;
  std::unordered_set<std::string> named;
  for (const config::WorkerEntry& entry : list.workers) {
    Worker& worker = workers_[entry.backend.address];
    if (!entry.address.empty() && entry.address != worker.address) {
      worker.address = entry.address;
      worker.address_changed_at = written_at;
    }
    worker.zone = entry.backend.zone;
    worker.cell = entry.backend.cell;
    set_health(worker, entry.backend.health, written_at);
    named.insert(entry.backend.address);
    log_entry(entry.backend, now);
  }
  if (!list.snapshot) return;
  for (auto& [name, worker] : workers_)
    if (!named.count(name)) set_health(worker, Health::deleted, written_at);
}

std::string WorkerDirectory::address_of(const std::string& worker) const {
  auto it = workers_.find(worker);
  return it == workers_.end() ? "" : it->second.address;
}

bool WorkerDirectory::may_begin(const std::string& worker, const std::string& address, Time now) const {
  auto it = workers_.find(worker);
  if (it == workers_.end()) return true;
  const Worker& entry = it->second;
  bool leaves = entry.health != Health::serving && now - entry.leaving_since >= drain_grace_;
  bool moved = entry.address != address && now - entry.address_changed_at >= drain_grace_;
  return !leaves && !moved;
}

}  // namespace marblehub::core
