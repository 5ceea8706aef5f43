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

// The connection of one attempt, from the connect to the end of the call established on it.
class WorkerLink final : public Stream::Handler {
 public:
  WorkerLink(WorkerSide& side, core::Exchange& exchange, const std::string& address, Time wait)
      : side_(side),
        exchange_(&exchange),
        wait_until_(side.loop_.now() + wait),
        stream_(std::make_unique<Stream>(side.loop_, *this)),
        connect_timer_(side.loop_, [this] { end_attempt(Outcome::connect_failed, CloseKind::aborted); }) {
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
    if (!exchange_->client_waiting()) return;  // the client's end is read in this iteration and ends the call
    const Time remaining = wait_until_ - side_.loop_.now();
    // The request carries the time left for this attempt, not the client's original wait.
    const Time remaining_ms = std::max<Time>(1, remaining / 1000);
    std::string line = with_field(exchange_->call().front_data, "d", std::to_string(remaining_ms)) + "\r\n";
    // Checked last before the write, as the process may be held up at any time. The worker is not to blame if
    // the attempt does not begin.
    if (remaining <= 0 || !exchange_->may_begin()) return end_attempt(Outcome::not_sent, CloseKind::aborted);
    request_written_ = true;
    stream_->write(line);
    side_.bytes_out_.add(static_cast<double>(line.size()));
  }

  void received(std::string_view bytes) override {
    side_.bytes_in_.add(static_cast<double>(bytes.size()));
    if (!established_) {
      input_.append(bytes);
      std::size_t end = input_.find('\n');
      if (std::min(end, input_.size()) >= kMaxLineBytes)
        return end_attempt(Outcome::error, CloseKind::aborted);
      if (end == std::string::npos) return;
      std::string line = input_.substr(0, end + 1), rest = input_.substr(end + 1);
      input_.clear();
      if (verb_of(line) != "UP") {
        handle_answer(std::move(line));
        return;
      }
      established_ = true;
      if (exchange_) exchange_->worker_established(line);
      if (!rest.empty()) forward(rest);
      return;
    }
    forward(bytes);
  }

  void drained() override {
    if (!exchange_ || !blocked_reported_) return;
    blocked_reported_ = false;
    exchange_->worker_blocked(false);
  }

  void ended(CloseKind ending) override {
    connect_timer_.stop();
    if (!exchange_) return;
    if (established_) {
      forward_rest();
      return end_attempt(end_outcome_, ending);
    }
    if (stream_->failed_locally())
      return end_attempt(Outcome::not_sent, ending);  // a local failure, not the worker's
    end_attempt(request_sent() ? Outcome::reset : Outcome::connect_failed, ending);
  }

  // ---- Calls of the exchange, forwarded by AttemptHandle.
  void deliver(std::string_view bytes) {
    if (!stream_) return;
    side_.bytes_out_.add(static_cast<double>(bytes.size()));
    stream_->write(bytes);
    if (stream_->backlog() > kMaxBacklogBytes && !blocked_reported_ && exchange_) {
      blocked_reported_ = true;
      exchange_->worker_blocked(true);
    }
  }
  void hold(bool on) {
    if (stream_) stream_->set_reading(!on);
  }
  bool request_sent() const { return request_written_ && stream_ && stream_->backlog() == 0; }
  // Whether the request's last byte cannot have reached the worker.
  bool request_unsent() const { return !request_written_ || (stream_ && stream_->backlog() > 0); }
  void finish(CloseKind ending) {
    Stream::end(std::move(stream_), established_ ? ending : CloseKind::aborted);
  }
  void detach() {
    exchange_ = nullptr;
    connect_timer_.stop();
    // Closed at once, so that the next attempt does not overlap with this one.
    Stream::reset(std::move(stream_));
  }

 private:
  // Maps an answer other than UP to the outcome that the protocol defines for it.
  void handle_answer(std::string line) {
    std::string_view verb = verb_of(line);
    core::LoadReport report = parse_load_report(without_line_end(line));
    Outcome outcome = Outcome::error;
    if (verb == "BUSY") outcome = Outcome::full;
    if (verb == "BYE") outcome = Outcome::served;
    if (verb == "MOVE") outcome = Outcome::cancelled;
    end_attempt(outcome, CloseKind::orderly, report, line);
  }

  void forward(std::string_view bytes) {
    const bool continues_overlong_line = lines_.inside_overlong_line();
    std::string_view lines = lines_.add(bytes);
    for (bool whole = !continues_overlong_line; !lines.empty() && exchange_; whole = true) {
      std::size_t end = lines.find('\n');
      std::string_view line = lines.substr(0, end == std::string_view::npos ? end : end + 1);
      lines.remove_prefix(line.size());
      forward_line(line, whole);
    }
    if (exchange_ && !lines_.at_line_start()) exchange_->worker_sent({{}, 0, false});
  }

  // Forwards a line; not `whole`: the last part of an overlong one, whose start has been forwarded before.
  void forward_line(std::string_view line, bool whole) {
    const bool ended = line.ends_with('\n');
    core::StreamChunk chunk{line, ended ? 1 : 0, ended};
    std::string_view verb = whole && ended ? verb_of(line) : "";
    if (verb == "LOAD") {
      chunk.messages = 0;
      handle_load(line);
    } else if (verb == "BYE" || verb == "MOVE" || verb == "ERR") {
      chunk.messages = 0;
      end_outcome_ = verb == "BYE" ? Outcome::served : verb == "MOVE" ? Outcome::cancelled : Outcome::error;
    } else if (verb == "UP" || verb == "BUSY") {  // a late second answer to the request
      chunk.messages = 0;
    }
    exchange_->worker_sent(chunk);
  }

