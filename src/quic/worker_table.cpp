#include "quic/worker_table.h"

#include <fmt/format.h>

#include <algorithm>

#include "log/log.h"

namespace marblehub::quic {
namespace {

constexpr Time kClosedPortInterval = 200'000;  // the interval at which a closed port gets a datagram

}  // namespace

std::string IdConfigs::conflict(const std::vector<IdConfig>& next) const {
  for (const IdConfig& config : next)
    for (const Retiring& old : retiring_)
      if (old.config.rotation == config.rotation && !(old.config == config))
        return fmt::format("ids: rotation {} is still being retired with other contents", config.rotation);
  for (const IdConfig& config : next)
    for (const IdConfig& old : current_)
      if (old.rotation == config.rotation && !(old == config))
        return fmt::format(
            "ids: rotation {} is in force with other contents; give the new ones another rotation",
            config.rotation);
  return "";
}

void IdConfigs::replace(std::vector<IdConfig> next, Time now, Time retirement_period) {
  auto contains = [](const std::vector<IdConfig>& in, const IdConfig& config) {
    return std::find(in.begin(), in.end(), config) != in.end();
  };
  for (const IdConfig& old : current_)
    if (!contains(next, old)) retiring_.push_back({old, now + retirement_period});
  std::erase_if(retiring_, [&](const Retiring& r) { return contains(next, r.config); });  // configured again
  current_ = std::move(next);
  rebuild();
}

bool IdConfigs::expire(Time now) {
  bool expired = std::erase_if(retiring_, [&](const Retiring& r) { return r.until <= now; }) > 0;
  if (expired) rebuild();
  return expired;
}

void IdConfigs::rebuild() {
  std::vector<IdConfig> all = current_;
  for (const Retiring& r : retiring_) all.push_back(r.config);
  codec_ = IdCodec(std::move(all));
}

std::vector<WorkerTable::Worker*> WorkerTable::refresh(
    const std::unordered_map<std::string, core::Dispatcher::Worker>& list, const QuicSettings& settings,
    const std::vector<IdConfig>& configs) {
  std::vector<Worker*> moved;
  for (const auto& [name, listed] : list) {
    Worker*& worker = by_name_[name];
    if (!worker) {
      workers_.push_back(std::make_unique<Worker>());
      worker = workers_.back().get();
      worker->name = name;
      worker->index = workers_.size() - 1;
    }
    auto override_settings = settings.workers.find(name);
    bool has_address =
        override_settings != settings.workers.end() && !override_settings->second.address.empty();
    Endpoint address = Endpoint::parse(has_address ? override_settings->second.address : listed.address)
                           .value_or(Endpoint());
    if (!(address == worker->address)) {
      if (worker->address.is_specified()) moved.push_back(worker);
      worker->address = address;
      worker->port_closed = false;
    }
    worker->deleted = listed.health == marblehub::policy::Health::deleted;
  }
  by_id_.clear();
  // Present workers first, so that a deleted one does not occupy the server id of its replacement.
  for (bool deleted : {false, true})
    for (auto& worker : workers_) {
      if (worker->deleted != deleted) continue;
      for (const IdConfig& config : configs) {
        Key key{config.rotation, ServerId(server_id_of(settings, worker->name, config))};
        auto [it, inserted] = by_id_.try_emplace(key, worker.get());
        if (inserted || deleted) continue;
        if (it->second)
          log::error("quic: {} and {} have the same server id; packets to neither are routed",
                     it->second->name, worker->name);
        it->second = nullptr;
      }
    }
  return moved;
}

WorkerTable::Worker* WorkerTable::find_by_name(const std::string& name) {
  auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : it->second;
}

WorkerTable::Worker* WorkerTable::find_by_id(const IdCodec::Decoded& id) {
  auto it = by_id_.find(Key{id.rotation, id.server_id});
  return it == by_id_.end() ? nullptr : it->second;
}

void WorkerTable::mark_port_closed(Worker& worker, Time now) {
  worker.port_closed = true;
  worker.last_attempt_at = now;
}

bool WorkerTable::may_send(Worker& worker, Time now) {
  if (!worker.port_closed) return true;
  if (now - worker.last_attempt_at < kClosedPortInterval) return false;
  worker.last_attempt_at = now;
  return true;
}

}  // namespace marblehub::quic
