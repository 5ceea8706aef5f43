// Measures the view at 300 members on the virtual clock: how long until a killed one is given up, live ones
// given up an hour, octets a member a second, at 0, 5 and 20% loss. docs/fleet-view.md has the figures.
//
//   fleet_view_bench [seeds, 10] [threads, 2] [members, 300] [seconds watched, 120] [loss in percent, all
//   three]
//
// Each ten seeds what is known so far is said, so that a long run may be ended at any time.
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

struct Figures {
  std::vector<double> first, all;       // seconds from a kill until one, and until all have given it up
  double wronged = 0;                   // live members that some live one gave up
  double suspected = 0;                 // false accusations, by member accused
  double hours = 0;                     // of the fleet
  double octets = 0, quiet_octets = 0;  // a member a second, over the whole watch and before the kills
  double joined = 0;                    // seconds until all see all, started at once
  int runs = 0;
};

// All start at once; a quiet half of the watch; then one is killed every 10 s.
void run(std::uint64_t seed, double loss, std::size_t count, Time watched, std::size_t around, Figures& f) {
  Network net(seed);
  net.around = around;
  net.most_delay = 5 * kMillisecond;
  auto all = fleet(net, count, 0);
  f.joined += static_cast<double>(net.time_until([&] { return net.equal(all); }, 60 * kSecond)) / kSecond;
  net.loss = loss;
  net.run(20 * kSecond);

  auto octets = [&] {
    std::uint64_t sum = 0;
    for (std::size_t i : all) sum += net[i].bytes;
    return static_cast<double>(sum) / static_cast<double>(count);
  };
  // Standings change by generation: only then are members looked through, once for each that is given up.
  std::vector<bool> dead(count), wronged(count), suspect(count);
  std::vector<std::uint64_t> generation(count);
  std::size_t victim = count;
  Time killed = 0, first = 0;
  std::vector<bool> knows(count);
  std::size_t know = 0;
  net.stepped = [&](std::size_t i) {
    View& view = *net[i].view;
    if (view.generation() == generation[i]) return;
    generation[i] = view.generation();
    for (std::size_t j = 0; j < count; ++j) {
      MemberStatus s = view.members().at(net[j].name).status;
      if (dead[j]) {
        if (j == victim && s == MemberStatus::dead && !knows[i]) {
          if (know++ == 0) first = net.now();
          knows[i] = true;
        }
        continue;
      }
      if (s == MemberStatus::dead && !wronged[j]) ++f.wronged, wronged[j] = true;
      if (s == MemberStatus::suspect && !suspect[j]) ++f.suspected, suspect[j] = true;
    }
  };
  auto watch = [&](Time span) {  // a wrong is counted once in ten seconds
    for (Time end = net.now() + span; net.now() < end;) {
      std::fill(wronged.begin(), wronged.end(), false);
      std::fill(suspect.begin(), suspect.end(), false);
      net.run(std::min<Time>(10 * kSecond, end - net.now()));
    }
  };
  Time begun = net.now();
  double before = octets();
  watch(watched / 2);
  f.quiet_octets += (octets() - before) / (static_cast<double>(net.now() - begun) / kSecond);
  for (Time next = net.now(); next + 30 * kSecond <= begun + watched; next += 30 * kSecond) {
    do victim = net.draw(count);
    while (dead[victim]);
    net.run(static_cast<Time>(net.draw(500)) * kMillisecond);
    net.kill(victim);
    dead[victim] = true;
    std::fill(knows.begin(), knows.end(), false);
    know = 0;
    killed = net.now();
    std::size_t alive = static_cast<std::size_t>(std::count(dead.begin(), dead.end(), false));
    std::fill(wronged.begin(), wronged.end(), false);
    std::fill(suspect.begin(), suspect.end(), false);
    net.time_until([&] { return know == alive; }, 29 * kSecond);
    f.first.push_back(know ? static_cast<double>(first - killed) / kSecond : 99);
    f.all.push_back(know == alive ? static_cast<double>(net.now() - killed) / kSecond : 99);
    watch(std::max<Time>(0, next + 30 * kSecond - net.now()));
  }
  f.octets += (octets() - before) / (static_cast<double>(net.now() - begun) / kSecond);
  f.hours += static_cast<double>(net.now() - begun) / kSecond / 3600;
  ++f.runs;
}

double at(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

void tell(double loss, const Figures& sum) {
  std::printf(
      "loss %2.0f%%, %d seeds: %zu kills; given up by the first p50 %.2f s p99 %.2f s, by all p50 %.2f s p99 "
      "%.2f s; live ones given up %.2f an hour, accused %.1f an hour (%.2f h watched); octets a member a "
      "second %.0f quiet, %.0f with the kills; all see all after %.2f s\n",
      loss * 100, sum.runs, sum.first.size(), at(sum.first, .5), at(sum.first, .99), at(sum.all, .5),
      at(sum.all, .99), sum.wronged / sum.hours, sum.suspected / sum.hours, sum.hours,
      sum.quiet_octets / sum.runs, sum.octets / sum.runs, sum.joined / sum.runs);
  std::fflush(stdout);
}

}  // namespace

int main(int count, char** words) {
  auto word = [&](int i, long absent) { return i < count ? std::atol(words[i]) : absent; };
  const auto seeds = static_cast<std::uint64_t>(word(1, 10));
  const auto threads = static_cast<std::size_t>(word(2, 2)), members = static_cast<std::size_t>(word(3, 300));
  const Time watched = word(4, 120) * kSecond;
  EnvelopeSealer sealer("fleet", {std::string(32, 'k')});
  const std::size_t around =
      28 + sealer.seal({1, "balancer-100", 1, 1, Component::view, std::string(100, 'x')}).size() -
      100;  // IP, UDP, seal
  std::printf("%zu members, %llu seeds, %lld s watched each, %zu octets around a body\n", members,
              static_cast<unsigned long long>(seeds), static_cast<long long>(watched / kSecond), around);
  for (double loss : {0.0, 0.05, 0.2}) {
    if (count > 5 && std::lround(loss * 100) != word(5, 0)) continue;
    Figures sum;
    std::mutex mutex;
    std::atomic<std::uint64_t> next{1};
    std::vector<std::jthread> workers;
    for (std::size_t t = 0; t < threads; ++t)
      workers.emplace_back([&] {
        for (std::uint64_t seed; (seed = next++) <= seeds;) {
          Figures one;
          run(seed, loss, members, watched, around, one);
          std::lock_guard lock(mutex);
          sum.first.insert(sum.first.end(), one.first.begin(), one.first.end());
          sum.all.insert(sum.all.end(), one.all.begin(), one.all.end());
          sum.wronged += one.wronged, sum.suspected += one.suspected, sum.hours += one.hours;
          sum.octets += one.octets, sum.quiet_octets += one.quiet_octets, sum.joined += one.joined;
          sum.runs += one.runs;
          if (sum.runs % 10 == 0 && sum.runs < static_cast<int>(seeds)) tell(loss, sum);
        }
      });
    workers.clear();
    tell(loss, sum);
  }
}
