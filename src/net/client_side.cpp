#include "net/client_side.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "check/check.h"
#include "log/log.h"

namespace marblehub::net {
namespace {

constexpr Time kAcceptPause = 50'000;
constexpr int kMaxAcceptsPerEvent = 16;        // then other watchers run
constexpr int kReceiveBufferSize = 64 * 1024;  // SO_RCVBUF, for a client that sends faster than it is read
// A client that has sent no request by then is closed, whatever it has sent. The protocol allows 3 s.
constexpr Time kRequestTimeout = 2'000'000;
constexpr std::int64_t kMaxWaitMs = 3'600'000;  // bounds the wait that a client requests
constexpr int kMaxPings = 8;                    // on one connection; a health checker needs one
// Clients considered for eviction: as many as libev takes events from the system in one iteration.
constexpr std::size_t kMaxEvictionCandidates = 64;

}  // namespace

Listener::Listener(Loop& loop, core::Dispatcher& dispatcher, core::WorkerSide& workers,
                   const sockaddr_in& address, DescriptorBudget& descriptors, metrics::Registry& metrics)
    : loop_(loop),
      dispatcher_(dispatcher),
      workers_(workers),
      descriptors_(descriptors),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      io_(loop, [this](int) { accept_some(); }),
      pause_timer_(loop, [this] { io_.start(fd_.get(), EV_READ); }),
      accepted_(metrics.counter("marblehub_client_connections_total", "Client connections accepted")),
      accept_pauses_(
          metrics.counter("marblehub_accept_pauses_total", "Pauses of accepting for want of descriptors")),
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
  setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferSize, sizeof kReceiveBufferSize);
  if (::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd_.get(), 1024) != 0)
    throw ListenError(errno);
  io_.priority(-1);  // a burst of connects must not delay established calls
  io_.start(fd_.get(), EV_READ);
}

Listener::~Listener() { links_.clear(); }

void Listener::accept_some() {
  for (int accepted = 0; accepted < kMaxAcceptsPerEvent && fd_; ++accepted)
    if (!accept_one()) return;
}

bool Listener::accept_one() {
  if (!descriptors_.may_accept() && connection_pending() && !Stream::reclaim() && evict_client(0))
    Stream::reclaim();
  if (!descriptors_.may_accept()) {
    pause();
    return false;
  }
  Fd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd) {
    if (errno == EINTR || errno == ECONNABORTED) return true;
    bool out_of_resources = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (!out_of_resources || !connection_pending())
      return false;  // EMFILE is also reported while the queue is empty
    if (Stream::reclaim() || (evict_client(0) && Stream::reclaim())) return true;
    pause();
    return false;
  }
  accepted_.add();
  links_.push_back(std::make_unique<ClientLink>(*this, loop_));
  ClientLink& link = *links_.back();
  link.position_ = std::prev(links_.end());
  link.awaiting_position_ = awaiting_request_.insert(awaiting_request_.end(), &link);
  link.start(std::move(fd));
  free_descriptors(1);
  return true;
}

bool Listener::connection_pending() const {
  pollfd listening{fd_.get(), POLLIN, 0};
  return ::poll(&listening, 1, 0) > 0;
}

// Evicts clients that have sent no request, the oldest first, until descriptors suffice. The `exempt` newest
// clients stay: the first line of a client just accepted may follow shortly. Evicted clients linger after
// their answer as long as nothing else needs the descriptor.
void Listener::free_descriptors(std::size_t exempt) {
  while (descriptors_.is_low() && evict_client(exempt)) {
  }
  while (descriptors_.exhausted() && Stream::reclaim()) {
  }
}

// Evicts the oldest client that has sent nothing, or else the oldest with an incomplete line. Clients with
// unread input are skipped: it may hold their request, and closing over unread bytes would reset the
// connection before the answer is read. They are read in this iteration.
bool Listener::evict_client(std::size_t exempt) {
  ClientLink* victim = nullptr;
  std::size_t candidates =
      std::min(kMaxEvictionCandidates, awaiting_request_.size() - std::min(exempt, awaiting_request_.size()));
  for (auto at = awaiting_request_.begin(); candidates > 0; ++at, --candidates) {
    ClientLink& link = **at;
    if (link.stream_->has_unread_input()) continue;
    if (!victim) victim = &link;
    if (!link.input_.empty()) continue;
    victim = &link;
    break;
  }
  if (victim) victim->evict();
  return victim != nullptr;
}

