// Which worker a connection id names, and whether it may be spoken to or for. Decisions only: no sockets, no
// clock. The front tells it of lists, of configs and of ports that were found closed.
//
// A worker is *there* while the registry lists it (draining or not), *gone* once the registry has said so.
// One that the registry has never named is unknown: it may run, so nothing is said in its place.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/dispatcher.h"
#include "quic/settings.h"

namespace marblehub::quic {

using core::Time;

// The configs in force: those of the file, and those that a reload took out until their time is over.
class IdConfigs {
 public:
  explicit IdConfigs(std::vector<IdConfig> configs) : now_(configs), codec_(std::move(configs)) {}
  // What stands against taking these configs, as a plain line; empty: nothing. A rotation that is still being
  // retired with other contents cannot be given anew: ids of both would look alike.
  std::string conflict(const std::vector<IdConfig>& next) const;
  void replace(std::vector<IdConfig> next, Time now, Time retire);
  bool expire(Time now);  // whether any was dropped
  std::size_t retiring() const { return retiring_.size(); }
  const IdCodec& codec() const { return codec_; }

 private:
  struct Retiring {
    IdConfig config;
    Time until;
  };
  void rebuild();

  std::vector<IdConfig> now_;
  std::vector<Retiring> retiring_;
  IdCodec codec_;
};

class WorkerTable {
 public:
  struct Worker {
    std::string name;
    std::size_t index = 0;  // grows with each worker that is met
    Endpoint address;
    bool deleted = false;
    // Its port was found closed, and nothing has come from it since. It is tried again now and then.
    bool port_closed = false;
    Time last_attempt_at = 0;
  };

  // Takes over a list of workers under settings and configs. Returns those whose address has changed.
  std::vector<Worker*> refresh(const std::unordered_map<std::string, core::Dispatcher::Worker>& list,
                               const QuicSettings& settings, const std::vector<IdConfig>& configs);
  Worker* find_by_name(const std::string& name);
  // The worker that an id names; none where there is no such, or where two have the same server id.
  Worker* find_by_id(const IdCodec::Decoded& id);

  // A port was found closed, or something came from it again.
  void mark_port_closed(Worker& worker, Time now);
  void mark_port_open(Worker& worker) { worker.port_closed = false; }
  // Whether a datagram may go to it. To a closed port one goes through now and then, to see it come back.
  bool may_send(Worker& worker, Time now);
  // Whether the router may answer for it: only for one that certainly does not run.
  bool is_unreachable(const Worker& worker) const { return worker.deleted || worker.port_closed; }
  const std::vector<std::unique_ptr<Worker>>& workers() const { return all_; }

 private:
  struct Key {
    unsigned rotation;
    ServerId server_id;
    bool operator==(const Key&) const = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const { return hash_bytes(key.server_id) + key.rotation; }
  };
  std::vector<std::unique_ptr<Worker>> all_;
  std::unordered_map<std::string, Worker*> by_name_;
  std::unordered_map<Key, Worker*, KeyHash> by_id_;  // none: two workers have it
};

}  // namespace marblehub::quic
