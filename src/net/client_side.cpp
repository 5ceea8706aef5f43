#include "net/client_side.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace marblehub::net {
namespace {

constexpr Time kAcceptPause = 50'000;
constexpr Time kIdleBeforeAsking = 30'000'000;  // a client that never asks does not keep its descriptor

}  // namespace

Listener::Listener(Loop& loop, core::Dispatcher& dispatcher, core::WorkerSide& workers,
                   const sockaddr_in& address, metrics::Registry& metrics)
    : loop_(loop),
      dispatcher_(dispatcher),
      workers_(workers),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      io_(loop, [this](int) { accept_all(); }),
      pause_(loop, [this] { io_.start(fd_.get(), EV_READ); }),
      accepted_(metrics.counter("marblehub_client_connections_total", "Client connections accepted")),
      full_(metrics.counter("marblehub_accept_pauses_total", "Pauses of accepting for want of descriptors")),
      malformed_(metrics.counter("marblehub_malformed_lines_total", "First lines that no client may send")),
      pings_(metrics.counter("marblehub_front_pings_total", "PING lines answered")),
      bytes_in_(metrics.counter("marblehub_client_bytes_received_total", "Bytes from clients")),
      bytes_out_(metrics.counter("marblehub_client_bytes_sent_total", "Bytes to clients")) {
  int on = 1;
  setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd_.get(), 1024) != 0)
    throw std::runtime_error("cannot listen on the address given");
  io_.start(fd_.get(), EV_READ);
}

Listener::~Listener() { links_.clear(); }

void Listener::accept_all() {
  for (;;) {
    Fd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        // The socket stays readable while no descriptor is free: without a pause the loop would spin.
        full_.add();
        io_.stop();
        pause_.start(kAcceptPause);
      }
      return;
    }
    accepted_.add();
    links_.push_back(std::make_unique<ClientLink>(*this, loop_, std::move(fd)));
    links_.back()->place_ = std::prev(links_.end());
  }
}

void Listener::close() {
  if (!fd_) return;
  accept_all();
  pause_.stop();
  io_.stop();
  fd_.reset();
}

void Listener::remove(ClientLink& link) {
  loop_.bury(std::shared_ptr<ClientLink>(std::move(*link.place_)));
  links_.erase(link.place_);
}

ClientLink::ClientLink(Listener& listener, Loop& loop, Fd fd)
    : listener_(listener),
      from_stream_(*this),
      stream_(std::make_unique<Stream>(loop, from_stream_)),
      idle_(loop, [this] { close(Ending::finished); }) {
  idle_.start(kIdleBeforeAsking);
  stream_->adopt(std::move(fd));
}

ClientLink::~ClientLink() = default;

// ---- From the socket -------------------------------------------------------------------------------

void ClientLink::received(std::string_view bytes) {
  listener_.bytes_in_.add(static_cast<double>(bytes.size()));
  if (standing_) return forward(bytes);
  in_.append(bytes);
  if (!asked_) return first_lines();
  if (in_.size() > kBacklogBound) stream_->read_on(false);  // it may speak on once its answer is there
}

void ClientLink::first_lines() {
  while (!asked_ && stream_) {
    std::size_t end = in_.find('\n');
    if (std::min(end, in_.size()) >= kLongestLine) {
      listener_.malformed_.add();
      return say_and_close("ERR\r\n");
    }
    std::optional<std::string> line = take_line(in_);
    if (!line) return;
    if (*line == "PING") {
      listener_.pings_.add();
      listener_.bytes_out_.add(6);
      stream_->write("PONG\r\n");
      idle_.start(kIdleBeforeAsking);
      continue;
    }
    core::Dispatcher& dispatcher = listener_.dispatcher_;
    auto number = [&](std::string_view name) -> double {
      auto text = field(*line, name);
      return (text ? config::number_in<double>(*text) : std::nullopt).value_or(-1);
    };
    core::Call call;
    call.request_class = dispatcher.class_named(field(*line, "c").value_or(""));
    double wait = number("d");
    std::string_view worker = field(*line, "at").value_or("");
    if (!is_open_line(*line) || call.request_class < 0 || (wait < 0 && worker.empty())) {
      listener_.malformed_.add();
      return say_and_close("ERR\r\n");
    }
    call.expires_in = static_cast<Time>(std::clamp(wait, 0.0, 3.6e6) * 1000);
    call.load_hint = std::max(0.0, number("h"));
    call.returned = number("again") == 1;
    call.handed_to = worker;
    call.opening = std::move(*line);
    asked_ = true;
    idle_.stop();
    exchange_ = &dispatcher.take(std::move(call), *this, listener_.workers_);
    if (!stream_) exchange_ = nullptr;  // answered from within
    return;
  }
}

void ClientLink::forward(std::string_view bytes) {
  core::Piece piece{bytes, 0, true};
  for (std::string_view rest = bytes; !rest.empty();) {
    LineWatch::Part part = lines_.next(rest);
    piece.messages += part.ended;
    rest.remove_prefix(part.length);
  }
  piece.between = lines_.between();
  if (exchange_) exchange_->client_sent(piece);
}

void ClientLink::drained() {
  if (exchange_ && full_told_) {
    full_told_ = false;
    exchange_->client_full(false);
  }
}

void ClientLink::ended_by_peer(Ending ending) {
  if (exchange_) exchange_->client_left(ending);
  exchange_ = nullptr;
  close(ending);
}

// ---- From the exchange -----------------------------------------------------------------------------

void ClientLink::established(std::string_view receipt) {
  standing_ = true;
  listener_.bytes_out_.add(static_cast<double>(receipt.size()));
  stream_->write(receipt);
  stream_->read_on(true);
  if (!in_.empty()) forward(std::exchange(in_, {}));  // what the client said while it waited
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
  listener_.bytes_out_.add(static_cast<double>(bytes.size()));
  stream_->write(bytes);
  if (stream_->backlog() > kBacklogBound && !full_told_ && exchange_) {
    full_told_ = true;
    exchange_->client_full(true);
  }
}

void ClientLink::hold(bool on) {
  if (stream_) stream_->read_on(!on);
}

void ClientLink::redirect() {
  exchange_ = nullptr;
  say_and_close("MOVE\r\n");
}

void ClientLink::ended(Ending ending) {
  exchange_ = nullptr;
  close(ending);
}

void ClientLink::say_and_close(std::string_view line) {
  if (!stream_) return;
  listener_.bytes_out_.add(static_cast<double>(line.size()));
  stream_->write(line);
  close(Ending::finished);
}

void ClientLink::close(Ending ending) {
  if (!stream_) return;
  idle_.stop();
  Stream::end(std::move(stream_), ending);
  listener_.remove(*this);
}

}  // namespace marblehub::net
