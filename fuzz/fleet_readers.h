/// Fuzzing of everything in the fleet that decodes received messages, for libFuzzer and for the short run in
/// CI: each decoder by itself, and whole nodes that receive arbitrary messages from a member. A MAC or
/// checksum that a decoder requires is added, as random inputs would not pass it. A wrong message of a member
/// may violate an invariant (src/check then turns off the component), but must not cause a memory error,
/// exceed a limit or decode to something that does not survive a round trip.
#pragma once

#include <openssl/hmac.h>

#include <cstdlib>
#include <cstring>

#include "check/check.h"
#include "fleet/node/node.h"
#include "fleet/record/memory_disk.h"
#include "fleet/record/state.h"
#include "fleet/view/message.h"
#include "fleet/wire/envelope.h"

namespace marblehub::fleet::fuzzing {

inline const std::string kKey(32, 'k');
constexpr Time kStart = 1'800'000'000 * kSecond;

/// Aborts the process where the condition does not hold, also in builds without assertions.
inline void require(bool holds) {
  if (!holds) std::abort();
}

/// The input as the contents of an envelope with a valid MAC under kKey.
inline std::string with_hmac(std::string_view payload) {
  const auto length = static_cast<std::uint32_t>(payload.size());
  std::string content(reinterpret_cast<const char*>(&length), sizeof length);
  content += payload;
  unsigned char mac[32];
  unsigned size = sizeof mac;
  HMAC(EVP_sha256(), kKey.data(), static_cast<int>(kKey.size()),
       reinterpret_cast<const unsigned char*>(content.data()), content.size(), mac, &size);
  return std::string(reinterpret_cast<const char*>(mac), size) + content;
}

/// The input followed by the hash that the record's messages and stored entries end with.
inline std::string with_checksum(std::string_view payload) {
  const std::uint64_t hash = fnv1a_hash(payload);
  return std::string(payload).append(reinterpret_cast<const char*>(&hash), sizeof hash);
}

/// Whether the sums and versions of a ledger are consistent.
inline bool is_consistent(const Ledger& ledger) {
  for (const auto& [name, wallet] : ledger.wallets) {
    std::int64_t out = 0;
    for (const auto& [id, slice] : wallet.out) out += slice.amount;
    if (wallet.paid != wallet.balance + out + wallet.spent || wallet.balance < 0 || wallet.spent < 0)
      return false;
  }
  return ledger.routes.next == 0 || ledger.routes.next > ledger.routes.in_force;
}

/// Applies an arbitrary command to a ledger with contents and requires a consistent result.
inline void apply_to_populated_ledger(const Command& command) {
  static const Ledger populated = [] {
    Ledger l;
    l.voters = {"alva", "boris", "celia"};
    auto propose = [&](Body body) {
      require(apply(l, l.applied + 1, {{"boris", 1, l.applied + 1}, std::move(body)}).empty());
    };
    propose(Deposit{"acme", "d1", 1000});
    propose(TakeSlice{"acme", "s1", "boris", 1, 10, kStart});
    propose(TakeSlice{"acme", "s2", "boris", 1, 10, kStart});
    propose(LapseSlice{"acme", "s2"});
    propose(ProposeRoutes{1, "t", {"boris"}, kStart});
    propose(AnswerRoutes{1, "boris", "", false});
    propose(ActivateRoutes{1, kStart + kSecond});
    return l;
  }();
  Ledger ledger = populated;
  Command next_command = command;
  next_command.id = {"boris", 1, populated.applied + 1};
  for (const Command& each : {command, next_command}) {
    apply(ledger, ledger.applied + 1, each);
    require(is_consistent(ledger));
  }
}

/// Passes the input to each decoder and requires a round trip of what it decodes. Returns whether any
/// succeeded.
inline bool try_all_decoders(std::string_view bytes) {
  static const EnvelopeSealer sealer("tartu", {kKey});
  bool decoded = false;
  for (Transport transport : {Transport::datagram, Transport::stream})
    for (const std::string& input : {std::string(bytes), with_hmac(bytes)}) {
      DropReason why{};
      const auto envelope = sealer.open(input, why, transport);
      if (!envelope) continue;
      decoded = true;
      require(input.size() <=
              (transport == Transport::datagram ? kMaxDatagramBytes : kMaxStreamMessageBytes));
      require(!envelope->sender.empty() && envelope->sender.size() <= kMaxNameBytes);
      const auto reopened = sealer.open(sealer.seal(*envelope), why);
      require(reopened ? reopened->body == envelope->body && reopened->sender == envelope->sender
                       : why == DropReason::too_long);
    }
  if (const auto message = view::decode(bytes)) {
    decoded = true;
    const std::string encoded = view::encode(*message);
    const auto redecoded = view::decode(encoded);
    require(redecoded ? view::encode(*redecoded) == encoded : encoded.size() > (1 << 20));
  }
  for (const std::string& input : {std::string(bytes), with_checksum(bytes)}) {
    Message message;
    decoded |= decode_with_checksum(input, message);
    Command command, command_again;
    if (decode(input, command)) {
      decoded = true;
      require(decode(encode(command), command_again) && encode(command_again) == encode(command));
      apply_to_populated_ledger(command);
    }
    Ledger ledger, ledger_again;
    if (decode(input, ledger)) {
      decoded = true;
      require(decode(encode(ledger), ledger_again) && digest(ledger_again) == digest(ledger));
    }
  }
  return decoded;
}

/// The state of the fuzzed node. The last two do not vote.
enum class NodeRole { leader, follower, learner, without_disk };

/// A node `alva` that receives messages from the member `boris`, brought into its role by valid messages.
struct FuzzedNode {
  explicit FuzzedNode(NodeRole role) {
    Settings s;
    s.enabled = true;
    s.fleet = "tartu";
    s.name = "alva";
    s.listen = s.advertise = "10.0.0.1:7000";
    s.seeds = {"10.0.0.2:7000"};
    s.voters = {"boris"};
    if (role < NodeRole::learner) s.voters = {"alva", "boris", "celia"};
    s.routes_file = "routes.json", s.wallet_file = "wallet.json";
    NodeOptions parts;
    parts.settings = s;
    parts.calls = {{"ride"}, {}};
    parts.wallet = WalletSettings{};
    parts.wallet->deposits["acme"]["d1"] = 100;
    if (role != NodeRole::without_disk) parts.disk = &disk;
    parts.first_fleet = true;
    node = std::make_unique<Node>(std::move(parts), now);
    if (role == NodeRole::leader) {
      for (int iteration = 0; iteration < 400 && node->record().ledger().applied < 2; ++iteration) step(true);
      require(node->record().role() == Role::leader && node->record().ledger().applied >= 2);
    } else {
      step(false);
      Message first;
      first.kind = role == NodeRole::follower ? kAppendRequest : kLearnUpdate;
      first.term = first.commit = first.total = 1;
      first.heartbeat = now;
      first.leader = "boris";
      auto& entry = *first.entries.emplace_back(std::make_unique<fb::EntryT>());
      entry.index = entry.term = 1;
      deliver("boris", Component::record, encode_with_checksum(first), Transport::stream);
      require(node->record().ledger().applied == 1);
    }
  }
  /// Ticks the node; boris then optionally grants its vote requests and accepts its appends.
  void step(bool boris_replies) {
    now = std::max(now + kMillisecond, std::min(node->next_due(), now + kSecond));
    Outbox out;
    node->tick(now, out);
    for (std::size_t at = 0; boris_replies && at < out.size(); ++at) {
      const Outgoing each = out[at];
      Message request, reply;
      if (each.to != "boris" || each.component != Component::record ||
          !decode_with_checksum(each.body, request))
        continue;
      reply.flag = true;
      reply.term = request.term;
      reply.heartbeat = request.heartbeat;
      reply.kind = request.kind == kVoteRequest ? kVoteReply : kAppendReply;
      reply.offset = request.kind == kVoteRequest && request.flag;
      reply.index = request.kind == kVoteRequest ? 0 : request.index + request.entries.size();
      if (request.kind == kVoteRequest || request.kind == kAppendRequest)
        node->received(now, "boris", Component::record, encode_with_checksum(reply), Transport::stream, out);
    }
  }
  /// Delivers a message and requires that the node's answers are within the size limit.
  void deliver(const std::string& from, Component component, std::string_view body, Transport transport) {
    Outbox out;
    node->received(now, from, component, body, transport, out);
    for (const Outgoing& each : out) require(each.body.size() <= (1 << 20));
  }
  MemoryDisk disk;
  Time now = kStart;
  std::unique_ptr<Node> node;
};

/// Delivers the input to a node twice, as a duplicate, and lets time pass. The first byte selects the role,
/// sender, component and transport; the rest is the body.
inline void deliver_to_node(std::string_view bytes) {
  if (bytes.empty()) return;
  const auto flags = static_cast<unsigned char>(bytes[0]);
  const std::string body = flags & 4 ? with_checksum(bytes.substr(1)) : std::string(bytes.substr(1));
  FuzzedNode fuzzed(static_cast<NodeRole>(flags % 4 % 3));
  check::on_violation = [](const char*, const std::string&) {};
  for (int times = 0; times < 2; ++times)
    fuzzed.deliver(flags & 32 ? "stranger" : "boris", flags & 8 ? Component::view : Component::record, body,
                   flags & 16 ? Transport::datagram : Transport::stream);
  for (int iteration = 0; iteration < 8; ++iteration) fuzzed.step(true);
  fuzzed.node->routes()->route(fuzzed.now, "ride", "acme", "7");
  Reservation reservation;
  fuzzed.node->wallets()->reserve(fuzzed.now, "acme", "ride", reservation);
  check::on_violation = nullptr;
}

}  // namespace marblehub::fleet::fuzzing
