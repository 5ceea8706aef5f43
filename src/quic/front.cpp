#include "quic/front.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <stdexcept>

#include "log/log.h"
#include "net/stream.h"
#include "quic/initial.h"

namespace marblehub::quic {

using core::Ending;
using core::Outcome;

namespace {

constexpr std::size_t kDatagram = 65536;
constexpr int kAtOnce = 64;              // datagrams taken before others have their turn
constexpr std::size_t kFlightBound = 8;  // datagrams of a client's first flight that are kept for a retry
constexpr std::size_t kLinksBound = 8;   // connection ids remembered for one connection
constexpr Time kSweep = 200'000;
constexpr Time kAnswerKept = 3'000'000;  // a client that repeats its Initial gets the same answer so long
constexpr int kMoveRepeats = 5;

// Control messages between the router and a worker share the workers' sockets. No QUIC packet and no other
// protocol that RFC 9443 tells apart by its first octet begins like this.
constexpr std::string_view kControl = "\x04MARBLE1 ";

std::string key_of(const sockaddr_in& address) {
  return std::string(reinterpret_cast<const char*>(&address.sin_addr), sizeof address.sin_addr) +
         std::string(reinterpret_cast<const char*>(&address.sin_port), sizeof address.sin_port);
}

}  // namespace

// One client address to one worker: a socket of its own, so that the worker's replies name their client and
// a client that changes its address is a new peer to the worker, as it would be without a router.
class Path {
 public:
  Path(Front& front, const sockaddr_in& client, std::string worker)
      : front_(front),
        client(client),
        worker(std::move(worker)),
        io_(front.loop_, [this](int) { receive(); }) {}

  bool open(const sockaddr_in& to) {
    fd_ = net::Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd_ || ::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) return false;
    io_.start(fd_.get(), EV_READ);
    return true;
  }
  void close() {
    io_.stop();
    fd_.reset();
    flow = nullptr;
  }
  void send(std::string_view bytes) {
    used = front_.loop_.now();
    if (fd_) ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);  // a loss is for QUIC to mend
  }

  Front& front_;
  sockaddr_in client;
  const std::string worker;
  Flow* flow = nullptr;  // the call or connection that it carries, where known
  Time used = 0;
  std::optional<std::pair<std::string, std::string>> place;  // in the table by client and worker

 private:
  void receive() {
    static char buffer[kDatagram];
    for (int i = 0; i < kAtOnce && fd_; ++i) {
      ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
      if (n < 0 && errno == ECONNREFUSED) return front_.worker_lost(*this);
      if (n < 0) return;
      used = front_.loop_.now();
      front_.from_worker(*this, std::string_view(buffer, static_cast<std::size_t>(n)));
    }
  }

  net::Fd fd_;
  net::IoWatch io_;
};

// A call from its first Initial, and the connection that came of it. It is both sides' front to the exchange.
class Flow final : public core::ClientSide, public core::WorkerSide {
 public:
  Flow(Front& front, std::string key, const Header& header, const sockaddr_in& from)
      : front_(front),
        key(std::move(key)),
        first_destination(header.destination),
        client_source(header.source),
        client(from) {}

  // ---- The client's side.
  void established(std::string_view receipt) override {
    standing = true;
    flight.clear();
    front_.to_client(client, receipt);
  }
  void overload_reply(Time pause) override {
    answer(pause > 0 ? fmt::format("busy, come again after {} ms", (pause + 999) / 1000) : "busy");
  }
  void failed(std::string_view) override { answer("failed"); }
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  // Only the worker can move its client: the connection is its own. It is asked until it says END.
  void redirect() override {
    exchange = nullptr;
    moves_left = kMoveRepeats;
    ask_to_move();
  }
  void ended(Ending) override {
    exchange = nullptr;
    done = true;
  }

  // ---- The worker's side.
  std::unique_ptr<core::Delegation> delegate(core::Exchange& to, const std::string& worker,
                                             const std::string& address, Time wait) override;

  void ask_to_move() {
    if (moves_left-- > 0 && path) path->send(std::string(kControl) + "MOVE " + hex(first_destination));
  }

  Front& front_;
  const std::string key, first_destination, client_source;
  sockaddr_in client;
  core::Exchange* exchange = nullptr;
  std::shared_ptr<Path> path;  // to the worker that holds it, or that is being tried
  std::deque<std::string> flight, links;
  std::string closing;  // the answer to a call that was not established
  bool standing = false, done = false;
  int moves_left = 0;
  Time used = 0;

 private:
  void answer(std::string_view reason) {
    exchange = nullptr;
    Header header;
    header.destination = first_destination;
    header.source = client_source;
    closing = close_initial(header, kConnectionRefused, reason);
    used = front_.loop_.now();
    front_.closes_.add();
    front_.to_client(client, closing);
  }
};

