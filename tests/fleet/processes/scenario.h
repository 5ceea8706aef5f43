// One scenario, a text file; a line is one step, # begins a comment:
// clang-format off
//   members N | voters N | seed N | settings JSON     before the first start
//   workers N                                          the whole program then, with stand-ins around it
//   pool VERSION WORKERS                               for `receipts by version in order`
//   [at SECONDS] STEP               SECONDS since the last `mark`, or since the first start
//   mark
//   start WHO | kill WHO | stop WHO | cont WHO | term WHO | wipe WHO | copy WHO | restore WHO
//   clock WHO MILLISECONDS
//   cut WHO | WHO [| WHO]           nothing passes between the groups, either way
//   cut WHO > WHO                   one way only
//   loss N% | repeat N% | reorder N% | delay FROM TO [WHO > WHO]     on all links, or on those
//   flap SECONDS TIMES WHO | WHO    cut, healed, cut ... each so long; ends healed
//   heal                            all links as at the start
//   wait SECONDS
//   leader within SECONDS           waits until one leads the record; it is `leader` in WHO from then on, and the
//                                   other voters are `followers`, `follower` and `other`
//   full WHO | free WHO             the disk of a running one takes nothing more; does again
//   settings JSON                   once some run: of those that are started from now on
//   calls WHO RATE [FIELDS]         clients of their own, so many a second at each, for each FIELDS; 0 ends those
//   stay [SECONDS]                  clients that are set up from now on stay so long, or until they are told to move;
//                                   those come again at once
//   worker NAME drain|kill|start    told by the registry; without a word; back under its name, cold
//   silent WORKER ... | speaks WORKER ...
//   stall WORKER|player SECONDS     it reads and says nothing for so long; the player: all workers and clients
//   stalls workers|balancers|player TIMES FROM TO     one after another, at moments and of lengths drawn from the seed
//   obey                            from now on those told BUSY MS call again then
//   file WHO NAME TEXT              written into its folder, which settings name as FOLDER
//   expect WHO see N within SECONDS         so many alive in each one's view, and all their views equal
//   expect WHO settled within SECONDS
//   expect WHO keep N for SECONDS           that holds all the while
//   expect nobody given up                  no running one has ever given up another since the last `mark`
//   expect WHO say TEXT within SECONDS      in the log, since its start
//   expect WHO end with CODE within SECONDS
//   expect WHO METRIC OP N within SECONDS   OP: = < >
//   expect WHO METRIC grew N within SECONDS     since the last `mark`, by N at most
//   expect calls FIELDS served at most N
//   expect calls FIELDS served N% in SECONDS    of those asked since the last `mark` so many were, each so soon
//   expect spread over SECONDS at most N%       in each tenth of them since the last `mark`, of what workers took
//   expect receipts by version in order within SECONDS     the bound on clocks
//   expect first by VERSION within SECONDS            any receipt by it; looked for each millisecond
//   expect WHO place by VERSION within SECONDS        each one's next receipts; 0: by any
//   expect WHO place nothing for SECONDS
//   expect none by VERSION | expect one of VERSION,VERSION       so far; exactly one of them was placed by
//   expect gap of WHO at most SECONDS                 in which one placed nothing since the last `mark`, where over
//   expect switch to VERSION within SECONDS spread SECONDS       from the last `hup` to all ones' first receipts
//   expect served at most N | expect served at least N within SECONDS    UP, whoever was asked
//   expect WHO serve within SECONDS         each one's next call is taken by a worker
//   expect moved at least N within SECONDS | expect moved at most N for SECONDS    clients told so, all in all
//   expect rules                            the program's own, as rules.h has them, from the start until now
//   expect answered                         every call but those of killed ones had its answer
// clang-format on
// WHO: names with commas, b1..b3, leader, followers, follower, other, or all (those that run, where they are
// asked or signalled).
#pragma once

#include <string>
#include <vector>

#include "fleet/processes/balancers.h"

namespace marblehub::test {

struct ScenarioResult {
  bool passed = true;
  std::string why, timeline;
  std::vector<std::pair<std::string, double>> durations;  // an expectation, and seconds until it held
};

ScenarioResult play_scenario(const std::string& text, const std::string& node_program,
                             const std::string& balancer_program);

}  // namespace marblehub::test
