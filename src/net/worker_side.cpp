#include "net/worker_side.h"

#include <algorithm>

#include "config/options.h"

namespace marblehub::net {
namespace {

using core::CloseKind;
using core::Outcome;

constexpr Time kProbeTimeout = 500'000;
constexpr Time kProbeIdle = 5'000'000;

}  // namespace

// ---- Attempts -----------------------------------------------------------------------------------

// One connection to a worker, from the connect to the end of what stands on it.
class WorkerLink final : public Stream::Handler {
 public:
  WorkerLink(WorkerSide& side, core::Exchange& exchange, const std::string& address, Time wait)
      : side_(side),
        exchange_(&exchange),
        wait_until_(side.loop_.now() + wait),
        stream_(std::make_unique<Stream>(side.loop_, *this)),
        connect_timer_(side.loop_, [this] { over(Outcome::connect_failed, CloseKind::aborted); }) {
    if (auto to = parse_address(address)) {
      stream_->connect(*to);
      connect_timer_.start(side.connect_timeout_);
    } else {
      connect_timer_.start(0);
    }
  }

  void connected() override {
    connect_timer_.stop();
    if (!exchange_) return;
    if (!exchange_->client_waiting()) return;  // its end is read in this turn, and ends the call
    // That nothing begins now is no fault of the worker's.
    bool in_time = side_.loop_.now() < wait_until_;
    if (!in_time || !exchange_->may_begin()) return over(Outcome::not_sent, CloseKind::aborted);
    // The worker is told how long this balancer will wait, not how long the client once would.
    Time left = std::max<Time>(1, (wait_until_ - side_.loop_.now()) / 1000);
    std::string line = with_field(exchange_->call().front_data, "d", std::to_string(left)) + "\r\n";
    side_.bytes_out_.add(static_cast<double>(line.size()));
    asked_ = true;
    stream_->write(line);
  }

  void received(std::string_view bytes) override {
    side_.bytes_in_.add(static_cast<double>(bytes.size()));
    if (!up_) {
      in_.append(bytes);
      std::size_t end = in_.find('\n');
      if (std::min(end, in_.size()) >= kMaxLineBytes) return over(Outcome::error, CloseKind::aborted);
      if (end == std::string::npos) return;
      std::string line = in_.substr(0, end + 1), rest = in_.substr(end + 1);
      in_.clear();
      if (verb_of(line) != "UP") {
        answer(std::move(line));
        return;
      }
      up_ = true;
      if (exchange_) exchange_->worker_established(line);
      if (!rest.empty()) pass(rest);
      return;
    }
    pass(bytes);
  }

  void drained() override {
    if (!exchange_ || !full_told_) return;
    full_told_ = false;
    exchange_->worker_blocked(false);
  }

  void ended(CloseKind ending) override {
    connect_timer_.stop();
    if (!exchange_) return;
    if (up_) return over(closing_, ending);
    if (stream_->unsent()) return over(Outcome::not_sent, ending);  // our own want, not the worker's fault
    over(asked() ? Outcome::reset : Outcome::connect_failed, ending);
  }

  // ---- From the exchange, by way of the handle.
  void deliver(std::string_view bytes) {
    if (!stream_) return;
    side_.bytes_out_.add(static_cast<double>(bytes.size()));
    stream_->write(bytes);
    if (stream_->backlog() > kMaxBacklogBytes && !full_told_ && exchange_) {
      full_told_ = true;
      exchange_->worker_blocked(true);
    }
  }
  void hold(bool on) {
    if (stream_) stream_->set_reading(!on);
  }
  bool asked() const { return asked_ && stream_ && stream_->backlog() == 0; }
  void finish(CloseKind ending) { Stream::end(std::move(stream_), up_ ? ending : CloseKind::aborted); }
  void detach() {
    exchange_ = nullptr;
    connect_timer_.stop();
    // Given up: at once and for good, so that no second attempt is out beside it.
    Stream::reset(std::move(stream_));
  }

 private:
  // A first line that is not UP: the outcome, as the protocol's table has it.
  void answer(std::string line) {
    std::string_view verb = verb_of(line);
    core::LoadReport report = parse_load_report(without_line_end(line));
    Outcome outcome = Outcome::error;
    if (verb == "BUSY") outcome = Outcome::full;
    if (verb == "BYE") outcome = Outcome::served;
    if (verb == "MOVE") outcome = Outcome::cancelled;
    over(outcome, CloseKind::orderly, report, line);
  }

  void pass(std::string_view bytes) {
    while (!bytes.empty() && exchange_) {
      LineTracker::Part part = lines_.next(bytes);
      core::StreamChunk chunk{bytes.substr(0, part.length), 0, lines_.between()};
      bytes.remove_prefix(part.length);
      if (part.ended) {
        std::string_view verb = verb_of(lines_.last());
        if (verb == "LOAD") {
          load_told(lines_.last());
        } else if (verb == "BYE" || verb == "MOVE" || verb == "ERR") {
          closing_ = verb == "BYE" ? Outcome::served : verb == "MOVE" ? Outcome::cancelled : Outcome::error;
        } else if (verb != "UP" && verb != "BUSY") {  // these: a second answer, late, to the opening line
          chunk.messages = 1;
        }
      }
      exchange_->worker_sent(chunk);
    }
  }

  void load_told(std::string_view line) {
    line = without_line_end(line);
    if (line.size() <= 5) return;
    if (auto load = config::parse_number<double>(line.substr(5))) exchange_->worker_load(*load);
  }

