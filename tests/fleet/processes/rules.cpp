#include "fleet/processes/rules.h"

#include <algorithm>
#include <map>

namespace marblehub::test {
namespace {

std::string seconds(double s) { return std::to_string(s) + " s"; }

// The last event of that worker at `at` or earlier; null if there is none.
const WorkerEvent* last_worker_event(const std::vector<WorkerEvent>& worker_events, const std::string& worker,
                                     double at) {
  const WorkerEvent* last = nullptr;
  for (const WorkerEvent& t : worker_events)
    if (t.worker == worker && t.at <= at) last = &t;
  return last;
}

bool killed_between(const std::vector<WorkerEvent>& worker_events, const std::string& worker, double from,
                    double to) {
  return std::any_of(worker_events.begin(), worker_events.end(), [&](const WorkerEvent& t) {
    return t.worker == worker && t.what != "draining" && t.at >= from && t.at <= to;
  });
}

}  // namespace

std::string check_single_answer(const Observations& observed, double max_seconds,
                                const Accountable& accountable) {
  for (const Answer& a : observed.answers) {
    if (!accountable(a.balancer, a.asked, a.at)) continue;
    if (a.text == "closed" || a.text == "none") return "call " + a.call + " had no answer: " + a.text;
    if (a.at - a.asked > max_seconds)
      return "call " + a.call + " was answered after " + seconds(a.at - a.asked);
  }
  for (const ConnectionEnd& e : observed.connection_ends)
    if (e.cause == ConnectionEnd::unexpected_line)
      return "call " + e.call + " was established and received: " + e.line;
  return "";
}

std::string check_drains(const Observations& observed, double grace, const Accountable& accountable) {
  for (const Receipt& r : observed.receipts) {
    const WorkerEvent* last_event = last_worker_event(observed.worker_events, r.worker, r.at);
    if (last_event && last_event->what == "draining" && r.at > last_event->at + grace &&
        accountable(r.balancer, last_event->at, r.at))
      return "call " + r.call + " was sent to " + r.worker + " " + seconds(r.at - last_event->at) +
             " after its drain began";
  }
  return "";
}

std::string check_moves(const Observations& observed, double max_seconds, const Accountable& accountable) {
  for (const ConnectionEnd& e : observed.connection_ends) {
    if (!accountable(e.balancer, e.established_at, e.at)) continue;
    if ((e.cause == ConnectionEnd::dropped || e.cause == ConnectionEnd::silent) &&
        !killed_between(observed.worker_events, e.worker, e.established_at, e.at))
      return "call " + e.call + " at " + e.worker +
             (e.cause == ConnectionEnd::dropped ? " was dropped" : " was silent") +
             " after being established for " + seconds(e.at - e.established_at);
    for (const WorkerEvent& t : observed.worker_events)
      if (t.worker == e.worker && t.what == "draining" && e.established_at <= t.at &&
          e.at > t.at + max_seconds)
        return "call " + e.call + " was still established at " + e.worker + " " + seconds(e.at - t.at) +
               " after its drain began";
  }
  return "";
}

std::string check_cold_starts(const Observations& observed, std::size_t max_calls, double for_seconds) {
  for (const WorkerEvent& t : observed.worker_events) {
    auto received = static_cast<std::size_t>(
        std::count_if(observed.receipts.begin(), observed.receipts.end(), [&](const Receipt& r) {
          return t.what == "started" && r.worker == t.worker && r.at >= t.at && r.at <= t.at + for_seconds;
        }));
    if (received > max_calls)
      return t.worker + " received " + std::to_string(received) + " calls in its first " +
             seconds(for_seconds);
  }
  return "";
}

std::string check_attempts(const Observations& observed, int max_attempts) {
  std::map<std::string, int> attempts;
  for (const Receipt& r : observed.receipts)
    if (++attempts[r.call] > max_attempts)
      return "call " + r.call + " was received by workers more often than " + std::to_string(max_attempts);
  return "";
}

}  // namespace marblehub::test
