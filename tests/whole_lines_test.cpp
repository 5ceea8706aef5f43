// Lines in pieces under random load: workers that hang, write slowly, drain, vanish or end a connection,
// clients that end theirs, and a planned restart, all of them also inside a line.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>

#include "support/program.h"
#include "support/random_load.h"
#include "testbed.h"

namespace marblehub::test {
namespace {

constexpr int kWorkers = 4, kClients = 24;
constexpr std::size_t kMaxPiece = 40;  // bytes written at once

// What one side of a connection writes, in pieces, and what the other side has received of it.
struct Direction {
  std::string queued, sent, received;
  std::int64_t next_piece_at = 0;

  void write_piece(int fd, RandomChoice& random, std::int64_t max_pause_ms) {
    if (queued.empty() || now_ms() < next_piece_at) return;
    std::string piece = queued.substr(0, 1 + random.below(kMaxPiece));
    if (::send(fd, piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT) !=
        static_cast<ssize_t>(piece.size()))
      return;
    sent += piece;
    queued.erase(0, piece.size());
    next_piece_at =
        now_ms() + static_cast<std::int64_t>(random.below(static_cast<std::size_t>(max_pause_ms) + 1));
  }
  bool sender_inside_line() const { return !sent.empty() && sent.back() != '\n'; }
  // Bytes unchanged and in order, up to the end of a line unless the sender itself has ended the connection.
  std::string fault(bool sender_ended) const {
    if (!sent.starts_with(received)) return "received what was not sent: " + received;
    if (!sender_ended && !received.empty() && received.back() != '\n') return "received a part: " + received;
    return "";
  }
};

// A connection through the program, seen from both of its ends.
struct Connection {
  int client = -1, worker = -1;
  std::string id, answer;
  Direction to_client, to_worker;
  bool up = false, moved = false, client_ended = false, worker_ended = false, client_closed = false;
  bool worker_closed = false;
  int lines = 0;
  std::int64_t next_line_at = 0;

  std::string next_line(const char* verb, RandomChoice& random) {
    return fmt::format("{} {} of {} {}\r\n", verb, ++lines, id, std::string(random.below(60), 'x'));
  }
};

// A simulated worker. Its connections are probes until a call arrives on them.
struct Worker {
  std::string name;
  int listener = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
  std::list<std::pair<int, std::string>> fresh;  // accepted, with what has arrived
  std::int64_t hangs_until = 0, slow_until = 0, away_until = 0;

