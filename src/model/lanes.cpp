#include "model/lanes.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <limits>
#include <stdexcept>
#include <thread>

namespace marblehub::model {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr int kSpins = 2000;  // before a thread that waits for the others gives its core away

// All threads meet here; the last to come lets the others go.
class Meeting {
 public:
  explicit Meeting(int all) : all_(all) {}
  void wait() {
    unsigned round = round_.load(std::memory_order_acquire);
    if (come_.fetch_add(1, std::memory_order_acq_rel) + 1 == all_) {
      come_.store(0, std::memory_order_relaxed);
      round_.fetch_add(1, std::memory_order_release);
      return;
    }
    for (int spins = 0; round_.load(std::memory_order_acquire) == round; ++spins)
      if (spins > kSpins) std::this_thread::yield();
  }

 private:
  const int all_;
  std::atomic<int> come_{0};
  std::atomic<unsigned> round_{0};
};

}  // namespace

struct Lanes::State {
  explicit State(int threads) : meeting(threads), next(static_cast<std::size_t>(threads)) {}
  struct alignas(64) Next {
    Time when = kNever;
  };
  Meeting meeting;
  std::vector<Next> next;  // the earliest event of the lanes that a thread has looked at
  // Lanes are taken by whichever thread is free: a window lasts as long as its busiest thread, and one lane
  // may have far more to do in it than another.
  alignas(64) std::atomic<std::size_t> to_look{0}, to_run{0};
  std::atomic<bool> failed{false};
  std::mutex error_mutex;
  std::exception_ptr error;
};

Lanes::Lanes(Time lookahead, int threads) : lookahead_(lookahead), threads_(threads) {}
Lanes::~Lanes() = default;

std::uint32_t Lanes::add(Lane& lane) {
  lane.lanes_ = this;
  lane.number_ = static_cast<std::uint32_t>(lanes_.size());
  lanes_.push_back(&lane);
  return lane.number_;
}

void Lanes::begin_with(Event event, Time when) {
  Lane& lane = *lanes_.at(event.lane);
  event.when = when;
  event.order = lane.count_++;  // lane 0's own part of the order: nothing else runs yet
  lane.push(event);
}

void Lane::push(const Event& event) {
  std::uint32_t slot;
  if (free_.empty()) {
    slot = static_cast<std::uint32_t>(events_.size());
    events_.push_back(event);
  } else {
    slot = free_.back();
    free_.pop_back();
    events_[slot] = event;
  }
  heap_.push_back({event.when, event.order, slot});
  std::push_heap(heap_.begin(), heap_.end(), after);
}

Event Lane::pop() {
  std::pop_heap(heap_.begin(), heap_.end(), after);
  std::uint32_t slot = heap_.back().slot;
  heap_.pop_back();
  free_.push_back(slot);
  return events_[slot];
}

void Lane::later(Event event, Time when) {
  event.when = when;
  event.order = (static_cast<std::uint64_t>(number_) + 1) << 44 | count_++;
  if (event.lane == number_) {
    if (when < now_) event.when = now_;
    push(event);
    return;
  }
  if (when < now_ + lanes_->lookahead_) throw std::logic_error("an event for another lane comes too soon");
  Lane& other = *lanes_->lanes_[event.lane];
  std::lock_guard lock(other.inbox_mutex_);
  other.inbox_.push_back(event);
}

std::uint64_t Lanes::handled() const {
  std::uint64_t all = 0;
  for (const Lane* lane : lanes_) all += lane->handled_;
  return all;
}

void Lanes::work(int thread, Time end, const std::function<void(Time)>& progress) {
  State& state = *state_;
  auto told = std::chrono::steady_clock::now();
  for (;;) {
    Time earliest = kNever;
    for (std::size_t i; (i = state.to_look.fetch_add(1)) < lanes_.size();) {
      Lane* lane = lanes_[i];
      for (const Event& event : lane->inbox_) lane->push(event);  // nobody sends now: all have met
      lane->inbox_.clear();
      if (!lane->heap_.empty()) earliest = std::min(earliest, lane->heap_.front().when);
    }
    state.next[static_cast<std::size_t>(thread)].when = earliest;
    // Looked at where nobody can set it: once all have met, a quick thread may fail before a slow one looks,
    // and either all end here or none.
    bool failed = state.failed.load();
    state.meeting.wait();
    for (const State::Next& next : state.next) earliest = std::min(earliest, next.when);
    if (earliest >= end || failed) return;
    Time until = std::min(end, earliest + lookahead_);
    if (thread == 0) state.to_look = 0;  // nobody looks before all have met again
    try {
      for (std::size_t i; (i = state.to_run.fetch_add(1)) < lanes_.size();) {
        Lane* lane = lanes_[i];
        while (!lane->heap_.empty() && lane->heap_.front().when < until) {
          Event event = lane->pop();
          lane->now_ = event.when;
          lane->handled_ += 1;
          lane->happens(event);
        }
      }
    } catch (...) {
      std::lock_guard lock(state.error_mutex);
      if (!state.error) state.error = std::current_exception();
      state.failed = true;
    }
    if (thread == 0 && progress && std::chrono::steady_clock::now() - told > std::chrono::milliseconds(500)) {
      told = std::chrono::steady_clock::now();
      progress(until);
    }
    state.meeting.wait();
    if (thread == 0) state.to_run = 0;  // nor runs before all have looked
  }
}

void Lanes::run(Time end, const std::function<void(Time)>& progress) {
  state_ = std::make_unique<State>(threads_);
  std::vector<std::thread> others;
  for (int i = 1; i < threads_; ++i) others.emplace_back([this, i, end] { work(i, end, {}); });
  work(0, end, progress);
  for (std::thread& other : others) other.join();
  if (state_->error) std::rethrow_exception(state_->error);
}

}  // namespace marblehub::model
