// The front's sockets to workers, and datagrams to and from them.
#include <fmt/format.h>

#include "log/log.h"
#include "quic/front.h"
#include "quic/initial.h"

namespace marblehub::quic {

using core::CloseKind;
using core::Outcome;

namespace {

constexpr int kMaxBatches = 4;  // received from a worker in one iteration of the event loop

// Whether the frames of a worker's Initial refuse the connection: a CONNECTION_CLOSE of type 0x1c with
// CONNECTION_REFUSED (RFC 9000, 20.1), preceded only by PADDING and an ACK frame of one range.
bool is_refusal(std::string_view frames) {
  while (!frames.empty() && frames[0] == 0) frames.remove_prefix(1);
  if (!frames.empty() && frames[0] == 2) {
    frames.remove_prefix(1);
    for (int field = 0; field < 4; ++field)
      if (!consume_varint(frames)) return false;
    while (!frames.empty() && frames[0] == 0) frames.remove_prefix(1);
  }
  if (frames.empty() || frames[0] != 0x1c) return false;
  frames.remove_prefix(1);
  return consume_varint(frames) == kConnectionRefused;
}

}  // namespace

// ---- Sockets to workers ----------------------------------------------------------------------------

Upstream::Upstream(Front& f, WorkerTable::Worker& w, Path* o)
    : front(f),
      worker(w),
      dedicated_path(o),
      io_(f.loop_, [this](int) { front.receive_from_worker(*this); }) {}

bool Upstream::open() {
  fd_ = connected_socket(worker.address);
  if (!fd_) return false;
  if (!sender) sender = std::make_unique<Sender>(worker.address.family());
  io_.start(fd_.get(), EV_READ);
  return true;
}

void Upstream::close() {
  io_.stop();
  fd_.reset();
  sender.reset();
  unflushed = false;
}

// The path's socket, opened if necessary; null without an available descriptor or a known address.
Upstream* Front::get_upstream(Path& path) {
  std::unique_ptr<Upstream>& slot =
      settings_.forwarding == Forwarding::socket ? path.dedicated_upstream : shared_upstreams_[&path.worker];
  if (!slot)
    slot = std::make_unique<Upstream>(*this, path.worker,
                                      settings_.forwarding == Forwarding::socket ? &path : nullptr);
  if (!slot->is_open() &&
      (!path.worker.address.is_specified() || !descriptors_.make_one_available() || !slot->open()))
    return nullptr;
  return slot.get();
}

void Front::send_to_worker(Path& path, std::string_view bytes, unsigned char ecn) {
  Upstream* upstream = get_upstream(path);
  if (!upstream) return table_full_.add();
  Sender::Entry& entry = upstream->sender->add(bytes, ecn);
  if (!upstream->dedicated_path) entry.header_size = write_proxy_header(entry.header, proxy_header_for(path));
  if (std::exchange(upstream->unflushed, true)) return;
  unflushed_.push_back(upstream);
}

// Sends a datagram of a pending call at once. After a Retry of the router it includes the original and the
// Retry's connection id, which the worker needs for its transport parameters (RFC 9000, 7.3).
void Front::send_handshake_datagram(Flow& flow, std::string_view bytes) {
  Upstream* upstream = get_upstream(*flow.path);
  if (!upstream) return table_full_.add();
  // Whether the router has sent a Retry; a Retry of the worker leaves the ids equal.
  bool after_retry = flow.original_destination && !(*flow.original_destination == flow.first_destination);
  Delivery& delivery = flow.handshake_state->delivery;
  std::array<char, kMaxProxyHeaderSize> header;
  std::size_t size = 0;
  if (!upstream->dedicated_path) {
    ProxyHeader fields = proxy_header_for(*flow.path);
    if (after_retry) {
      fields.original_id = *flow.original_destination;
      fields.retry_id = flow.first_destination;
    }
    size = write_proxy_header(header, fields);
  } else if (after_retry) {
    delivery.count_sent(send_control(*flow.path, fmt::format("RETRIED {} {}", hex(flow.first_destination),
                                                             hex(*flow.original_destination))));
  }
  delivery.count_sent(send_now(upstream->fd(), std::string_view(header.data(), size), bytes));
}

bool Front::send_control(Path& path, const std::string& message) {
  Upstream* upstream = get_upstream(path);
  if (!upstream) return false;
  std::array<char, kMaxProxyHeaderSize> header;
  std::size_t size = upstream->dedicated_path ? 0 : write_proxy_header(header, proxy_header_for(path));
  return send_now(upstream->fd(), std::string_view(header.data(), size),
                  std::string(kControlPrefix) + message);
}

void Front::flush() {
  std::vector<Upstream*> closed;
  for (Upstream* upstream : unflushed_) {
    upstream->unflushed = false;
    Sender::FlushResult result = upstream->sender->flush(upstream->fd());
    if (result.dropped > 0) send_drops_.add(static_cast<double>(result.dropped));
    if (result.port_closed) closed.push_back(upstream);
  }
  unflushed_.clear();
  if (!to_clients_.empty()) {
    Sender::FlushResult result = to_clients_.flush(fd_.get());
    sent_.add(static_cast<double>(result.datagrams));
    if (result.dropped > 0) send_drops_.add(static_cast<double>(result.dropped));
  }
  for (Upstream* upstream : closed) handle_closed_port(*upstream);
}

// ---- Datagrams from workers ------------------------------------------------------------------------

void Front::receive_from_worker(Upstream& upstream) {
  now_ = loop_.now();
  for (int i = 0; i < kMaxBatches && upstream.is_open(); ++i) {
    bool received_any = false;
    auto status = receiver_.receive(upstream.fd(), true, [&](const Datagram& datagram) {
      received_any = true;
      handle_worker_datagram(upstream, datagram);
    });
    flush();
    // An event without a datagram announces an error, which a send may have consumed but for its queue entry.
    bool port_closed = status == Receiver::Status::port_closed;
    if (!port_closed && !received_any && upstream.is_open()) port_closed = collect_returned(upstream);
    if (port_closed) handle_closed_port(upstream);
    if (status != Receiver::Status::more) break;
  }
  now_ = 0;
}

void Front::handle_worker_datagram(Upstream& upstream, const Datagram& datagram) {
  if (!upstream.is_open()) return;  // closed by an earlier datagram of this batch
  std::string_view bytes = datagram.bytes;
  Endpoint client;
  if (upstream.dedicated_path) {
    client = upstream.dedicated_path->client;
  } else {
    auto header = consume_proxy_header(bytes);
    if (!header || header->local || header->destination.family() != listen_.family()) return malformed_.add();
    client = header->destination;
  }
  workers_.mark_port_open(upstream.worker);
  if (bytes.empty()) return malformed_.add();
  if (bytes.starts_with(kControlPrefix))
    return handle_control(upstream, client, bytes.substr(kControlPrefix.size()));
  if (bytes[0] & 0x80) return handle_long_header_reply(upstream, bytes, client, datagram.ecn);
  Path* path = upstream.dedicated_path ? upstream.dedicated_path : find_path(client, upstream.worker);
  if (!path || (path->flow && !path->flow->is_established)) {
    // Only for a flow routed by address can the first reply be a short-header packet.
    for (Flow* flow : pending_attempts(upstream, client))
      if (flow->routed_by_address) return establish(*flow, bytes);
    // With a shared socket, packets of a connection that another router or start established need no path.
    if (upstream.dedicated_path || path) return late_replies_.add();
  }
  forward_to_client(client, path, bytes, datagram.ecn);
}

void Front::forward_to_client(const Endpoint& client, Path* path, std::string_view bytes, unsigned char ecn) {
  if (path) {
    if (path->worker_datagrams < 255) path->worker_datagrams += 1;
    touch(*path);
    if (Flow* flow = path->flow) {
      flow->last_used = now_;
      if (!flow->allow_reply(bytes.size())) return amplification_stops_.add();
    }
  }
  to_clients_.add(bytes, ecn, client);
}

std::vector<Flow*> Front::pending_attempts(Upstream& upstream, const Endpoint& client) {
  std::vector<Flow*> found;
  if (upstream.dedicated_path) {
    if (upstream.dedicated_path->flow && upstream.dedicated_path->flow->attempt_pending)
      found.push_back(upstream.dedicated_path->flow);
    return found;
  }
  auto [at, end] = pending_attempts_.equal_range(path_key(client, upstream.worker).view());
  for (; at != end; ++at) found.push_back(at->second);
  return found;
}

// One client address may have several pending calls at one worker, with the same or empty client ids. The
// keys of an Initial and the tag of a Retry derive from the call's first destination id and so identify the
// call. A reply to a call that has ended matches none.
Front::Reply Front::match_reply(Upstream& upstream, const Header& header, std::string_view bytes,
                                const Endpoint& client) {
  Flow* candidate = nullptr;
  std::size_t count = 0;
  for (Flow* flow : pending_attempts(upstream, client)) {
    if (flow->routed_by_address || !(flow->client_source == header.destination)) continue;
    if (header.type == PacketType::initial) {
      auto frames =
          open_initial(initial_keys(flow->handshake_state->initial_keys_id, true, header.version), bytes);
      if (frames) return {flow, std::move(*frames)};
    } else if (header.type == PacketType::retry) {
      if (retry_is_authentic(bytes, flow->handshake_state->initial_keys_id)) return {flow, ""};
    } else {
      candidate = flow;
      count += 1;
    }
  }
  return {count == 1 ? candidate : nullptr, ""};
}

void Front::handle_long_header_reply(Upstream& upstream, std::string_view bytes, const Endpoint& client,
                                     unsigned char ecn) {
  auto header = parse(bytes);
  if (!header || header->type == PacketType::version_negotiation ||
      header->type == PacketType::unsupported_version)
    return malformed_.add();  // the router negotiates versions, not the worker
  if (header->type != PacketType::retry)
    if (Flow* flow = find_linked(header->source); flow && flow->is_established && flow->path)
      return forward_to_client(client, flow->path, bytes, ecn);
  Reply reply = match_reply(upstream, *header, bytes, client);
  if (Flow* flow = reply.flow) {
    if (header->type == PacketType::initial && is_refusal(reply.frames) && flow->exchange)
      return turned_away(*flow);
    if (header->type == PacketType::initial) {
      if (ids_.codec().decode(header->source, true)) link_id(*flow, header->source);
      return establish(*flow, bytes);
    }
    if (header->type == PacketType::retry) {
      // The client repeats its Initial with the worker's id; the call stays pending, bound to this worker.
      if (flow->bound_by_retry || header->source.empty()) return malformed_.add();
      if (!flow->original_destination)
        flow->original_destination = std::make_unique<ConnectionId>(flow->first_destination);
      flow->handshake_state->initial_keys_id = header->source;
      flow->bound_by_retry = true;
      flow->handshake_state->delivery.retry_received();
      link_id(*flow, header->source);
    }
    if (!flow->allow_reply(bytes.size())) return amplification_stops_.add();
    return send_to_client(client, bytes);
  }
  // An unmatched Initial or Retry replies to a call that has ended. A handshake that began at another router
  // or before a restart has a path, since its client has sent packets here.
  Path* path = upstream.dedicated_path ? upstream.dedicated_path : find_path(client, upstream.worker);
  if (header->type == PacketType::initial || header->type == PacketType::retry || !path ||
      (path->flow && !path->flow->is_established))
    return late_replies_.add();
  forward_to_client(client, path, bytes, ecn);
}

// A worker turns away what it does not know, which proves that the call has not run; but not if the client
// has repeated its datagrams, which may have reached an earlier process of the worker.
void Front::turned_away(Flow& flow) {
  Outcome outcome = flow.handshake_state->delivery.client_has_repeated() ? Outcome::error : Outcome::full;
  flow.exchange->worker_ended(outcome, CloseKind::orderly);
}

void Front::establish(Flow& flow, std::string_view bytes) {
  if (!flow.exchange) return late_replies_.add();
  remove_pending_attempt(flow);
  flow.is_established = true;
  index_path(*flow.path);
  flow.exchange->worker_established(bytes);
}

// ---- Control messages ------------------------------------------------------------------------------

// The flow that a control message names, by the destination id of its first Initial or by an id that the
// worker has issued; null unless it belongs to this worker.
Flow* Front::find_flow(Upstream& upstream, const Endpoint& client, std::string_view id) {
  Flow* flow = find_linked(id);
  if (!flow)
    for (Flow* candidate : pending_attempts(upstream, client))
      if (candidate->has_initial_destination(id)) flow = candidate;
  Path* path = upstream.dedicated_path ? upstream.dedicated_path : find_path(client, upstream.worker);
  for (Flow* on_path = path ? path->flow : nullptr; on_path && !flow; on_path = on_path->next_on_path)
    if (on_path->has_initial_destination(id)) flow = on_path;
  return flow && flow->path && &flow->path->worker == &upstream.worker ? flow : nullptr;
}

void Front::handle_control(Upstream& upstream, const Endpoint& client, std::string_view message) {
  std::size_t space = message.find(' ');
  std::string_view verb = message.substr(0, space);
  std::string_view rest = space == std::string_view::npos ? "" : message.substr(space + 1);
  auto id = unhex(rest.substr(0, rest.find(' ')));
  std::string_view argument = rest.find(' ') == std::string_view::npos ? "" : rest.substr(rest.find(' ') + 1);
  Flow* flow =
      id && !id->empty() && id->size() <= kMaxConnectionIdLength ? find_flow(upstream, client, *id) : nullptr;
  if (!flow) return malformed_.add();
  if (verb == "BUSY" && !flow->is_established && flow->exchange) {
    turned_away(*flow);
  } else if (verb == "LINK" && flow->is_established) {
    auto other = unhex(argument);
    if (!other || other->size() > kMaxConnectionIdLength || !ids_.codec().decode(*other, true))
      return malformed_.add();
    // The id may belong to a flow that was adopted as a separate connection.
    if (Flow* duplicate = find_linked(*other); duplicate && duplicate != flow) {
      if (core::Exchange* exchange = std::exchange(duplicate->exchange, nullptr))
        exchange->client_left(CloseKind::orderly);
      duplicate->finished = true;
      std::erase(duplicate->linked_ids, ConnectionId(*other));
      flows_by_id_.erase(ConnectionId(*other));
    }
    link_id(*flow, *other);
  } else if (verb == "END" && flow->is_established) {
    flow->move_requests_left = 0;
    if (flow->exchange) flow->exchange->worker_ended(Outcome::served, CloseKind::orderly);
    flow->finished = true;
  } else if (verb == "LEFT" && flow->is_established) {
    left_.add();
    if (core::Exchange* exchange = std::exchange(flow->exchange, nullptr))
      exchange->client_left(CloseKind::orderly);
    flow->finished = true;
  } else {
    malformed_.add();
  }
}

}  // namespace marblehub::quic
