#include "fleet/net/driver.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "config/json.h"
#include "log/log.h"

namespace marblehub::fleet {
namespace {

constexpr int kMaxDatagramsPerRead = 64;  // then other events of the loop are handled
constexpr int kSocketBuffer = 1 << 20;
constexpr std::size_t kMaxObservedAddresses = 2048;
constexpr Time kClockCheckInterval = 200 * kMillisecond;
const char* const kDropReasons[] = {"too_long", "cut",        "other_fleet", "forged", "schema",
                                    "stale",    "stranger",   "streams",     "queue",  "unreachable",
                                    "stalled",  "no_address", "datagram",    "too_big"};

const char* drop_reason_text(DropReason why) {
  switch (why) {
    case DropReason::too_long:
      return "too_long";
    case DropReason::malformed:
      return "cut";
    case DropReason::other_fleet:
      return "other_fleet";
    case DropReason::forged:
      return "forged";
    case DropReason::schema:
      return "schema";
    case DropReason::stale:
      break;
  }
  return "stale";
}

const char* status_text(MemberStatus status) {
  switch (status) {
    case MemberStatus::alive:
      return "alive";
    case MemberStatus::suspect:
      return "suspected";
    case MemberStatus::dead:
      return "dead";
    case MemberStatus::left:
      break;
  }
  return "gone after leaving";
}

metrics::Metric& gauge(metrics::Registry& m, const char* name, const char* help) {
  return m.gauge(name, help);
}

}  // namespace

NodeDriver::NodeDriver(net::Loop& loop, NodeOptions parts, EnvelopeSealer sealer, metrics::Registry& m)
    : loop_(loop),
      settings_(parts.settings),
      incarnation_(parts.incarnation),
      sealer_(std::move(sealer)),
      sender_filter_(settings_),
      udp_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      udp_watch_(loop, [this](int) { read_datagrams(); }),
      tick_timer_(loop,
                  [this] { with_node([](Node& node, Time now, Outbox& out) { node.tick(now, out); }); }),
      sent_(m.counter("marblehub_fleet_messages_sent_total", "Messages to other balancers")),
      sent_bytes_(m.counter("marblehub_fleet_sent_bytes_total", "Octets to other balancers, sealed")),
      received_(
          m.counter("marblehub_fleet_messages_received_total", "Messages that verified and were let in")),
      alive_(
          gauge(m, "marblehub_fleet_members_alive", "Balancers alive as this one has it, itself included")),
      converged_(
          gauge(m, "marblehub_fleet_view_settled", "1 while no member is suspected and nothing changes")),
      digest_(gauge(m, "marblehub_fleet_view_digest", "The view's digest, its lower 32 bits")),
      generations_(gauge(m, "marblehub_fleet_view_generation", "Changes of the view since the start")),
      given_up_(m.counter("marblehub_fleet_given_up_total", "Members that were given up")),
      applied_(gauge(m, "marblehub_fleet_record_applied", "Entries of the record applied here")),
      health_(gauge(m, "marblehub_fleet_health", "How far this balancer doubts itself; 0 is well")),
      clock_(gauge(m, "marblehub_fleet_clock_off", "1 while the clock is further from most than the bound")) {
  for (const char* reason : kDropReasons)
    drop_counters_[reason] =
        &m.counter("marblehub_fleet_messages_dropped_total",
                   "Messages of the fleet that were dropped, by the reason", {{"reason", reason}});
  const sockaddr_in own = *config::parse_address(settings_.listen);  // checked when it was decoded
  if (!udp_ || ::bind(udp_.get(), reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0)
    throw std::runtime_error("fleet: listen: cannot bind " + settings_.listen + ": " + std::strerror(errno));
  setsockopt(udp_.get(), SOL_SOCKET, SO_RCVBUF, &kSocketBuffer, sizeof kSocketBuffer);
  try {
    streams_ = std::make_unique<PeerStreams>(
        loop_, own,
        PeerStreams::Callbacks{
            [this](std::string_view bytes) { return handle_message(bytes, Transport::stream, nullptr); },
            [this](const char* reason) { count_drop(reason); }});
  } catch (const std::runtime_error& error) {
    throw std::runtime_error("fleet: listen: cannot bind " + settings_.listen + ": " + error.what());
  }
  node_ = std::make_unique<Node>(std::move(parts), now());
  log::info("fleet: {} is a member of {}, advertised at {}", settings_.name, settings_.fleet,
            settings_.advertise);
  udp_watch_.start(udp_.get(), EV_READ);
  apply_view_changes();
  tick_timer_.start(0);
}

NodeDriver::~NodeDriver() = default;

void NodeDriver::with_node(const std::function<void(Node&, Time now, Outbox&)>& act) {
  Outbox out;
  act(*node_, now(), out);
  send(out);
  after_step();
}

void NodeDriver::leave() {
  if (leaving_) return;
  leaving_ = true;
  with_node([](Node& node, Time now, Outbox& out) { node.leave(now, out); });
}

void NodeDriver::read_datagrams() {
  char buffer[kMaxDatagramBytes + 1];
  for (int i = 0; i < kMaxDatagramsPerRead; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    ssize_t n = ::recvfrom(udp_.get(), buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n < 0) continue;  // an ICMP error for a datagram sent earlier
    if (static_cast<std::size_t>(n) > kMaxDatagramBytes)
      count_drop("too_long");
    else
      handle_message({buffer, static_cast<std::size_t>(n)}, Transport::datagram, &from);
  }
}

bool NodeDriver::handle_message(std::string_view bytes, Transport transport, const sockaddr_in* from) {
  DropReason why = DropReason::malformed;
  auto envelope = sealer_.open(bytes, why, transport);
  if (!envelope) {
    count_drop(drop_reason_text(why));
    return false;
  }
  // A verified message that is dropped here does not end its stream: the next frame may be accepted.
  if (envelope->sender == settings_.name && envelope->incarnation == incarnation_) return true;
  Time arrived_at = now();
  if (auto refusal = sender_filter_.check(arrived_at, *envelope)) {
    count_drop(*refusal == SenderFilter::Rejection::stale ? "stale" : "stranger");
    return true;
  }
  received_.add();
  if (from && observed_addresses_.size() < kMaxObservedAddresses &&
      !node_->view().members().count(envelope->sender))
    observed_addresses_[envelope->sender] = *from;
  with_node([&](Node& node, Time at, Outbox& out) {
    node.observe_clock(at, envelope->sender, envelope->sent_at);
    node.received(at, envelope->sender, envelope->component, envelope->body, transport, out);
  });
  return true;
}

std::optional<sockaddr_in> NodeDriver::address_of(const std::string& name) const {
  if (name.starts_with("@")) return config::parse_address(std::string_view(name).substr(1));
  if (auto it = settings_.via.find(name); it != settings_.via.end()) return config::parse_address(it->second);
  const auto& members = node_->view().members();
  if (auto it = members.find(name); it != members.end())
    if (auto address = config::parse_address(it->second.address)) return address;
  auto it = observed_addresses_.find(name);
  return it == observed_addresses_.end() ? std::nullopt : std::optional(it->second);
}

void NodeDriver::send(Outbox& out) {
  const auto& members = node_->view().members();
  for (Outgoing& message : out) {
    auto to = address_of(message.to);
    if (!to || to->sin_port == 0) {
      count_drop("no_address");
      continue;
    }
    Envelope envelope;
    // During a rolling upgrade an older member is sent its own schema version.
    if (auto it = members.find(message.to); it != members.end())
      envelope.schema = std::clamp(it->second.schema, kOldestSchema, kNewestSchema);
    envelope.sender = settings_.name;
    envelope.incarnation = incarnation_;
    envelope.sent_at = now();
    envelope.component = message.component;
    envelope.body = std::move(message.body);
    std::string sealed = sealer_.seal(envelope);
    if (sealed.size() >
        (message.transport == Transport::stream ? kMaxStreamMessageBytes : kMaxDatagramBytes)) {
      count_drop("too_big");
      continue;
    }
    sent_.add();
    sent_bytes_.add(static_cast<double>(sealed.size()));
    if (message.transport == Transport::stream)
      streams_->send(*to, sealed);
    else if (::sendto(udp_.get(), sealed.data(), sealed.size(), 0, reinterpret_cast<const sockaddr*>(&*to),
                      sizeof *to) < 0)
      count_drop("datagram");
  }
}

void NodeDriver::after_step() {
  if (node_->view().generation() != generation_) apply_view_changes();
  converged_.set(node_->view().converged(now()));
  health_.set(node_->view().local_health());
  applied_.set(static_cast<double>(node_->record().ledger().applied));
  if (auto conflict = node_->view().name_conflict(); conflict && !name_conflict_reported_) {
    name_conflict_reported_ = true;
    log::error("fleet: another process already runs as {}, {}: this one must stop", settings_.name,
               *conflict);
    if (on_name_conflict_) on_name_conflict_(*conflict);
  }
  if (Time at = now(); at - clock_checked_at_ >= kClockCheckInterval || at < clock_checked_at_) {
    clock_checked_at_ = at;
    std::vector<std::string> alive;
    for (const auto& [name, member] : node_->view().members())
      if (member.status == MemberStatus::alive || member.status == MemberStatus::suspect)
        alive.push_back(name);
    bool off = sender_filter_.clock_off(at, alive);
    if (off != clock_off_)
      log::warning("fleet: the clock is {} the bound of most members' clocks", off ? "beyond" : "within");
    clock_off_ = off;
    clock_.set(off);
  }
  if (on_step_) on_step_();
  Time due = node_->next_due();
  if (due == tick_due_ && tick_timer_.active()) return;
  tick_due_ = due;
  tick_timer_.start(
      std::clamp<Time>(due - now(), 0, kSecond));  // at most one second, in case the clock jumps
}

void NodeDriver::apply_view_changes() {
  View& view = node_->view();
  generation_ = view.generation();
  generations_.set(static_cast<double>(generation_));
  digest_.set(static_cast<double>(view.digest() & 0xffffffffU));
  alive_.set(static_cast<double>(view.live_count()));
  for (const auto& [name, member] : view.members()) {
    observed_addresses_.erase(name);
    auto [it, fresh] = statuses_.emplace(name, member.status);
    if (!fresh && it->second == member.status) continue;
    it->second = member.status;
    given_up_.add(member.status == MemberStatus::dead && name != settings_.name);
    log::info("fleet: {} is {}, incarnation {}", name, status_text(member.status), member.incarnation);
  }
  std::erase_if(statuses_, [&](const auto& known) { return !view.members().count(known.first); });
}

}  // namespace marblehub::fleet
