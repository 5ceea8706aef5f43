#include "quic/flow.h"

#include <fmt/format.h>

#include <algorithm>

#include "quic/front.h"
#include "quic/initial.h"

namespace marblehub::quic {

using core::CloseKind;
using core::Outcome;

namespace {

constexpr int kMoveRepeats = 5;
constexpr std::size_t kAmplification = 3;  // RFC 9000, 8.1

}  // namespace

// One attempt over QUIC. Until the worker's first reply it owns its path; then the path goes on by itself.
class Attempt final : public core::Attempt {
 public:
  Attempt(Flow& flow, core::Exchange& exchange) : flow_(flow), exchange_(exchange) {}
  ~Attempt() override {
    if (flow_.standing || !flow_.path) return;
    flow_.front.stop_trying(flow_);
    flow_.front.drop_path(*std::exchange(flow_.path, nullptr));
  }
  void fail(Outcome why) {
    failed_ = std::make_unique<net::TimerWatch>(flow_.front.loop_, [this, why] {
      exchange_.worker_ended(why, CloseKind::aborted);  // this ends with it
    });
    failed_->start(0);
  }
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void finish(CloseKind) override {}
  bool timeout_blames_worker() const override { return flow_.timeout_blames_worker(); }

 private:
  Flow& flow_;
  core::Exchange& exchange_;
  std::unique_ptr<net::TimerWatch> failed_;
};

Flow::Flow(Front& f, const Header& header, const Endpoint& from)
    : front(f),
      first_destination(header.type == PacketType::short_header ? std::string_view() : header.destination),
      client_source(header.source),
      version(header.version),
      client(from) {}

bool Flow::may_answer(std::size_t octets) {
  if (validated) return true;
  if (octets_out + octets > kAmplification * octets_in) return false;
  octets_out += octets;
  return true;
}

// Where addresses are validated at all, a call that has not shown its own may be made up. Only 0-RTT can run
// before a worker has replied, and nobody can make that up.
bool Flow::timeout_blames_worker() const {
  if (validated || front.settings_.retry.mode == RetryMode::never) return true;
  if (!beginning) return true;
  const auto& flight = beginning->flight;
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
  standing = true;
  beginning.reset();
  if (may_answer(receipt.size())) return front.to_client(client, receipt);
  front.over_budget_.add();
}

void Flow::overload_reply(Time pause) {
  answer(pause > 0 ? fmt::format("busy, come again after {} ms", (pause + 999) / 1000) : "busy");
}

void Flow::failed(std::string_view) { answer("failed"); }

void Flow::answer(std::string_view reason) {
  exchange = nullptr;
  used = front.loop_.now();
  if (by_tuple) {  // without its keys there is nothing to say it with
    done = true;
    return;
  }
  Header header;
  header.version = version;
  beginning->flight = {};
  header.destination = beginning->keys_from;
  header.source = client_source;
  std::string& closing = beginning->closing = connection_close_packet(header, kConnectionRefused, reason);
  front.closes_.add();
  if (may_answer(closing.size())) front.to_client(client, closing);
}

void Flow::redirect() {
  exchange = nullptr;
  moves_left = kMoveRepeats;
  ask_to_move();
}

void Flow::ended(CloseKind) {
  exchange = nullptr;
  done = true;
}

void Flow::ask_to_move() {
  if (moves_left-- <= 0 || !path) return;
  front.moves_.add();
  front.send_control(*path, "MOVE " + hex(first_destination));
}

std::unique_ptr<core::Attempt> Flow::begin_attempt(core::Exchange& to, const std::string& worker,
                                                   const std::string&, Time) {
  auto attempt = std::make_unique<Attempt>(*this, to);
  front.refresh_workers();
  WorkerTable::Worker* at = front.workers_.find_by_name(worker);
  if (!at || !at->address.is_specified()) {
    attempt->fail(Outcome::connect_failed);
    return attempt;
  }
  // Our own want of a descriptor or of a place in the table says nothing of the worker; nor does a client
  // that another worker's Retry has bound.
  path = bound ? nullptr : front.make_path(client, *at);
  if (!path) {
    attempt->fail(Outcome::not_sent);
    return attempt;
  }
  front.attach(*this, *path);
  front.begin_trying(*this);
  for (const std::string& datagram : beginning->flight) front.send_first(*this, datagram);
  return attempt;
}

}  // namespace marblehub::quic
