#include "quic/flow.h"

#include <fmt/format.h>

#include <algorithm>

#include "quic/front.h"
#include "quic/initial.h"

namespace marblehub::quic {

using core::CloseKind;
using core::Outcome;

namespace {

constexpr int kMaxMoveRequests = 5;  // for one move; repeated in each sweep until the worker sends END
constexpr std::size_t kAmplificationFactor = 3;  // RFC 9000, 8.1

}  // namespace

// One attempt over QUIC. It owns the flow's path until the worker's first reply establishes the connection.
class Attempt final : public core::Attempt {
 public:
  Attempt(Flow& flow, core::Exchange& exchange) : flow_(flow), exchange_(exchange) {}
  ~Attempt() override {
    if (flow_.is_established || !flow_.path) return;
    flow_.front.remove_pending_attempt(flow_);
    flow_.front.drop_path(*flow_.path);
  }
  // Reports the failure in the next iteration of the event loop.
  void fail(Outcome why) {
    failure_timer_ = std::make_unique<net::TimerWatch>(flow_.front.loop_, [this, why] {
      exchange_.worker_ended(why, CloseKind::aborted);  // destroys this attempt
    });
    failure_timer_->start(0);
  }
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void finish(CloseKind) override {}
  bool proved_not_run() const override { return flow_.reached_no_worker(); }
  bool timeout_blames_worker() const override { return flow_.timeout_blames_worker(); }

 private:
  Flow& flow_;
  core::Exchange& exchange_;
  std::unique_ptr<net::TimerWatch> failure_timer_;
};

Flow::Flow(Front& f, const Header& header, const Endpoint& from)
    : front(f),
      first_destination(header.type == PacketType::short_header ? std::string_view() : header.destination),
      client_source(header.source),
      version(header.version),
      client(from) {}

bool Flow::allow_reply(std::size_t bytes) {
  if (validated) return true;
  if (bytes_sent + bytes > kAmplificationFactor * bytes_received) return false;
  bytes_sent += bytes;
  return true;
}

// Without address validation, or with a validated address, a timeout is the worker's fault. Otherwise the
// call may come from a spoofed address, unless its flight has 0-RTT, which cannot be spoofed.
bool Flow::timeout_blames_worker() const {
  if (validated || front.settings_.retry.mode == RetryMode::never) return true;
  if (!handshake_state) return true;
  const auto& flight = handshake_state->delivery.flight();
  return std::any_of(flight.begin(), flight.end(), [](const std::string& datagram) {
    for (std::string_view rest = datagram; !rest.empty();) {
      auto header = parse(rest);
      if (!header || header->type == PacketType::short_header) return false;
      if (header->type == PacketType::zero_rtt) return true;
      rest.remove_prefix(header->packet.size());
    }
    return false;
  });
}

void Flow::established(std::string_view receipt) {
  is_established = true;
  handshake_state.reset();
  if (allow_reply(receipt.size())) return front.send_to_client(client, receipt);
  front.amplification_stops_.add();
}

void Flow::overload_reply(Time pause) {
  close_call(kConnectionRefused,
             pause > 0 ? fmt::format("busy, come again after {} ms", (pause + 999) / 1000) : "busy");
}

// Not CONNECTION_REFUSED, which would tell the client that no worker has processed the call.
void Flow::failed(std::string_view) {
  if (handshake_state) handshake_state->may_have_run = true;
  close_call(kInternalError, "failed");
}

void Flow::close_call(std::uint64_t error, std::string_view reason) {
  exchange = nullptr;
  last_used = front.loop_.now();
  if (routed_by_address) {  // without its Initial keys no CONNECTION_CLOSE can be sent
    finished = true;
    return;
  }
  Header header;
  header.version = version;
  handshake_state->delivery.clear_flight();
  header.destination = handshake_state->initial_keys_id;
  header.source = client_source;
  std::string& close_packet = handshake_state->close_packet = connection_close_packet(header, error, reason);
  front.closes_.add();
  if (allow_reply(close_packet.size())) front.send_to_client(client, close_packet);
}

void Flow::redirect() {
  exchange = nullptr;
  move_requests_left = kMaxMoveRequests;
  request_move();
}

void Flow::ended(CloseKind) {
  exchange = nullptr;
  finished = true;
}

void Flow::request_move() {
  if (move_requests_left-- <= 0 || !path) return;
  front.move_requests_.add();
  front.send_control(*path, "MOVE " + hex(first_destination));
}

std::unique_ptr<core::Attempt> Flow::begin_attempt(core::Exchange& to, const std::string& worker,
                                                   const std::string&, Time) {
  auto attempt = std::make_unique<Attempt>(*this, to);
  handshake_state->delivery.begin_attempt();
  front.refresh_workers();
  WorkerTable::Worker* target = front.workers_.find_by_name(worker);
  if (!target || !target->address.is_specified()) {
    attempt->fail(Outcome::connect_failed);
    return attempt;
  }
  // The worker is not at fault for a lack of descriptors or table entries in the balancer, nor for a client
  // bound to another worker by its Retry.
  Path* attempt_path = bound_by_retry ? nullptr : front.make_path(client, *target);
  if (!attempt_path) {
    attempt->fail(Outcome::not_sent);
    return attempt;
  }
  front.attach(*this, *attempt_path);
  front.add_pending_attempt(*this);
  for (const std::string& datagram : handshake_state->delivery.flight())
    front.send_handshake_datagram(*this, datagram);
  return attempt;
}

}  // namespace marblehub::quic
