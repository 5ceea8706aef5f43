#include "net/loop.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace marblehub::net {
namespace {

void change_signal_mask(int how, const std::vector<int>& numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (int number : numbers) sigaddset(&signals, number);
  sigprocmask(how, &signals, nullptr);
}

Time steady() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

}  // namespace

Fd& Fd::operator=(Fd&& other) noexcept {
  if (this != &other) {
    reset();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void Fd::reset() {
  if (fd_ < 0) return;
  in_use_ -= 1;
  ::close(std::exchange(fd_, -1));
}

Loop::Loop() : loop_(ev_default_loop(EVFLAG_AUTO)) {
  if (!loop_) throw std::runtime_error("cannot create an event loop");
  using namespace std::chrono;
  offset_ = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count() - steady();
  ev_prepare_init(&prepare_, prepare);
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  ev_init(&wake_, [](struct ev_loop*, ev_timer*, int) {});
}

Loop::~Loop() {
  ev_prepare_stop(loop_, &prepare_);
  ev_timer_stop(loop_, &wake_);
  owned_.clear();
  while (!deferred_.empty()) std::exchange(deferred_, {}).clear();
  ev_loop_destroy(loop_);
}

Time Loop::now() const { return steady() + offset_; }

void Loop::keep(std::shared_ptr<void> object, bool awaited) {
  void* key = object.get();
  owned_.emplace(key, Owned{std::move(object), awaited});
  awaited_ += awaited;
}

void Loop::release(void* object) {
  auto it = owned_.find(object);
  if (it == owned_.end()) return;
  awaited_ -= it->second.awaited;
  defer_release(std::move(it->second.object));
  owned_.erase(it);
}

void Loop::run() { ev_run(loop_, 0); }
void Loop::stop() { ev_break(loop_, EVBREAK_ALL); }

void Loop::prepare(struct ev_loop* loop, ev_prepare* watcher, int) {
  Loop& self = *static_cast<Loop*>(watcher->data);
  while (!self.deferred_.empty()) std::exchange(self.deferred_, {}).clear();
  if (!self.hook_) return;
  Time sleep = std::max<Time>(0, self.hook_());
  ev_timer_stop(loop, &self.wake_);
  ev_now_update(loop);
  ev_timer_set(&self.wake_, static_cast<double>(sleep) / 1e6, 0);
  ev_timer_start(loop, &self.wake_);
}

UnblockedSignals::UnblockedSignals(std::vector<int> numbers) : signals_(std::move(numbers)) {
  change_signal_mask(SIG_UNBLOCK, signals_);
}
void UnblockedSignals::block(const std::vector<int>& numbers) { change_signal_mask(SIG_BLOCK, numbers); }

void IoWatch::start(int fd, int events) {
  stop();
  if (events == 0) return;
  ev_io_set(&watcher_, fd, events);
  ev_io_start(loop_.raw(), &watcher_);
}

// After a stall the timer is postponed once, so that one further iteration reads the sockets before the
// timeout is acted on.
void TimerWatch::due() {
  postponed_ = !postponed_ && loop_.now() - due_time_ > kStallThreshold;
  if (!postponed_) return call_();
  ev_timer_set(&watcher_, 0, 0);
  ev_timer_start(loop_.raw(), &watcher_);
}

void TimerWatch::start(Time after) {
  stop();
  postponed_ = false;
  due_time_ = loop_.now() + std::max<Time>(0, after);
  ev_now_update(loop_.raw());
  ev_timer_set(&watcher_, static_cast<double>(std::max<Time>(0, after)) / 1e6, 0);
  ev_timer_start(loop_.raw(), &watcher_);
}

}  // namespace marblehub::net
