#include "core/exchange.h"

#include "core/dispatcher.h"

namespace marblehub::core {
namespace {

constexpr std::size_t kMessagesTimed = 256;  // a client that floods is timed no further: the queue is bounded
constexpr Time kMidLineBound = 700'000;      // a worker that stops inside a line holds no move up

}  // namespace

Exchange::Exchange(Dispatcher& dispatcher, std::uint64_t id, Call call, ClientSide& client,
                   WorkerSide& workers, Time now)
    : dispatcher_(dispatcher),
      id_(id),
      call_(std::move(call)),
      client_(&client),
      workers_(workers),
      deadline_(now + call_.expires_in) {}

void Exchange::client_sent(const StreamChunk& chunk) {
  if (state_ != State::established || !attempt_) return;
  if (unanswered_.empty() && chunk.messages > 0) dispatcher_.watch_messages(*this);
  for (int i = 0; i < chunk.messages && unanswered_.size() < kMessagesTimed; ++i)
    unanswered_.push_back(dispatcher_.now());
  attempt_->deliver(chunk.bytes);
}

void Exchange::client_left(CloseKind ending) {
  client_ = nullptr;
  if (state_ == State::over) return;
  bool stood = state_ == State::established;
  state_ = State::over;
  if (attempt_) {
    attempt_->finish(ending);
    drop_attempt();
  }
  dispatcher_.client_left(*this, stood);
}

void Exchange::client_blocked(bool on) {
  if (attempt_) attempt_->hold(on);
}

bool Exchange::may_begin() const { return dispatcher_.may_begin(worker_, address_); }

void Exchange::worker_established(std::string_view receipt) {
  if (state_ != State::waiting || !client_) return;
  state_ = State::established;
  client_->established(receipt);
  dispatcher_.established(*this);
}

void Exchange::worker_sent(const StreamChunk& chunk) {
  if (state_ != State::established || !client_) return;
  client_at_boundary_ = chunk.at_boundary;
  last_received_at_ = dispatcher_.now();
  client_->deliver(chunk.bytes);
  for (int i = 0; i < chunk.messages && !unanswered_.empty(); ++i) {
    Time delay = dispatcher_.now() - unanswered_.front();
    unanswered_.erase(unanswered_.begin());
    dispatcher_.message_answered(*this, delay);
    if (state_ != State::established) return;  // the module has moved this client on hearing it
  }
  if (move_pending_ && client_at_boundary_) redirect_now(move_reason_);
}

void Exchange::worker_load(double load) {
  if (state_ == State::established) dispatcher_.load_changed(*this, load);
}

void Exchange::worker_blocked(bool on) {
  if (client_ && state_ == State::established) client_->hold(on);
}

void Exchange::worker_ended(Outcome outcome, CloseKind ending, const LoadReport& report,
                            std::string_view words) {
  drop_attempt();
  if (state_ == State::over) return;
  if (state_ == State::established) {
    state_ = State::over;
    if (client_) client_->ended(ending);
    client_ = nullptr;
    dispatcher_.attempt_over(*this, outcome, report, true);
    return;
  }
  // A call that its worker has served to the end at once needs no second attempt.
  bool terminal = outcome == Outcome::served;
  if (terminal) dispatcher_.answer(*this, Dispatcher::Answer::failed, 0, words);
  dispatcher_.attempt_over(*this, outcome, report, terminal);
}

void Exchange::answer_overload(Time pause) {
  if (state_ != State::waiting) return;  // guards against a second answer
  state_ = State::over;
  drop_attempt();
  if (client_) client_->overload_reply(pause);
  client_ = nullptr;
}

void Exchange::answer_failed(std::string_view words) {
  if (state_ != State::waiting) return;
  state_ = State::over;
  drop_attempt();
  if (client_) client_->failed(words);
  client_ = nullptr;
}

bool Exchange::move_overdue() const {
  return move_pending_ && dispatcher_.now() - moving_since_ > kMidLineBound;
}

// By what has been read: after a stall of the process the rest may lie in the socket.
bool Exchange::stalled_inside_message() const {
  return !client_at_boundary_ && dispatcher_.now() - last_received_at_ > kMidLineBound;
}

// A client is told to move between two messages only: a MOVE inside a line would be part of that line.
void Exchange::redirect(MoveReason reason) {
  if (state_ != State::established || move_pending_) return;
  if (client_at_boundary_) return redirect_now(reason);
  move_pending_ = true;
  move_reason_ = reason;
  dispatcher_.watch_messages(*this);
  moving_since_ = dispatcher_.now();
}

void Exchange::redirect_now(MoveReason reason) {
  state_ = State::over;
  if (client_) client_->redirect();
  client_ = nullptr;
  if (attempt_) attempt_->finish(CloseKind::orderly);
  drop_attempt();
  dispatcher_.redirected(*this, reason);
}

}  // namespace marblehub::core
