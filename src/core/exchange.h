/// Connects the client's side and the worker's side of a call. Ensures that the client gets exactly one
/// answer and that at most one attempt is in flight.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/effect_rules.h"
#include "core/ports.h"

namespace marblehub::core {

class Dispatcher;

/// A client's request, as decoded by its front.
struct Call {
  int request_class = 0;
  std::uint64_t identity = 0;   // hash of the id that the client gave it; 0: none
  Time expires_in = 0;          // until the client's deadline
  double load_hint = 0;         // expected work per second, in microseconds; 0: unknown
  bool returned = false;        // the client reconnects after a failure or a move
  std::uint64_t group = 0;      // calls of one group are cheaper at the same worker; 0: none
  std::string tenant, area;     // as sent by the client; the area is the group's name
  std::string front_data;       // opaque to the core: what the front needs to forward the call
  std::string handover_worker;  // where it was established before a restart; else empty
};

/// A call and, once established, its connection. Owned by the dispatcher; owns the attempt in flight and
/// refers to the front's two sides.
class Exchange {
 public:
  Exchange(Dispatcher& dispatcher, std::uint64_t id, Call call, ClientSide& client, WorkerSide& workers,
           Time now);

  std::uint64_t id() const { return id_; }
  const Call& call() const { return call_; }

  // ---- State.
  /// The connection was established before the restart, and only its worker can resume it.
  bool resumes() const { return !call_.handover_worker.empty(); }
  bool is_established() const { return state_ == State::established; }
  /// The client will be requested to move at the next message boundary.
  bool move_pending() const { return move_pending_; }
  /// The reason of the pending move; `silent` if none is pending.
  MoveReason move_reason() const { return move_pending_ ? move_reason_ : MoveReason::silent; }
  /// A move is pending, and the message that delays it has not ended in time.
  bool move_overdue() const;
  /// A message of the client is unanswered.
  bool awaits_answer() const { return !unanswered_.empty(); }
  /// When the oldest unanswered message was sent; requires awaits_answer().
  Time unanswered_since() const { return unanswered_.front(); }
  /// The worker has begun a message and not completed it. Considers only what has been read: after a stall of
  /// the process, more may be unread in the socket.
  bool inside_message() const { return !worker_at_boundary_; }

  // ---- Called by the client's side, which the exchange does not use after client_left.
  /// Forwards bytes to the worker; ignored unless the connection is established.
  void client_sent(const StreamChunk& chunk);
  /// The client has closed its connection; the worker's side is closed in the same way.
  void client_left(CloseKind close_kind);
  void client_blocked(bool on);  // whether the client's send buffer is full

  // ---- Called by the worker's side.
  /// Whether the client is still connected.
  bool client_waiting() const { return client_ && client_->is_connected(); }
  /// Whether the call may still be sent to the worker of its attempt.
  bool may_begin() const;
  /// Whether workers would still discard the call if an earlier attempt has been executed; true where none
  /// may have been.
  bool within_repeat_window() const;
  /// The worker accepted the call; `receipt` is its answer, forwarded to the client.
  void worker_established(std::string_view receipt);
  /// Forwards bytes to the client, then carries out a pending move if they end at a message boundary. Without
  /// bytes: reports that a message has begun, which the front holds back.
  void worker_sent(const StreamChunk& chunk);
  /// The worker has reported the load of this connection: work per second, in microseconds.
  void worker_load(double load);
  void worker_blocked(bool on);  // whether the worker's send buffer is full
  /// The attempt or the connection has ended. `error_text` is the worker's error message, if any.
  void worker_ended(Outcome outcome, CloseKind close_kind, const LoadReport& report = {},
                    std::string_view error_text = {});

 private:
  friend class Dispatcher;
  /// Waiting for a worker to answer, established at a worker, or ended.
  enum class State { waiting, established, over };

  void answer_overload(Time pause);
  void answer_failed(std::string_view error_text);
  void redirect(MoveReason reason);
  void redirect_now(MoveReason reason);
  void drop_attempt() { attempt_.reset(); }
  // The attempt that ends now may have been executed.
  void record_possible_run() {
    if (!possible_run_) possible_run_ = std::move(attempt_group_);
  }
  /// Whether an attempt has been executed or may have been.
  bool may_have_run() const { return possible_run_ || (attempt_ && !attempt_->proved_not_run()); }

  Dispatcher& dispatcher_;
  const std::uint64_t id_;
  const Call call_;
  ClientSide* client_;  // null once it has left or the exchange is over
  WorkerSide& workers_;
  std::unique_ptr<Attempt> attempt_;
  State state_ = State::waiting;
  int attempts_ = 0;
  bool withheld_ = false;                      // the policy's last attempt was not begun: the client has left
  std::unique_ptr<DedupGroup> attempt_group_;  // of the attempt in flight; null once it is established
  std::unique_ptr<DedupGroup> possible_run_;   // of the first ended attempt that may have been executed
  std::shared_ptr<const std::set<std::string>> allowed_workers_;  // null: all workers
  std::string worker_, address_;                                  // of the latest attempt
  Time attempt_started_at_ = 0, deadline_;
  std::optional<Time> send_by_;                   // of the latest attempt; none: no limit
  bool move_pending_ = false;                     // until the stream is at a message boundary
  bool worker_at_boundary_ = true;                // no message of the worker is incomplete
  MoveReason move_reason_ = MoveReason::restart;  // valid if move_pending_
  Time move_requested_at_ = 0;
  // The time at which each unanswered message was sent to the worker. A vector, since it is mostly empty and
  // an empty deque allocates memory.
  std::vector<Time> unanswered_;
};

/// Exchanges by call id.
using Exchanges = std::map<std::uint64_t, std::unique_ptr<Exchange>>;

}  // namespace marblehub::core
