// Random traffic against the policy, checked by an independent model of the request rules, and corrupted
// input for the adapter. Seeds and numbers of steps are fixed.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <sstream>

#include "marblehub/policy.h"
#include "wire.h"

namespace marblehub::policy {
namespace {

/// An attempt as observed by the simulation.
struct AttemptRecord {
  int backend = 0;
  Time sent_at = 0;
  bool in_flight = true, may_have_run = true;
};

/// A request as observed by the simulation.
struct RequestRecord {
  RequestClass request_class;
  Time deadline = 0;
  bool answered = false, open = false;
  std::vector<AttemptRecord> attempts;
};

/// Generates random events for one Balancer and checks each of its actions against the request rules.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed), balancer_(settings(), seed, now_) {
    list(EndpointListKind::cached);
  }

  /// Runs the steps, lets all requests end and returns the sequence of actions.
  std::string run(int steps) {
    for (int i = 0; i < steps; ++i) step();
    // No new requests; every attempt gets its result.
    for (int i = 0; i < 400; ++i) {
      now_ += 25'000;
      for (auto& [id, request] : requests_)
        if (!request.attempts.empty() && request.attempts.back().in_flight && random_() % 4 == 0)
          end_attempt(id, request, Outcome::reset);
      fire_timers();
      check_deadlines();
    }
    EXPECT_EQ(balancer_.counts().unanswered, 0u);
    EXPECT_EQ(balancer_.counts().open, 0u);
    for (int b = 0; b < kBackends; ++b) EXPECT_EQ(balancer_.active_connections(name(b)), 0) << name(b);
    return trace_.str();
  }

 private:
  static constexpr int kBackends = 12;
  static std::string name(int b) {
    std::string text("s");
    return text += std::to_string(b);
  }
  static std::string zone(int b) { return b % 3 == 0 ? "x" : b % 3 == 1 ? "y" : "z"; }

  static Settings settings() {
    Settings s;
    s.balancers = 20;
    s.balancer_index = 3;
    s.zone = "x";
    s.max_attempts = 4;
    s.max_retry_after_us = 1'000'000;
    s.cold_share = 0.3;
    s.warm_within_us = 5'000'000;
    s.price_probe = 0.002;
    s.pull_endpoints = true;
    for (bool stream : {true, false})
      for (Repeat repeat : {Repeat::safe, Repeat::keyed, Repeat::unsafe})
        for (DedupScope scope : {DedupScope::all, DedupScope::zone, DedupScope::cell})
          s.classes.push_back({"c", 200'000, 100'000, repeat, scope, 600'000, stream});
    return s;
  }

  void list(EndpointListKind form) {
    std::vector<BackendEntry> entries;
    for (int b = 0; b < kBackends; ++b) {
      if (form == EndpointListKind::changes && random_() % 3) continue;
      Health health = random_() % 5 ? Health::serving : random_() % 2 ? Health::draining : Health::deleted;
      serving_[b] = health == Health::serving;
      Time start = random_() % 4 ? 0 : now_ - static_cast<Time>(random_() % 1'000'000);
      entries.push_back({health, name(b), zone(b), start, 1.0 + static_cast<double>(random_() % 3), b / 2});
    }
    send(EndpointListEvent{form, std::make_shared<const std::vector<BackendEntry>>(std::move(entries))});
  }

  void send(const Event& event) {
    std::vector<Action> actions;
    balancer_.handle(now_, event, actions);
    for (const Action& action : actions) execute(action);
  }

  RequestRecord& find_unanswered(std::uint64_t id) {
    EXPECT_TRUE(requests_.count(id));
    EXPECT_FALSE(requests_[id].answered) << "an action follows the final answer of " << id;
    return requests_[id];
  }

  void execute(const Action& action) {
    if (auto* a = std::get_if<Submit>(&action)) {
      RequestRecord& request = find_unanswered(a->id);
      int b = std::stoi(a->backend.substr(1));
      trace_ << "s" << a->id << ">" << b << " ";
      EXPECT_TRUE(serving_[b]) << "submitted to a draining or deleted backend";
      EXPECT_LT(request.attempts.size(), 4u);
      EXPECT_LE(a->deadline, request.deadline);
      for (const AttemptRecord& t : request.attempts) {
        EXPECT_FALSE(t.in_flight) << "two concurrent attempts";
        if (!t.may_have_run) continue;
        const RequestClass& c = request.request_class;
        EXPECT_NE(c.repeat, Repeat::unsafe);
        if (c.repeat != Repeat::keyed) continue;
        EXPECT_LE(now_ - t.sent_at, c.dedup_window_us);
        EXPECT_TRUE(c.dedup_scope != DedupScope::zone || zone(t.backend) == zone(b));
        EXPECT_TRUE(c.dedup_scope != DedupScope::cell || t.backend / 2 == b / 2);
      }
      request.attempts.push_back({b, now_});
    } else if (auto* d = std::get_if<Reject>(&action)) {
      RequestRecord& request = find_unanswered(d->id);
      trace_ << "d" << d->id << " ";
      for (const AttemptRecord& t : request.attempts) {
        if (!t.may_have_run) continue;
        EXPECT_NE(request.request_class.repeat, Repeat::unsafe) << "rejected although it may have run";
        if (request.request_class.repeat == Repeat::keyed) {
          EXPECT_EQ(request.request_class.dedup_scope, DedupScope::all);
        }
      }
      request.answered = true;
    } else if (auto* f = std::get_if<Fail>(&action)) {
      find_unanswered(f->id).answered = true;
    } else if (auto* m = std::get_if<Redirect>(&action)) {
      RequestRecord& request = find_unanswered(m->id);
      EXPECT_TRUE(request.open);
      request.answered = true;
    } else if (auto* p = std::get_if<Probe>(&action)) {
      probes_.push_back(p->backend);
    } else if (auto* t = std::get_if<SetTimer>(&action)) {
      timers_.emplace(now_ + t->after, t->cookie);
    } else {
      list_requested_ = true;
    }
  }

  void end_attempt(std::uint64_t id, RequestRecord& request, Outcome outcome) {
    int attempt = static_cast<int>(request.attempts.size()) - 1;
    AttemptRecord& t = request.attempts.back();
    t.in_flight = false;
    bool was_answered = request.answered;
    if (outcome == Outcome::full || outcome == Outcome::connect_failed) t.may_have_run = false;
    bool terminal = was_answered || request.open || outcome == Outcome::served;
    if (terminal) request.answered = true;
    send(ResultEvent{id, attempt, terminal, name(t.backend), 1000, outcome, {}});
  }

  void fire_timers() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      std::uint64_t cookie = timers_.begin()->second;
      timers_.erase(timers_.begin());
      send(TimerEvent{cookie});
    }
  }