// The socket stays readable while no descriptor is free: without a pause the loop would spin.
void Listener::pause() {
  accept_pauses_.add();
  io_.stop();
  pause_timer_.start(kAcceptPause);
}

void Listener::close() {
  if (!fd_) return;
  while (accept_one()) {
  }
  if (pause_timer_.active() && connection_pending()) return;  // no descriptor was free for the next one
  pause_timer_.stop();
  io_.stop();
  fd_.reset();
}

void Listener::set_ready() {
  ready_ = true;
  // Links that end in this loop are released before the next wait, so the pointers stay valid.
  const std::vector<ClientLink*> all(awaiting_request_.begin(), awaiting_request_.end());
  for (ClientLink* link : all) link->answer_pings();
}

void Listener::close_silent_clients() {
  // Links that end in this loop are released before the next wait, so the pointers stay valid.
  const std::vector<ClientLink*> all(awaiting_request_.begin(), awaiting_request_.end());
  for (ClientLink* link : all) link->read_request_or_close();
}

void Listener::remove(ClientLink& link) {
  auto position = link.position_;
  loop_.defer_release(std::shared_ptr<ClientLink>(std::move(*position)));
  links_.erase(position);
}

ClientLink::ClientLink(Listener& listener, Loop& loop)
    : listener_(listener),
      stream_handler_(*this),
      stream_(std::make_unique<Stream>(loop, stream_handler_)),
      request_timeout_(loop, [this] { on_request_timeout(); }) {}

ClientLink::~ClientLink() = default;

// Reads the request that may have arrived with the connection before further clients are accepted, so that
// the client is not evicted as idle.
void ClientLink::start(Fd fd) {
  request_timeout_.start(kRequestTimeout);
  stream_->adopt(std::move(fd));
  stream_->read_now();
}

// ---- Events of the stream -----------------------------------------------------------------------

void ClientLink::received(std::string_view bytes) {
  listener_.bytes_in_.add(static_cast<double>(bytes.size()));
  if (established_) return forward(bytes);
  // A client must wait for the answer to its request. Further input is an error and must not reach a worker.
  if (request_received_) return malformed();
  input_.append(bytes);
  read_request_lines();
}

void ClientLink::read_request_lines() {
  for (;;) {
    std::size_t end = input_.find('\n');
    if (std::min(end, input_.size()) >= kMaxLineBytes) return malformed();
    std::optional<std::string> line = take_line(input_);
    if (!line) return;
    if (*line != "PING") return handle_request(std::move(*line));
    if (!accept_ping()) return malformed();
  }
}

// PINGs do not extend the request timeout, and their number is bounded.
bool ClientLink::accept_ping() {
  if (++pings_ > kMaxPings) return false;
  listener_.pings_.add();
  unanswered_pings_ += 1;
  if (listener_.ready_) answer_pings();
  return true;
}

void ClientLink::answer_pings() {
  for (; unanswered_pings_ > 0 && stream_; --unanswered_pings_) send_line("PONG\r\n");
}

void ClientLink::handle_request(std::string line) {
  core::Dispatcher& dispatcher = listener_.dispatcher_;
  std::optional<Opening> opening = parse_opening(line);
  int request_class = opening ? dispatcher.class_index(opening->request_class) : -1;
  if (request_class < 0 || !input_.empty()) return malformed();
  std::string id(opening->id);
  if (!listener_.open_ids_.insert(id).second)
    return malformed();  // the id belongs to another client's open call
  id_ = std::move(id);
  answer_pings();
  stop_awaiting_request();
  request_received_ = true;
  listener_.free_descriptors(0);
  if (listener_.descriptors_.exhausted()) {
    listener_.rejected_for_descriptors_.add();
    return send_and_close("BUSY\r\n");
  }
  log::debug("asked {}", line);  // id and key identify the client in the logs of all balancers
  core::Call call;
  call.request_class = request_class;
  call.identity = nonzero_name_hash(id_);
  call.expires_in = std::min(opening->wait_ms, kMaxWaitMs) * 1000;
  call.load_hint = opening->load_hint;
  call.returned = opening->returning;
  call.group = opening->group.empty() ? 0 : nonzero_name_hash(opening->group);
  call.handover_worker = opening->worker;
  call.tenant = field(line, "t").value_or("");
  call.area = opening->group;
  call.front_data = std::move(line);
  exchange_ = &dispatcher.accept_call(std::move(call), *this, listener_.workers_);
  if (!stream_) exchange_ = nullptr;  // the call was answered within accept_call
}

