/// Private classes of BalancerProcess: the session of a client, its attempts and the port to the workers.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "model/balancer.h"

namespace marblehub::model {

constexpr Time kMessageInterval = kSecond;  // interval of BalancerProcess::send_messages

/// A client at this balancer: waiting for the answer to its call, or connected to a worker. Sessions are
/// reused; the generation tells the uses of a slot apart.
struct BalancerProcess::Session : core::ClientSide {
  BalancerProcess* balancer = nullptr;
  std::uint32_t slot = 0, generation = 0;
  bool in_use = false, connected = false, answered = false;
  Client client;
  core::Exchange* exchange = nullptr;
  Attempt* attempt = nullptr;
  int attempts = 0, worker = -1;
  std::size_t index_at_worker = 0;  // in KnownWorker::sessions
  Time call_started = 0;
  bool moving = false;  // asked to move, but still held by its worker (QUIC)

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
  void record_final_answer();  // checks the rules on final answers
  void join_worker();          // marks it as connected and schedules the end of its stay
  void leave_worker();
};

/// An attempt of a call at a worker. Its destructor closes the connection at the worker.
class BalancerProcess::Attempt : public core::Attempt {
 public:
  Attempt(Session& session, int worker) : session_(session), worker_(worker), key_(session.key()) {
    session.attempt = this;
  }
  ~Attempt() override {
    if (session_.attempt == this) session_.attempt = nullptr;
    // A QUIC client disconnects when its worker has moved it; the session handles that.
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

/// Begins attempts for the dispatcher and checks the rules on them.
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
