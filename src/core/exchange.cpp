#include "core/exchange.h"

#include "core/dispatcher.h"

namespace marblehub::core {
namespace {

constexpr std::size_t kMaxTimedMessages = 256;  // bounds the memory for a client that floods messages
constexpr Time kMaxMoveDelay = 700'000;         // microseconds that an incomplete message may delay a move

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
  for (int i = 0; i < chunk.messages && unanswered_.size() < kMaxTimedMessages; ++i)
    unanswered_.push_back(dispatcher_.now());
  attempt_->deliver(chunk.bytes);
}

void Exchange::client_left(CloseKind close_kind) {
  client_ = nullptr;
  if (state_ == State::over) return;
  bool was_established = state_ == State::established;
  if (was_established || may_have_run()) dispatcher_.remember_executed(*this);
  state_ = State::over;
  if (attempt_) {
    attempt_->finish(close_kind);
    drop_attempt();
  }
  dispatcher_.client_left(*this, was_established);
}

void Exchange::client_blocked(bool on) {
  if (attempt_) attempt_->hold(on);
}

bool Exchange::may_begin() const { return dispatcher_.may_begin(*this) && within_repeat_window(); }

bool Exchange::within_repeat_window() const { return !send_by_ || dispatcher_.now() <= *send_by_; }

void Exchange::worker_established(std::string_view receipt) {
  if (state_ != State::waiting || !client_) return;
  state_ = State::established;
  client_->established(receipt);
  dispatcher_.established(*this);
}

void Exchange::worker_sent(const StreamChunk& chunk) {
  if (state_ != State::established || !client_) return;
  worker_at_boundary_ = chunk.at_boundary;
  if (!chunk.bytes.empty()) client_->deliver(chunk.bytes);
  for (int i = 0; i < chunk.messages && !unanswered_.empty(); ++i) {
    Time delay = dispatcher_.now() - unanswered_.front();
    unanswered_.erase(unanswered_.begin());
    dispatcher_.message_answered(*this, delay);
    if (state_ != State::established) return;  // the policy has moved this client in response
  }
  if (move_pending_ && worker_at_boundary_) redirect_now(move_reason_);
}

void Exchange::worker_load(double load) {
  if (state_ == State::established) dispatcher_.load_changed(*this, load);
}

void Exchange::worker_blocked(bool on) {
  if (client_ && state_ == State::established) client_->hold(on);
}

void Exchange::worker_ended(Outcome outcome, CloseKind close_kind, const LoadReport& report,
                            std::string_view error_text) {
  drop_attempt();
  if (state_ == State::over) return;
  if (state_ == State::established) {
    state_ = State::over;
    if (client_) client_->ended(close_kind);
    client_ = nullptr;
    dispatcher_.attempt_over(*this, outcome, report, true);
    return;
  }
  // A call that the worker served without a connection needs no second attempt.
  bool terminal = outcome == Outcome::served;
  if (terminal) dispatcher_.answer(*this, Dispatcher::Answer::failed, 0, error_text);
  dispatcher_.attempt_over(*this, outcome, report, terminal);
}

void Exchange::answer_overload(Time pause) {
  if (state_ != State::waiting) return;
  state_ = State::over;
  drop_attempt();
  if (client_) client_->overload_reply(pause);
  client_ = nullptr;
}

void Exchange::answer_failed(std::string_view error_text) {
  if (state_ != State::waiting) return;
  state_ = State::over;
  drop_attempt();
  if (client_) client_->failed(error_text);
  client_ = nullptr;
}

bool Exchange::move_overdue() const {
  return move_pending_ && dispatcher_.now() - move_requested_at_ > kMaxMoveDelay;
}

// A message that the worker is sending would be lost by a move; it is awaited for a bounded time.
void Exchange::redirect(MoveReason reason) {
  if (state_ != State::established || move_pending_) return;
  if (worker_at_boundary_) return redirect_now(reason);
  move_pending_ = true;
  move_reason_ = reason;
  dispatcher_.watch_messages(*this);
  move_requested_at_ = dispatcher_.now();
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