// One delegation over QUIC. Until the worker's first reply it owns its path; then the path goes on by itself.
class Attempt final : public core::Delegation {
 public:
  Attempt(Flow& flow, core::Exchange& exchange)
      : flow_(flow), exchange_(exchange), failed_(flow.front_.loop_, [this] {
          exchange_.worker_ended(failure_, Ending::broken);  // this ends with it
        }) {}
  ~Attempt() override {
    if (flow_.standing || !flow_.path) return;
    flow_.front_.drop_path(flow_.path);
    flow_.path.reset();
  }
  void fail(Outcome why) {
    failure_ = why;
    failed_.start(0);
  }
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void finish(Ending) override {}

 private:
  Flow& flow_;
  core::Exchange& exchange_;
  net::TimerWatch failed_;
  Outcome failure_ = Outcome::connect_failed;
};

std::unique_ptr<core::Delegation> Flow::delegate(core::Exchange& to, const std::string& worker,
                                                 const std::string&, Time) {
  auto attempt = std::make_unique<Attempt>(*this, to);
  path = front_.make_path(client, worker);
  if (!path) {
    // Our own want of a descriptor or of room in the table says nothing of the worker.
    bool known = net::parse_address(front_.address_of(worker)).has_value();
    attempt->fail(known ? Outcome::not_sent : Outcome::connect_failed);
    return attempt;
  }
  path->flow = this;
  for (const std::string& datagram : flight) path->send(datagram);
  return attempt;
}

// ---- Datagrams from clients ------------------------------------------------------------------------

Front::Front(net::Loop& loop, core::Dispatcher& dispatcher, QuicSettings settings, net::Room& room,
             metrics::Registry& metrics)
    : loop_(loop),
      dispatcher_(dispatcher),
      settings_(std::move(settings)),
      codec_(settings_.ids),
      request_class_(dispatcher.class_named(settings_.request_class)),
      room_(room),
      fd_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      io_(loop, [this](int) { receive(); }),
      sweep_(loop, [this] { sweep(); }),
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
      calls_gauge_(metrics.gauge("marblehub_quic_flows", "Calls and connections in the table")),
      paths_gauge_(metrics.gauge("marblehub_quic_paths", "Client addresses with a socket to a worker")) {
  auto address = net::parse_address(settings_.listen);
  if (!address) throw std::runtime_error("quic: listen: expected an address a.b.c.d:port");
  if (request_class_ < 0) throw std::runtime_error("quic: class: expected one of the settings' classes");
  if (::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0)
    throw std::runtime_error("quic: cannot listen on " + settings_.listen);
  io_.start(fd_.get(), EV_READ);
  sweep_.start(kSweep);
}

// A delegation holds on to its flow: none may outlive the table.
Front::~Front() {
  for (auto& [key, flow] : flows_)
    if (core::Exchange* exchange = std::exchange(flow->exchange, nullptr))
      exchange->client_left(Ending::finished);
}

void Front::close() { closed_ = true; }

void Front::receive() {
  static char buffer[kDatagram];
  for (int i = 0; i < kAtOnce; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    ssize_t n = ::recvfrom(fd_.get(), buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0) return;
    in_.add();
    datagram(std::string_view(buffer, static_cast<std::size_t>(n)), from);
  }
}

void Front::datagram(std::string_view bytes, const sockaddr_in& from) {
  auto header = parse(bytes);
  if (!header || header->kind == Kind::negotiation || header->kind == Kind::retry) {
    malformed_.add();  // a client sends neither of these two
    return;
  }
  if (header->kind == Kind::other_version) {
    unknown_version_.add();
    // Only a datagram that could begin a connection is answered: the answer is never longer than what came.
    if (bytes.size() >= kSmallestInitial) to_client(from, version_negotiation(*header, {kVersion1}));
    return;
  }
  if (header->kind == Kind::short_header) {
    auto id = codec_.decode(header->destination, false);
    if (!id) return unknown_id_.add();
    return route(*id, bytes, from);
  }
  auto flow = flows_.find(std::string(header->destination) + '/' + std::string(header->source));
  if (flow != flows_.end()) {
    Flow& f = *flow->second;
    f.used = loop_.now();
    if (!f.closing.empty()) return to_client(from, f.closing);
    if (f.standing) return follow(f, from, bytes);
    f.client = from;  // it may change its address before the worker's first reply
    if (f.path) f.path->client = from;
    if (f.flight.size() < kFlightBound) f.flight.emplace_back(bytes);
    if (f.path) f.path->send(bytes);
    return;
  }
  if (auto id = codec_.decode(header->destination, true); id && worker_of(*id))
    return route(*id, bytes, from);
  if (header->kind != Kind::initial) return unknown_id_.add();
  new_client(*header, bytes, from);
}

