// The program's own rules, judged from what clients, workers and the registry saw and never from what a
// balancer says of itself. Each verdict is empty where the rule holds, else names the call that broke it.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet/processes/fake_environment.h"

namespace marblehub::test {

// Whether that balancer may be blamed for what happened in [from, to]: it ran all the while.
using Blamed = std::function<bool(const std::string& balancer, double from, double to)>;

struct Seen {
  std::vector<Receipt> receipts;
  std::vector<Answer> answers;
  std::vector<Ending> endings;
  std::vector<Told> told;
};

// One final answer a call, `within` seconds of its asking; after UP nothing that no worker sent.
std::string one_answer(const Seen& seen, double within, const Blamed& blamed);
// Nothing new at a worker later than `grace` seconds after it was told to drain, until it is started again.
std::string drains_kept(const Seen& seen, double grace, const Blamed& blamed);
// Whoever stands at a draining worker is moved within `within` seconds; no connection is cut off or silent
// while its balancer runs and its worker lives.
std::string moved_in_order(const Seen& seen, double within, const Blamed& blamed);
// A worker that has just started gets at most `most` calls in its first `seconds`, from all together.
std::string cold_spared(const Seen& seen, std::size_t most, double seconds);
// A call comes to at most so many workers.
std::string attempts_bounded(const Seen& seen, int most);

}  // namespace marblehub::test
