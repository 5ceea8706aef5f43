// Where the octets of whole nodes go, by part and kind of message and by who sends, idle and during an
// activation: 3 voters, on the virtual clock. With seal, addresses and the streams' acknowledgements.
// docs/fleet-record.md has the figures.
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

constexpr const char* kKinds[] = {"view",      "ask",     "answer",    "append", "appended",
                                  "chunk",     "chunked", "forward",   "learn",  "learnt",
                                  "elsewhere", "hello",   "hello-back"};
constexpr std::size_t kMostKinds = std::size(kKinds);
// IP and UDP; a stream's IP and TCP, and those of the acknowledgement that comes back.
constexpr std::size_t kAroundDatagram = 28, kAroundStream = 80;

struct Count {
  double messages = 0, octets = 0;
};

class Meter {
 public:
  explicit Meter(NodeNetwork& nodes) : nodes_(nodes), sealer_("fleet", {std::string(32, 'k')}) {
    nodes.on_send = [this](const NodeNetwork::Event& e) { seen(e); };
  }
  void begin() {
    counts_.clear();
    members_.clear();
    begun_ = nodes_.now;
    placed_ = fenced_ = 0;
    for (auto& [name, one] : nodes_.members) placed_ -= one.placed, fenced_ -= one.fenced;
  }
  void tell(const char* what) {
    const double seconds = static_cast<double>(nodes_.now - begun_) / kSecond;
    const double all = static_cast<double>(nodes_.members.size());
    Count sum;
    for (const auto& [key, count] : counts_) sum.messages += count.messages, sum.octets += count.octets;
    double most = 0;
    std::string busiest;
    for (const auto& [name, octets] : members_)
      if (octets > most) most = octets, busiest = name;
    for (auto& [name, one] : nodes_.members) placed_ += one.placed, fenced_ += one.fenced;
    std::printf(
        "%s, %.1f s: %.1f messages and %.0f octets a member a second; most %s with %.0f; looked at "
        "%llu times and fenced %llu\n",
        what, seconds, sum.messages / seconds / all, sum.octets / seconds / all, busiest.c_str(),
        most / seconds, static_cast<unsigned long long>(placed_ + fenced_),
        static_cast<unsigned long long>(fenced_));
    for (const auto& [key, count] : counts_)
      std::printf("  %-8s %-10s %8.2f messages, %8.1f octets a member a second, %6.0f octets each\n",
                  key.first.c_str(), kKinds[key.second], count.messages / seconds / all,
                  count.octets / seconds / all, count.octets / count.messages);
  }

 private:
  void seen(const NodeNetwork::Event& e) {
    std::size_t kind = 0;
    if (e.what.component == Component::record) {
      fb::MessageT message;
      if (!decode_with_checksum(e.what.body, message)) return;
      kind = std::min<std::size_t>(message.kind, kMostKinds - 1);
    }
    const auto& from = nodes_.members.at(e.from);
    const bool voter = std::ranges::count(from.settings.voters, e.from) != 0;
    const bool leads = from.node->record().role() == Role::leader;
    const std::size_t octets = sealer_.seal({1, "balancer-100", 1, 1, e.what.component, e.what.body}).size() +
                               (e.what.transport == Transport::stream ? kAroundStream : kAroundDatagram);
    Count& count = counts_[{leads ? "leader" : voter ? "voter" : "observer", kind}];
    ++count.messages;
    count.octets += static_cast<double>(octets);
    members_[e.from] += static_cast<double>(octets);
  }

  NodeNetwork& nodes_;
  EnvelopeSealer sealer_;
  std::map<std::pair<std::string, std::size_t>, Count> counts_;
  std::map<std::string, double> members_;
  Time begun_ = 0;
  std::uint64_t placed_ = 0, fenced_ = 0;
};

}  // namespace
}  // namespace marblehub::fleet::test

int main(int argc, char** argv) {
  using namespace marblehub::fleet;
  using namespace marblehub::fleet::test;
  auto word = [&](int i, long absent) { return i < argc ? std::atol(argv[i]) : absent; };
  const Time lease = word(3, 600) * kMillisecond;
  NodeNetwork nodes(static_cast<int>(word(1, 300)), 1, [&](Settings& s) { s.lease = lease; });
  Meter meter(nodes);
  nodes.run(20 * kSecond);
  nodes.loss = static_cast<double>(word(4, 0)) / 100;
  meter.begin();
  nodes.run(word(2, 10) * kSecond);
  meter.tell("idle");
  meter.begin();
  const Time offered = nodes.now;
  nodes.offer("m" + std::to_string(word(1, 300) / 2),
              R"({"version": 1, "pools": [{"name": "north", "zones": ["n"]}], "otherwise": "north"})");
  nodes.run(2 * kSecond);
  meter.tell("activation");
  Time newest = 0;
  for (const auto& [name, at] : nodes.first_at[1]) newest = std::max(newest, at);
  std::printf("%zu placed by the new version, the last %.0f ms after the offer\n", nodes.first_at[1].size(),
              static_cast<double>(newest - offered) / kMillisecond);
}
