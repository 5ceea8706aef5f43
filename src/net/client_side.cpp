#include "net/client_side.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "log/log.h"

namespace marblehub::net {
namespace {

constexpr Time kAcceptPause = 50'000;
constexpr int kAcceptAtOnce = 16;         // then others have their turn
constexpr int kClientBuffer = 64 * 1024;  // the system's, for what a client sends faster than it is read
// A client that has not asked by then is let go, whatever it sends meanwhile: 3 s are allowed.
constexpr Time kRequestTimeout = 2'000'000;
constexpr std::int64_t kLongestWait = 3'600'000;  // milliseconds; a client says so with what is handed over
constexpr int kPings = 8;                         // on one connection; a checker needs one
// Clients that are looked at for one that gives way: as many as the loop takes from the system in one turn.
constexpr std::size_t kLookedAt = 64;

}  // namespace

Listener::Listener(Loop& loop, core::Dispatcher& dispatcher, core::WorkerSide& workers,
                   const sockaddr_in& address, DescriptorBudget& descriptors, metrics::Registry& metrics)
    : loop_(loop),
      dispatcher_(dispatcher),
      workers_(workers),
      descriptors_(descriptors),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      io_(loop, [this](int) { accept_some(); }),
      pause_(loop, [this] { io_.start(fd_.get(), EV_READ); }),
      accepted_(metrics.counter("marblehub_client_connections_total", "Client connections accepted")),
      full_(metrics.counter("marblehub_accept_pauses_total", "Pauses of accepting for want of descriptors")),
      malformed_(metrics.counter("marblehub_malformed_lines_total", "First lines that no client may send")),
      silent_(
          metrics.counter("marblehub_silent_clients_total", "Clients let go that had asked nothing in time")),
      evicted_(metrics.counter("marblehub_clients_gave_way_total",
                               "Clients that had asked nothing yet, closed to keep descriptors for others")),
      rejected_for_descriptors_(
          metrics.counter("marblehub_no_room_total", "Calls refused for want of a descriptor")),
      pings_(metrics.counter("marblehub_front_pings_total", "PING lines answered")),
      bytes_in_(metrics.counter("marblehub_client_bytes_received_total", "Bytes from clients")),
      bytes_out_(metrics.counter("marblehub_client_bytes_sent_total", "Bytes to clients")) {
  int on = 1;
  setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &kClientBuffer, sizeof kClientBuffer);
  if (::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd_.get(), 1024) != 0)
    throw ListenError(errno);
  io_.priority(-1);  // a crowd that connects must not hold up what is being served
  io_.start(fd_.get(), EV_READ);
}

Listener::~Listener() { links_.clear(); }

void Listener::accept_some() {
  for (int taken = 0; taken < kAcceptAtOnce && fd_; ++taken)
    if (!accept_one()) return;
}

bool Listener::accept_one() {
  if (!descriptors_.may_accept() && connection_pending() && !Stream::reclaim() && evict_one(0))
    Stream::reclaim();
  if (!descriptors_.may_accept()) {
    pause();
    return false;
  }
  Fd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd) {
    if (errno == EINTR || errno == ECONNABORTED) return true;
    bool short_of = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (!short_of || !connection_pending()) return false;  // no descriptor is told before nobody waits
    if (Stream::reclaim() || (evict_one(0) && Stream::reclaim())) return true;
    pause();
    return false;
  }
  accepted_.add();
  links_.push_back(std::make_unique<ClientLink>(*this, loop_));
  ClientLink& link = *links_.back();
  link.place_ = std::prev(links_.end());
  link.asking_place_ = asking_.insert(asking_.end(), &link);
  link.start(std::move(fd));
  free_descriptors(1);
  return true;
}

bool Listener::connection_pending() const {
  pollfd waiting{fd_.get(), POLLIN, 0};
  return ::poll(&waiting, 1, 0) > 0;
}

// Whoever has asked goes before those who only hold a descriptor, and of these the newest: a client that has
// something to ask does so at once. On accepting, the newest of all stays: its first line may come a moment
// after its connection, and nobody has come yet for whom it would have to give way. Those that give way
// linger after their answer, as long as nothing else needs the descriptor.
void Listener::free_descriptors(std::size_t staying) {
  while (descriptors_.is_low() && evict_one(staying)) {
  }
  while (descriptors_.exhausted() && Stream::reclaim()) {
  }
}

