// Sockets to workers, what goes out on them and what comes back.
#include <fmt/format.h>

#include "log/log.h"
#include "quic/front.h"
#include "quic/initial.h"

namespace marblehub::quic {

using core::CloseKind;
using core::Outcome;

namespace {

constexpr int kBatches = 4;

// Control messages between the router and a worker share the workers' sockets. No QUIC packet and no other
// protocol that RFC 9443 tells apart by its first octet begins like this.
constexpr std::string_view kControl = "\x04MARBLE1 ";

// Whether a worker's first words turn the client away: a CONNECTION_CLOSE of type 0x1c with
// CONNECTION_REFUSED (RFC 9000, 20.1), after nothing but padding and acknowledgements of one range.
bool refuses(std::string_view frames) {
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

// ---- Sockets ---------------------------------------------------------------------------------------

Upstream::Upstream(Front& f, WorkerTable::Worker& w, Path* o)
    : front(f), worker(w), only(o), io_(f.loop_, [this](int) { front.from_upstream(*this); }) {}

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
  dirty = false;
}

// The socket that a path goes by, opened where it is not yet; none for want of a descriptor or an address.
Upstream* Front::upstream_of(Path& path) {
  std::unique_ptr<Upstream>& at =
      settings_.forwarding == Forwarding::socket ? path.own : shared_[&path.worker];
  if (!at)
    at = std::make_unique<Upstream>(*this, path.worker,
                                    settings_.forwarding == Forwarding::socket ? &path : nullptr);
  if (!at->is_open() &&
      (!path.worker.address.is_specified() || !descriptors_.make_one_available() || !at->open()))
    return nullptr;
  return at.get();
}

void Front::send_to_worker(Path& path, std::string_view bytes, unsigned char ecn) {
  Upstream* upstream = upstream_of(path);
  if (!upstream) return full_.add();
  Sender::Entry& entry = upstream->sender->add(bytes, ecn);
  if (!upstream->only) entry.header_size = write_proxy_header(entry.header, header_towards(path));
  if (std::exchange(upstream->dirty, true)) return;
  dirty_.push_back(upstream);
}

// A datagram of a call that its worker may not know yet: at once, and with the ids that a Retry has changed.
void Front::send_first(Flow& flow, std::string_view bytes) {
  Upstream* upstream = upstream_of(*flow.path);
  if (!upstream) return full_.add();
  bool asked = flow.original && !(*flow.original == flow.first_destination);  // by us; a worker knows its own
  std::array<char, kMaxProxyHeaderSize> header;
  std::size_t size = 0;
  if (!upstream->only) {
    ProxyHeader fields = header_towards(*flow.path);
    if (asked) {
      fields.original_id = *flow.original;
      fields.retry_id = flow.first_destination;
    }
    size = write_proxy_header(header, fields);
  } else if (asked) {
    send_control(*flow.path, fmt::format("RETRIED {} {}", hex(flow.first_destination), hex(*flow.original)));
  }
  send_now(upstream->fd(), std::string_view(header.data(), size), bytes);
}

void Front::send_control(Path& path, const std::string& words) {
  Upstream* upstream = upstream_of(path);
  if (!upstream) return;
  std::array<char, kMaxProxyHeaderSize> header;
  std::size_t size = upstream->only ? 0 : write_proxy_header(header, header_towards(path));
  send_now(upstream->fd(), std::string_view(header.data(), size), std::string(kControl) + words);
}

void Front::flush() {
  std::vector<Upstream*> lost;
  for (Upstream* upstream : dirty_) {
    upstream->dirty = false;
    Sender::FlushResult result = upstream->sender->flush(upstream->fd());
    if (result.dropped > 0) dropped_.add(static_cast<double>(result.dropped));
    if (result.port_closed) lost.push_back(upstream);
  }
  dirty_.clear();
  if (!to_clients_.empty()) {
    Sender::FlushResult result = to_clients_.flush(fd_.get());
    out_.add(static_cast<double>(result.datagrams));
    if (result.dropped > 0) dropped_.add(static_cast<double>(result.dropped));
  }
  for (Upstream* upstream : lost) worker_lost(*upstream);
}

// ---- Datagrams from workers ------------------------------------------------------------------------

void Front::from_upstream(Upstream& upstream) {
  now_ = loop_.now();
  for (int i = 0; i < kBatches && upstream.is_open(); ++i) {
    auto status = receiver_.receive(upstream.fd(), true,
                                    [this, &upstream](const Datagram& d) { from_worker(upstream, d); });
    flush();
    if (status == Receiver::Status::port_closed) worker_lost(upstream);
    if (status != Receiver::Status::more) break;
  }
  now_ = 0;
}

void Front::from_worker(Upstream& upstream, const Datagram& datagram) {
  if (!upstream.is_open()) return;  // given up by what came before in this batch
  std::string_view bytes = datagram.bytes;
  Endpoint client;
  if (upstream.only) {
    client = upstream.only->client;
  } else {
    auto header = consume_proxy_header(bytes);
    if (!header || header->local || header->destination.family() != listen_.family()) return malformed_.add();
    client = header->destination;
  }
  workers_.mark_port_open(upstream.worker);
  if (bytes.empty()) return malformed_.add();
  if (bytes.starts_with(kControl)) return control(upstream, client, bytes.substr(kControl.size()));
  if (bytes[0] & 0x80) return long_reply(upstream, bytes, client, datagram.ecn);
  Path* path = upstream.only ? upstream.only : known_path(client, upstream.worker);
  if (!path || (path->flow && !path->flow->standing)) {
    // Only a client without a worker's id has no handshake here, so that a short packet is its first reply.
    for (Flow* flow : trying_at(upstream, client))
      if (flow->by_tuple) return establish(*flow, bytes);
    // With one socket for all, what a connection of another router's or start's is sent needs no path.
    if (upstream.only || path) return late_replies_.add();
  }
  pass_to_client(client, path, bytes, datagram.ecn);
}

void Front::pass_to_client(const Endpoint& client, Path* path, std::string_view bytes, unsigned char ecn) {
  if (path) {
    if (path->from_worker < 255) path->from_worker += 1;
    touch(*path);
    if (Flow* flow = path->flow) {
      flow->used = now_;
      if (!flow->may_answer(bytes.size())) return over_budget_.add();
    }
  }
  to_clients_.add(bytes, ecn, client);
}

std::vector<Flow*> Front::trying_at(Upstream& upstream, const Endpoint& client) {
  std::vector<Flow*> found;
  if (upstream.only) {
    if (upstream.only->flow && upstream.only->flow->trying) found.push_back(upstream.only->flow);
    return found;
  }
  auto [at, end] = trying_.equal_range(path_key(client, upstream.worker).view());
  for (; at != end; ++at) found.push_back(at->second);
  return found;
}

// Several calls of one client may be out at one worker, with the same client id or with none: which of them
// an Initial or a Retry answers is shown by its protection, whose keys come from the call's first id. That
// also tells a reply to a call that has been given up, which no one may be shown any more.
Front::Reply Front::answered_by(Upstream& upstream, const Header& header, std::string_view bytes,
                                const Endpoint& client) {
  Flow* alike = nullptr;
  std::size_t count = 0;
  for (Flow* flow : trying_at(upstream, client)) {
    if (flow->by_tuple || !(flow->client_source == header.destination)) continue;
    if (header.type == PacketType::initial) {
      auto frames = open_initial(initial_keys(flow->beginning->keys_from, true, header.version), bytes);
      if (frames) return {flow, std::move(*frames)};
    } else if (header.type == PacketType::retry) {
      if (retry_is_authentic(bytes, flow->beginning->keys_from)) return {flow, ""};
    } else {
      alike = flow;
      count += 1;
    }
  }
  return {count == 1 ? alike : nullptr, ""};
}

void Front::long_reply(Upstream& upstream, std::string_view bytes, const Endpoint& client,
                       unsigned char ecn) {
  auto header = parse(bytes);
  if (!header || header->type == PacketType::version_negotiation ||
      header->type == PacketType::unsupported_version)
    return malformed_.add();  // the router itself has negotiated
  if (header->type != PacketType::retry)
    if (Flow* flow = linked(header->source); flow && flow->standing && flow->path)
      return pass_to_client(client, flow->path, bytes, ecn);
  Reply reply = answered_by(upstream, *header, bytes, client);
  if (Flow* flow = reply.flow) {
    if (header->type == PacketType::initial && refuses(reply.frames) && flow->exchange)
      return flow->exchange->worker_ended(Outcome::full, CloseKind::orderly);
    if (header->type == PacketType::initial) {
      if (ids_.codec().decode(header->source, true)) link(*flow, header->source);
      return establish(*flow, bytes);
    }
    if (header->type == PacketType::retry) {
      // The client begins again with the id that the worker has chosen; the call waits on, bound to it.
      if (flow->bound || header->source.empty()) return malformed_.add();
      if (!flow->original) flow->original = std::make_unique<ConnectionId>(flow->first_destination);
      flow->beginning->keys_from = header->source;
      flow->bound = true;
      link(*flow, header->source);
    }
    if (!flow->may_answer(bytes.size())) return over_budget_.add();
    return to_client(client, bytes);
  }
  // An Initial that no call waits for answers one that has been given up. Of a handshake that began before
  // this start or at another router, the client has spoken here first.
  Path* path = upstream.only ? upstream.only : known_path(client, upstream.worker);
  if (header->type == PacketType::initial || header->type == PacketType::retry || !path ||
      (path->flow && !path->flow->standing))
    return late_replies_.add();
  pass_to_client(client, path, bytes, ecn);
}

void Front::establish(Flow& flow, std::string_view bytes) {
  if (!flow.exchange) return late_replies_.add();
  stop_trying(flow);
  flow.standing = true;
  list_path(*flow.path);
  flow.exchange->worker_established(bytes);
}

// ---- Control messages ------------------------------------------------------------------------------

// The connection that a worker means: by the id of the client's first Initial, or by any that it has given
// out.
Flow* Front::named(Upstream& upstream, const Endpoint& client, std::string_view id) {
  Flow* flow = linked(id);
  if (!flow)
    for (Flow* trying : trying_at(upstream, client))
      if (trying->began_as(id)) flow = trying;
  Path* path = upstream.only ? upstream.only : known_path(client, upstream.worker);
  if (!flow && path && path->flow && path->flow->began_as(id)) flow = path->flow;
  return flow && flow->path && &flow->path->worker == &upstream.worker ? flow : nullptr;
}

void Front::control(Upstream& upstream, const Endpoint& client, std::string_view words) {
  std::size_t space = words.find(' ');
  std::string_view verb = words.substr(0, space);
  std::string_view rest = space == std::string_view::npos ? "" : words.substr(space + 1);
  auto id = unhex(rest.substr(0, rest.find(' ')));
  std::string_view more = rest.find(' ') == std::string_view::npos ? "" : rest.substr(rest.find(' ') + 1);
  Flow* flow =
      id && !id->empty() && id->size() <= kMaxConnectionIdLength ? named(upstream, client, *id) : nullptr;
  if (!flow) return malformed_.add();
  if (verb == "BUSY" && !flow->standing && flow->exchange) {
    flow->exchange->worker_ended(Outcome::full, CloseKind::orderly);
  } else if (verb == "LINK" && flow->standing) {
    auto other = unhex(more);
    if (!other || other->size() > kMaxConnectionIdLength || !ids_.codec().decode(*other, true))
      return malformed_.add();
    // Where it had been taken for a connection of its own, it is one no longer.
    if (Flow* twin = linked(*other); twin && twin != flow) {
      if (core::Exchange* exchange = std::exchange(twin->exchange, nullptr))
        exchange->client_left(CloseKind::orderly);
      twin->done = true;
      std::erase(twin->links, ConnectionId(*other));
      links_.erase(ConnectionId(*other));
    }
    link(*flow, *other);
  } else if (verb == "END" && flow->standing) {
    flow->moves_left = 0;
    if (flow->exchange) flow->exchange->worker_ended(Outcome::served, CloseKind::orderly);
    flow->done = true;
  } else if (verb == "LEFT" && flow->standing) {
    left_.add();
    if (core::Exchange* exchange = std::exchange(flow->exchange, nullptr))
      exchange->client_left(CloseKind::orderly);
    flow->done = true;
  } else {
    malformed_.add();
  }
}

// ---- A worker's port is closed ---------------------------------------------------------------------

void Front::lose(Flow& flow, Outcome outcome) {
  if (flow.exchange) flow.exchange->worker_ended(outcome, CloseKind::aborted);
}

void Front::worker_lost(Upstream& upstream) {
  lost_.add();
  WorkerTable::Worker& worker = upstream.worker;
  if (!worker.port_closed) log::info("quic: the port of {} is closed", worker.name);
  workers_.mark_port_closed(worker, loop_.now());
  if (upstream.only) {
    Flow* flow = upstream.only->flow;
    if (flow && flow->path == upstream.only)
      return lose(*flow, flow->standing ? Outcome::reset : Outcome::connect_failed);
    return;
  }
  std::vector<std::shared_ptr<Flow>> there;
  for (auto& [key, flow] : flows_)
    if (flow->path && &flow->path->worker == &worker) there.push_back(flow);
  // Refused before any reply: the worker has not seen it. After that it took the connection along.
  for (auto& flow : there)
    if (flow->path) lose(*flow, flow->standing ? Outcome::reset : Outcome::connect_failed);
}

}  // namespace marblehub::quic
