// Prints the traffic of complete nodes by type of message and role of the sender, while idle and during an
// activation: 3 voters, on the virtual clock. Includes the envelope, IP, UDP and TCP headers and the
// acknowledgements of streams. The results are in docs/fleet-record.md.
//
//   fleet_record_bench [members, 300] [seconds idle, 10] [lease in ms, 600] [loss in percent, 0]
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "fleet/record/checked_flatbuffer.h"
#include "fleet/wire/envelope.h"
#include "node_network.h"
#include "record_generated.h"

namespace marblehub::fleet::test {
namespace {

constexpr const char* kTypeNames[] = {"view",          "vote-request",   "vote-reply",     "append-request",
                                      "append-reply",  "snapshot-chunk", "snapshot-reply", "forward",
                                      "learn-request", "learn-update",   "learn-redirect", "rejoin-request",
                                      "rejoin-reply"};
constexpr std::size_t kTypeCount = std::size(kTypeNames);
// Headers of IP and UDP; those of IP and TCP for a message on a stream and for its acknowledgement.
constexpr std::size_t kDatagramOverhead = 28, kStreamOverhead = 80;

/// Messages and bytes of one type.
struct Count {
  double messages = 0, bytes = 0;
};

/// Counts what the nodes send between `begin` and `print`.
class Meter {
 public:
  explicit Meter(NodeNetwork& nodes) : nodes_(nodes), sealer_("fleet", {std::string(32, 'k')}) {
    nodes.on_send = [this](const NodeNetwork::Event& e) { count_message(e); };
  }
  void begin() {
    counts_.clear();
    members_.clear();
    start_ = nodes_.now;
    placed_ = fenced_ = 0;
    for (auto& [name, one] : nodes_.members) placed_ -= one.placed, fenced_ -= one.fenced;
  }
  void print(const char* phase) {
    const double seconds = static_cast<double>(nodes_.now - start_) / kSecond;
    const double all = static_cast<double>(nodes_.members.size());
    Count sum;
    for (const auto& [key, count] : counts_) sum.messages += count.messages, sum.bytes += count.bytes;
    double max_bytes = 0;
    std::string busiest;
    for (const auto& [name, bytes] : members_)
      if (bytes > max_bytes) max_bytes = bytes, busiest = name;
    for (auto& [name, one] : nodes_.members) placed_ += one.placed, fenced_ += one.fenced;
    std::printf(
        "%s, %.1f s: %.1f messages and %.0f bytes a member a second; highest %s with %.0f; checked "
        "%llu times and fenced %llu\n",
        phase, seconds, sum.messages / seconds / all, sum.bytes / seconds / all, busiest.c_str(),
        max_bytes / seconds, static_cast<unsigned long long>(placed_ + fenced_),
        static_cast<unsigned long long>(fenced_));
    for (const auto& [key, count] : counts_)
      std::printf("  %-8s %-14s %8.2f messages, %8.1f bytes a member a second, %6.0f bytes each\n",
                  key.first.c_str(), kTypeNames[key.second], count.messages / seconds / all,
                  count.bytes / seconds / all, count.bytes / count.messages);
  }

 private:
  void count_message(const NodeNetwork::Event& e) {
    std::size_t type = 0;
    if (e.what.component == Component::record) {
      fb::MessageT message;
      if (!decode_with_checksum(e.what.body, message)) return;
      type = std::min<std::size_t>(message.kind, kTypeCount - 1);
    }
    const auto& from = nodes_.members.at(e.from);
    const bool voter = std::ranges::count(from.settings.voters, e.from) != 0;
    const bool leads = from.node->record().role() == Role::leader;
    const std::size_t bytes = sealer_.seal({1, "balancer-100", 1, 1, e.what.component, e.what.body}).size() +
                              (e.what.transport == Transport::stream ? kStreamOverhead : kDatagramOverhead);
    Count& count = counts_[{leads ? "leader" : voter ? "voter" : "observer", type}];
    ++count.messages;
    count.bytes += static_cast<double>(bytes);
    members_[e.from] += static_cast<double>(bytes);
  }

  NodeNetwork& nodes_;
  EnvelopeSealer sealer_;
  std::map<std::pair<std::string, std::size_t>, Count> counts_;
  std::map<std::string, double> members_;
  Time start_ = 0;
  std::uint64_t placed_ = 0, fenced_ = 0;
};

}  // namespace
}  // namespace marblehub::fleet::test

int main(int argc, char** argv) {
  using namespace marblehub::fleet;
  using namespace marblehub::fleet::test;
  auto argument = [&](int i, long otherwise) { return i < argc ? std::atol(argv[i]) : otherwise; };
  const Time lease = argument(3, 600) * kMillisecond;
  NodeNetwork nodes(static_cast<int>(argument(1, 300)), 1, [&](Settings& s) { s.lease = lease; });
  Meter meter(nodes);
  nodes.run(20 * kSecond);
  nodes.loss = static_cast<double>(argument(4, 0)) / 100;
  meter.begin();
  nodes.run(argument(2, 10) * kSecond);
  meter.print("idle");
  meter.begin();
  const Time offered = nodes.now;
  nodes.offer("m" + std::to_string(argument(1, 300) / 2),
              R"({"version": 1, "pools": [{"name": "north", "zones": ["n"]}], "otherwise": "north"})");
  nodes.run(2 * kSecond);
  meter.print("activation");
  Time last_switch = 0;
  for (const auto& [name, at] : nodes.first_at[1]) last_switch = std::max(last_switch, at);
  std::printf("%zu members used the new version, the last %.0f ms after the offer\n",
              nodes.first_at[1].size(), static_cast<double>(last_switch - offered) / kMillisecond);
}
