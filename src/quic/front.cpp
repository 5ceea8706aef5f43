#include "quic/front.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

#include "log/log.h"
#include "quic/initial.h"

namespace marblehub::quic {

using core::CloseKind;

namespace {

constexpr int kBatches = 4;              // taken from clients before others have their turn
constexpr std::size_t kFlightBound = 8;  // datagrams of a client's first flight that are kept for a retry
constexpr std::size_t kEarlyBound = 64;  // clients whose 0-RTT came before their Initial, and of each
constexpr std::size_t kEarlyDatagrams = 4;
constexpr Time kEarlyKept = 500'000;
constexpr Time kSweep = 200'000;
constexpr Time kAnswerKept = 3'000'000;     // a client that repeats its Initial gets the same answer so long
constexpr std::size_t kShortestTuple = 43;  // of a packet without a worker's id that may begin a call

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
      io_(loop, [this](int) { receive(); }),
      sweep_(loop, [this] { sweep(); }),
      to_clients_(listen_.family()),
      in_(metrics.counter("marblehub_quic_datagrams_received_total", "Datagrams from QUIC clients")),
      out_(metrics.counter("marblehub_quic_datagrams_sent_total", "Datagrams to QUIC clients")),
      malformed_(metrics.counter("marblehub_quic_malformed_total", "Datagrams that are no QUIC")),
      unknown_id_(metrics.counter("marblehub_quic_unknown_ids_total",
                                  "Datagrams dropped because their connection id names no worker")),
      unknown_version_(metrics.counter("marblehub_quic_unknown_versions_total",
                                       "Datagrams of a version that no worker speaks")),
      full_(metrics.counter("marblehub_quic_table_full_total", "Datagrams dropped because a table was full")),
      lost_(metrics.counter("marblehub_quic_workers_lost_total", "Worker sockets found closed")),
      closes_(metrics.counter("marblehub_quic_closes_total", "Calls answered with CONNECTION_CLOSE")),
      new_addresses_(metrics.counter("marblehub_quic_address_changes_total",
                                     "Connections that went on from another address")),
      retries_(metrics.counter("marblehub_quic_retries_total", "Retry packets sent")),
      bad_tokens_(metrics.counter("marblehub_quic_bad_tokens_total",
                                  "Initials with a token of ours that was late, used or another client's")),
      resets_(metrics.counter("marblehub_quic_stateless_resets_total",
                              "Stateless resets sent in place of a worker that is gone")),
      dropped_(
          metrics.counter("marblehub_quic_send_drops_total", "Datagrams that the system would not take")),
      over_budget_(metrics.counter("marblehub_quic_amplification_stops_total",
                                   "Replies kept from an address that is not validated")),
      late_replies_(metrics.counter("marblehub_quic_late_replies_total",
                                    "Replies of workers to calls that had been given up")),
      adopted_(metrics.counter("marblehub_quic_adopted_total",
                               "Connections taken over from another router or an earlier start")),
      left_(metrics.counter("marblehub_quic_left_total", "Connections that went on through another router")),
      moves_(metrics.counter("marblehub_quic_move_requests_total", "Requests to workers to move a client")),
      calls_gauge_(metrics.gauge("marblehub_quic_flows", "Calls and connections in the table")),
      paths_gauge_(metrics.gauge("marblehub_quic_paths", "Client addresses with a path to a worker")),
      asking_gauge_(metrics.gauge("marblehub_quic_retry_on", "1 while clients are asked for a Retry")),
      retiring_gauge_(metrics.gauge("marblehub_quic_configs_retiring",
                                    "Id configurations that a reload took out and that still route")),
      closed_gauge_(metrics.gauge("marblehub_quic_workers_closed", "Workers whose port was found closed")),
      sockets_gauge_(metrics.gauge("marblehub_quic_sockets", "Descriptors held for sockets to workers")) {
  if (!listen_.is_specified()) throw ConfigError("quic: listen: expected an address and port");
  if (request_class_ < 0) throw ConfigError("quic: class: expected one of the settings' classes");
  if (!fd_) throw ConfigError("quic: cannot listen on " + settings_.listen);
  io_.start(fd_.get(), EV_READ);
  sweep_.start(kSweep);
}

// An attempt holds on to its flow: none may outlive the table.
Front::~Front() {
  for (auto& [key, flow] : flows_)
    if (core::Exchange* exchange = std::exchange(flow->exchange, nullptr))
      exchange->client_left(CloseKind::orderly);
}

void Front::close() { closed_ = true; }

std::vector<std::string> Front::reload(QuicSettings next) {
  if (std::string conflict = ids_.conflict(next.ids); !conflict.empty()) throw ConfigError(conflict);
  std::vector<std::string> names;
  for (const auto& [name, worker] : dispatcher_.workers())
    if (worker.health != marblehub::policy::Health::deleted) names.push_back(name);
  if (auto found = server_id_conflicts(next, names); !found.empty()) throw ConfigError(found[0]);
  std::vector<std::string> later = needs_restart(settings_, next);
  // From here on nothing fails.
  next.listen = settings_.listen;
  next.forwarding = settings_.forwarding;
  ids_.replace(next.ids, loop_.now(), next.retirement_period);
  // Tokens that are under way must go on counting: only another way or another key begins anew.
  const ValidationSettings &was = settings_.retry, &is = next.retry;
  if (was.mode != is.mode || was.secret != is.secret || was.from_rate != is.from_rate ||
      was.token_lifetime != is.token_lifetime || was.key_lifetime != is.key_lifetime)
    validation_ = AddressValidation(is);
  if (next.reset_key != settings_.reset_key || next.resets_per_second != settings_.resets_per_second)
    reset_ = StatelessReset(next.reset_key, next.resets_per_second);
  settings_ = std::move(next);
  stale_workers_ = true;
  return later;
}

// ---- Datagrams from clients ------------------------------------------------------------------------

void Front::receive() {
  now_ = loop_.now();
  for (int i = 0; i < kBatches; ++i) {
    auto status = receiver_.receive(fd_.get(), false, [this](const Datagram& d) { from_client(d); });
    flush();
    if (status != Receiver::Status::more) break;
  }
  now_ = 0;
}

void Front::from_client(const Datagram& datagram) {
  in_.add();
  const Endpoint& from = datagram.from;
  auto header = parse(datagram.bytes);
  if (!header || header->type == PacketType::version_negotiation || header->type == PacketType::retry)
    return malformed_.add();  // a client sends neither of these two
  refresh_workers();
  if (header->type == PacketType::short_header) {
    auto id = ids_.codec().decode(header->destination, false);
    if (id) return route(*id, datagram.bytes, datagram);
    if (unroutable(header->destination)) return by_tuple(datagram.bytes, datagram);
    return unknown_id_.add();
  }
  bool spoken = std::find(settings_.versions.begin(), settings_.versions.end(), header->version) !=
                settings_.versions.end();
  if (header->type == PacketType::unsupported_version || !spoken)
    return other_version(*header, datagram.bytes, from);
  std::string_view bytes = datagram.bytes.substr(0, same_connection_length(datagram.bytes, *header));
  auto known = flows_.find(flow_key(header->destination, header->source).view());
  if (known != flows_.end()) {
    Flow& flow = *known->second;
    flow.used = now_;
    if (!flow.validated) flow.octets_in += datagram.bytes.size();
    if (flow.refused()) {
      const std::string& closing = flow.beginning->closing;
      if (flow.may_answer(closing.size())) to_client(from, closing);
      return;
    }
    return flow.standing ? follow(flow, bytes, datagram) : waiting(flow, datagram, bytes);
  }
  if (Flow* flow = linked(header->destination)) {  // an id that its worker gave out
    flow->validated = true;                        // to know it, it has heard the worker
    return flow->standing ? follow(*flow, bytes, datagram) : waiting(*flow, datagram, bytes);
  }
  // An Initial whose id names a worker only by chance, or by design, has no claim to it: where a call goes,
  // and whether anything new goes to a worker that drains, is the module's to say.
  if (header->type == PacketType::initial) return initial(*header, datagram, bytes);
  if (header->type == PacketType::zero_rtt) return stash(*header, bytes);
  if (auto id = ids_.codec().decode(header->destination, true)) return route(*id, bytes, datagram);
  if (unroutable(header->destination)) return by_tuple(bytes, datagram);
  unknown_id_.add();
}

void Front::other_version(const Header& header, std::string_view bytes, const Endpoint& from) {
  unknown_version_.add();
  // Only a datagram that could begin a connection is answered: the answer is never longer than what came.
  if (bytes.size() >= kMinInitialDatagramSize)
    to_client(from, version_negotiation(header, settings_.versions));
}

void Front::initial(const Header& header, const Datagram& datagram, std::string_view sound) {
  const Endpoint& from = datagram.from;
  if (datagram.bytes.size() < kMinInitialDatagramSize ||
      header.destination.size() < kMinInitialDestinationIdLength || !header.fixed_bit)
    return malformed_.add();  // RFC 9000, 14.1 and 7.2
  if (closed_) return to_client(from, connection_close_packet(header, kConnectionRefused, "leaving"));
  AddressValidation::Decision decision = validation_.validate(header, from, now_);
  using Verdict = AddressValidation::Verdict;
  if (decision.verdict == Verdict::reject) {
    bad_tokens_.add();
    return to_client(from, connection_close_packet(header, kInvalidToken, "token"));
  }
  if (decision.verdict == Verdict::send_retry) {
    retries_.add();
    return to_client(from, validation_.make_retry(header, from, now_));
  }
  new_call(header, datagram, sound, decision.token);
}

void Front::new_call(const Header& header, const Datagram& datagram, std::string_view sound,
                     const std::optional<RetryToken>& token) {
  if (flows_.size() >= settings_.max_calls) {
    full_.add();
    return to_client(datagram.from, connection_close_packet(header, kConnectionRefused, "busy"));
  }
  auto flow = std::make_shared<Flow>(*this, header, datagram.from);
  if (token) {
    flow->original = std::make_unique<ConnectionId>(token->original_id);
    flow->validated = true;
  }
  flow->beginning = std::make_unique<Flow::Beginning>();
  flow->beginning->keys_from = flow->first_destination;
  flow->beginning->flight.emplace_back(sound);
  FlowKey key = flow_key(header.destination, header.source);
  if (auto early = early_.find(std::string(key.view())); early != early_.end()) {
    for (std::string& datagram : early->second.datagrams)
      flow->beginning->flight.push_back(std::move(datagram));
    early_.erase(early);
  }
  take(std::move(flow), key, datagram.bytes);
}

core::Call Front::call() const {
  core::Call call;
  call.request_class = request_class_;
  call.expires_in = settings_.deadline;
  return call;
}

// The one place where a call of this front begins.
void Front::take(std::shared_ptr<Flow> flow, FlowKey key, std::string_view bytes) {
  Flow* raw = flow.get();
  flows_.emplace(key, std::move(flow));
  raw->used = now_;
  raw->octets_in = bytes.size();
  core::Exchange& exchange = dispatcher_.accept_call(call(), *raw, *raw);
  if (!raw->refused() && !raw->done) raw->exchange = &exchange;  // else it was answered from within
}

// More of a call that no worker has replied to. The client may have another address by now.
void Front::waiting(Flow& flow, const Datagram& datagram, std::string_view bytes) {
  flow.used = now_;
  if (!(flow.client == datagram.from)) {
    bool trying = flow.trying;
    if (trying) stop_trying(flow);
    flow.client = datagram.from;
    if (flow.path) flow.path->client = datagram.from;
    if (trying) begin_trying(flow);
  }
  if (flow.beginning && flow.beginning->flight.size() < kFlightBound)
    flow.beginning->flight.emplace_back(bytes);
  if (flow.path) send_first(flow, bytes);
}

// 0-RTT that has overtaken its Initial (RFC 9000, 5.2.2) waits for it a moment.
void Front::stash(const Header& header, std::string_view bytes) {
  std::string key(flow_key(header.destination, header.source).view());
  auto it = early_.find(key);
  if (it == early_.end()) {
    if (early_.size() >= kEarlyBound) return unknown_id_.add();
    it = early_.emplace(std::move(key), Early{{}, now_}).first;
  }
  if (it->second.datagrams.size() < kEarlyDatagrams) it->second.datagrams.emplace_back(bytes);
}

// The unroutable codepoint (draft, 3.1): the id names no worker, so the client's address has to.
void Front::by_tuple(std::string_view bytes, const Datagram& datagram) {
  FlowKey key = tuple_key(datagram.from);
  if (auto known = flows_.find(key.view()); known != flows_.end()) {
    Flow& flow = *known->second;
    flow.used = now_;
    if (!flow.validated) flow.octets_in += datagram.bytes.size();
    if (flow.done) return;
    return flow.standing ? follow(flow, bytes, datagram) : waiting(flow, datagram, bytes);
  }
  // Nothing proves such a packet's address or that it belongs to anything: in a flood none is taken.
  if (bytes.size() < kShortestTuple || !(bytes[0] & 0x40) || closed_ || validation_.requires_retry() ||
      flows_.size() >= settings_.max_calls)
    return unknown_id_.add();
  auto flow = std::make_shared<Flow>(*this, Header(), datagram.from);
  flow->by_tuple = true;
  flow->beginning = std::make_unique<Flow::Beginning>();
  flow->beginning->flight.emplace_back(bytes);
  take(std::move(flow), key, bytes);
}

void Front::route(const IdCodec::Decoded& id, std::string_view bytes, const Datagram& datagram) {
  WorkerTable::Worker* worker = workers_.find_by_id(id);
  if (!worker) return unknown_id_.add();
  if (Flow* flow = linked(id.id); flow && flow->path) {
    flow->validated = true;
    return follow(*flow, bytes, datagram);
  }
  if (workers_.is_unreachable(*worker)) {
    reset_for(id.id, bytes, datagram.from);
    if (worker->deleted || !workers_.may_send(*worker, now_)) return;
  }
  Path* path = path_between(datagram.from, *worker);
  if (!path) return;
  touch(*path);
  path->last_id = id.id;
  if (path->flow) {  // the client took up another of its ids
    link(*path->flow, id.id);
    path->flow->used = now_;
  } else {
    if (path->from_client < 255) path->from_client += 1;
    if (path->from_client >= 2 && path->from_worker >= 2) adopt(*path);
  }
  send_to_worker(*path, bytes, datagram.ecn);
}

// A connection goes on from whatever address its client has now.
void Front::follow(Flow& flow, std::string_view bytes, const Datagram& datagram) {
  flow.used = now_;
  if (!flow.path) return;
  WorkerTable::Worker& worker = flow.path->worker;
  if (workers_.is_unreachable(worker)) {
    auto header = parse(bytes);  // it was one: it has been parsed before
    auto id = ids_.codec().decode(header->destination, header->type != PacketType::short_header);
    if (id) reset_for(id->id, bytes, datagram.from);
    lose(flow, core::Outcome::reset);
    if (worker.deleted || !workers_.may_send(worker, now_) || !flow.path) return;
  }
  if (!(flow.path->client == datagram.from)) {
    Path* path = path_between(datagram.from, worker);
    if (!path) return;
    if (path != flow.path) {
      new_addresses_.add();
      attach(flow, *path);
    }
  }
  send_to_worker(*flow.path, bytes, datagram.ecn);
}

void Front::reset_for(std::string_view id, std::string_view bytes, const Endpoint& to) {
  // Also for a handshake's packet (RFC 9000, 10.3): its client may have the token already.
  auto packet = reset_.answer(id, bytes.size(), now_);
  if (!packet) return;
  resets_.add();
  to_client(to, *packet);
}

void Front::to_client(const Endpoint& client, std::string_view bytes) {
  out_.add();
  send_now(fd_.get(), "", bytes, &client);
}

// ---- Lists and time --------------------------------------------------------------------------------

void Front::refresh_workers() {
  if (!stale_workers_ && workers_version_ == dispatcher_.list_version()) return;
  stale_workers_ = false;
  workers_version_ = dispatcher_.list_version();
  // A worker that is somewhere else now is spoken to there: its sockets to the old address go.
  for (WorkerTable::Worker* worker :
       workers_.refresh(dispatcher_.workers(), settings_, ids_.codec().configs())) {
    if (auto shared = shared_.find(worker); shared != shared_.end()) {
      std::erase(dirty_, shared->second.get());
      shared->second->close();
      loop_.defer_release(
          std::shared_ptr<Upstream>(std::move(shared->second)));  // what it received may have led here
      shared_.erase(shared);
    }
    std::vector<Path*> there;
    for (auto& [raw, path] : all_paths_)
      if (&path->worker == worker && path->own) there.push_back(raw);
    for (Path* path : there) {
      std::erase(dirty_, path->own.get());
      path->own->close();  // opened anew with the next datagram
    }
  }
}

void Front::sweep() {
  Time now = loop_.now();
  if (ids_.expire(now)) stale_workers_ = true;
  std::vector<std::shared_ptr<Flow>> over;
  for (auto& [key, flow] : flows_) {
    if (flow->moves_left > 0) flow->ask_to_move();
    bool answered = flow->refused() && now - flow->used > kAnswerKept;
    bool idle = flow->standing && now - flow->used > settings_.idle_timeout;
    if (answered || idle || flow->done) over.push_back(flow);
  }
  for (auto& flow : over) {
    if (core::Exchange* exchange = std::exchange(flow->exchange, nullptr))
      exchange->client_left(CloseKind::orderly);
    remove(*flow);
  }
  while (oldest_ && now - oldest_->used > settings_.idle_timeout) drop_path(*oldest_);
  std::erase_if(early_, [now](const auto& entry) { return now - entry.second.since > kEarlyKept; });
  calls_gauge_.set(static_cast<double>(flows_.size()));
  paths_gauge_.set(static_cast<double>(all_paths_.size()));
  asking_gauge_.set(validation_.requires_retry());
  retiring_gauge_.set(static_cast<double>(ids_.retiring()));
  auto closed = std::count_if(workers_.workers().begin(), workers_.workers().end(),
                              [](const auto& worker) { return worker->port_closed && !worker->deleted; });
  closed_gauge_.set(static_cast<double>(closed));
  sockets_gauge_.set(
      static_cast<double>(settings_.forwarding == Forwarding::socket ? all_paths_.size() : shared_.size()));
  sweep_.start(kSweep);
}

}  // namespace marblehub::quic
