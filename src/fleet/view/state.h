// The inside of a View. One owner of each thing: news.cpp changes members, probes.cpp the probe in hand and
// those made for others, exchange.cpp what goes by stream and who is met again, view.cpp the time.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/view/gossip.h"
#include "fleet/view/message.h"
#include "fleet/view/view.h"

namespace marblehub::fleet {

struct View::State {
  State(const Settings& settings, std::uint64_t incarnation, std::uint64_t seed, Time now);

  // -- news.cpp: what is said about members
  enum class Source { gossip, exchange };
  bool hear(Time now, const view::MemberUpdate& update, Source source,
            Outbox& out);  // true: something changed
  void hear_of_self(Time now, const view::MemberUpdate& update, Outbox& out);
  void take_over(Time now, Member& member, const view::MemberUpdate& update);
  bool confirm(Time now, const Member& member, const std::vector<std::string>& accusers);
  void give_up_overdue(Time now, Outbox& out);
  view::MemberUpdate update_for(const Member& member) const;
  Time deadline(const std::string& suspect) const;
  void tell(const Member& member) { gossip.add(update_for(member)); }
  void doubt(int by);  // itself

  // -- probes.cpp: is it there?
  void begin_probe(Time now, Outbox& out);
  void step_probe(Time now, Outbox& out);
  void step_helping(Time now, Outbox& out);
  void ask_helpers(Outbox& out);
  void probe_next(const std::string& one);
  bool missed_by_others(const std::string& one) const;
  std::string next_target();
  void on_ping(Time now, const std::string& from, const view::ViewMessage& message, Outbox& out);
  void on_ack(Time now, const view::ViewMessage& message, Outbox& out);
  void on_ping_request(Time now, const std::string& from, const view::ViewMessage& message, Outbox& out);
  void on_nack(const std::string& from, const view::ViewMessage& message);
  void step_gossip(Time now, Outbox& out);
  void send(view::ViewMessage message, const std::string& name, const std::string& address, Outbox& out);

  // -- exchange.cpp: joiners, those that are gone, twins, whole views
  void step_meetings(Time now, Outbox& out);
  void ask(Time now, const std::string& to, Outbox& out);
  void on_exchange(Time now, const std::string& from, const view::ViewMessage& message, std::size_t brought,
                   Outbox& out);
  void send_whole(Time now, view::MessageKind kind, const std::string& to, Outbox& out);
  void meet_twin(Time now, const view::ViewMessage& message, Outbox& out);
  void probe_twin(Time now, const std::string& address, Outbox& out);

  // -- view.cpp
  void wake(Time now);  // before anything else: did this process sleep?
  Time due() const;
  bool converged(Time now) const;
  void check() const;
  void fill_head(view::ViewMessage& message) const;
  std::uint64_t chance() {  // splitmix64 (Steele, Lea, Flood 2014)
    std::uint64_t z = (random += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  std::size_t one_of(std::size_t n) { return static_cast<std::size_t>(chance() % n); }
  std::vector<std::string> some(std::size_t count, bool (*fits)(MemberStatus), const std::string& except);
  Member& self() { return *own; }
  const Member& self() const { return *own; }
  bool stopped() const { return left || twin.has_value(); }

  const Settings settings;
  const std::string name, address;
  const std::uint64_t start_incarnation;  // the incarnation that this process began with
  std::uint64_t random;

  std::map<std::string, Member> members;
  Member* own;
  std::size_t present = 0, gone = 0;  // of members: alive or suspect; given up
  std::uint64_t digest = 0, generation = 1;
  Time changed;  // last, any member

  struct Suspicion {
    std::vector<std::string> accusers;
    Time begun = 0, least = 0, most = 0;
    std::size_t needed = 0;  // further accusers until `least` holds
  };
  std::map<std::string, Suspicion> suspicions;
  view::Gossip gossip;
  int local_health = 0;
  int agreed = 0;  // settled messages with this digest since the last change, one after the other

  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    int round = 0;  // 0: asked itself; 1, 2: and others asked for it
    Time next = 0, half = 0, end = 0;
    std::vector<std::string> helpers, nacked;
  };
  std::optional<Probe> probe;
  std::vector<std::string> order;  // whom to probe, from the back; each once a round
  // Probed out of turn: suspects that this one is to look at itself, and helpers that did not answer.
  std::deque<std::string> next;
  static constexpr std::size_t kMostNext = 8;
  Time next_probe;

  struct Helping {
    std::string requester, requester_address, target;
    std::uint64_t sequence = 0;
    Time nack = 0, until = 0;
    bool nacked = false;
  };
  std::map<std::uint64_t, Helping> helping;  // by the sequence of the ping sent for it; at most kMostHelping
  static constexpr std::size_t kMostHelping = 64;

  Time next_gossip, next_exchange, next_retry, next_seed, last_ask, last_now, next_due;
  std::uint64_t twin_sequence = 0;
  Time twin_probed;
  std::optional<std::string> twin;
  bool left = false;
};

inline bool is_live(MemberStatus status) {
  return status == MemberStatus::alive || status == MemberStatus::suspect;
}
inline bool is_alive(MemberStatus status) { return status == MemberStatus::alive; }
inline bool is_suspect(MemberStatus status) { return status == MemberStatus::suspect; }
inline bool is_dead(MemberStatus status) { return status == MemberStatus::dead; }

}  // namespace marblehub::fleet