  // The worker has ended inside a line: its client gets the part as it came, and then the same end.
  void forward_rest() {
    std::string rest = lines_.take_rest();
    if (!rest.empty() && exchange_) exchange_->worker_sent({rest, 0, false});
  }

  void handle_load(std::string_view line) {
    line = without_line_end(line);
    if (line.size() <= 5) return;
    if (auto load = config::parse_number<double>(line.substr(5))) exchange_->worker_load(*load);
  }

  void end_attempt(Outcome outcome, CloseKind ending, const core::LoadReport& report = {},
                   std::string_view reply = {}) {
    connect_timer_.stop();
    Stream::end(std::move(stream_), ending);
    if (core::Exchange* exchange = std::exchange(exchange_, nullptr))
      exchange->worker_ended(outcome, ending, report, reply);
  }

  WorkerSide& side_;
  core::Exchange* exchange_;
  const Time wait_until_;
  std::unique_ptr<Stream> stream_;
  TimerWatch connect_timer_;
  std::string input_;
  LineAssembler lines_;
  Outcome end_outcome_ = Outcome::reset;  // the outcome if the connection ends now
  bool request_written_ = false, established_ = false, blocked_reported_ = false;
};

namespace {

// The exchange's handle to its attempt. The link may be in a callback when the handle is destroyed, so the
// loop frees it later.
class AttemptHandle final : public core::Attempt {
 public:
  AttemptHandle(Loop& loop, std::shared_ptr<WorkerLink> link) : loop_(loop), link_(std::move(link)) {}
  ~AttemptHandle() override {
    link_->detach();
    loop_.defer_release(std::move(link_));
  }
  void deliver(std::string_view bytes) override { link_->deliver(bytes); }
  void hold(bool on) override { link_->hold(on); }
  void finish(CloseKind ending) override { link_->finish(ending); }
  bool proved_not_run() const override { return link_->request_unsent(); }

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
  return std::make_unique<AttemptHandle>(loop_, std::make_shared<WorkerLink>(*this, exchange, address, wait));
}

// ---- Probes -------------------------------------------------------------------------------------

// The probe connection to one worker.
class Probes::Link final : public Stream::Handler {
 public:
  Link(Probes& probes, std::string worker)
      : probes_(probes),
        worker_(std::move(worker)),
        probe_timer_(probes.loop_, [this] { on_timeout(); }),
        idle_timer_(probes.loop_, [this] { close_stream(); }) {}
  ~Link() override { Stream::reset(std::move(stream_)); }

  void probe(const std::string& address) {
    if (result_pending_) return;
    result_pending_ = true;
    sent_at_ = probes_.loop_.now();
    idle_timer_.stop();
    if (address != address_) close_stream();
    address_ = address;
    connection_reused_ = stream_ != nullptr;
    send_probe();
  }

  void connected() override {
    connected_ = true;
    if (result_pending_)
      probe_timer_.start(kProbeTimeout);  // starts at the request; the connect has its own timeout
    stream_->write("STATS\r\n");
  }
  void received(std::string_view bytes) override {
    input_.append(bytes);
    if (input_.size() > kMaxLineBytes) return end(Outcome::error, {});
    std::optional<std::string> line = take_line(input_);
    if (!line || !result_pending_) return;
    bool is_pong = verb_of(*line) == "PONG";
    if (!is_pong) close_stream();
    end(is_pong ? Outcome::served : Outcome::error, parse_load_report(*line));
  }
  void ended(CloseKind) override {
    bool failed_locally = stream_->failed_locally();
    close_stream();
    if (!result_pending_) return;
    if (failed_locally) return end(Outcome::not_sent, {});
    // The worker may just have closed the kept connection, which does not make it unhealthy.
    if (std::exchange(connection_reused_, false)) return send_probe();
    end(connected_ ? Outcome::reset : Outcome::connect_failed, {});
  }

 private:
  void send_probe() {
    connected_ = stream_ != nullptr;
    if (stream_) {
      stream_->set_reclaimable(false);
      probe_timer_.start(kProbeTimeout);
      stream_->write("STATS\r\n");
      return;
    }
    auto to = parse_address(address_);
    stream_ = std::make_unique<Stream>(probes_.loop_, *this);
    input_.clear();
    probe_timer_.start(to ? probes_.connect_timeout_ : 0);
    if (to) stream_->connect(*to);
  }
  void on_timeout() {
    close_stream();
    end(connected_ ? Outcome::timeout : Outcome::connect_failed, {});
  }
  void close_stream() {
    Stream::reset(std::move(stream_));
    input_.clear();
  }
  void end(Outcome outcome, const core::LoadReport& report) {
    probe_timer_.stop();
    if (stream_) {
      idle_timer_.start(kProbeIdle);
      stream_->set_reclaimable(true);
    }
    if (!std::exchange(result_pending_, false)) return;
    probes_.result_(worker_, probes_.loop_.now() - sent_at_, outcome, report);
  }

  Probes& probes_;
  const std::string worker_;
  std::string address_, input_;
  std::unique_ptr<Stream> stream_;
  TimerWatch probe_timer_, idle_timer_;
  bool result_pending_ = false, connection_reused_ = false, connected_ = false;
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
