// The program's own rules, judged from what clients, workers and the registry saw and never from what a
// balancer says of itself. Each verdict is empty where the rule holds, else names the call that broke it.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet/processes/fake_environment.h"

namespace marblehub::test {

// Whether that balancer may be blamed for what happened in [from, to]: it ran all the while.
using Accountable = std::function<bool(const std::string& balancer, double from, double to)>;

struct Observations {
  std::vector<Receipt> receipts;
  std::vector<Answer> answers;
  std::vector<ConnectionEnd> connection_ends;
  std::vector<WorkerEvent> worker_events;
};

// One final answer a call, `within` seconds of its asking; after UP nothing that no worker sent.
std::string check_single_answer(const Observations& observed, double max_seconds,
                                const Accountable& accountable);
// Nothing new at a worker later than `grace` seconds after it was told to drain, until it is started again.
std::string check_drains(const Observations& observed, double grace, const Accountable& accountable);
// Whoever stands at a draining worker is moved within `within` seconds; no connection is cut off or silent
// while its balancer runs and its worker lives.
std::string check_moves(const Observations& observed, double max_seconds, const Accountable& accountable);
// A worker that has just started gets at most `most` calls in its first `seconds`, from all together.
std::string check_cold_starts(const Observations& observed, std::size_t max_calls, double seconds);
// A call comes to at most so many workers.
std::string check_attempts(const Observations& observed, int max_attempts);

}  // namespace marblehub::test
