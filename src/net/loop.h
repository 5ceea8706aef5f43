/// RAII wrappers for libev: the event loop, its watchers, and file descriptors.
#pragma once

#include <ev.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/ports.h"

namespace marblehub::net {

using core::Time;

/// A timer that fires later than this, in microseconds, indicates that the whole process was stalled: sockets
/// are then read before the timeout is acted on. Above the usual lateness of up to 2 ms, as epoll counts in
/// milliseconds.
constexpr Time kStallThreshold = 5'000;

/// Owns a file descriptor and closes it on destruction. Counts all descriptors owned this way against a
/// limit.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) { in_use_ += fd >= 0; }
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept;
  ~Fd() { reset(); }
  void reset();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  static std::size_t in_use() { return in_use_; }  ///< open descriptors of all instances
  /// Sets how many descriptors may be open at once. Opening one does not check the limit; callers ask first.
  static void set_max_open(std::size_t max_open) { max_open_ = max_open; }
  /// How many more may be opened, with `reserve` added to the limit for callers that may use reserved ones.
  static std::size_t available(std::size_t reserve = 0) {
    return in_use_ < max_open_ + reserve ? max_open_ + reserve - in_use_ : 0;
  }

 private:
  int fd_;
  static inline std::size_t in_use_ = 0, max_open_ = SIZE_MAX / 2;  // until a limit is known
};

/// The event loop of the process. It is also the clock: the system time at construction, advanced by the
/// steady clock, in microseconds. Throws std::runtime_error if no loop can be created.
class Loop final : public core::Clock {
 public:
  Loop();
  ~Loop() override;
  Loop(const Loop&) = delete;

  Time now() const override;
  void run();  ///< returns after stop()
  void stop();
  /// Sets a function that is called before each wait and returns how long the loop may sleep.
  void before_wait(std::function<Time()> hook) { hook_ = std::move(hook); }
  /// Keeps an object until none of its callbacks can be running: it is freed before the next wait.
  void defer_release(std::shared_ptr<void> object) { deferred_.push_back(std::move(object)); }
  /// Owns an object until `release`, which the object calls when it is done. Objects left are freed with the
  /// loop. The program's exit waits, for a bounded time, for those with `awaited` set.
  void keep(std::shared_ptr<void> object, bool awaited);
  void release(void* object);
  bool has_awaited() const { return awaited_ > 0; }
  struct ev_loop* raw() {
    return loop_;
  }

 private:
  static void prepare(struct ev_loop*, ev_prepare* watcher, int);

  struct ev_loop* loop_;
  ev_prepare prepare_;
  ev_timer wake_;
  Time offset_ = 0;
  std::function<Time()> hook_;
  std::vector<std::shared_ptr<void>> deferred_;
  // An object passed to keep().
  struct Owned {
    std::shared_ptr<void> object;
    bool awaited;
  };
  std::map<void*, Owned> owned_;
  std::size_t awaited_ = 0;  // number of owned objects that the exit waits for
};

/// Calls a function with the ready events of a descriptor. Stops on destruction.
class IoWatch {
 public:
  IoWatch(Loop& loop, std::function<void(int)> call) : loop_(loop), call_(std::move(call)) {
    ev_init(&watcher_,
            [](struct ev_loop*, ev_io* w, int events) { static_cast<IoWatch*>(w->data)->call_(events); });
    watcher_.data = this;
  }
  ~IoWatch() { stop(); }
  IoWatch(const IoWatch&) = delete;
  void start(int fd, int events);  ///< watches for EV_READ and EV_WRITE; no events: stops
  /// Watchers of a higher priority run first within an iteration; the default is 0. Call it before start.
  void priority(int level) { ev_set_priority(&watcher_, level); }
  void stop() { ev_io_stop(loop_.raw(), &watcher_); }
  /// Makes the loop call the function with `events` in its next iteration.
  void feed(int events) { ev_feed_event(loop_.raw(), &watcher_, events); }

 private:
  Loop& loop_;
  std::function<void(int)> call_;
  ev_io watcher_;
};

/// Calls a function once after a delay in microseconds. Stops on destruction.
class TimerWatch {
 public:
  TimerWatch(Loop& loop, std::function<void()> call) : loop_(loop), call_(std::move(call)) {
    ev_init(&watcher_, [](struct ev_loop*, ev_timer* w, int) { static_cast<TimerWatch*>(w->data)->due(); });
    ev_set_priority(&watcher_, EV_MINPRI);  // after sockets ready in the same iteration
    watcher_.data = this;
  }
  ~TimerWatch() { stop(); }
  TimerWatch(const TimerWatch&) = delete;
  /// Starts the timer, or restarts it if it is active.
  void start(Time after);
  void stop() { ev_timer_stop(loop_.raw(), &watcher_); }
  bool active() const { return ev_is_active(&watcher_); }

 private:
  void due();

  Loop& loop_;
  std::function<void()> call_;
  ev_timer watcher_;
  Time due_time_ = 0;
  bool postponed_ = false;  // by one iteration, after a stall of the process
};

/// Unblocks the given signals while it exists, and blocks them again on destruction.
class UnblockedSignals {
 public:
  explicit UnblockedSignals(std::vector<int> numbers);
  ~UnblockedSignals() { block(signals_); }
  UnblockedSignals(const UnblockedSignals&) = delete;
  static void block(const std::vector<int>& numbers);  ///< blocked signals stay pending

 private:
  const std::vector<int> signals_;
};

/// Calls a function from the loop when a signal has arrived. Active from construction to destruction.
class SignalWatch {
 public:
  SignalWatch(Loop& loop, int number, std::function<void()> call) : loop_(loop), call_(std::move(call)) {
    ev_signal_init(
        &watcher_, [](struct ev_loop*, ev_signal* w, int) { static_cast<SignalWatch*>(w->data)->call_(); },
        number);
    watcher_.data = this;
    ev_signal_start(loop_.raw(), &watcher_);
  }
  ~SignalWatch() { ev_signal_stop(loop_.raw(), &watcher_); }
  SignalWatch(const SignalWatch&) = delete;

 private:
  Loop& loop_;
  std::function<void()> call_;
  ev_signal watcher_;
};

}  // namespace marblehub::net