// The oldest that has sent nothing, and only then the oldest in the middle of its line. Not one of whom bytes
// lie unread: it may have asked already, and a close over unread bytes resets the connection, its answer with
// it. It is read in this turn.
bool Listener::evict_one(std::size_t staying) {
  ClientLink* chosen = nullptr;
  std::size_t candidates = std::min(kLookedAt, asking_.size() - std::min(staying, asking_.size()));
  for (auto at = asking_.begin(); candidates > 0; ++at, --candidates) {
    ClientLink& link = **at;
    if (link.stream_->has_unread()) continue;
    if (!chosen) chosen = &link;
    if (!link.in_.empty()) continue;
    chosen = &link;
    break;
  }
  if (chosen) chosen->evict();
  return chosen != nullptr;
}

// The socket stays readable while no descriptor is free: without a pause the loop would spin.
void Listener::pause() {
  full_.add();
  io_.stop();
  pause_.start(kAcceptPause);
}

void Listener::close() {
  if (!fd_) return;
  while (accept_one()) {
  }
  if (pause_.active() && connection_pending()) return;  // no descriptor was free for the next one
  pause_.stop();
  io_.stop();
  fd_.reset();
}

void Listener::turn_away_silent() {
  // Links that end meanwhile are only released later: they live until the next wait.
  const std::vector<ClientLink*> all(asking_.begin(), asking_.end());
  for (ClientLink* link : all) link->ask_now_or_leave();
}

void Listener::remove(ClientLink& link) {
  auto place = link.place_;
  loop_.defer_release(std::shared_ptr<ClientLink>(std::move(*place)));
  links_.erase(place);
}

ClientLink::ClientLink(Listener& listener, Loop& loop)
    : listener_(listener),
      from_stream_(*this),
      stream_(std::make_unique<Stream>(loop, from_stream_)),
      request_timeout_(loop, [this] { never_asked(); }) {}

ClientLink::~ClientLink() = default;

// What has come with the connection is read before others are taken in: one that has asked already must not
// be taken for one that only holds a descriptor.
void ClientLink::start(Fd fd) {
  request_timeout_.start(kRequestTimeout);
  stream_->adopt(std::move(fd));
  stream_->read_now();
}

// ---- From the socket -------------------------------------------------------------------------------

void ClientLink::received(std::string_view bytes) {
  listener_.bytes_in_.add(static_cast<double>(bytes.size()));
  if (standing_) return forward(bytes);
  // After its first line a client waits. One that says more has not understood its server, or sends what is
  // meant for several: a worker must never see it.
  if (asked_) return malformed();
  in_.append(bytes);
  first_lines();
}

void ClientLink::first_lines() {
  for (;;) {
    std::size_t end = in_.find('\n');
    if (std::min(end, in_.size()) >= kMaxLineBytes) return malformed();
    std::optional<std::string> line = take_line(in_);
    if (!line) return;
    if (*line != "PING") return ask(std::move(*line));
    if (!ping()) return malformed();
  }
}

// PINGs do not lengthen the time a client has to ask, and are not answered without end.
bool ClientLink::ping() {
  if (++pings_ > kPings) return false;
  listener_.pings_.add();
  say("PONG\r\n");
  return true;
}

void ClientLink::ask(std::string line) {
  core::Dispatcher& dispatcher = listener_.dispatcher_;
  std::optional<Opening> opening = parse_opening(line);
  int request_class = opening ? dispatcher.class_index(opening->request_class) : -1;
  if (request_class < 0 || !in_.empty()) return malformed();
  if (!opening->worker.empty() && !dispatcher.workers().count(std::string(opening->worker)))
    return malformed();
  std::string id(opening->id);
  if (!listener_.open_ids_.insert(id).second) return malformed();  // another client's
  id_ = std::move(id);
  stop_asking();
  asked_ = true;
  listener_.free_descriptors(0);
  if (listener_.descriptors_.exhausted()) {
    listener_.rejected_for_descriptors_.add();
    return say_and_close("BUSY\r\n");
  }
  log::debug("asked {}", line);  // the id and the key by which a client is followed over all balancers
  core::Call call;
  call.request_class = request_class;
  call.expires_in = std::min(opening->wait_ms, kLongestWait) * 1000;
  call.load_hint = opening->load_hint;
  call.returned = opening->again;
  call.group = opening->group.empty() ? 0 : nonzero_name_hash(opening->group);
  call.handover_worker = opening->worker;
  call.tenant = field(line, "t").value_or("");
  call.area = opening->group;
  call.front_data = std::move(line);
  exchange_ = &dispatcher.accept_call(std::move(call), *this, listener_.workers_);
  if (!stream_) exchange_ = nullptr;  // answered from within
}

