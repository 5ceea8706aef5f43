// Checks of the balancer's own rules, from what clients, workers and the registry observed and never from
// what a balancer reports of itself. Each check returns the violation with its call, or an empty text if
// there is none.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet/processes/fake_environment.h"

namespace marblehub::test {

/// Whether that balancer is responsible for what happened in [from, to], since it ran throughout.
using Accountable = std::function<bool(const std::string& balancer, double from, double to)>;

/// All that the fake environment has recorded.
struct Observations {
  std::vector<Receipt> receipts;
  std::vector<Answer> answers;
  std::vector<ConnectionEnd> connection_ends;
  std::vector<WorkerEvent> worker_events;
};

/// Each call gets one final answer within `max_seconds`; after UP only lines of its worker follow.
std::string check_single_answer(const Observations& observed, double max_seconds,
                                const Accountable& accountable);
/// A draining worker gets no call later than `grace` seconds after the registry's report, until its next
/// start.
std::string check_drains(const Observations& observed, double grace, const Accountable& accountable);
/// Connections leave a draining worker within `max_seconds`; none is dropped or silent while its balancer
/// runs and its worker lives.
std::string check_moves(const Observations& observed, double max_seconds, const Accountable& accountable);
/// A worker that has just started gets at most `max_calls` calls in its first `seconds`, from all balancers
/// together.
std::string check_cold_starts(const Observations& observed, std::size_t max_calls, double seconds);
/// A call is sent to workers at most `max_attempts` times.
std::string check_attempts(const Observations& observed, int max_attempts);

}  // namespace marblehub::test
