/// The one object where the client's side and the worker's side of a call meet. It sees to it that the client
/// gets exactly one answer and that no two attempts are in flight at once.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/ports.h"

namespace marblehub::core {

class Dispatcher;

/// What a client asks for, as its front has read it.
struct Call {
  int request_class = 0;
  Time expires_in = 0;
  double load_hint = 0;
  bool returned = false;
  std::uint64_t group = 0;      // of calls that share work on a worker; 0: none
  std::string tenant, area;     // as the client named them; the area names the group
  std::string front_data;       // what the client began with; the front's own
  std::string handover_worker;  // the worker that holds it since before the start; else empty
};

/// Owned by the dispatcher; refers to the front's two sides, and owns the attempt in flight.
class Exchange {
 public:
  Exchange(Dispatcher& dispatcher, std::uint64_t id, Call call, ClientSide& client, WorkerSide& workers,
           Time now);

  std::uint64_t id() const { return id_; }
  const Call& call() const { return call_; }

  // ---- How it stands.
  bool is_established() const { return state_ == State::established; }
  bool move_pending() const {
    return move_pending_;
  }  // to be told to move once the stream is between two messages
  /// Why it is to move; that its worker is silent where nothing else has asked for it.
  MoveReason move_reason() const { return move_pending_ ? move_reason_ : MoveReason::silent; }
  bool move_overdue() const;  // the message that the move waits for does not end
  bool awaits_answer() const { return !unanswered_.empty(); }
  Time unanswered_since() const {
    return unanswered_.front();
  }                                     // the oldest message; only if awaits_answer()
  bool stalled_inside_message() const;  // whether or not it is to move

  // ---- From the client's side. After client_left the exchange calls it no more.
  void client_sent(const StreamChunk& chunk);
  void client_left(CloseKind ending);
  void client_blocked(bool on);  // the client takes no more for now

  // ---- From the worker's side.
  bool client_waiting() const { return client_ && client_->is_connected(); }
  bool may_begin() const;  // whether the worker may still be sent something new
  void worker_established(std::string_view receipt);
  void worker_sent(const StreamChunk& chunk);
  void worker_load(double load);
  void worker_blocked(bool on);
  void worker_ended(Outcome outcome, CloseKind ending, const LoadReport& report = {},
                    std::string_view words = {});

 private:
  friend class Dispatcher;
  enum class State { waiting, established, over };

  void answer_overload(Time pause);
  void answer_failed(std::string_view words);
  void redirect(MoveReason reason);
  void redirect_now(MoveReason reason);
  void drop_attempt() { attempt_.reset(); }

  Dispatcher& dispatcher_;
  const std::uint64_t id_;
  const Call call_;
  ClientSide* client_;  // none once it has left or the exchange is over
  WorkerSide& workers_;
  std::unique_ptr<Attempt> attempt_;
  State state_ = State::waiting;
  int attempts_ = 0;
  int handover_attempts_ = 0;
  bool withheld_ = false;  // the module's latest attempt was not begun: the client has left, and is read soon
  std::shared_ptr<const std::set<std::string>> allowed_workers_;  // workers it may use; none: any
  std::string worker_, address_;                                  // of the latest attempt
  Time sent_at_ = 0, deadline_;
  bool move_pending_ = false;  // to be told to move as soon as the stream stands between two messages
  bool client_at_boundary_ = true;
  MoveReason move_reason_ = MoveReason::restart;  // only if move_pending_
  Time moving_since_ = 0;
  Time last_received_at_ = 0;  // when the worker's last bytes came
  // When each message of the client went to the worker. Few at a time, and none on most: no deque, which
  // takes half a kilobyte when it is empty.
  std::vector<Time> unanswered_;
};

/// By call id.
using Exchanges = std::map<std::uint64_t, std::unique_ptr<Exchange>>;

}  // namespace marblehub::core
