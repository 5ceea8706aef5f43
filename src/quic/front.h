// The second front: clients and gateways that speak QUIC, routed by connection id. It terminates no
// connection. A new client's Initial is a call to the core; later packets follow the worker id in their
// connection id, whatever address they come from. docs/quic.md describes what it does and cannot do.
#pragma once

#include <netinet/in.h>

#include <map>
#include <memory>
#include <string>

#include "core/dispatcher.h"
#include "net/loop.h"
#include "net/room.h"
#include "quic/connection_id.h"
#include "quic/packet.h"
#include "quic/settings.h"

namespace marblehub::quic {

using core::Time;

class Flow;
class Path;

class Front {
 public:
  Front(net::Loop& loop, core::Dispatcher& dispatcher, QuicSettings settings, net::Room& room,
        metrics::Registry& metrics);
  ~Front();
  void close();  // new clients are taken no more; what stands goes on

 private:
  friend class Flow;
  friend class Path;
  friend class Attempt;

  void receive();
  void datagram(std::string_view bytes, const sockaddr_in& from);
  void new_client(const Header& header, std::string_view bytes, const sockaddr_in& from);
  void route(const IdCodec::Decoded& id, std::string_view bytes, const sockaddr_in& from);
  void from_worker(Path& path, std::string_view bytes);
  void control(Path& path, std::string_view words);
  void worker_lost(Path& path);
  void to_client(const sockaddr_in& client, std::string_view bytes);

  std::shared_ptr<Path> make_path(const sockaddr_in& client, const std::string& worker);
  std::shared_ptr<Path> path_between(const sockaddr_in& client, const std::string& worker);
  void follow(Flow& flow, const sockaddr_in& from, std::string_view bytes);
  void register_path(const std::shared_ptr<Path>& path);
  void drop_path(const std::shared_ptr<Path>& path);
  void attach(Flow& flow, const std::shared_ptr<Path>& path);
  void link(Flow& flow, std::string_view id);
  void remove(Flow& flow);
  void refresh_workers();
  const std::string* worker_of(const IdCodec::Decoded& id);
  std::string address_of(const std::string& worker) const;
  void sweep();

  net::Loop& loop_;
  core::Dispatcher& dispatcher_;
  const QuicSettings settings_;
  const IdCodec codec_;
  const int request_class_;
  net::Room& room_;
  net::Fd fd_;
  net::IoWatch io_;
  net::TimerWatch sweep_;
  bool closed_ = false;

  std::map<std::string, std::shared_ptr<Flow>> flows_;  // by the ids that the client made up
  std::map<std::string, Flow*> links_;                  // connection ids seen in use, to their flow
  std::map<std::pair<std::string, std::string>, std::shared_ptr<Path>> paths_;  // by client and worker
  std::map<Path*, std::shared_ptr<Path>> all_paths_;                            // all that hold a descriptor
  std::map<std::pair<unsigned, std::string>, std::string> workers_;             // by rotation and server id
  std::uint64_t workers_version_ = 0;

  metrics::Metric &in_, &out_, &malformed_, &unknown_id_, &unknown_version_, &full_, &lost_, &closes_,
      &new_addresses_, &calls_gauge_, &paths_gauge_;
};

}  // namespace marblehub::quic
