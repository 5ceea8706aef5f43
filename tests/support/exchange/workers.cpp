// Steps of the simulated workers.
#include "support/exchange/player.h"

namespace marblehub::test {

void ExchangePlayer::add_worker(const std::string& name) {
  Worker& w = workers_[name];
  w.fd = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
  ::listen(w.fd, 64);
  add_entry(name, loopback_address_text(port_of(w.fd)));
}

void ExchangePlayer::add_entry(const std::string& name, const std::string& address) {
  worker_entries_[name] = {{"name", name}, {"address", address}, {"zone", "a"},   {"type", "m"},
                           {"group", 0},   {"status", "ready"},  {"weight", 1.0}, {"since_ms", 0}};
}

void ExchangePlayer::add_unreachable(int count) {
  for (int i = 0; i < count; ++i) add_entry("unreachable" + std::to_string(i), loopback_address_text(1));
}

// Makes connects hang: with a full listen queue, the SYN is dropped and sent again after a second.
void ExchangePlayer::fill_queue(int listener, std::vector<std::unique_ptr<Connection>>& fillers) {
  ::listen(listener, 0);
  for (int i = 0; i < 2; ++i) {
    auto filler = std::make_unique<Connection>();
    filler->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in to = loopback(port_of(listener));
    ::connect(filler->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    fillers.push_back(std::move(filler));
  }
}

bool ExchangePlayer::has_pending_probe(const Worker& worker) {
  return std::any_of(worker.connections.begin(), worker.connections.end(), [](const auto& c) {
    return !c->call && c->state == Connection::open && c->received.starts_with("STATS\r\n");
  });
}

// Waits for a connection first, since one that hung is established late.
void ExchangePlayer::reset_idle_connections(Worker& worker) {
  auto idle = [](const auto& c) { return !c->call && c->state == Connection::open && c->fd >= 0; };
  wait_until([&] { return std::any_of(worker.connections.begin(), worker.connections.end(), idle); },
             kStepTimeout);
  for (auto& c : worker.connections)
    if (idle(c)) c->reset();
  std::erase_if(worker.connections, [](const auto& c) { return c->fd < 0; });
}

void ExchangePlayer::drain_accept_queue(int listener, std::vector<std::unique_ptr<Connection>>& fillers) {
  ::listen(listener, 64);
  fillers.clear();
}

}  // namespace marblehub::test
