// The map from server ids to workers, and the reachability of each worker. No I/O and no clock: the front
// passes worker lists, id configurations, observations of closed ports and times in microseconds.
//
// A worker is present while the registry lists it (draining or not), and deleted once the registry has
// reported that. One that was never listed is unknown: it may run, so no stateless reset is sent for it.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/dispatcher.h"
#include "quic/settings.h"

namespace marblehub::quic {

using core::Time;

/// The id configurations in use: those of the settings file, and for the retirement period those that a
/// reload has removed.
class IdConfigs {
 public:
  explicit IdConfigs(std::vector<IdConfig> configs) : current_(configs), codec_(std::move(configs)) {}
  /// The reason why these configurations cannot replace the current ones, as one line; empty if they can. A
  /// rotation that is in use or retiring cannot get other contents, since ids of both would be ambiguous.
  std::string conflict(const std::vector<IdConfig>& next) const;
  /// Replaces the current configurations; removed ones still decode for `retirement_period` microseconds.
  void replace(std::vector<IdConfig> next, Time now, Time retirement_period);
  /// Drops configurations whose retirement period is over; returns whether there were any.
  bool expire(Time now);
  /// The number of removed configurations that still decode.
  std::size_t retiring() const { return retiring_.size(); }
  const IdCodec& codec() const { return codec_; }

 private:
  // A removed configuration and the time until which it decodes.
  struct Retiring {
    IdConfig config;
    Time until;
  };
  void rebuild();

  std::vector<IdConfig> current_;
  std::vector<Retiring> retiring_;
  IdCodec codec_;
};

/// The workers that the registry has listed, by name and by server id. Entries are never removed, so that
/// pointers to them stay valid.
class WorkerTable {
 public:
  /// A worker as the front sees it.
  struct Worker {
    std::string name;
    std::size_t index = 0;  // in the order of first appearance; identifies the worker in path keys
    Endpoint address;
    bool deleted = false;
    // An ICMP error showed its port closed, and no datagram has arrived from it since. Single datagrams are
    // still sent to it, at an interval.
    bool port_closed = false;
    Time last_attempt_at = 0;
  };

  /// Applies a list of workers with the settings and id configurations. Returns the workers whose address has
  /// changed.
  std::vector<Worker*> refresh(const std::unordered_map<std::string, core::Dispatcher::Worker>& list,
                               const QuicSettings& settings, const std::vector<IdConfig>& configs);
  /// The worker with this name; null where it was never listed.
  Worker* find_by_name(const std::string& name);
  /// The worker that a connection id encodes; null where there is none, or where two share the server id.
  Worker* find_by_id(const IdCodec::Decoded& id);

  /// Records that the worker's port was found closed, or that a datagram has arrived from it again.
  void mark_port_closed(Worker& worker, Time now);
  void mark_port_open(Worker& worker) { worker.port_closed = false; }
  /// Whether a datagram may be sent to the worker. To a closed port one is allowed per interval, to detect
  /// that the worker runs again.
  bool may_send(Worker& worker, Time now);
  /// Whether the worker certainly does not run, so that the front may send stateless resets on its behalf.
  bool is_unreachable(const Worker& worker) const { return worker.deleted || worker.port_closed; }
  const std::vector<std::unique_ptr<Worker>>& workers() const { return workers_; }

 private:
  // A server id under the configuration of one rotation.
  struct Key {
    unsigned rotation;
    ServerId server_id;
    bool operator==(const Key&) const = default;
  };
  // The hash of a Key.
  struct KeyHash {
    std::size_t operator()(const Key& key) const { return hash_bytes(key.server_id) + key.rotation; }
  };
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unordered_map<std::string, Worker*> by_name_;
  std::unordered_map<Key, Worker*, KeyHash> by_id_;  // null: two workers share it
};

}  // namespace marblehub::quic
