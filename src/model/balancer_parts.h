/// Parts of the model's balancer that only its own sources see: a client's session, its attempts, the
/// workers' side.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "model/balancer.h"

namespace marblehub::model {

constexpr Time kMessageInterval = kSecond;  // how often clients' messages are looked at

/// A client that is here: waiting for its answer, or connected to a worker.
struct BalancerProcess::Session : core::ClientSide {
  BalancerProcess* balancer = nullptr;
  std::uint32_t slot = 0, generation = 0;
  bool in_use = false, connected = false, answered = false;
  Client client;
  core::Exchange* exchange = nullptr;
  Attempt* attempt = nullptr;
  int attempts = 0, worker = -1;
  std::size_t index_at_worker = 0;  // among those at its worker
  Time call_started = 0;
  bool moving = false;  // it has been told, and its worker has not let it go yet (QUIC)

  std::uint64_t key() const {
    return static_cast<std::uint64_t>(balancer->index_) << 48 |
           static_cast<std::uint64_t>(slot & 0xffffff) << 24 |
           static_cast<std::uint64_t>(generation & 0xfffff) << 4 | static_cast<std::uint64_t>(attempts & 15);
  }
  void established(std::string_view) override;
  void overload_reply(Time pause) override;
  void failed(std::string_view) override;
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void redirect() override;
  void ended(core::CloseKind) override;
  void record_final_answer();
  void join_worker();  // takes its place at its worker, until its wish is over
  void leave_worker();
};

// The attempt. Its end, whatever the reason, is told to the worker: its connection is closed.
class BalancerProcess::Attempt : public core::Attempt {
 public:
  Attempt(Session& session, int worker) : session_(session), worker_(worker), key_(session.key()) {
    session.attempt = this;
  }
  ~Attempt() override {
    if (session_.attempt == this) session_.attempt = nullptr;
    // A QUIC client goes when its worker has moved it; its session sees to that.
    if (!ended_ && !session_.moving)
      session_.balancer->send_to_worker(EventType::connection_closed, worker_, key_, nullptr);
  }
  void deliver(std::string_view) override {
    session_.balancer->send_to_worker(EventType::message_request, worker_, key_, nullptr);
  }
  void hold(bool) override {}
  void finish(core::CloseKind) override {}

  std::uint64_t key() const { return key_; }
  void ended() { ended_ = true; }

 private:
  Session& session_;
  const int worker_;
  const std::uint64_t key_;
  bool ended_ = false;
};

class BalancerProcess::WorkerPort : public core::WorkerSide {
 public:
  explicit WorkerPort(BalancerProcess& balancer) : balancer_(balancer) {}
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange& exchange, const std::string& worker,
                                               const std::string&, Time) override {
    Session& session = *balancer_.find_session(std::stoull(exchange.call().front_data));
    int number = balancer_.topology_.numbers.at(worker);
    session.attempts += 1;
    session.worker = number;
    if (session.attempt) balancer_.rules_.record(Rule::one_attempt_at_a_time, balancer_.now(), worker);
    if (session.attempts > balancer_.scenario_.attempts)
      balancer_.rules_.record(Rule::attempt_limit, balancer_.now(), worker);
    auto attempt = std::make_unique<Attempt>(session, number);
    const KnownWorker& known = balancer_.known_workers_[static_cast<std::size_t>(number)];
    if (known.leaving && balancer_.now() - known.leaving_since > kDrainGracePeriod)
      balancer_.rules_.record(Rule::no_attempt_after_drain, balancer_.now(), worker);
    balancer_.log_event("tries", session, worker);
    balancer_.send_to_worker(EventType::setup_request, number, attempt->key(), &session.client);
    return attempt;
  }

 private:
  BalancerProcess& balancer_;
};

}  // namespace marblehub::model
