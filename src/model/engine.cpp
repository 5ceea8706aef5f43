#include "model/engine.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <limits>
#include <stdexcept>
#include <thread>

namespace marblehub::model {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr int kSpinsBeforeYield = 2000;  // iterations of busy waiting at a barrier before the thread yields

// A spinning barrier for a fixed number of threads; the last thread to arrive releases the others.
class Barrier {
 public:
  explicit Barrier(int thread_count) : thread_count_(thread_count) {}
  void wait() {
    unsigned generation = generation_.load(std::memory_order_acquire);
    if (arrived_.fetch_add(1, std::memory_order_acq_rel) + 1 == thread_count_) {
      arrived_.store(0, std::memory_order_relaxed);
      generation_.fetch_add(1, std::memory_order_release);
      return;
    }
    for (int spins = 0; generation_.load(std::memory_order_acquire) == generation; ++spins)
      if (spins > kSpinsBeforeYield) std::this_thread::yield();
  }

 private:
  const int thread_count_;
  std::atomic<int> arrived_{0};
  std::atomic<unsigned> generation_{0};
};

}  // namespace

// The state that the threads of one run share.
struct Engine::State {
  explicit State(int threads) : barrier(threads), next(static_cast<std::size_t>(threads)) {}
  struct alignas(64) Earliest {
    Time when = kNever;
  };
  Barrier barrier;
  std::vector<Earliest> next;  // per thread: the earliest timestamp among the processes it has collected
  // Threads take processes from shared counters, since the processes differ widely in the number of their
  // events and a window lasts as long as its slowest thread.
  alignas(64) std::atomic<std::size_t> next_to_collect{0}, next_to_run{0};
  std::atomic<bool> failed{false};
  std::mutex error_mutex;
  std::exception_ptr error;
};

Engine::Engine(Time lookahead, int threads) : lookahead_(lookahead), threads_(threads) {}
Engine::~Engine() = default;

std::uint32_t Engine::add(LogicalProcess& process) {
  process.engine_ = this;
  process.number_ = static_cast<std::uint32_t>(processes_.size());
  processes_.push_back(&process);
  return process.number_;
}

void Engine::schedule_initial(Event event, Time when) {
  LogicalProcess& process = *processes_.at(event.process);
  event.when = when;
  event.order = process.scheduled_count_++;  // sender 0 is reserved for initial events
  process.push(event);
}

void LogicalProcess::push(const Event& event) {
  std::uint32_t slot;
  if (free_slots_.empty()) {
    slot = static_cast<std::uint32_t>(events_.size());
    events_.push_back(event);
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
    events_[slot] = event;
  }
  heap_.push_back({event.when, event.order, slot});
  std::push_heap(heap_.begin(), heap_.end(), is_later);
}

Event LogicalProcess::pop() {
  std::pop_heap(heap_.begin(), heap_.end(), is_later);
  std::uint32_t slot = heap_.back().slot;
  heap_.pop_back();
  free_slots_.push_back(slot);
  return events_[slot];
}

void LogicalProcess::schedule(Event event, Time when) {
  event.when = when;
  event.order = (static_cast<std::uint64_t>(number_) + 1) << 44 | scheduled_count_++;
  if (event.process == number_) {
    if (when < now_) event.when = now_;
    push(event);
    return;
  }
  if (when < now_ + engine_->lookahead_)
    throw std::logic_error("an event for another process is scheduled too soon: within the lookahead");
  LogicalProcess& other = *engine_->processes_[event.process];
  std::lock_guard lock(other.inbox_mutex_);
  other.inbox_.push_back(event);
}

std::uint64_t Engine::handled() const {
  std::uint64_t total = 0;
  for (const LogicalProcess* process : processes_) total += process->handled_;
  return total;
}

void Engine::run_thread(int thread, Time end, const std::function<void(Time)>& progress) {
  State& state = *state_;
  auto last_progress = std::chrono::steady_clock::now();
  for (;;) {
    Time earliest = kNever;
    for (std::size_t i; (i = state.next_to_collect.fetch_add(1)) < processes_.size();) {
      LogicalProcess* process = processes_[i];
      for (const Event& event : process->inbox_)
        process->push(event);  // no lock needed: no process runs between the barriers
      process->inbox_.clear();
      if (!process->heap_.empty()) earliest = std::min(earliest, process->heap_.front().when);
    }
    state.next[static_cast<std::size_t>(thread)].when = earliest;
    // Read before the barrier, where no thread can set it: after the barrier a fast thread may already fail
    // in the next window, and all threads have to return in the same iteration.
    bool failed = state.failed.load();
    state.barrier.wait();
    for (const State::Earliest& next : state.next) earliest = std::min(earliest, next.when);
    if (earliest >= end || failed) return;
    Time window_end = std::min(end, earliest + lookahead_);
    if (thread == 0) state.next_to_collect = 0;  // next read after the barrier below
    try {
      for (std::size_t i; (i = state.next_to_run.fetch_add(1)) < processes_.size();) {
        LogicalProcess* process = processes_[i];
        while (!process->heap_.empty() && process->heap_.front().when < window_end) {
          Event event = process->pop();
          process->now_ = event.when;
          process->handled_ += 1;
          process->handle(event);
        }
      }
    } catch (...) {
      std::lock_guard lock(state.error_mutex);
      if (!state.error) state.error = std::current_exception();
      state.failed = true;
    }
    if (thread == 0 && progress &&
        std::chrono::steady_clock::now() - last_progress > std::chrono::milliseconds(500)) {
      last_progress = std::chrono::steady_clock::now();
      progress(window_end);
    }
    state.barrier.wait();
    if (thread == 0) state.next_to_run = 0;  // next read after the barrier above
  }
}

void Engine::run(Time end, const std::function<void(Time)>& progress) {
  state_ = std::make_unique<State>(threads_);
  std::vector<std::thread> threads;
  for (int i = 1; i < threads_; ++i) threads.emplace_back([this, i, end] { run_thread(i, end, {}); });
  run_thread(0, end, progress);
  for (std::thread& other : threads) other.join();
  if (state_->error) std::rethrow_exception(state_->error);
}

}  // namespace marblehub::model
