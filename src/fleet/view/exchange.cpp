// Joiners, those that are gone and met again, twins, and whole views by stream.
#include <algorithm>

#include "check/check.h"
#include "fleet/view/state.h"

namespace marblehub::fleet {
namespace {

constexpr Time kSeedPace = 5 * kSecond;  // for seeds that are no member, while others are
constexpr Time kTwinPace = kSecond / 2;

}  // namespace

using view::Kind;
using view::Said;

void View::State::step_meetings(Time now, Outbox& out) {
  if (now >= next_seed) {
    const bool alone = present == 1;
    next_seed = now + (alone ? settings.probe : kSeedPace);
    std::vector<std::string> unknown;
    for (const std::string& seed : settings.seeds)
      if (seed != address && std::none_of(members.begin(), members.end(), [&](const auto& one) {
            return is_live(one.second.status) && one.second.address == seed;
          }))
        unknown.push_back(seed);
    if (!alone && unknown.size() > 1) unknown = {unknown[one_of(unknown.size())]};
    for (const std::string& seed : unknown) {
      Said said;
      said.kind = Kind::ping;
      said.sequence = chance();
      send(std::move(said), {}, seed, out);
    }
  }
  if (now >= next_retry) {  // one that is gone: behind a partition that has healed it hears that, and refutes
    next_retry = now + 2 * settings.probe;
    std::vector<std::string> met;
    if (gone) met = some(1, is_dead, {});
    // And a suspect of long: where the accusation was told behind a partition, nobody else may tell it to its
    // face.
    for (const auto& [one, suspicion] : suspicions)
      if (now - suspicion.begun > 2 * settings.probe && met.size() < 2) met.push_back(one);
    for (const std::string& one : met) {
      Said said;
      said.kind = Kind::ping;
      said.sequence = chance();
      said.target = one;
      send(std::move(said), one, members.at(one).address, out);
    }
  }
  if (now >= next_exchange) {
    next_exchange = now + kPushPullInterval;
    for (const std::string& one : some(1, is_live, {})) ask(now, one, out);
    for (auto it = members.begin(); it != members.end();) {
      const Member& member = it->second;
      const bool old = !is_live(member.status) && now - member.since > kDeadMemberRetention && &member != own;
      if (old) {
        gone -= is_dead(member.status);
        gossip.forget(member.name);
      }
      it = old ? members.erase(it) : std::next(it);
    }
  }
}

void View::State::ask(Time now, const std::string& to, Outbox& out) {
  Said said;
  said.kind = Kind::ask;
  fill_head(said);
  said.digest = digest;
  last_ask = now;
  out.push_back({to, Component::view, Transport::stream, view::encode(said)});
}

void View::State::send_whole(Time now, Kind kind, const std::string& to, Outbox& out) {
  Said said;
  said.kind = kind;
  fill_head(said);
  said.digest = digest;
  for (const auto& [other, member] : members) {
    said.news.push_back(news_of(member));
    said.news.back().age = now - member.since;
  }
  out.push_back({to, Component::view, Transport::stream, view::encode(said)});
}

void View::State::on_exchange(Time now, const std::string& from, const Said& said, std::size_t brought,
                              Outbox& out) {
  // One that brought much is followed by another soon: many join at once, or a partition has healed.
  if (brought > 1) {
    const Time least = settings.probe * 2 / 5;
    const auto spread = static_cast<std::size_t>(settings.probe - least);
    next_exchange = std::min(next_exchange, now + least + static_cast<Time>(one_of(spread)));
  }
  auto it = members.find(from);
  const std::string to =
      it != members.end() && it->second.address == said.address ? from : "@" + said.address;
  if (said.digest == digest) return;  // nothing to tell each other
  if (said.kind == Kind::ask) send_whole(now, Kind::whole, to, out);
  if (said.kind == Kind::whole) send_whole(now, Kind::answer, to, out);
}

// Another process says this one's name. Words may be old ones, played again: only an answer to a ping of this
// process shows that it is there now.
void View::State::meet_twin(Time now, const Said& said, Outbox& out) {
  if (said.address == address) return;  // this process's own words, or those of one that was here before
  if (said.kind == Kind::ack && twin_sequence != 0 && said.sequence == twin_sequence) {
    twin_sequence = 0;
    if (std::pair(said.born, said.address) < std::pair(born, address)) twin = said.address;
    return;
  }
  if (said.kind == Kind::ping) {
    Said ack;
    ack.kind = Kind::ack;
    ack.sequence = said.sequence;
    fill_head(ack);
    out.push_back({"@" + said.address, Component::view, Transport::datagram, view::encode(ack)});
  }
  probe_twin(now, said.address, out);
}

void View::State::probe_twin(Time now, const std::string& at, Outbox& out) {
  if (now < twin_probed + kTwinPace) return;
  twin_probed = now;
  twin_sequence = chance() | 1;
  Said ping;
  ping.kind = Kind::ping;
  ping.sequence = twin_sequence;
  ping.target = name;
  fill_head(ping);
  out.push_back({"@" + at, Component::view, Transport::datagram, view::encode(ping)});
}

}  // namespace marblehub::fleet