  void over(Outcome outcome, CloseKind ending, const core::LoadReport& report = {},
            std::string_view words = {}) {
    connect_timer_.stop();
    Stream::end(std::move(stream_), ending);
    if (core::Exchange* exchange = std::exchange(exchange_, nullptr))
      exchange->worker_ended(outcome, ending, report, words);
  }

  WorkerSide& side_;
  core::Exchange* exchange_;
  const Time wait_until_;
  std::unique_ptr<Stream> stream_;
  TimerWatch connect_timer_;
  std::string in_;
  LineTracker lines_;
  Outcome closing_ = Outcome::reset;  // what an end means now
  bool asked_ = false, up_ = false, full_told_ = false;
};

namespace {

// What the exchange owns. The link may be inside a call of its own when it is given back: the loop frees it.
class Handle final : public core::Attempt {
 public:
  Handle(Loop& loop, std::shared_ptr<WorkerLink> link) : loop_(loop), link_(std::move(link)) {}
  ~Handle() override {
    link_->detach();
    loop_.defer_release(std::move(link_));
  }
  void deliver(std::string_view bytes) override { link_->deliver(bytes); }
  void hold(bool on) override { link_->hold(on); }
  void finish(CloseKind ending) override { link_->finish(ending); }
  bool timeout_blames_worker() const override { return link_->asked(); }

 private:
  Loop& loop_;
  std::shared_ptr<WorkerLink> link_;
};

}  // namespace

WorkerSide::WorkerSide(Loop& loop, Time connect_timeout, metrics::Registry& metrics)
    : loop_(loop),
      connect_timeout_(connect_timeout),
      bytes_in_(metrics.counter("marblehub_worker_bytes_received_total", "Bytes from workers")),
      bytes_out_(metrics.counter("marblehub_worker_bytes_sent_total", "Bytes to workers")) {}

std::unique_ptr<core::Attempt> WorkerSide::begin_attempt(core::Exchange& exchange, const std::string&,
                                                         const std::string& address, Time wait) {
  return std::make_unique<Handle>(loop_, std::make_shared<WorkerLink>(*this, exchange, address, wait));
}

// ---- Probes ----------------------------------------------------------------------------------------

class Probes::Link final : public Stream::Handler {
 public:
  Link(Probes& probes, std::string worker)
      : probes_(probes),
        worker_(std::move(worker)),
        timeout_(probes.loop_, [this] { timed_out(); }),
        idle_(probes.loop_, [this] { drop(); }) {}
  ~Link() override { Stream::reset(std::move(stream_)); }

  void probe(const std::string& address) {
    if (waiting_) return;
    waiting_ = true;
    sent_at_ = probes_.loop_.now();
    idle_.stop();
    if (address != address_) drop();
    address_ = address;
    reused_ = stream_ != nullptr;
    ask();
  }

  void connected() override {
    connected_ = true;
    if (waiting_) timeout_.start(kProbeTimeout);  // from the line on: a connect has a time-out of its own
    stream_->write("STATS\r\n");
  }
  void received(std::string_view bytes) override {
    in_.append(bytes);
    if (in_.size() > kMaxLineBytes) return end(Outcome::error, {});
    std::optional<std::string> line = take_line(in_);
    if (!line || !waiting_) return;
    bool pong = verb_of(*line) == "PONG";
    if (!pong) drop();
    end(pong ? Outcome::served : Outcome::error, parse_load_report(*line));
  }
  void ended(CloseKind) override {
    bool unsent = stream_->unsent();
    drop();
    if (!waiting_) return;
    if (unsent) return end(Outcome::not_sent, {});
    // A kept connection may have been closed by the worker just now: that says nothing of its health.
    if (std::exchange(reused_, false)) return ask();
    end(connected_ ? Outcome::reset : Outcome::connect_failed, {});
  }

 private:
  void ask() {
    connected_ = stream_ != nullptr;
    if (stream_) {
      stream_->spare(false);
      timeout_.start(kProbeTimeout);
      stream_->write("STATS\r\n");
      return;
    }
    auto to = parse_address(address_);
    stream_ = std::make_unique<Stream>(probes_.loop_, *this);
    in_.clear();
    timeout_.start(to ? probes_.connect_timeout_ : 0);
    if (to) stream_->connect(*to);
  }
  void timed_out() {
    drop();
    end(connected_ ? Outcome::timeout : Outcome::connect_failed, {});
  }
  void drop() {
    Stream::reset(std::move(stream_));
    in_.clear();
  }
  void end(Outcome outcome, const core::LoadReport& report) {
    timeout_.stop();
    if (stream_) {
      idle_.start(kProbeIdle);
      stream_->spare(true);
    }
    if (!std::exchange(waiting_, false)) return;
    probes_.result_(worker_, probes_.loop_.now() - sent_at_, outcome, report);
  }

  Probes& probes_;
  const std::string worker_;
  std::string address_, in_;
  std::unique_ptr<Stream> stream_;
  TimerWatch timeout_, idle_;
  bool waiting_ = false, reused_ = false, connected_ = false;
  Time sent_at_ = 0;
};

Probes::Probes(Loop& loop, Time connect_timeout) : loop_(loop), connect_timeout_(connect_timeout) {}
Probes::~Probes() = default;

void Probes::probe(const std::string& worker, const std::string& address) {
  std::shared_ptr<Link>& link = links_[worker];
  if (!link) link = std::make_shared<Link>(*this, worker);
  link->probe(address);
}

}  // namespace marblehub::net
