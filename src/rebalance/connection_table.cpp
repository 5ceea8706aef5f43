#include "rebalance/connection_table.h"

#include <algorithm>
#include <cmath>

namespace marblehub::rebalance {
namespace {

constexpr double kNewReportWeight = 0.35;    // one noisy report moves nobody
constexpr Time kLastingMemory = 20'000'000;  // an excess counts as far as it has lasted about so long
constexpr double kLeastUsualLoad = 1e-9;

}  // namespace

int ConnectionTable::index_of(const std::string& worker, std::mt19937_64& random) {
  auto [it, added] = index_.try_emplace(worker, static_cast<int>(workers_.size()));
  if (added) {
    workers_.emplace_back();
    workers_.back().name = worker;
    // In a random phase: many balancers that hold a connection or two must not all begin with one move.
    workers_.back().credit = std::uniform_real_distribution<double>(0, 1)(random);
  }
  return it->second;
}

void ConnectionTable::update(const Member& member, std::mt19937_64& random) {
  Worker& worker = workers_[static_cast<std::size_t>(index_of(member.worker, random))];
  worker.scale = member.scale > 0 ? member.scale : 1;
  worker.serving = member.serving;
  if (member.start_time > worker.start_time) worker.level = -1;  // what was said of the old process is void
  worker.start_time = std::max(worker.start_time, member.start_time);
}

void ConnectionTable::keep_only(const std::unordered_set<std::string>& named) {
  for (Worker& worker : workers_) worker.serving = worker.serving && named.count(worker.name) > 0;
}

void ConnectionTable::report(const std::string& name, double load, Time now, Time stale,
                             std::mt19937_64& random) {
  Worker& worker = workers_[static_cast<std::size_t>(index_of(name, random))];
  const Time age = now - worker.reported_at;
  const bool first = worker.level < 0 || age > stale;
  double kept = std::exp(-static_cast<double>(age) / static_cast<double>(kLastingMemory));
  worker.lasting = first ? load : load + (worker.lasting - load) * kept;
  worker.level = first ? load : worker.level + kNewReportWeight * (load - worker.level);
  worker.reported_at = now;
}

bool ConnectionTable::add(const Connection& connection, Time now, std::mt19937_64& random) {
  int index = index_of(connection.worker, random);
  Worker& worker = workers_[static_cast<std::size_t>(index)];
  Standing standing;
  standing.worker = index;
  standing.place = worker.connections.size();
  standing.load = connection.load > 0 ? connection.load : usual_load();
  standing.group = connection.group;
  standing.since = now;
  // One whose past is not known may have been moved a moment before.
  standing.returned = connection.returned || connection.found;
  if (!connections_.emplace(connection.id, standing).second) return false;
  worker.connections.push_back(connection.id);
  worker.load += standing.load;
  if (standing.group != 0) worker.groups[standing.group] += 1;
  return true;
}

bool ConnectionTable::remove(std::uint64_t id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return false;
  const Standing& standing = it->second;
  Worker& worker = worker_of(standing);
  worker.load = worker.connections.size() > 1 ? std::max(0.0, worker.load - standing.load) : 0;
  if (standing.group != 0 && --worker.groups[standing.group] <= 0) worker.groups.erase(standing.group);
  connections_.at(worker.connections.back()).place = standing.place;
  worker.connections[standing.place] = worker.connections.back();
  worker.connections.pop_back();
  connections_.erase(it);
  return true;
}

void ConnectionTable::set_load(std::uint64_t id, double load) {
  Standing* standing = find(id);
  if (!standing || load <= 0) return;
  worker_of(*standing).load += load - standing->load;
  standing->load = load;
}

ConnectionTable::Standing* ConnectionTable::find(std::uint64_t id) {
  auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

double ConnectionTable::total_load() const {
  double load = 0;
  for (const Worker& worker : workers_) load += worker.load;
  return load;
}

double ConnectionTable::usual_load() const {
  if (connections_.empty()) return 1;
  return std::max(kLeastUsualLoad, total_load() / static_cast<double>(connections_.size()));
}

}  // namespace marblehub::rebalance
