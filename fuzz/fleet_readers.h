// Everything of the fleet that reads what others sent, in one call: for libFuzzer and for the short run in
// CI. Each reader by itself, and whole nodes that hear a member of the fleet say anything. Where a code or a
// hash stands before a reader it is put there too, else nothing would come past it. Invariants may break on a
// member's false word (src/check turns the part off); memory, bounds and what is read back may not.
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

inline void require(bool holds) {
  if (!holds) std::abort();
}

inline std::string with_hmac(std::string_view octets) {
  const auto length = static_cast<std::uint32_t>(octets.size());
  std::string inside(reinterpret_cast<const char*>(&length), sizeof length);
  inside += octets;
  unsigned char code[32];
  unsigned size = sizeof code;
  HMAC(EVP_sha256(), kKey.data(), static_cast<int>(kKey.size()),
       reinterpret_cast<const unsigned char*>(inside.data()), inside.size(), code, &size);
  return std::string(reinterpret_cast<const char*>(code), size) + inside;
}

inline std::string with_checksum(std::string_view octets) {
  const std::uint64_t hash = hash_of(octets);
  return std::string(octets).append(reinterpret_cast<const char*>(&hash), sizeof hash);
}

inline bool is_consistent(const Ledger& ledger) {
  for (const auto& [name, wallet] : ledger.wallets) {
    std::int64_t out = 0;
    for (const auto& [id, slice] : wallet.out) out += slice.amount;
    if (wallet.paid != wallet.balance + out + wallet.spent || wallet.balance < 0 || wallet.spent < 0)
      return false;
  }
  return ledger.routes.next == 0 || ledger.routes.next > ledger.routes.in_force;
}

// What commands of any content leave of a ledger that has something in it.
inline void apply_to_some(const Command& command) {
  static const Ledger some = [] {
    Ledger l;
    l.voters = {"alva", "boris", "celia"};
    auto say = [&](Body body) {
      require(apply(l, l.applied + 1, {{"boris", 1, l.applied + 1}, std::move(body)}).empty());
    };
    say(Deposit{"acme", "d1", 1000});
    say(TakeSlice{"acme", "s1", "boris", 1, 10, kStart});
    say(TakeSlice{"acme", "s2", "boris", 1, 10, kStart});
    say(LapseSlice{"acme", "s2"});
    say(ProposeRoutes{1, "t", {"boris"}, kStart});
    say(StagedRoutes{1, "boris", "", false});
    say(ActivateRoutes{1, kStart + kSecond});
    return l;
  }();
  Ledger ledger = some;
  Command turn = command;
  turn.id = {"boris", 1, some.applied + 1};
  for (const Command& each : {command, turn}) {
    apply(ledger, ledger.applied + 1, each);
    require(is_consistent(ledger));
  }
}

// True: something was read that verified.
inline bool try_all_decoders(std::string_view bytes) {
  static const EnvelopeSealer sealer("tartu", {kKey});
  bool read = false;
  for (Transport transport : {Transport::datagram, Transport::stream})
    for (const std::string& octets : {std::string(bytes), with_hmac(bytes)}) {
      DropReason why{};
      const auto envelope = sealer.open(octets, why, transport);
      if (!envelope) continue;
      read = true;
      require(octets.size() <=
              (transport == Transport::datagram ? kMaxDatagramBytes : kMaxStreamMessageBytes));
      require(!envelope->sender.empty() && envelope->sender.size() <= kMaxNameBytes);
      const auto again = sealer.open(sealer.seal(*envelope), why);
      require(again ? again->body == envelope->body && again->sender == envelope->sender
                    : why == DropReason::too_long);
    }
  if (const auto message = view::decode(bytes)) {
    read = true;
    const std::string octets = view::encode(*message);
    const auto again = view::decode(octets);
    require(again ? view::encode(*again) == octets : octets.size() > (1 << 20));
  }
  for (const std::string& octets : {std::string(bytes), with_checksum(bytes)}) {
    Message message;
    read |= unsealed(octets, message);
    Command command, command_again;
    if (decode(octets, command)) {
      read = true;
      require(decode(encode(command), command_again) && encode(command_again) == encode(command));
      apply_to_some(command);
    }
    Ledger ledger, ledger_again;
    if (decode(octets, ledger)) {
      read = true;
      require(decode(encode(ledger), ledger_again) && digest(ledger_again) == digest(ledger));
    }
  }
  return read;
}

