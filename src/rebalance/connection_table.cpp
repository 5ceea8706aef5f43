#include "rebalance/connection_table.h"

#include <algorithm>
#include <cmath>

namespace marblehub::rebalance {
namespace {

constexpr double kReportWeight = 0.35;              // damps noise in single reports
constexpr Time kLongTermTimeConstant = 20'000'000;  // of long_term_load
constexpr double kMinMeanLoad = 1e-9;

}  // namespace

int ConnectionTable::index_of(const std::string& worker, std::mt19937_64& rng) {
  auto [it, added] = index_.try_emplace(worker, static_cast<int>(workers_.size()));
  if (added) {
    workers_.emplace_back();
    workers_.back().name = worker;
    // A random phase keeps balancers with few connections from all moving one in the same step.
    workers_.back().move_credit = std::uniform_real_distribution<double>(0, 1)(rng);
  }
  return it->second;
}

void ConnectionTable::update(const Member& member, std::mt19937_64& rng) {
  Worker& worker = workers_[static_cast<std::size_t>(index_of(member.worker, rng))];
  worker.scale = member.scale > 0 ? member.scale : 1;
  worker.serving = member.serving;
  if (member.start_time > worker.start_time)
    worker.reported_load = -1;  // reports of the previous process do not apply
  worker.start_time = std::max(worker.start_time, member.start_time);
}

void ConnectionTable::keep_only(const std::unordered_set<std::string>& listed) {
  for (Worker& worker : workers_) worker.serving = worker.serving && listed.count(worker.name) > 0;
}

void ConnectionTable::report(const std::string& name, double load, Time now, Time max_report_age,
                             std::mt19937_64& rng) {
  Worker& worker = workers_[static_cast<std::size_t>(index_of(name, rng))];
  const Time age = now - worker.reported_at;
  const bool reset = worker.reported_load < 0 || age > max_report_age;
  double decay = std::exp(-static_cast<double>(age) / static_cast<double>(kLongTermTimeConstant));
  worker.long_term_load = reset ? load : load + (worker.long_term_load - load) * decay;
  worker.reported_load = reset ? load : worker.reported_load + kReportWeight * (load - worker.reported_load);
  worker.reported_at = now;
}

bool ConnectionTable::add(const Connection& connection, Time now, std::mt19937_64& rng) {
  int index = index_of(connection.worker, rng);
  Worker& worker = workers_[static_cast<std::size_t>(index)];
  Entry entry;
  entry.worker = index;
  entry.position = worker.connections.size();
  entry.load = connection.load > 0 ? connection.load : mean_connection_load();
  entry.group = connection.group;
  entry.established_at = now;
  // A connection of unknown age may have been moved just before.
  entry.returned = connection.returned || connection.preexisting;
  if (!connections_.emplace(connection.id, entry).second) return false;
  worker.connections.push_back(connection.id);
  worker.connection_load += entry.load;
  if (entry.group != 0) worker.groups[entry.group] += 1;
  return true;
}

bool ConnectionTable::remove(std::uint64_t id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return false;
  const Entry& entry = it->second;
  Worker& worker = worker_of(entry);
  worker.connection_load =
      worker.connections.size() > 1 ? std::max(0.0, worker.connection_load - entry.load) : 0;
  if (entry.group != 0 && --worker.groups[entry.group] <= 0) worker.groups.erase(entry.group);
  connections_.at(worker.connections.back()).position = entry.position;
  worker.connections[entry.position] = worker.connections.back();
  worker.connections.pop_back();
  connections_.erase(it);
  return true;
}

void ConnectionTable::set_load(std::uint64_t id, double load) {
  Entry* entry = find(id);
  if (!entry || load <= 0) return;
  worker_of(*entry).connection_load += load - entry->load;
  entry->load = load;
}

ConnectionTable::Entry* ConnectionTable::find(std::uint64_t id) {
  auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

double ConnectionTable::total_connection_load() const {
  double load = 0;
  for (const Worker& worker : workers_) load += worker.connection_load;
  return load;
}

double ConnectionTable::mean_connection_load() const {
  if (connections_.empty()) return 1;
  return std::max(kMinMeanLoad, total_connection_load() / static_cast<double>(connections_.size()));
}

}  // namespace marblehub::rebalance
