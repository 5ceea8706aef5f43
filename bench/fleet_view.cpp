// Measures the view on the simulated network at 0, 5 and 20% loss: the time until a crashed member is
// declared dead, live members declared dead per hour, and bytes sent per member and second.
// docs/fleet-view.md has the results.
//
//   fleet_view_bench [seeds, 10] [threads, 2] [members, 300] [seconds measured, 120] [loss in percent, all
//   three]
//
// Prints intermediate results every ten seeds, so that a long run can be stopped at any time.
#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

#include "fleet/wire/envelope.h"
#include "network.h"

using namespace marblehub::fleet;
using namespace marblehub::fleet::virtual_net;

namespace {

/// The results of one run, or their sums over several.
struct Figures {
  // Seconds from a crash until the first member and until all members declare the crashed one dead.
  std::vector<double> detected_by_first, detected_by_all;
  double false_deaths = 0;           // live members declared dead by a live one
  double suspected = 0;              // live members suspected by a live one
  double hours = 0;                  // of simulated time
  double bytes = 0, idle_bytes = 0;  // per member and second, over the whole run and before the crashes
  double convergence = 0;            // seconds until all views are equal after a simultaneous start
  int runs = 0;
};

/// Starts all members at once, measures without faults for half the time, then crashes a member every 30 s.
void run(std::uint64_t seed, double loss, std::size_t count, Time duration, std::size_t overhead_bytes,
         Figures& f) {
  Network net(seed);
  net.overhead_bytes = overhead_bytes;
  net.max_delay = 5 * kMillisecond;
  auto all = start_fleet(net, count, 0);
  f.convergence +=
      static_cast<double>(net.time_until([&] { return net.views_equal(all); }, 60 * kSecond)) / kSecond;
  net.loss = loss;
  net.run(20 * kSecond);

  auto bytes = [&] {
    std::uint64_t sum = 0;
    for (std::size_t i : all) sum += net[i].bytes;
    return static_cast<double>(sum) / static_cast<double>(count);
  };
  // A status changes only with the generation of the view, so the members are examined only then.
  std::vector<bool> dead(count), false_deaths(count), suspect(count);
  std::vector<std::uint64_t> generation(count);
  std::size_t victim = count;
  Time crashed_at = 0, first_detected_at = 0;
  std::vector<bool> detected(count);
  std::size_t detections = 0;
  net.on_step = [&](std::size_t i) {
    View& view = *net[i].view;
    if (view.generation() == generation[i]) return;
    generation[i] = view.generation();
    for (std::size_t j = 0; j < count; ++j) {
      MemberStatus s = view.members().at(net[j].name).status;
      if (dead[j]) {
        if (j == victim && s == MemberStatus::dead && !detected[i]) {
          if (detections++ == 0) first_detected_at = net.now();
          detected[i] = true;
        }
        continue;
      }
      if (s == MemberStatus::dead && !false_deaths[j]) ++f.false_deaths, false_deaths[j] = true;
      if (s == MemberStatus::suspect && !suspect[j]) ++f.suspected, suspect[j] = true;
    }
  };
  auto measure = [&](Time span) {  // counts each false suspicion or death once per ten seconds
    for (Time end = net.now() + span; net.now() < end;) {
      std::fill(false_deaths.begin(), false_deaths.end(), false);
      std::fill(suspect.begin(), suspect.end(), false);
      net.run(std::min<Time>(10 * kSecond, end - net.now()));
    }
  };
  Time started = net.now();
  double bytes_before = bytes();
  measure(duration / 2);
  f.idle_bytes += (bytes() - bytes_before) / (static_cast<double>(net.now() - started) / kSecond);
  for (Time next = net.now(); next + 30 * kSecond <= started + duration; next += 30 * kSecond) {
    do victim = net.random_below(count);
    while (dead[victim]);
    net.run(static_cast<Time>(net.random_below(500)) * kMillisecond);
    net.kill(victim);
    dead[victim] = true;
    std::fill(detected.begin(), detected.end(), false);
    detections = 0;
    crashed_at = net.now();
    std::size_t alive = static_cast<std::size_t>(std::count(dead.begin(), dead.end(), false));
    std::fill(false_deaths.begin(), false_deaths.end(), false);
    std::fill(suspect.begin(), suspect.end(), false);
    net.time_until([&] { return detections == alive; }, 29 * kSecond);
    f.detected_by_first.push_back(detections ? static_cast<double>(first_detected_at - crashed_at) / kSecond
                                             : 99);
    f.detected_by_all.push_back(detections == alive ? static_cast<double>(net.now() - crashed_at) / kSecond
                                                    : 99);
    measure(std::max<Time>(0, next + 30 * kSecond - net.now()));
  }
  f.bytes += (bytes() - bytes_before) / (static_cast<double>(net.now() - started) / kSecond);
  f.hours += static_cast<double>(net.now() - started) / kSecond / 3600;
  ++f.runs;
}

/// The value at `fraction` of the sorted values; 0 where there are none.
double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

/// Prints the results, scaled to one hour or one run.
void print(double loss, const Figures& sum) {
  std::printf(
      "loss %2.0f%%, %d seeds: %zu crashes; declared dead by the first member p50 %.2f s p99 %.2f s, by all "
      "p50 %.2f s p99 %.2f s; live members declared dead %.2f per hour, suspected %.1f per hour (%.2f h "
      "simulated); bytes per member and second %.0f idle, %.0f with the crashes; views equal after %.2f s\n",
      loss * 100, sum.runs, sum.detected_by_first.size(), percentile(sum.detected_by_first, .5),
      percentile(sum.detected_by_first, .99), percentile(sum.detected_by_all, .5),
      percentile(sum.detected_by_all, .99), sum.false_deaths / sum.hours, sum.suspected / sum.hours,
      sum.hours, sum.idle_bytes / sum.runs, sum.bytes / sum.runs, sum.convergence / sum.runs);
  std::fflush(stdout);
}

}  // namespace