enum class NodeRole { leader, follower, learner, without_disk };  // the last two do not vote

// A node that hears `boris`, brought by his true words to where it leads, follows or learns.
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
    NodeParts parts;
    parts.settings = s;
    parts.calls = {{"ride"}, {}};
    parts.wallet = WalletSettings{};
    parts.wallet->deposits["acme"]["d1"] = 100;
    if (role != NodeRole::without_disk) parts.disk = &disk;
    parts.first_fleet = true;
    node = std::make_unique<Node>(std::move(parts), now);
    if (role == NodeRole::leader) {
      for (int turn = 0; turn < 400 && node->record().ledger().applied < 2; ++turn) step(true);
      require(node->record().role() == Role::leader && node->record().ledger().applied >= 2);
    } else {
      step(false);
      Message first;
      first.kind = role == NodeRole::follower ? kAppend : kLearnt;
      first.term = first.commit = first.total = 1;
      first.beat = now;
      first.leader = "boris";
      auto& entry = *first.entries.emplace_back(std::make_unique<fb::EntryT>());
      entry.index = entry.term = 1;
      deliver("boris", Component::record, sealed(first), Transport::stream);
      require(node->record().ledger().applied == 1);
    }
  }
  // Boris votes for it and takes what it appends, where he is asked to.
  void step(bool boris_answers) {
    now = std::max(now + kMillisecond, std::min(node->next_due(), now + kSecond));
    Outbox out;
    node->tick(now, out);
    for (std::size_t at = 0; boris_answers && at < out.size(); ++at) {
      const Outgoing each = out[at];
      Message asked, answer;
      if (each.to != "boris" || each.component != Component::record || !unsealed(each.body, asked)) continue;
      answer.flag = true;
      answer.term = asked.term;
      answer.beat = asked.beat;
      answer.kind = asked.kind == kAsk ? kAnswer : kAppended;
      answer.offset = asked.kind == kAsk && asked.flag;
      answer.index = asked.kind == kAsk ? 0 : asked.index + asked.entries.size();
      if (asked.kind == kAsk || asked.kind == kAppend)
        node->received(now, "boris", Component::record, sealed(answer), Transport::stream, out);
    }
  }
  void deliver(const std::string& from, Component component, std::string_view body, Transport transport) {
    Outbox out;
    node->received(now, from, component, body, transport, out);
    for (const Outgoing& each : out) require(each.body.size() <= (1 << 20));
  }
  MemoryDisk disk;
  Time now = kStart;
  std::unique_ptr<Node> node;
};

// One octet that says who hears it and how, the rest is the body; twice, as repeated, and time passes.
inline void deliver_to_node(std::string_view bytes) {
  if (bytes.empty()) return;
  const auto how = static_cast<unsigned char>(bytes[0]);
  const std::string body = how & 4 ? with_checksum(bytes.substr(1)) : std::string(bytes.substr(1));
  FuzzedNode fuzzed(static_cast<NodeRole>(how % 4 % 3));
  check::on_violation = [](const char*, const std::string&) {};
  for (int times = 0; times < 2; ++times)
    fuzzed.deliver(how & 32 ? "stranger" : "boris", how & 8 ? Component::view : Component::record, body,
                   how & 16 ? Transport::datagram : Transport::stream);
  for (int turn = 0; turn < 8; ++turn) fuzzed.step(true);
  fuzzed.node->routes()->route(fuzzed.now, "ride", "acme", "7");
  Reservation reservation;
  fuzzed.node->wallets()->reserve(fuzzed.now, "acme", "ride", reservation);
  check::on_violation = nullptr;
}

}  // namespace marblehub::fleet::fuzzing
