// The settings of deploy/fleet.json: the fleet's members, their addresses and the voters. The fleet is off
// unless enabled.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/options.h"
#include "fleet/time.h"

namespace marblehub::fleet {

/// What a balancer does while it cannot renew its lease: stop placing calls, or keep its last routes.
enum class WhenAlone { stop, keep };

/// One balancer's settings for the fleet. Times are in microseconds.
struct Settings {
  bool enabled = false;
  std::string fleet;      // messages of another fleet are dropped
  std::string name;       // of this balancer, unique in the fleet; empty: the name in its configuration
  std::string listen;     // IPv4 address and port, for both UDP and TCP
  std::string advertise;  // address for other members; empty: `listen`
  std::vector<std::string> seeds;  // addresses to join through; one that answers is enough
  std::string key_file;  // 32 bytes or more in hex, readable by its owner only; two lines: new key, old key
  Time probe = 500 * kMillisecond;  // interval of probes (SWIM's protocol period), 100 ms to 10 s
  Time ack = 200 * kMillisecond;    // timeout of a probe, less than `probe`
  double suspicion = 4;  // times max(1, 0.75 log10 n) x probe: shortest time until a suspect is given up
  int indirect = 3;      // members asked to probe an unresponsive member indirectly
  std::vector<std::string> voters;  // names; 0, 3 or 5 of them
  bool first_fleet = false;         // this start founds the fleet, so a voter's disk may be empty; later off
  std::string data;                 // directory for persistent data; required for voters
  Time lease = 600 * kMillisecond;  // how long a balancer may place calls by routes that it renewed
  Time clock_bound = 50 * kMillisecond;  // clock error bound of two members; beyond it a member is fenced
  Time stage = 3 * kSecond;              // timeout of an activation's first phase
  WhenAlone when_alone = WhenAlone::stop;
  std::string routes_file, wallet_file;  // paths; empty: that part is off
  std::vector<std::string> members;  // names; if any, messages of others are dropped, voters must be listed
  std::map<std::string, std::string> via;  // by member: its address from here where it differs from the one
                                           // that it advertises, such as behind address translation
};

/// Decodes and validates the settings. `own_name` is the default of `name`. The key file, the directory and
/// the address of this machine are checked only where `enabled`. Throws config::DecodeError with place and
/// key: an unknown key, a value out of bounds, an even number of voters, a duplicate name, a key file that
/// others can read, a voter that has no directory or is not a member, an address that this machine does not
/// have.
Settings settings_from(const config::Options& options, const std::string& own_name);

}  // namespace marblehub::fleet