int main(int count, char** arguments) {
  auto argument = [&](int i, long default_value) {
    return i < count ? std::atol(arguments[i]) : default_value;
  };
  const auto seeds = static_cast<std::uint64_t>(argument(1, 10));
  const auto threads = static_cast<std::size_t>(argument(2, 2)),
             members = static_cast<std::size_t>(argument(3, 300));
  const Time duration = argument(4, 120) * kSecond;
  EnvelopeSealer sealer("fleet", {std::string(32, 'k')});
  const std::size_t overhead_bytes =
      28 + sealer.seal({1, "balancer-100", 1, 1, Component::view, std::string(100, 'x')}).size() -
      100;  // IP, UDP, seal
  std::printf("%zu members, %llu seeds, %lld s each, %zu bytes of overhead per message\n", members,
              static_cast<unsigned long long>(seeds), static_cast<long long>(duration / kSecond),
              overhead_bytes);
  for (double loss : {0.0, 0.05, 0.2}) {
    if (count > 5 && std::lround(loss * 100) != argument(5, 0)) continue;
    Figures sum;
    std::mutex mutex;
    std::atomic<std::uint64_t> next{1};
    std::vector<std::jthread> workers;
    for (std::size_t t = 0; t < threads; ++t)
      workers.emplace_back([&] {
        for (std::uint64_t seed; (seed = next++) <= seeds;) {
          Figures one;
          run(seed, loss, members, duration, overhead_bytes, one);
          std::lock_guard lock(mutex);
          sum.detected_by_first.insert(sum.detected_by_first.end(), one.detected_by_first.begin(),
                                       one.detected_by_first.end());
          sum.detected_by_all.insert(sum.detected_by_all.end(), one.detected_by_all.begin(),
                                     one.detected_by_all.end());
          sum.false_deaths += one.false_deaths, sum.suspected += one.suspected, sum.hours += one.hours;
          sum.bytes += one.bytes, sum.idle_bytes += one.idle_bytes, sum.convergence += one.convergence;
          sum.runs += one.runs;
          if (sum.runs % 10 == 0 && sum.runs < static_cast<int>(seeds)) print(loss, sum);
        }
      });
    workers.clear();
    print(loss, sum);
  }
}
