#include "fleet/settings/settings.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <set>

#include "config/json.h"
#include "fleet/wire/envelope.h"

namespace marblehub::fleet {
namespace {

using config::Options;

constexpr std::size_t kMaxNameLength = 64, kMaxSeeds = 64, kMaxMembers = 1024;

Time milliseconds(const Options& options, const char* key, Time min, Time max, Time absent) {
  const std::string* text = options.find(key);
  if (!text) return absent;
  auto value = config::parse_number<double>(*text);
  if (!value || *value * kMillisecond < static_cast<double>(min) ||
      *value * kMillisecond > static_cast<double>(max))
    options.refuse(key, "a number of milliseconds from " + std::to_string(min / kMillisecond) + " to " +
                            std::to_string(max / kMillisecond));
  return static_cast<Time>(*value * kMillisecond);
}

std::string text_or_empty(const Options& options, const char* key) {
  const std::string* text = options.find(key);
  return text ? *text : std::string();
}

std::vector<std::string> list(const Options& options, const char* key, std::size_t max) {
  std::vector<std::string> items;
  const std::string* text = options.find(key);
  if (!text || text->empty()) return items;
  for (std::size_t at = 0; at <= text->size();) {
    std::size_t comma = std::min(text->find(',', at), text->size());
    items.push_back(text->substr(at, comma - at));
    at = comma + 1;
  }
  if (items.size() > max) options.refuse(key, "at most " + std::to_string(max) + " of them");
  std::set<std::string> seen;
  for (const std::string& item : items)
    if (!seen.insert(item).second) options.refuse(key, "each only once, but " + item + " is listed twice");
  return items;
}

void check_name(const Options& options, const char* key, const std::string& name) {
  bool plain = std::all_of(name.begin(), name.end(), [](unsigned char c) { return c > ' ' && c < 127; });
  if (name.empty() || name.size() > kMaxNameLength || !plain || name[0] == '@')
    options.refuse(key, "names of 1 to 64 printable characters without blanks that do not begin with @");
}

// Accepts an address of a single host: not 0.0.0.0, not broadcast, not multicast.
void check_address(const Options& options, const char* key, const std::string& text) {
  auto address = config::parse_address(text);
  std::uint32_t host = address ? ntohl(address->sin_addr.s_addr) : 0;
  if (!address || address->sin_port == 0 || host == 0 || host >= 0xe0000000U)
    options.refuse(key, "a.b.c.d:port of one host, not \"" + text + "\"");
}

// Whether this machine has the address. The port is not tried, since on a reload this process has it bound.
bool own_address(const std::string& text) {
  sockaddr_in address = *config::parse_address(text);
  address.sin_port = 0;
  int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  bool bound = fd >= 0 && ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  if (fd >= 0) ::close(fd);
  return bound;
}

void check_host(const Options& options, const Settings& s, bool votes) {
  if (!own_address(s.listen)) options.refuse("listen", "an address of this machine, not " + s.listen);
  try {
    read_key_file(s.key_file);
  } catch (const std::runtime_error& error) {
    options.refuse("key_file", std::string("a key: ") + error.what());
  }
  struct stat info {};
  if (s.data.empty()) {
    if (votes) options.refuse("data", "a folder, since " + s.name + " is a voter and has to store its votes");
    return;
  }
  if (::stat(s.data.c_str(), &info) != 0 || !S_ISDIR(info.st_mode) ||
      ::access(s.data.c_str(), R_OK | W_OK | X_OK) != 0)
    options.refuse("data", "a folder that can be written to, not " + s.data);
}

}  // namespace

Settings settings_from(const Options& options, const std::string& own_name) {
  Settings s;
  if (options.find("enabled")) s.enabled = options.flag("enabled");
  s.fleet = text_or_empty(options, "fleet");
  s.name = text_or_empty(options, "name");
  if (s.name.empty()) s.name = own_name;
  check_name(options, "name", s.name);
  s.listen = text_or_empty(options, "listen");
  s.advertise = text_or_empty(options, "advertise");
  s.seeds = list(options, "seeds", kMaxSeeds);
  for (const std::string& seed : s.seeds) check_address(options, "seeds", seed);
  s.key_file = text_or_empty(options, "key_file");
  s.probe = milliseconds(options, "probe_ms", 100 * kMillisecond, 10 * kSecond, s.probe);
  s.ack = milliseconds(options, "ack_ms", 10 * kMillisecond, 10 * kSecond, s.ack);
  if (s.ack >= s.probe) options.refuse("ack_ms", "less than probe_ms");
  s.suspicion = options.number_or("suspicion", 1.0, s.suspicion);
  if (s.suspicion > 20) options.refuse("suspicion", "a number from 1 to 20");
  s.indirect = options.number_or("indirect", 0, s.indirect);
  if (s.indirect > 10) options.refuse("indirect", "a number from 0 to 10");
  s.voters = list(options, "voters", kMaxMembers);
  for (const std::string& voter : s.voters) check_name(options, "voters", voter);
  if (!s.voters.empty() && s.voters.size() != 3 && s.voters.size() != 5)
    options.refuse("voters", "none, 3 or 5 of them, not " + std::to_string(s.voters.size()));
  s.members = list(options, "members", kMaxMembers);
  auto belongs = [&](const std::string& name) {
    return s.members.empty() || std::find(s.members.begin(), s.members.end(), name) != s.members.end();
  };
  for (const std::string& member : s.members) check_name(options, "members", member);
  for (const std::string& voter : s.voters)
    if (!belongs(voter)) options.refuse("voters", "only members, but " + voter + " is none");
  if (!belongs(s.name)) options.refuse("members", "this balancer, " + s.name + ", among them");
  if (options.find("first_fleet")) s.first_fleet = options.flag("first_fleet");
  s.data = text_or_empty(options, "data");
  s.lease = milliseconds(options, "lease_ms", 100 * kMillisecond, 60 * kSecond, s.lease);
  s.clock_bound = milliseconds(options, "clock_bound_ms", kMillisecond, 10 * kSecond, s.clock_bound);
  // A lease ends early by the clock error bound at its holder, so it has to be longer than twice the bound.
  if (s.clock_bound * 2 >= s.lease) options.refuse("clock_bound_ms", "less than half of lease_ms");
  s.stage = milliseconds(options, "stage_ms", 100 * kMillisecond, 60 * kSecond, s.stage);
  if (options.find("when_alone"))
    s.when_alone =
        options.choice<WhenAlone>("when_alone", {{"stop", WhenAlone::stop}, {"keep", WhenAlone::keep}});
  s.routes_file = text_or_empty(options, "routes_file");
  s.wallet_file = text_or_empty(options, "wallet_file");
  Options via = config::sub_options(options, "via", "");
  for (const auto& [name, address] : via.values()) {
    std::string key = "via." + name;
    check_address(options, key.c_str(), via.text(name));
    s.via.emplace(name, address);
  }
  std::vector<std::string> unread = options.unread();
  if (!unread.empty()) options.refuse(unread.front(), "no such key");

  if (!s.advertise.empty()) check_address(options, "advertise", s.advertise);
  if (!s.enabled && s.listen.empty()) return s;
  check_address(options, "listen", s.listen);
  if (s.advertise.empty()) s.advertise = s.listen;
  if (!s.enabled) return s;
  if (s.fleet.empty() || s.fleet.size() > kMaxNameLength)
    options.refuse("fleet", "a name of 1 to 64 characters");
  if (s.key_file.empty()) options.refuse("key_file", "the file of the fleet's key");
  if ((!s.routes_file.empty() || !s.wallet_file.empty()) && s.voters.empty())
    options.refuse(s.routes_file.empty() ? "wallet_file" : "routes_file",
                   "to be set together with 3 or 5 voters");
  check_host(options, s, std::find(s.voters.begin(), s.voters.end(), s.name) != s.voters.end());
  return s;
}

}  // namespace marblehub::fleet
