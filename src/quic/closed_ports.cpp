// What the front learns from closed ports of workers: which connections have ended, and which pending calls
// certainly reached no worker.
#include <cerrno>

#include "log/log.h"
#include "quic/front.h"

namespace marblehub::quic {

using core::CloseKind;
using core::Outcome;

void Front::fail_call(Flow& flow, Outcome outcome) {
  if (flow.exchange) flow.exchange->worker_ended(outcome, CloseKind::aborted);
}

namespace {

// Whether a returned datagram is one that a worker's Retry has not answered, of the attempt of this call.
bool belongs_to(const Flow& flow, std::string_view bytes) {
  if (bytes.starts_with(kControlPrefix)) return true;
  auto ids = long_header_ids(bytes);
  if (flow.routed_by_address) return !ids;
  return ids && flow.client_source == ids->source &&
         flow.handshake_state->initial_keys_id == ids->destination;
}

}  // namespace

// The pending call that a returned datagram belongs to; null where none is certain.
Flow* Front::flow_of_returned(Upstream& upstream, std::string_view bytes) {
  Endpoint client;
  if (!upstream.dedicated_path) {
    auto proxy = consume_proxy_header(bytes);
    if (!proxy) return nullptr;
    client = proxy->source;
  }
  for (Flow* flow : pending_attempts(upstream, client))
    if (belongs_to(*flow, bytes)) return flow;
  return nullptr;
}

// Reads the errors of an upstream's socket and counts the datagrams of pending calls that have come back.
// Returns whether one of them showed the worker's port closed.
bool Front::collect_returned(Upstream& upstream) {
  bool port_closed = false;
  read_returned(upstream.fd(), [&](const ReturnedDatagram& datagram) {
    if (datagram.error != ECONNREFUSED) return;
    port_closed = true;
    if (Flow* flow = flow_of_returned(upstream, datagram.bytes))
      flow->handshake_state->delivery.count_returned();
  });
  return port_closed;
}

void Front::handle_closed_port(Upstream& upstream) {
  if (upstream.is_open()) collect_returned(upstream);
  workers_lost_.add();
  WorkerTable::Worker& worker = upstream.worker;
  if (!worker.port_closed) log::info("quic: the port of {} is closed", worker.name);
  workers_.mark_port_closed(worker, loop_.now());
  std::vector<Flow*> affected;  // only the sweep frees flows
  if (upstream.dedicated_path) {
    for (Flow* flow = upstream.dedicated_path->flow; flow; flow = flow->next_on_path)
      affected.push_back(flow);
  } else {
    for (auto& [key, flow] : flows_)
      if (flow->path && &flow->path->worker == &worker) affected.push_back(flow.get());
  }
  // The worker may have processed a datagram of a pending call and crashed before it replied.
  for (Flow* flow : affected)
    if (flow->path) fail_call(*flow, flow->reached_no_worker() ? Outcome::connect_failed : Outcome::reset);
}

}  // namespace marblehub::quic