  explicit Worker(std::string n) : name(std::move(n)) { ::listen(listener, 64); }
  ~Worker() {
    ::close(listener);
    for (auto& [fd, text] : fresh) ::close(fd);
  }
};

void abort_on_close(int fd) {
  linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

// The program among simulated workers and clients that do as the random numbers say.
class RandomLoad {
 public:
  explicit RandomLoad(std::uint64_t seed) : random_(seed) {
    for (int i = 1; i <= kWorkers; ++i) {
      workers_.push_back(std::make_unique<Worker>(fmt::format("w{}", i)));
      set_status(*workers_.back(), "ready");
    }
    program_ = std::make_unique<Program>(registry_.list(), settings(), registry_.port());
  }
  ~RandomLoad() {
    for (auto& c : connections_) close_both(*c);
  }

  void run(std::int64_t ms) {
    for (const std::int64_t end = now_ms() + ms; now_ms() < end; usleep(1000)) {
      if (now_ms() >= next_trouble_at_) make_trouble();
      step();
    }
  }
  // Ends the program as at a planned restart; no client may be cut off by it.
  void restart() {
    accepts_clients_ = false;
    program_->signal(SIGTERM);
    int code = -1;
    for (const std::int64_t end = now_ms() + 6000; code == -1 && now_ms() < end; usleep(1000)) {
      step();
      code = program_->exit_code();
    }
    CHECK(code == 0);
    for (int i = 0; i < 50; ++i) step();
    program_->relaunch();
    accepts_clients_ = true;
  }
  void finish() {
    CHECK(program_->exit_code() == -1);
    CHECK(served_ > kClients);
    CHECK(cut_off_ == 0);
  }
  int moved_inside_worker_line() const { return moved_inside_worker_line_; }
  int moved_inside_client_line() const { return moved_inside_client_line_; }

 private:
  void set_status(Worker& worker, const std::string& status) {
    registry_.set(worker.name, loopback_address_text(port_of(worker.listener)), status);
  }

  void make_trouble() {
    next_trouble_at_ = now_ms() + 200 + static_cast<std::int64_t>(random_.below(600));
    Worker& worker = *random_.of(workers_);
    switch (random_.below(6)) {
      case 0:
        worker.hangs_until = now_ms() + 5000 + static_cast<std::int64_t>(random_.below(3000));
        break;
      case 1:
        worker.slow_until = now_ms() + 3000;
        break;
      case 2:
      case 3: {
        const bool others_stay =
            std::all_of(workers_.begin(), workers_.end(), [](auto& w) { return w->away_until == 0; });
        if (!others_stay) break;
        set_status(worker, random_.one_in(2) ? "draining" : "gone");
        worker.away_until = now_ms() + 2500;
        break;
      }
      default:
        end_one_side();
    }
  }
  void end_one_side() {
    if (connections_.empty()) return;
    Connection& c =
        **std::next(connections_.begin(), static_cast<std::ptrdiff_t>(random_.below(connections_.size())));
    if (!c.up || c.client_closed || c.worker_closed || c.client_ended || c.worker_ended) return;
    const bool by_worker = random_.one_in(2);
    (by_worker ? c.worker_ended : c.client_ended) = true;
    int& fd = by_worker ? c.worker : c.client;
    if (random_.one_in(2)) return void(::shutdown(fd, SHUT_WR));
    abort_on_close(fd);
    ::close(std::exchange(fd, -1));
    (by_worker ? c.worker_closed : c.client_closed) = true;
  }

  void step() {
    registry_.step();
    for (auto& worker : workers_) step_worker(*worker);
    if (accepts_clients_ && connections_.size() < kClients && random_.one_in(5)) open();
    for (auto it = connections_.begin(); it != connections_.end();) {
      Connection& c = **it;
      step_client_end(c);
      step_worker_end(c);
      const bool over = c.client_closed && (c.worker_closed || c.worker < 0);
      if (over) check_ended(c);
      if (over) close_both(c);
      it = over ? connections_.erase(it) : std::next(it);
    }
  }
  void open() {
    auto c = std::make_unique<Connection>();
    c->client = connected_socket(program_->port);
    c->id = fmt::format("{}", ++ids_);
    std::string line = fmt::format("OPEN {} k{} c=telemetry,d=2900\r\n", c->id, c->id);
    ::send(c->client, line.data(), line.size(), MSG_NOSIGNAL);
    connections_.push_back(std::move(c));
  }

  void step_worker(Worker& worker) {
    if (worker.away_until > 0 && now_ms() >= worker.away_until) {
      worker.away_until = 0;
      set_status(worker, "ready");
    }
    for (int fd; (fd = ::accept4(worker.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
      worker.fresh.emplace_back(fd, "");
    for (auto it = worker.fresh.begin(); it != worker.fresh.end();) {
      auto& [fd, text] = *it;
      const bool open = receive(fd, text);
      const bool taken = open && now_ms() >= worker.hangs_until && answer_first_line(worker, fd, text);
      if (!open) ::close(fd);
      it = taken || !open ? worker.fresh.erase(it) : std::next(it);
    }
  }
  // Answers a probe, or accepts a call, whose connection is then no longer the worker's.
  bool answer_first_line(Worker& worker, int fd, std::string& text) {
    std::size_t end = text.find('\n');
    if (end == std::string::npos) return false;
    if (text.starts_with("STATS")) {
      static const std::string pong = "PONG latency_ms=2,util=0.1\r\n";
      ::send(fd, pong.data(), pong.size(), MSG_NOSIGNAL);
      text.erase(0, end + 1);
      return false;
    }
    std::string id = text.substr(5, text.find(' ', 5) - 5);
    auto it = std::find_if(connections_.begin(), connections_.end(), [&](auto& c) { return c->id == id; });
    if (it == connections_.end() || (*it)->worker >= 0)
      return false;  // given up meanwhile, or a second attempt
    (*it)->worker = fd;
    worker_of_[id] = &worker;
    std::string up = "UP r-" + id + "\r\n";
    ::send(fd, up.data(), up.size(), MSG_NOSIGNAL);
    return true;
  }

  void step_client_end(Connection& c) {
    if (c.client_closed) return;
    const bool open = receive(c.client, c.up ? c.to_client.received : c.answer);
    if (!c.up && c.answer.find('\n') != std::string::npos) {
      std::size_t end = c.answer.find('\n') + 1;
      c.up = c.answer.starts_with("UP");
      served_ += c.up;
      c.to_client.received = c.answer.substr(end);
    }
    if (!open) return void(c.client_closed = true);
    if (!c.up || c.client_ended) return;
    if (now_ms() >= c.next_line_at) {
      c.to_worker.queued += c.next_line("REPORT", random_);
      c.next_line_at = now_ms() + 500 + static_cast<std::int64_t>(random_.below(1500));
    }
    c.to_worker.write_piece(c.client, random_, 300);
  }
  void step_worker_end(Connection& c) {
    if (c.worker < 0 || c.worker_closed) return;
    const Worker& worker = *worker_of_[c.id];
    if (now_ms() < worker.hangs_until) return;
    std::size_t before = c.to_worker.received.size();
    if (!receive(c.worker, c.to_worker.received)) return void(c.worker_closed = true);
    auto lines = std::count(c.to_worker.received.begin() + static_cast<std::ptrdiff_t>(before),
                            c.to_worker.received.end(), '\n');
    for (; lines > 0; --lines) c.to_client.queued += c.next_line("UNLOCK", random_);
    if (c.up && !c.worker_ended)
      c.to_client.write_piece(c.worker, random_, now_ms() < worker.slow_until ? 900 : 250);
  }
  // Reads all that has arrived; false once the other side has closed.
  static bool receive(int fd, std::string& text) {
    char buffer[4096];
    for (ssize_t n; (n = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT)) != 0;) {
      if (n < 0) return errno == EAGAIN || errno == EINTR;
      text.append(buffer, static_cast<std::size_t>(n));
    }
    return false;
  }

  void check_ended(Connection& c) {
    if (!c.up) return;
    static const std::string move = "MOVE\r\n";
    std::string& received = c.to_client.received;
    c.moved = received.ends_with(move);
    if (c.moved) received.erase(received.size() - move.size());
    cut_off_ += !c.moved && !c.worker_ended && !c.client_ended;
    INFO("connection " << c.id << ", moved " << c.moved << ", ended by its worker " << c.worker_ended
                       << ", by its client " << c.client_ended);
    CHECK(c.to_client.fault(c.worker_ended) == "");
    CHECK(c.to_worker.fault(c.client_ended) == "");
    moved_inside_worker_line_ += c.moved && c.to_client.sender_inside_line();
    moved_inside_client_line_ += c.moved && c.to_worker.sender_inside_line();
  }
  static void close_both(Connection& c) {
    if (c.client >= 0) ::close(std::exchange(c.client, -1));
    if (c.worker >= 0) ::close(std::exchange(c.worker, -1));
  }

  RandomChoice random_;
  peers::StubRegistry registry_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::map<std::string, Worker*> worker_of_;  // by the connection's id
  std::unique_ptr<Program> program_;
  std::int64_t next_trouble_at_ = 0;
  bool accepts_clients_ = true;
  int ids_ = 0, served_ = 0, cut_off_ = 0, moved_inside_worker_line_ = 0, moved_inside_client_line_ = 0;
};

}  // namespace

// Guards against half a line that reaches a client, or a worker, as a whole one, in whatever way a client is
// moved.
TEST_CASE("moves and ends under random load leave no part of a line") {
  int moved_inside_worker_line = 0, moved_inside_client_line = 0;
  for (std::uint64_t seed : load_seeds({1, 2})) {
    INFO("seed " << seed);
    RandomLoad load(seed);
    const std::int64_t duration_ms = load_duration_ms(15'000);
    load.run(duration_ms * 2 / 3);
    load.restart();
    load.run(duration_ms / 3);
    load.finish();
    moved_inside_worker_line += load.moved_inside_worker_line();
    moved_inside_client_line += load.moved_inside_client_line();
  }
  CHECK(moved_inside_worker_line > 0);  // else the load has shown nothing
  CHECK(moved_inside_client_line > 0);
}

}  // namespace marblehub::test
