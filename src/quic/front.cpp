#include "quic/front.h"

#include <algorithm>

#include "check/check.h"
#include "net/lines.h"
#include "quic/initial.h"

namespace marblehub::quic {

using core::CloseKind;

namespace {

constexpr int kMaxBatches = 4;                       // received in one iteration of the event loop
constexpr std::size_t kMaxEarlyDataClients = 64;     // clients whose 0-RTT is buffered before their Initial
constexpr std::size_t kMaxEarlyDatagrams = 4;        // of each such client
constexpr std::size_t kMinAddressRoutedPacket = 43;  // shorter packets with an unroutable id begin no call

}  // namespace

Front::Front(net::Loop& loop, core::Dispatcher& dispatcher, QuicSettings settings,
             net::DescriptorBudget& descriptors, metrics::Registry& metrics)
    : loop_(loop),
      dispatcher_(dispatcher),
      settings_(std::move(settings)),
      ids_(settings_.ids),
      validation_(settings_.retry),
      reset_(settings_.reset_key, settings_.resets_per_second),
      request_class_(dispatcher.class_index(settings_.request_class)),
      descriptors_(descriptors),
      listen_(Endpoint::parse(settings_.listen).value_or(Endpoint())),
      fd_(listen_.is_specified() ? listening_socket(listen_) : net::Fd()),
      io_(loop, [this](int) { receive_from_clients(); }),
      sweep_timer_(loop, [this] { sweep(); }),
      to_clients_(listen_.family()),
      received_(metrics.counter("marblehub_quic_datagrams_received_total", "Datagrams from QUIC clients")),
      sent_(metrics.counter("marblehub_quic_datagrams_sent_total", "Datagrams to QUIC clients")),
      malformed_(metrics.counter("marblehub_quic_malformed_total", "Datagrams that are no QUIC")),
      unknown_id_(metrics.counter("marblehub_quic_unknown_ids_total",
                                  "Datagrams dropped because their connection id names no worker")),
      unknown_version_(metrics.counter("marblehub_quic_unknown_versions_total",
                                       "Datagrams of a version that no worker speaks")),
      table_full_(
          metrics.counter("marblehub_quic_table_full_total", "Datagrams dropped because a table was full")),
      workers_lost_(metrics.counter("marblehub_quic_workers_lost_total", "Worker sockets found closed")),
      closes_(metrics.counter("marblehub_quic_closes_total", "Calls answered with CONNECTION_CLOSE")),
      address_changes_(metrics.counter("marblehub_quic_address_changes_total",
                                       "Connections that went on from another address")),
      retries_(metrics.counter("marblehub_quic_retries_total", "Retry packets sent")),
      bad_tokens_(metrics.counter("marblehub_quic_bad_tokens_total",
                                  "Initials with a token of ours that was late, used or another client's")),
      stateless_resets_(metrics.counter("marblehub_quic_stateless_resets_total",
                                        "Stateless resets sent in place of a worker that is gone")),
      send_drops_(
          metrics.counter("marblehub_quic_send_drops_total", "Datagrams that the system would not take")),
      amplification_stops_(metrics.counter("marblehub_quic_amplification_stops_total",
                                           "Replies kept from an address that is not validated")),
      late_replies_(metrics.counter("marblehub_quic_late_replies_total",
                                    "Replies of workers to calls that had been given up")),
      adopted_(metrics.counter("marblehub_quic_adopted_total",
                               "Connections taken over from another router or an earlier start")),
      left_(metrics.counter("marblehub_quic_left_total", "Connections that went on through another router")),
      move_requests_(
          metrics.counter("marblehub_quic_move_requests_total", "Requests to workers to move a client")),
      flows_gauge_(metrics.gauge("marblehub_quic_flows", "Calls and connections in the table")),
      paths_gauge_(metrics.gauge("marblehub_quic_paths", "Client addresses with a path to a worker")),
      retry_gauge_(metrics.gauge("marblehub_quic_retry_on", "1 while clients are asked for a Retry")),
      retiring_gauge_(metrics.gauge("marblehub_quic_configs_retiring",
                                    "Id configurations that a reload took out and that still route")),
      closed_gauge_(metrics.gauge("marblehub_quic_workers_closed", "Workers whose port was found closed")),
      sockets_gauge_(metrics.gauge("marblehub_quic_sockets", "Descriptors held for sockets to workers")) {
  if (!listen_.is_specified()) throw ConfigError("quic: listen: expected an address and port");
  if (request_class_ < 0) throw ConfigError("quic: class: expected one of the settings' classes");
  if (!fd_) throw ConfigError("quic: cannot listen on " + settings_.listen);
  io_.start(fd_.get(), EV_READ);
  sweep_timer_.start(kSweepInterval);
}

// Attempts refer to their flow, so all exchanges end before the table is destroyed.
Front::~Front() {
  for (auto& [key, flow] : flows_)
    if (core::Exchange* exchange = std::exchange(flow->exchange, nullptr))
      exchange->client_left(CloseKind::orderly);
}

void Front::close() { closed_ = true; }

void Front::receive_from_clients() {
  now_ = loop_.now();
  for (int i = 0; i < kMaxBatches; ++i) {
    auto status =
        receiver_.receive(fd_.get(), false, [this](const Datagram& d) { handle_client_datagram(d); });
    flush();
    if (status != Receiver::Status::more) break;
  }
  now_ = 0;
}

void Front::handle_client_datagram(const Datagram& datagram) {
  received_.add();
  const Endpoint& from = datagram.from;
  auto header = parse(datagram.bytes);
  if (!header || header->type == PacketType::version_negotiation || header->type == PacketType::retry)
    return malformed_.add();  // only servers send these two
  refresh_workers();
  if (header->type == PacketType::short_header) {
    auto id = ids_.codec().decode(header->destination, false);
    if (id) return route_by_id(*id, datagram.bytes, datagram);
    if (unroutable(header->destination)) return route_by_address(datagram.bytes, datagram);
    return unknown_id_.add();
  }
  bool supported = std::find(settings_.versions.begin(), settings_.versions.end(), header->version) !=
                   settings_.versions.end();
  if (header->type == PacketType::unsupported_version || !supported)
    return send_version_negotiation(*header, datagram.bytes, from);
  std::string_view bytes = datagram.bytes.substr(0, same_connection_length(datagram.bytes, *header));
  auto known = flows_.find(flow_key(header->destination, header->source).view());
  if (known != flows_.end()) {
    Flow& flow = *known->second;
    flow.last_used = now_;
    if (!flow.validated) flow.bytes_received += datagram.bytes.size();
    return handle_known(flow, datagram, bytes);
  }
  if (Flow* flow = find_linked(header->destination)) {  // an id issued by its worker
    flow->validated = true;                             // only a client that received a reply knows it
    return handle_known(*flow, datagram, bytes);
  }
  // The policy selects the worker of a new call, whatever server id the client's first Initial encodes: that
  // worker may be draining. It still gets the Initials of handshakes that it holds.
  if (header->type == PacketType::initial) {
    if (auto id = id_of_held_handshake(*header, bytes)) return route_by_id(*id, bytes, datagram);
    return handle_initial(*header, datagram, bytes);
  }
  if (header->type == PacketType::zero_rtt) return buffer_early_data(*header, bytes);
  if (auto id = ids_.codec().decode(header->destination, true)) return route_by_id(*id, bytes, datagram);
  if (unroutable(header->destination)) return route_by_address(bytes, datagram);
  unknown_id_.add();
}

// A datagram of a call or connection in the table.
void Front::handle_known(Flow& flow, const Datagram& datagram, std::string_view bytes) {
  if (flow.is_established) return forward(flow, bytes, datagram);
  if (!flow.refused()) return handle_pending(flow, datagram, bytes);
  flow.last_used = now_;
  const std::string& close_packet = flow.handshake_state->close_packet;
  if (flow.allow_reply(close_packet.size())) send_to_client(datagram.from, close_packet);
}

// The id of an Initial that continues a handshake of a known worker, begun at another router or before a
// restart. Only the first Initials of a connection open under keys that derive from their destination id.
std::optional<IdCodec::Decoded> Front::id_of_held_handshake(const Header& header, std::string_view bytes) {
  auto id = ids_.codec().decode(header.destination, true);
  if (!id || !workers_.find_by_id(*id)) return std::nullopt;
  bool begins_connection =
      open_initial(initial_keys(header.destination, false, header.version), bytes).has_value();
  return begins_connection ? std::nullopt : id;
}

void Front::send_version_negotiation(const Header& header, std::string_view bytes, const Endpoint& from) {
  unknown_version_.add();
  // Smaller datagrams cannot begin a connection; the reply is never longer than the datagram.
  if (bytes.size() >= kMinInitialDatagramSize)
    send_to_client(from, version_negotiation(header, settings_.versions));
}

void Front::handle_initial(const Header& header, const Datagram& datagram, std::string_view packets) {
  const Endpoint& from = datagram.from;
  if (datagram.bytes.size() < kMinInitialDatagramSize ||
      header.destination.size() < kMinInitialDestinationIdLength || !header.fixed_bit)
    return malformed_.add();  // RFC 9000, 14.1 and 7.2
  if (closed_) return send_to_client(from, connection_close_packet(header, kConnectionRefused, "leaving"));
  AddressValidation::Decision decision = validation_.validate(header, from, now_);
  using Verdict = AddressValidation::Verdict;
  if (decision.verdict == Verdict::reject) {
    bad_tokens_.add();
    return send_to_client(from, connection_close_packet(header, kInvalidToken, "token"));
  }
  if (decision.verdict == Verdict::send_retry) {
    retries_.add();
    return send_to_client(from, validation_.make_retry(header, from, now_));
  }
  accept_initial(header, datagram, packets, decision.token);
}

void Front::accept_initial(const Header& header, const Datagram& datagram, std::string_view packets,
                           const std::optional<RetryToken>& token) {
  if (flows_.size() >= settings_.max_calls) {
    table_full_.add();
    return send_to_client(datagram.from, connection_close_packet(header, kConnectionRefused, "busy"));
  }
  auto flow = std::make_shared<Flow>(*this, header, datagram.from);
  if (token) {
    flow->original_destination = std::make_unique<ConnectionId>(token->original_id);
    flow->validated = true;
  }
  flow->handshake_state = std::make_unique<Flow::HandshakeState>();
  flow->handshake_state->initial_keys_id = flow->first_destination;
  flow->handshake_state->delivery.add(packets);
  FlowKey key = flow_key(header.destination, header.source);
  if (auto early = early_data_.find(std::string(key.view())); early != early_data_.end()) {
    for (const std::string& datagram : early->second.datagrams) flow->handshake_state->delivery.add(datagram);
    early_data_.erase(early);
  }
  begin_call(flow, key, datagram.bytes);
}

core::Call Front::call() const {
  core::Call call;
  call.request_class = request_class_;
  call.expires_in = settings_.deadline;
  return call;
}

// The id that the client chose, which a Retry of a worker replaces in its later Initials.
core::Call Front::call_of(const Flow& flow) const {
  core::Call call = this->call();
  const ConnectionId& id = flow.original_destination ? *flow.original_destination : flow.first_destination;
  call.identity = net::nonzero_name_hash(id.view());
  return call;
}

// Adds a flow to the table and passes its call to the core.
void Front::begin_call(const std::shared_ptr<Flow>& flow, const FlowKey& key, std::string_view bytes) {
  if (!insert(flow, key)) return;
  flow->last_used = now_;
  flow->bytes_received = bytes.size();
  core::Exchange& exchange = dispatcher_.accept_call(call_of(*flow), *flow, *flow);
  if (!flow->refused() && !flow->finished) flow->exchange = &exchange;  // else it ended inside accept_call
}

// A datagram of a call without a reply from a worker yet. The client's address may have changed.
void Front::handle_pending(Flow& flow, const Datagram& datagram, std::string_view bytes) {
  flow.last_used = now_;
  if (!(flow.client == datagram.from)) {
    bool was_pending = flow.attempt_pending;
    if (was_pending) remove_pending_attempt(flow);
    flow.client = datagram.from;
    if (flow.path) {
      MARBLEHUB_INVARIANT("quic", !flow.path->indexed, "the path of a pending call is indexed by its client");
      flow.path->client = datagram.from;
    }
    if (was_pending) add_pending_attempt(flow);
  }
  if (flow.handshake_state) flow.handshake_state->delivery.add(bytes);
  const bool in_time = !flow.exchange || flow.exchange->within_repeat_window();
  if (flow.path && in_time) send_handshake_datagram(flow, bytes);
}

// Buffers 0-RTT that arrives before its Initial (RFC 9000, 5.2.2).
void Front::buffer_early_data(const Header& header, std::string_view bytes) {
  std::string key(flow_key(header.destination, header.source).view());
  auto it = early_data_.find(key);
  if (it == early_data_.end()) {
    if (early_data_.size() >= kMaxEarlyDataClients) return unknown_id_.add();
    it = early_data_.emplace(std::move(key), EarlyData{{}, now_}).first;
  }
  if (it->second.datagrams.size() < kMaxEarlyDatagrams) it->second.datagrams.emplace_back(bytes);
}

// A packet with the unroutable codepoint (QUIC-LB, 3.1) is routed by its client's address.
void Front::route_by_address(std::string_view bytes, const Datagram& datagram) {
  FlowKey key = address_key(datagram.from);
  if (auto known = flows_.find(key.view()); known != flows_.end()) {
    Flow& flow = *known->second;
    flow.last_used = now_;
    if (!flow.validated) flow.bytes_received += datagram.bytes.size();
    if (flow.finished) return;
    return handle_known(flow, datagram, bytes);
  }
  // Such a packet cannot be validated, so while Retry is required none begins a call.
  if (bytes.size() < kMinAddressRoutedPacket || !(bytes[0] & 0x40) || closed_ ||
      validation_.requires_retry() || flows_.size() >= settings_.max_calls)
    return unknown_id_.add();
  auto flow = std::make_shared<Flow>(*this, Header(), datagram.from);
  flow->routed_by_address = true;
  flow->handshake_state = std::make_unique<Flow::HandshakeState>();
  flow->handshake_state->delivery.add(bytes);
  begin_call(flow, key, bytes);
}

void Front::route_by_id(const IdCodec::Decoded& id, std::string_view bytes, const Datagram& datagram) {
  WorkerTable::Worker* worker = workers_.find_by_id(id);
  if (!worker) return unknown_id_.add();
  if (Flow* flow = find_linked(id.id); flow && flow->path) {
    flow->validated = true;
    return handle_known(*flow, datagram, bytes);
  }
  if (workers_.is_unreachable(*worker)) {
    send_stateless_reset(id.id, bytes, datagram.from);
    if (worker->deleted || !workers_.may_send(*worker, now_)) return;
  }
  Path* path = find_or_make_path(datagram.from, *worker);
  if (!path) return;
  touch(*path);
  path->last_id = id.id;
  if (path->flow) {  // the client uses another of its connection ids
    link_id(*path->flow, id.id);
    path->flow->last_used = now_;
  } else {
    if (path->client_datagrams < 255) path->client_datagrams += 1;
    if (path->client_datagrams >= 2 && path->worker_datagrams >= 2) adopt(*path);
  }
  send_to_worker(*path, bytes, datagram.ecn);
}

// Forwards a packet of an established connection, also from a new client address (RFC 9000, 9).
void Front::forward(Flow& flow, std::string_view bytes, const Datagram& datagram) {
  flow.last_used = now_;
  if (!flow.path) return;
  WorkerTable::Worker& worker = flow.path->worker;
  if (workers_.is_unreachable(worker)) {
    auto header = parse(bytes);  // never fails: the datagram was parsed before
    auto id = ids_.codec().decode(header->destination, header->type != PacketType::short_header);
    if (id) send_stateless_reset(id->id, bytes, datagram.from);
    fail_call(flow, core::Outcome::reset);
    if (worker.deleted || !workers_.may_send(worker, now_) || !flow.path) return;
  }
  if (!(flow.path->client == datagram.from)) {
    Path* path = find_or_make_path(datagram.from, worker);
    if (!path) return;
    if (path != flow.path) {
      address_changes_.add();
      attach(flow, *path);
    }
  }
  send_to_worker(*flow.path, bytes, datagram.ecn);
}

void Front::send_stateless_reset(std::string_view id, std::string_view bytes, const Endpoint& to) {
  // Also for handshake packets, whose client may already have the token (RFC 9000, 10.3).
  auto packet = reset_.answer(id, bytes.size(), now_);
  if (!packet) return;
  stateless_resets_.add();
  send_to_client(to, *packet);
}

void Front::send_to_client(const Endpoint& client, std::string_view bytes) {
  sent_.add();
  send_now(fd_.get(), "", bytes, &client);
}

}  // namespace marblehub::quic