void Front::new_client(const Header& header, std::string_view bytes, const sockaddr_in& from) {
  if (bytes.size() < kSmallestInitial || header.destination.size() < kShortestFirstId)
    return malformed_.add();  // RFC 9000, 14.1 and 7.2
  if (closed_) return;
  if (flows_.size() >= settings_.calls) {
    full_.add();
    return to_client(from, close_initial(header, kConnectionRefused, "busy"));
  }
  std::string key = std::string(header.destination) + '/' + std::string(header.source);
  auto flow = std::make_shared<Flow>(*this, key, header, from);
  flows_.emplace(key, flow);
  flow->used = loop_.now();
  flow->flight.emplace_back(bytes);
  core::Call call;
  call.request_class = request_class_;
  call.expires_in = settings_.deadline;
  core::Exchange& exchange = dispatcher_.take(std::move(call), *flow, *flow);
  if (flow->closing.empty()) flow->exchange = &exchange;  // else it was answered from within
}

void Front::route(const IdCodec::Decoded& id, std::string_view bytes, const sockaddr_in& from) {
  const std::string* worker = worker_of(id);
  if (!worker) return unknown_id_.add();
  if (auto linked = links_.find(std::string(id.id)); linked != links_.end() && linked->second->path)
    return follow(*linked->second, from, bytes);
  std::shared_ptr<Path> path = path_between(from, *worker);
  if (!path) return;
  if (path->flow) {  // the client took up another of its ids
    link(*path->flow, id.id);
    path->flow->used = loop_.now();
  }
  path->send(bytes);
}

// A connection goes on from whatever address its client has now.
void Front::follow(Flow& flow, const sockaddr_in& from, std::string_view bytes) {
  flow.used = loop_.now();
  if (key_of(flow.path->client) != key_of(from)) {
    std::shared_ptr<Path> path = path_between(from, flow.path->worker);
    if (!path) return;
    if (path != flow.path) {
      new_addresses_.add();
      attach(flow, path);
    }
  }
  flow.path->send(bytes);
}

// ---- Datagrams from workers ------------------------------------------------------------------------

void Front::from_worker(Path& path, std::string_view bytes) {
  if (bytes.starts_with(kControl)) return control(path, bytes.substr(kControl.size()));
  Flow* flow = path.flow;
  auto header = parse(bytes);
  if (flow) flow->used = loop_.now();
  if (flow && header && header->kind != Kind::short_header && header->kind != Kind::negotiation &&
      codec_.decode(header->source, true))
    link(*flow, header->source);
  if (!flow || flow->standing) return to_client(path.client, bytes);
  if (!flow->exchange) return;
  flow->path->client = flow->client;
  flow->standing = true;
  register_path(flow->path);
  flow->exchange->worker_up(bytes);
}

void Front::control(Path& path, std::string_view words) {
  std::size_t space = words.find(' ');
  std::string_view verb = words.substr(0, space);
  std::string_view rest = space == std::string_view::npos ? "" : words.substr(space + 1);
  std::string_view first = rest.substr(0, rest.find(' '));
  Flow* flow = path.flow;
  if (!flow || unhex(first) != flow->first_destination) return malformed_.add();
  if (verb == "BUSY" && !flow->standing && flow->exchange) {
    flow->exchange->worker_ended(Outcome::full, Ending::finished);
  } else if (verb == "LINK" && flow->standing && rest.size() > first.size()) {
    auto id = unhex(rest.substr(first.size() + 1));
    if (id && codec_.decode(*id, true)) link(*flow, *id);
  } else if (verb == "END" && flow->standing) {
    if (flow->exchange) flow->exchange->worker_ended(Outcome::served, Ending::finished);
    flow->done = true;
  } else {
    malformed_.add();
  }
}

void Front::worker_lost(Path& path) {
  lost_.add();
  Flow* flow = path.flow;
  if (!flow || !flow->exchange || flow->path.get() != &path) return;
  // Refused before any reply: the worker has not seen it. After that it took the connection along.
  flow->exchange->worker_ended(flow->standing ? Outcome::reset : Outcome::connect_failed, Ending::broken);
}

void Front::to_client(const sockaddr_in& client, std::string_view bytes) {
  out_.add();
  ::sendto(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&client),
           sizeof client);
}

// ---- Tables ----------------------------------------------------------------------------------------

