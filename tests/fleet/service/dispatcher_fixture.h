// A dispatcher on a simulated clock, with a fake gate and fake clients, workers, prober and registry.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/dispatcher.h"
#include "metrics/registry.h"
#include "support/policy_fixture.h"

namespace marblehub::test {

/// Implements all ports of the dispatcher, and counts what it does.
struct DispatcherFixture : core::Clock, core::Prober, core::Registry, core::ClientSide, core::WorkerSide {
  // Admits all calls, and places them in `pool`.
  struct FakeGate : core::CallGate {
    int shared_by = 0;
    std::vector<std::string> all_down;
    std::set<std::string> pool;  // where calls may be placed; empty: anywhere
    std::uint64_t changed = 0;
    Decision admit(std::uint64_t, const core::Call&) override { return {}; }
    void call_established(std::uint64_t) override {}
    void call_ended(std::uint64_t) override {}
    void worker_list_updated(const config::WorkerList&) override {}
    int balancer_count() override { return shared_by; }
    void set_down_workers(const std::vector<std::string>& workers) override { all_down = workers; }
    bool placement_allowed(const core::Call&, const std::string& worker) override {
      return pool.empty() || pool.count(worker);
    }
    std::uint64_t placement_version() override { return changed; }
  };
  // Ignores what it is given.
  struct FakeAttempt : core::Attempt {
    void deliver(std::string_view) override {}
    void hold(bool) override {}
    void finish(core::CloseKind) override {}
  };

  explicit DispatcherFixture(const Settings& settings, int workers) {
    startup.settings = settings;
    startup.seed = 7;
    startup.known.snapshot = true;
    for (const BackendEntry& entry : test::workers(workers))
      startup.known.workers.push_back({entry, "127.0.0.1:1"});
    dispatcher = std::make_unique<core::Dispatcher>(startup, *this, *this, *this, metrics);
    config::WorkerList unchanged;
    unchanged.snapshot = false;
    dispatcher->list_received(unchanged);  // confirms the known list, so that calls are placed
  }
  void run(Time span) {
    for (const Time end = at + span; at < end;) {
      at = std::min(end, std::max(at + 1, dispatcher->next_due()));
      dispatcher->advance();
      for (const std::string& worker : std::exchange(pending_probes, {}))
        dispatcher->probe_result(worker, 5000, silent.count(worker) ? Outcome::timeout : Outcome::served, {});
      dispatcher->free_ended();
    }
  }

  // core::Clock, Prober, Registry, ClientSide, WorkerSide
  Time now() const override { return at; }
  void probe(const std::string& worker, const std::string&) override {
    pending_probes.push_back(worker);
    probes[worker] += 1;
  }
  void watch_endpoints() override {}
  void established(std::string_view) override {}
  void overload_reply(Time) override { refused += 1; }
  void failed(std::string_view) override { refused += 1; }
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void redirect() override { moved += 1; }
  void ended(core::CloseKind) override {}
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange& exchange, const std::string& worker,
                                               const std::string&, Time) override {
    last_worker[exchange.id()] = worker;
    return std::make_unique<FakeAttempt>();
  }

  Time at = 1'800'000'000'000'000;
  config::Startup startup;
  metrics::Registry metrics;
  std::unique_ptr<core::Dispatcher> dispatcher;
  std::vector<std::string> pending_probes;
  std::map<std::string, int> probes;
  std::map<std::uint64_t, std::string> last_worker;  // the last worker of each call
  std::set<std::string> silent;                      // workers whose probes time out
  int refused = 0, moved = 0;
};

}  // namespace marblehub::test
