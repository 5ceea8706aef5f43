// Duration of an activation and spread of the members' first calls by it, with 9 and 300 members, on a
// simulated clock in steps of 1 ms: from the offer at one member to the last member's first call by the new
// version. Runs over whole nodes (view, record, routes) if FLEET_ROUTES_NODES is defined, else over the fake
// record.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "fleet/routes/table.h"

#ifdef FLEET_ROUTES_NODES
#include "node_network.h"
#else
#include "routes_network.h"
#endif

namespace marblehub::fleet::test {
namespace {

std::string table_text(std::uint64_t version) {
  return R"({"version": )" + std::to_string(version) +
         R"(, "pools": [{"name": "north", "zones": ["n"]}, {"name": "south", "zones": ["s"]}],)" +
         R"( "rules": [{"area": "7", "pool": "north"}], "otherwise": "south"})";
}

#ifdef FLEET_ROUTES_NODES
using Fleet = NodeNetwork;
Time now_of(const Fleet& fleet) { return fleet.now; }
std::uint64_t messages_of(const Fleet& fleet) { return fleet.messages; }
std::uint64_t bytes_of(const Fleet& fleet) { return fleet.bytes; }
std::uint64_t record_of(const Fleet& fleet) { return fleet.record_messages; }
constexpr const char* kOver = "whole nodes";
#else
using Fleet = RoutesNetwork;
Time now_of(const Fleet& fleet) { return fleet.record.now; }
std::uint64_t messages_of(const Fleet& fleet) { return fleet.record.messages; }
std::uint64_t bytes_of(const Fleet&) { return 0; }
std::uint64_t record_of(const Fleet& fleet) { return fleet.record.messages; }
constexpr const char* kOver = "the fake record";
#endif

double ms(Time t) { return static_cast<double>(t) / 1e3; }

void measure(int members, int seeds, Time warm_up) {
  std::vector<Time> durations, spread;
  double messages = 0, bytes = 0, idle = 0, record = 0;
  int missed = 0;
  const auto began = std::chrono::steady_clock::now();
  for (int seed = 1; seed <= seeds; ++seed) {
    Fleet fleet(members, static_cast<std::uint64_t>(seed));
    fleet.run(warm_up, 2 * kMillisecond);
    const std::uint64_t before = messages_of(fleet);
    fleet.run(2 * kSecond, 2 * kMillisecond);
    idle += static_cast<double>(messages_of(fleet) - before);
    const std::uint64_t begun = messages_of(fleet), bytes_before = bytes_of(fleet), rec = record_of(fleet);
    const Time offered = now_of(fleet);
    fleet.offer("m" + std::to_string(members / 2), table_text(1));
    fleet.run(2 * kSecond, kMillisecond);
    messages += static_cast<double>(messages_of(fleet) - begun);
    bytes += static_cast<double>(bytes_of(fleet) - bytes_before);
    record += static_cast<double>(record_of(fleet) - rec);
    const auto& first = fleet.first_at[1];
    if (first.size() != static_cast<std::size_t>(members)) {
      ++missed;
      continue;
    }
    Time oldest = offered + 100 * kSecond, newest = 0;
    for (const auto& [name, at] : first) oldest = std::min(oldest, at), newest = std::max(newest, at);
    durations.push_back(newest - offered);
    spread.push_back(newest - oldest);
  }
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  std::sort(durations.begin(), durations.end());
  std::sort(spread.begin(), spread.end());
  auto quantile = [](const std::vector<Time>& of, double p) {
    return of.empty() ? 0.0 : ms(of[static_cast<std::size_t>(p * static_cast<double>(of.size() - 1))]);
  };
  std::printf(
      "%d members, %d seeds, over %s: activation p50 %.0f ms, p99 %.0f ms, max %.0f ms; spread p50 %.0f ms, "
      "max %.0f ms; not all within 2 s: %d\n"
      "  messages in the 2 s of it %.0f (%.0f of the record), in 2 s idle %.0f; %.0f bytes a member a "
      "second; "
      "%.1f s of one core in all\n",
      members, seeds, kOver, quantile(durations, 0.5), quantile(durations, 0.99), quantile(durations, 1),
      quantile(spread, 0.5), quantile(spread, 1), missed, messages / seeds, record / seeds, idle / seeds,
      bytes / seeds / 2 / members, seconds);
}

// Time to match a call against the largest table.
void measure_match() {
  std::string text = R"({"version": 1, "pools": [{"name": "north"}, {"name": "south"}], "rules": [)";
  for (int i = 0; i < 4096; ++i)
    text += (i ? "," : "") + std::string(R"({"class": "c)") + std::to_string(i % 8) + R"(", "area": ")" +
            std::to_string(i / 8) + R"(", "pool": "north"})";
  const Matcher matcher(parse_table(text + "]}", "bench"));
  std::vector<std::string> areas;
  areas.reserve(1024);
  for (int i = 0; i < 1024; ++i) areas.push_back(std::to_string(i * 7 % 600));
  PoolMask sum = 0;
  constexpr int calls = 4'000'000;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) sum += matcher.route("c3", "acme", areas[i % 1024]).pool & 3;
  const double ns =
      std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - began).count();
  std::printf("4,096 rules: %.0f ns a call (%llu)\n", ns / calls, static_cast<unsigned long long>(sum));
}

}  // namespace
}  // namespace marblehub::fleet::test

int main(int argc, char** argv) {
  using namespace marblehub::fleet::test;
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 100;
  measure_match();
  measure(9, seeds, 5 * marblehub::fleet::kSecond);
  measure(300, std::max(1, seeds / 20), 20 * marblehub::fleet::kSecond);
}