std::shared_ptr<Path> Front::make_path(const sockaddr_in& client, const std::string& worker) {
  auto to = net::parse_address(address_of(worker));
  bool full = all_paths_.size() >= settings_.paths;
  if (full || room_.scarce()) {  // the one that has been of no use for longest makes room
    std::shared_ptr<Path> oldest;
    for (auto& [raw, path] : all_paths_)
      if (!path->flow && (!oldest || path->used < oldest->used)) oldest = path;
    if (oldest) drop_path(oldest);
    if (!oldest && (full || room_.none())) {
      full_.add();
      return nullptr;
    }
  }
  auto path = std::make_shared<Path>(*this, client, worker);
  if (!to || !path->open(*to)) return nullptr;
  path->used = loop_.now();
  all_paths_[path.get()] = path;
  return path;
}

std::shared_ptr<Path> Front::path_between(const sockaddr_in& client, const std::string& worker) {
  auto known = paths_.find({key_of(client), worker});
  if (known != paths_.end()) return known->second;
  std::shared_ptr<Path> path = make_path(client, worker);
  if (path) register_path(path);
  return path;
}

void Front::register_path(const std::shared_ptr<Path>& path) {
  std::pair place{key_of(path->client), path->worker};
  if (paths_.try_emplace(place, path).second) path->place = place;
}

// The one place where a path's descriptor is given back.
void Front::drop_path(const std::shared_ptr<Path>& path) {
  auto held = path;
  held->close();
  all_paths_.erase(held.get());
  if (held->place) paths_.erase(*held->place);
  loop_.bury(held);  // its own receive may be what led here
}

void Front::attach(Flow& flow, const std::shared_ptr<Path>& path) {
  if (flow.path)
    flow.path->flow = nullptr;  // the old one still carries what is under way, until it falls idle
  flow.path = path;
  flow.client = path->client;
  path->flow = &flow;
}

void Front::link(Flow& flow, std::string_view id) {
  auto [it, fresh] = links_.try_emplace(std::string(id), &flow);
  if (!fresh) return;
  flow.links.emplace_back(id);
  if (flow.links.size() <= kLinksBound) return;
  links_.erase(flow.links.front());
  flow.links.pop_front();
}

void Front::remove(Flow& flow) {
  for (const std::string& id : flow.links) links_.erase(id);
  if (flow.path && flow.path->flow == &flow) flow.path->flow = nullptr;
  auto it = flows_.find(flow.key);
  flow.path.reset();
  loop_.bury(it->second);
  flows_.erase(it);
}

void Front::refresh_workers() {
  if (workers_version_ == dispatcher_.list_version()) return;
  workers_version_ = dispatcher_.list_version();
  workers_.clear();
  for (const auto& [name, worker] : dispatcher_.workers()) {
    if (worker.health == lemonspread::Health::deleted) continue;  // one that drains is still reached
    for (const IdConfig& config : codec_.configs()) {
      auto own = settings_.workers.find(name);
      bool given = own != settings_.workers.end() && own->second.server_id.size() == config.server_id_length;
      std::string id = given ? own->second.server_id : default_server_id(name, config.server_id_length);
      auto [it, fresh] = workers_.try_emplace({config.rotation, id}, name);
      if (!fresh && it->second != name) {
        log::error("quic: {} and {} have the same server id: neither is routed to", it->second, name);
        it->second.clear();
      }
    }
  }
}

const std::string* Front::worker_of(const IdCodec::Decoded& id) {
  refresh_workers();
  auto it = workers_.find({id.rotation, id.server_id});
  return it == workers_.end() || it->second.empty() ? nullptr : &it->second;
}

std::string Front::address_of(const std::string& worker) const {
  auto own = settings_.workers.find(worker);
  if (own != settings_.workers.end() && !own->second.address.empty()) return own->second.address;
  auto it = dispatcher_.workers().find(worker);
  return it == dispatcher_.workers().end() ? "" : it->second.address;
}

void Front::sweep() {
  Time now = loop_.now();
  std::vector<std::shared_ptr<Flow>> over;
  for (auto& [key, flow] : flows_) {
    if (flow->moves_left > 0) flow->ask_to_move();
    bool answered = !flow->closing.empty() && now - flow->used > kAnswerKept;
    bool idle = flow->standing && now - flow->used > settings_.idle;
    if (answered || idle || flow->done) over.push_back(flow);
  }
  for (auto& flow : over) {
    if (core::Exchange* exchange = std::exchange(flow->exchange, nullptr))
      exchange->client_left(Ending::finished);
    remove(*flow);
  }
  std::vector<std::shared_ptr<Path>> idle;
  for (auto& [raw, path] : all_paths_)
    if (!path->flow && now - path->used > settings_.idle) idle.push_back(path);
  for (auto& path : idle) drop_path(path);
  calls_gauge_.set(static_cast<double>(flows_.size()));
  paths_gauge_.set(static_cast<double>(all_paths_.size()));
  sweep_.start(kSweep);
}

}  // namespace marblehub::quic
