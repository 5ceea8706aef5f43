// Plays a scenario, a text file. Each line is one step, # begins a comment:
// clang-format off
//   members N | voters N | seed N | settings JSON     set up the fleet, before the first start
//   workers N                                          starts the whole balancer, with a fake environment around it
//   pool VERSION WORKERS                               the workers that a version names, for the checks of receipts
//   [at SECONDS] STEP               waits until SECONDS after the last `mark` or the first start
//   mark                            remembers the time and all counters
//   start WHO | kill WHO | stop WHO | cont WHO | term WHO | wipe WHO | copy WHO | restore WHO
//   clock WHO MILLISECONDS          offset of the clock from the machine's
//   cut WHO | WHO [| WHO]           nothing passes between the groups, in either direction
//   cut WHO > WHO                   in one direction only
//   loss N% | repeat N% | reorder N% | delay FROM TO [WHO > WHO]     on all links or on those named
//   flap SECONDS TIMES WHO | WHO    cuts and heals in turn, each for SECONDS; ends healed
//   heal                            removes all faults from the links
//   wait SECONDS
//   leader within SECONDS           waits until one member leads the record; WHO can then name it `leader`, all
//                                   other voters `followers`, the first and the second of these `follower` and `other`
//   full WHO | free WHO             writes to the disk of a running member fail; succeed again
//   settings JSON                   after the first start: for processes started from now on
//   calls WHO RATE [FIELDS]         RATE calls per second at each balancer, for each FIELDS on its own; 0 stops them
//   stay [SECONDS]                  connections established from now on last SECONDS, or until a MOVE; moved clients
//                                   call again at once
//   worker NAME drain|kill|start    listed as draining; killed, still listed; started again with a new start time
//   silent WORKER ... | speaks WORKER ...     accepts connections without an answer; answers again
//   stall WORKER|player SECONDS     it neither reads nor writes meanwhile; player: all workers, clients and the registry
//   stalls workers|balancers|player TIMES FROM TO     one after another, times and lengths (SECONDS) drawn with the seed
//   obey                            clients answered BUSY MS call again after that time
//   file WHO NAME TEXT              written into its folder, which settings refer to as FOLDER
//   expect WHO see N within SECONDS         N members alive in each view, and all views equal
//   expect WHO settled within SECONDS       their views have converged
//   expect WHO keep N for SECONDS           as `see`, throughout
//   expect nobody given up                  no running member has declared another dead since the last `mark`
//   expect WHO say TEXT within SECONDS      in its log, since its start
//   expect WHO end with CODE within SECONDS
//   expect WHO METRIC OP N within SECONDS   OP: = < >
//   expect WHO METRIC grew N within SECONDS     by at most N since the last `mark`
//   expect calls FIELDS served at most N
//   expect calls FIELDS served N% in SECONDS    N% of the calls since the last `mark`, each within SECONDS
//   expect spread over SECONDS at most N%       each tenth of the time since the last `mark` has N% of the receipts at most
//   expect receipts by version in order within SECONDS     SECONDS: clock error bound
//   expect first by VERSION within SECONDS            any receipt by it; polled each millisecond
//   expect WHO place by VERSION within SECONDS        each balancer has a new receipt by it; 0: by any version
//   expect WHO place nothing for SECONDS
//   expect none by VERSION | expect one of VERSION,VERSION       so far: no receipt by it; receipts by exactly one of them
//   expect gap of WHO at most SECONDS                 longest time without a receipt, between two since the last `mark`
//   expect switch to VERSION within SECONDS spread SECONDS       from the last `hup` to the last balancer's first receipt
//   expect served at most N | expect served at least N within SECONDS    calls answered UP, at all balancers
//   expect WHO serve within SECONDS         each balancer has a new receipt
//   expect moved at least N within SECONDS | expect moved at most N for SECONDS    clients that received MOVE, in total
//   expect rules                            the checks of rules.h, from the start until now
//   expect answered                         every call has its answer, except at killed balancers
// clang-format on
// WHO: names separated by commas, b1..b3, leader, followers, follower, other, or all. Expectations on
// counters leave out the members that do not run.
#pragma once

#include <string>
#include <vector>

#include "fleet/processes/balancers.h"

namespace marblehub::test {

/// Outcome of a scenario; `why` and `timeline` are set if it failed.
struct ScenarioResult {
  bool passed = true;
  std::string why, timeline;
  std::vector<std::pair<std::string, double>>
      durations;  // seconds until each expectation held, or its measured value
};

/// Plays the scenario in `text` with the programs `node_program` (fleet_node) and `balancer_program`. An
/// error of a step or an expectation that does not hold ends it with the line's number in `why`.
ScenarioResult play_scenario(const std::string& text, const std::string& node_program,
                             const std::string& balancer_program);

}  // namespace marblehub::test