  void check_deadlines() {
    for (auto& [id, request] : requests_) {
      if (!request.answered && !request.open) {
        EXPECT_LT(now_, request.deadline + 50'000) << "no answer before the deadline of " << id;
      }
    }
  }

  void step() {
    now_ += static_cast<Time>(random_() % 8000);
    fire_timers();
    std::vector<std::string> probes;
    probes.swap(probes_);
    for (const std::string& b : probes) {
      Outcome outcome = random_() % 4 ? Outcome::served : Outcome::timeout;
      send(ProbeResultEvent{b, 500, outcome, {static_cast<double>(random_() % 12) / 10}});
    }
    if (list_requested_ && random_() % 3 == 0) {
      list_requested_ = false;
      if (random_() % 2) {
        send(EndpointListEvent{EndpointListKind::failed, nullptr});
      } else {
        list(EndpointListKind::full);
      }
    }
    switch (random_() % 12) {
      case 0:
      case 1:
      case 2: {
        std::uint64_t id = ++last_id_;
        RequestEvent e;
        e.id = id;
        e.request_class = static_cast<int>(random_() % 18);
        e.expires_in = 100'000 + static_cast<Time>(random_() % 1'500'000);
        e.load_hint = random_() % 2 ? static_cast<double>(random_() % 1000) : 0;
        requests_[id] = {settings().classes[e.request_class], now_ + e.expires_in, false, false, {}};
        send(e);
        break;
      }
      case 3: {  // a handed over connection and an event for an unknown request
        std::uint64_t id = ++last_id_;
        RequestRecord request{settings().classes[0], now_, false, true, {}};
        request.attempts.push_back({2, now_});
        requests_[id] = request;
        send(HandoverEvent{{.id = id, .request_class = 0, .expires_in = 1}, name(2)});
        send(ResultEvent{id + 1000000, 0, false, name(1), 0, Outcome::timeout, {}});
        break;
      }
      case 4:
        if (random_() % 20 == 0) list(random_() % 2 ? EndpointListKind::full : EndpointListKind::changes);
        break;
      default: {
        if (requests_.empty()) break;
        auto it = requests_.begin();
        std::advance(it, random_() % requests_.size());
        RequestRecord& request = it->second;
        if (request.attempts.empty() || !request.attempts.back().in_flight) break;
        static constexpr Outcome outcomes[] = {Outcome::served,         Outcome::error, Outcome::full,
                                               Outcome::timeout,        Outcome::reset, Outcome::cancelled,
                                               Outcome::connect_failed, Outcome::full};
        int attempt = static_cast<int>(request.attempts.size()) - 1;
        if (request.request_class.stream && !request.open && !request.answered && random_() % 2) {
          request.open = true;
          send(EstablishedEvent{it->first, attempt, 900});
        } else if (request.open && random_() % 2) {
          send(ConnectionUpdateEvent{
              it->first, attempt,
              random_() % 2 ? ConnectionUpdateKind::load_changed : ConnectionUpdateKind::messages_slow,
              static_cast<double>(random_() % 400)});
        } else if (random_() % 15 == 0) {
          request.answered = true;
          send(ClientGoneEvent{it->first});
        } else {
          end_attempt(it->first, request, outcomes[random_() % 8]);
        }
      }
    }
    check_deadlines();
    if (requests_.size() > 300) {
      std::erase_if(requests_, [](const auto& entry) {
        return entry.second.answered &&
               (entry.second.attempts.empty() || !entry.second.attempts.back().in_flight);
      });
    }
  }

  std::mt19937_64 random_;
  Time now_ = 1'000'000;
  Balancer balancer_;
  std::map<std::uint64_t, RequestRecord> requests_;
  std::map<int, bool> serving_;
  std::multimap<Time, std::uint64_t> timers_;
  std::vector<std::string> probes_;
  bool list_requested_ = false;
  std::uint64_t last_id_ = 0;
  std::ostringstream trace_;
};

TEST(Fuzz, RandomTrafficKeepsTheRulesAndLeavesNoState) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(seed);
    Simulation(seed).run(6000);
    if (HasFailure()) return;
  }
}

