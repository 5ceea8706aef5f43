// libev under RAII: the loop, its watchers, and descriptors. A watcher stops when it goes.
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

// A timer that is called later than this was held up together with the whole process: the wait itself is late
// by up to 2 ms, as epoll counts in milliseconds. What has come meanwhile is then read first.
constexpr Time kHeldUp = 5'000;

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) { in_use_ += fd >= 0; }
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept;
  ~Fd() { reset(); }
  void reset();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  static std::size_t in_use() { return in_use_; }  // by all that there are
  // How many there may be at once; `reserve` are kept beside them for one that nothing else may go without.
  static void allow(std::size_t most) { most_ = most; }
  static std::size_t left(std::size_t reserve = 0) {
    return in_use_ < most_ + reserve ? most_ + reserve - in_use_ : 0;
  }

 private:
  int fd_;
  static inline std::size_t in_use_ = 0, most_ = SIZE_MAX / 2;  // until a limit is known
};

// The loop is also the clock: the system's time at start, carried on by the steady clock.
class Loop final : public core::Clock {
 public:
  Loop();
  ~Loop() override;
  Loop(const Loop&) = delete;

  Time now() const override;
  void run();
  void stop();
  // Called before each wait; returns how long the loop may sleep.
  void before_wait(std::function<Time()> hook) { hook_ = std::move(hook); }
  // Keeps an object until no callback of it can be running: it is freed before the next wait.
  void defer_release(std::shared_ptr<void> object) { deferred_.push_back(std::move(object)); }
  // Owns an object that finishes by itself, until release. Whatever has not by the end goes with the loop;
  // the program's exit waits, for a bounded time, for those that are `awaited`.
  void keep(std::shared_ptr<void> object, bool awaited);
  void release(void* object);
  bool awaits() const { return awaited_ > 0; }
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
  struct Kept {
    std::shared_ptr<void> object;
    bool awaited;
  };
  std::map<void*, Kept> kept_;
  std::size_t awaited_ = 0;  // of those kept
};

// One watcher of libev with a function to call. W is ev_io, ev_timer or ev_signal.
class IoWatch {
 public:
  IoWatch(Loop& loop, std::function<void(int)> call) : loop_(loop), call_(std::move(call)) {
    ev_init(&watcher_,
            [](struct ev_loop*, ev_io* w, int events) { static_cast<IoWatch*>(w->data)->call_(events); });
    watcher_.data = this;
  }
  ~IoWatch() { stop(); }
  IoWatch(const IoWatch&) = delete;
  void start(int fd, int events);
  // Before start. Of what is ready at once, watchers of a higher priority are called first; 0 is the usual.
  void priority(int level) { ev_set_priority(&watcher_, level); }
  void stop() { ev_io_stop(loop_.raw(), &watcher_); }
  void feed(int events) { ev_feed_event(loop_.raw(), &watcher_, events); }

 private:
  Loop& loop_;
  std::function<void(int)> call_;
  ev_io watcher_;
};

class TimerWatch {
 public:
  TimerWatch(Loop& loop, std::function<void()> call) : loop_(loop), call_(std::move(call)) {
    ev_init(&watcher_, [](struct ev_loop*, ev_timer* w, int) { static_cast<TimerWatch*>(w->data)->due(); });
    ev_set_priority(&watcher_, EV_MINPRI);  // after the sockets that are ready in the same turn
    watcher_.data = this;
  }
  ~TimerWatch() { stop(); }
  TimerWatch(const TimerWatch&) = delete;
  void start(Time after);
  void stop() { ev_timer_stop(loop_.raw(), &watcher_); }
  bool active() const { return ev_is_active(&watcher_); }

 private:
  void due();

  Loop& loop_;
  std::function<void()> call_;
  ev_timer watcher_;
  Time due_at_ = 0;
  bool put_off_ = false;
};

// Lets signals that were shut out through while it lives.
class SignalGate {
 public:
  explicit SignalGate(std::vector<int> numbers);
  ~SignalGate() { shut(numbers_); }
  SignalGate(const SignalGate&) = delete;
  static void shut(const std::vector<int>& numbers);  // they wait from then on

 private:
  const std::vector<int> numbers_;
};

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
