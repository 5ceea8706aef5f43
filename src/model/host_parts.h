/// Parts of the model's balancer that only its own sources see: a client's session, its attempts, the
/// workers' side.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "model/host.h"

namespace marblehub::model {

constexpr Time kMessageTick = kSecond;  // how often clients' messages are looked at

/// A client that is here: waiting for its answer, or connected to a worker.
struct Host::Session : core::ClientSide {
  Host* host = nullptr;
  std::uint32_t slot = 0, life = 0;
  bool used = false, stands = false, answered = false;
  Client client;
  core::Exchange* exchange = nullptr;
  Attempt* attempt = nullptr;
  int attempts = 0, worker = -1;
  std::size_t place = 0;  // among those at its worker
  Time asked_at = 0;
  bool moving = false;  // it has been told, and its worker has not let it go yet (QUIC)

  std::uint64_t key() const {
    return static_cast<std::uint64_t>(host->host_) << 48 | static_cast<std::uint64_t>(slot & 0xffffff) << 24 |
           static_cast<std::uint64_t>(life & 0xfffff) << 4 | static_cast<std::uint64_t>(attempts & 15);
  }
  void established(std::string_view) override;
  void overload_reply(Time pause) override;
  void failed(std::string_view) override;
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void redirect() override;
  void ended(core::CloseKind) override;
  void final_answer();
  void stand();  // takes its place at its worker, until its wish is over
  void leave_worker();
};

// The attempt. Its end, whatever the reason, is told to the worker: its connection is closed.
class Host::Attempt : public core::Attempt {
 public:
  Attempt(Session& session, int worker) : session_(session), worker_(worker), key_(session.key()) {
    session.attempt = this;
  }
  ~Attempt() override {
    if (session_.attempt == this) session_.attempt = nullptr;
    // A QUIC client goes when its worker has moved it; its session sees to that.
    if (!ended_ && !session_.moving) session_.host->send_worker(What::gone, worker_, key_, nullptr);
  }
  void deliver(std::string_view) override {
    session_.host->send_worker(What::message, worker_, key_, nullptr);
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

class Host::WorkerPort : public core::WorkerSide {
 public:
  explicit WorkerPort(Host& host) : host_(host) {}
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange& exchange, const std::string& worker,
                                               const std::string&, Time) override {
    Session& session = *host_.session_of(std::stoull(exchange.call().front_data));
    int number = host_.places_.numbers.at(worker);
    session.attempts += 1;
    session.worker = number;
    if (session.attempt) host_.rules_.broken(Rule::one_at_a_time, host_.now(), worker);
    if (session.attempts > host_.scenario_.attempts)
      host_.rules_.broken(Rule::four_attempts, host_.now(), worker);
    auto attempt = std::make_unique<Attempt>(session, number);
    const Known& known = host_.known_[static_cast<std::size_t>(number)];
    if (known.leaving && host_.now() - known.told > kDrainBound)
      host_.rules_.broken(Rule::drained, host_.now(), worker);
    host_.note("tries", session, worker);
    host_.send_worker(What::setup, number, attempt->key(), &session.client);
    return attempt;
  }

 private:
  Host& host_;
};

}  // namespace marblehub::model