TEST(Fuzz, TheSameSeedProducesTheSameActions) {
  std::string first = Simulation(99).run(3000);
  EXPECT_FALSE(first.empty());
  EXPECT_EQ(first, Simulation(99).run(3000));
}

TEST(Fuzz, CorruptedInputIsServedOrRejectedWithItsLine) {
  std::string valid =
      "tick 1000000\nattach 3 99 balancers=2 me=0 zone=n registry_mode=ask limits.max_attempts=3 "
      "limits.probes=true "
      "limits.retry_after=true limits.max_retry_after_us=1000 limits.connect_timeout_us=250000 "
      "invariants.cold_share=0.36 invariants.warm_within_us=8900000 request_classes.count=1 "
      "request_classes.0.name=f request_classes.0.slo_us=300000 request_classes.0.repeat=safe "
      "request_classes.0.dedup_scope=all request_classes.0.window_us=5 request_classes.0.stream=true\n"
      "pool 0 1\nentry SERVING std - 1 n a:70 0\nmembers 3 41 0 remembered\ngo\n"
      "tick 1001000\nwork_item 3 77 1 - - - 12000 f 1800000\ngo\ntick 1002000\nfirst 3 77 a:70 0 900\ngo\n"
      "tick 1003000\ninterim 3 77 0 2 a:70 12.5\nping_result 3 a:70 5 S x0:1\ngo\n"
      "tick 1004000\nresult 3 77 0 1 a:70 3000 S x0:0.4\nhandover 3 5 f - - 100 9000 - 1 a:70\ngo\n";
  adapter::Adapter intact;
  std::istringstream intact_in(valid);
  std::ostringstream intact_out;
  ASSERT_NO_THROW(intact.serve(intact_in, intact_out));
  std::mt19937_64 random(5);
  int rejected = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string text = valid;
    for (std::size_t k = 0; k <= random() % 3; ++k) {
      std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = " -0123456789.:xS\n"[random() % 17];
          break;
        case 1:
          text.erase(at, 1 + random() % 5);
          break;
        case 2:
          text.insert(at, text.substr(random() % text.size(), 1 + random() % 20));
          break;
        default:
          text.resize(at + 1);
      }
    }
    std::istringstream in(text);
    std::ostringstream out;
    try {
      adapter::Adapter().serve(in, out);
    } catch (const adapter::WireError& error) {
      ++rejected;
      EXPECT_EQ(std::string(error.what()).rfind("line ", 0), 0u) << error.what();
    }
  }
  EXPECT_GT(rejected, 1000);
}

}  // namespace
}  // namespace marblehub::policy