void ClientLink::malformed() {
  listener_.malformed_.add();
  if (exchange_) exchange_->client_left(CloseKind::aborted);
  exchange_ = nullptr;
  send_and_close("ERR\r\n", Stream::finish_briefly);
}

// After a stall of the process the request may be unread in the socket.
void ClientLink::on_request_timeout() {
  stream_->read_now();
  if (!stream_ || request_received_) return;
  if (unanswered_pings_ > 0) return request_timeout_.start(kRequestTimeout);  // it waits for this balancer
  listener_.silent_.add();
  end(Stream::drop);
}

void ClientLink::read_request_or_close() {
  if (stream_ && !request_received_) stream_->read_now();  // the request may be unread in the socket
  if (stream_ && !request_received_) send_and_close("BUSY\r\n");
}

void ClientLink::evict() {
  listener_.evicted_.add();
  send_and_close("BUSY\r\n", Stream::finish_briefly);
}

void ClientLink::stop_awaiting_request() {
  request_timeout_.stop();
  listener_.awaiting_request_.erase(awaiting_position_);
}

void ClientLink::forward(std::string_view bytes) {
  std::string_view lines = lines_.add(bytes);
  if (lines.empty() || !exchange_) return;
  auto count = static_cast<int>(std::count(lines.begin(), lines.end(), '\n'));
  exchange_->client_sent({lines, count, lines_.at_line_start()});
}

void ClientLink::drained() {
  if (exchange_ && blocked_reported_) {
    blocked_reported_ = false;
    exchange_->client_blocked(false);
  }
}

// A client that ends inside a line: its worker gets the part as it came, and then the same end.
void ClientLink::ended_by_peer(CloseKind ending) {
  std::string rest = lines_.take_rest();
  if (!rest.empty() && exchange_) exchange_->client_sent({rest, 0, false});
  if (exchange_) exchange_->client_left(ending);
  exchange_ = nullptr;
  close(ending);
}

// ---- core::ClientSide, called by the exchange ---------------------------------------------------

void ClientLink::established(std::string_view receipt) {
  established_ = true;
  send_bytes(receipt);
}

void ClientLink::overload_reply(Time pause) {
  exchange_ = nullptr;
  send_and_close(pause > 0 ? fmt::format("BUSY {}\r\n", (pause + 999) / 1000) : "BUSY\r\n");
}

void ClientLink::failed(std::string_view reply) {
  exchange_ = nullptr;
  send_and_close(reply.empty() ? "ERR\r\n" : reply);
}

void ClientLink::deliver(std::string_view bytes) {
  if (!stream_) return;
  send_bytes(bytes);
  if (stream_->backlog() > kMaxBacklogBytes && !blocked_reported_ && exchange_) {
    blocked_reported_ = true;
    exchange_->client_blocked(true);
  }
}

void ClientLink::hold(bool on) {
  if (stream_) stream_->set_reading(!on);
}

// Inside an overlong line MOVE would become a part of it, and a line end would turn a part of the line into a
// whole one: such a client is cut off.
void ClientLink::redirect() {
  exchange_ = nullptr;
  if (last_byte_sent_ != '\n') return close(CloseKind::aborted);
  send_and_close("MOVE\r\n");
}

void ClientLink::ended(CloseKind ending) {
  exchange_ = nullptr;
  close(ending);
}

// Sends a line of the balancer's own. It must not become a part of a worker's line, nor the end of one.
void ClientLink::send_line(std::string_view line) {
  MARBLEHUB_INVARIANT("net", last_byte_sent_ == '\n', "a line of the balancer inside one of the worker");
  send_bytes(line);
}

void ClientLink::send_bytes(std::string_view bytes) {
  listener_.bytes_out_.add(static_cast<double>(bytes.size()));
  last_byte_sent_ = bytes.back();
  stream_->write(bytes);
}

void ClientLink::send_and_close(std::string_view line, void (*close_stream)(std::unique_ptr<Stream>)) {
  if (!stream_) return;
  send_line(line);
  end(close_stream);
}

void ClientLink::close(CloseKind ending) {
  end(ending == CloseKind::orderly ? Stream::finish : Stream::reset);
}

// The only place that releases a client's descriptor, its id and its list entries.
void ClientLink::end(void (*close_stream)(std::unique_ptr<Stream>)) {
  if (!stream_) return;
  if (request_received_) {
    listener_.open_ids_.erase(id_);
  } else {
    stop_awaiting_request();
  }
  close_stream(std::move(stream_));
  listener_.remove(*this);
}

}  // namespace marblehub::net
