// deploy/fleet.json: who belongs to the fleet, how its members reach each other, who votes. Off unless
// enabled.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/options.h"
#include "fleet/time.h"

namespace marblehub::fleet {

enum class WhenAlone { stop, keep };  // what a balancer does with its routes while it cannot renew its lease

struct Settings {
  bool enabled = false;
  std::string fleet;      // messages of another fleet are dropped
  std::string name;       // of this balancer; empty: the name of its configuration. Unique in the fleet
  std::string listen;     // IPv4 address and port, for UDP and TCP alike
  std::string advertise;  // where others reach it; empty: `listen`
  std::vector<std::string> seeds;  // addresses; any one that answers is enough
  std::string key_file;  // 32 octets or more in hex, readable by its owner alone. Two lines: new and old
  Time probe = 500 * kMillisecond;  // SWIM's protocol period; 100 ms to 10 s
  Time ack = 200 * kMillisecond;    // until a probe counts as unanswered; under `probe`
  double suspicion = 4;             // times max(1, 0.75 log10 n) x probe: least until one is given up
  int indirect = 3;                 // members asked to probe in one's place
  std::vector<std::string> voters;  // names; none, 3 or 5 of them
  bool first_fleet = false;  // this start founds the fleet: a voter's fresh disk is no loss. Off ever after
  std::string data;          // folder for what must last; voters need one
  Time lease = 600 * kMillisecond;  // how long a balancer may place by a version that it renewed
  Time clock_bound =
      50 * kMillisecond;     // by so much two members' clocks may differ; beyond it one fences itself
  Time stage = 3 * kSecond;  // an activation whose first phase takes longer is aborted
  WhenAlone when_alone = WhenAlone::stop;
  std::string routes_file, wallet_file;  // the operator's; empty: that part is off
  std::vector<std::string> members;  // where named: messages of others are dropped, and voters are among them
  std::map<std::string, std::string> via;  // a member's address as seen from here, where it is not the one it
                                           // advertises: behind a translator, or a link of the tests
};

// Throws config::DecodeError with place and key: an unknown key, a bound passed, even voters, a name twice, a
// key file that others can read, a voter without a folder or that is no member, an address that this machine
// does not have. `own_name` stands in where `name` is empty. What touches the machine (key file, folder,
// address) is looked at only where `enabled`.
Settings settings_from(const config::Options& options, const std::string& own_name);

}  // namespace marblehub::fleet