void ClientLink::malformed() {
  listener_.malformed_.add();
  if (exchange_) exchange_->client_left(CloseKind::aborted);
  exchange_ = nullptr;
  say_and_close("ERR\r\n", Stream::turn_away);
}

// After a stall of the process the line may lie unread in the socket: timers come before sockets.
void ClientLink::never_asked() {
  stream_->read_now();
  if (!stream_ || asked_) return;
  listener_.silent_.add();
  end(Stream::drop);
}

void ClientLink::ask_now_or_leave() {
  if (stream_ && !asked_) stream_->read_now();  // its line may lie unread in the socket
  if (stream_ && !asked_) say_and_close("BUSY\r\n");
}

void ClientLink::evict() {
  listener_.evicted_.add();
  say_and_close("BUSY\r\n", Stream::turn_away);
}

void ClientLink::stop_asking() {
  request_timeout_.stop();
  listener_.asking_.erase(asking_place_);
}

void ClientLink::forward(std::string_view bytes) {
  core::StreamChunk chunk{bytes, 0, true};
  for (std::string_view rest = bytes; !rest.empty();) {
    LineTracker::Part part = lines_.next(rest);
    chunk.messages += part.ended;
    rest.remove_prefix(part.length);
  }
  chunk.at_boundary = lines_.between();
  if (exchange_) exchange_->client_sent(chunk);
}

void ClientLink::drained() {
  if (exchange_ && full_told_) {
    full_told_ = false;
    exchange_->client_blocked(false);
  }
}

void ClientLink::ended_by_peer(CloseKind ending) {
  if (exchange_) exchange_->client_left(ending);
  exchange_ = nullptr;
  close(ending);
}

// ---- From the exchange -----------------------------------------------------------------------------

void ClientLink::established(std::string_view receipt) {
  standing_ = true;
  say(receipt);
}

void ClientLink::overload_reply(Time pause) {
  exchange_ = nullptr;
  say_and_close(pause > 0 ? fmt::format("BUSY {}\r\n", (pause + 999) / 1000) : "BUSY\r\n");
}

void ClientLink::failed(std::string_view words) {
  exchange_ = nullptr;
  say_and_close(words.empty() ? "ERR\r\n" : words);
}

void ClientLink::deliver(std::string_view bytes) {
  if (!stream_) return;
  say(bytes);
  if (stream_->backlog() > kMaxBacklogBytes && !full_told_ && exchange_) {
    full_told_ = true;
    exchange_->client_blocked(true);
  }
}

void ClientLink::hold(bool on) {
  if (stream_) stream_->set_reading(!on);
}

// A worker that has stopped inside a line leaves the client there: MOVE stands on a line of its own.
void ClientLink::redirect() {
  exchange_ = nullptr;
  std::string_view line_end = last_said_ == '\n' ? "" : last_said_ == '\r' ? "\n" : "\r\n";
  say_and_close(std::string(line_end) + "MOVE\r\n");
}

void ClientLink::ended(CloseKind ending) {
  exchange_ = nullptr;
  close(ending);
}

void ClientLink::say(std::string_view bytes) {
  listener_.bytes_out_.add(static_cast<double>(bytes.size()));
  last_said_ = bytes.back();
  stream_->write(bytes);
}

void ClientLink::say_and_close(std::string_view line, void (*how)(std::unique_ptr<Stream>)) {
  if (!stream_) return;
  say(line);
  end(how);
}

void ClientLink::close(CloseKind ending) {
  end(ending == CloseKind::orderly ? Stream::finish : Stream::reset);
}

// The one place where a client's descriptor, its id and its place in the lists are given back.
void ClientLink::end(void (*how)(std::unique_ptr<Stream>)) {
  if (!stream_) return;
  if (asked_) {
    listener_.open_ids_.erase(id_);
  } else {
    stop_asking();
  }
  how(std::move(stream_));
  listener_.remove(*this);
}

}  // namespace marblehub::net
