// Passes mutated messages of every component to every decoder and to complete nodes. .ci/run runs it with
// sanitizers. MARBLEHUB_FUZZ_SEEDS=folder writes the initial inputs as a corpus for libFuzzer.
#include <catch2/catch.hpp>
#include <fstream>

#include "../../../fuzz/fleet_readers.h"
#include "mutator.h"

namespace marblehub::fleet::fuzzing {
namespace {

// One encoded command of each kind.
std::vector<std::string> commands() {
  std::vector<std::string> all;
  const Body bodies[] = {
      ProposeRoutes{2, R"({"version": 2, "pools": [], "rules": []})", {"alva", "boris"}, kStart + kSecond},
      AnswerRoutes{2, "boris", "", false},
      ActivateRoutes{2, kStart + 2 * kSecond},
      AbortRoutes{2, "why"},
      Deposit{"acme", "d2", 7},
      TakeSlice{"acme", "boris/1/1", "boris", 1, 5, kStart + 3 * kSecond},
      ReturnSlice{"acme", "boris/1/1", 1},
      LapseSlice{"acme", "boris/1/1"},
      ReportSpent{"acme", "boris/1/1", 1},
      ChangeVoters{{"boris", "celia", "dora"}},
      CompleteRoutes{2}};
  static_assert(std::size(bodies) == std::variant_size_v<Body>);
  for (const Body& body : bodies) all.push_back(encode(Command{{"boris", 1, all.size() + 1}, body}));
  return all;
}

// An encoded ledger after these commands, at index `applied`.
std::string ledger_of(std::uint64_t applied) {
  Ledger ledger;
  for (const std::string& bytes : commands()) {
    Command command;
    REQUIRE(decode(bytes, command));
    apply(ledger, ledger.applied + 1, command);
  }
  ledger.applied = applied;
  return encode(ledger);
}

std::string without_checksum(const std::string& bytes) { return bytes.substr(0, bytes.size() - 8); }

// Record messages for a member in term 1 with a log of one or two entries, without their checksum.
std::vector<std::string> record_messages() {
  std::vector<std::string> all;
  for (int kind = kVoteRequest; kind <= kRejoinReply; ++kind)
    for (std::uint64_t term : {1, 2}) {
      Message m;
      m.kind = static_cast<std::uint8_t>(kind);
      m.term = term;
      m.index = m.index_term = 1;
      m.commit = 12, m.total = 13;
      m.heartbeat = kStart + 20 * kSecond;
      m.flag = term == 2;
      m.leader = "boris";
      m.lease = std::make_unique<fb::LeaseT>();
      m.lease->version = 1, m.lease->next = 2, m.lease->term = term, m.lease->heartbeat = m.heartbeat;
      m.lease->until = m.heartbeat + 600 * kMillisecond,
      m.lease->activation_time = m.heartbeat + 100 * kMillisecond;
      if (kind == kAppendRequest || kind == kLearnUpdate)
        for (const std::string& command : commands()) {
          auto& entry = *m.entries.emplace_back(std::make_unique<fb::EntryT>());
          entry.index = 1 + m.entries.size();
          entry.term = term;
          entry.command = command;
        }
      if (kind == kForward) m.names = commands();
      if (kind == kLearnRedirect) m.names = {"boris", "celia", "dora"};
      if (kind == kSnapshotChunk) m.index = 40, m.bytes = ledger_of(40), m.total = m.bytes.size();
      all.push_back(without_checksum(encode_with_checksum(m)));
    }
  return all;
}

// One encoded message of each kind of the view.
std::vector<std::string> view_messages() {
  std::vector<std::string> all;
  for (int kind = 1; kind <= 8; ++kind) {
    view::ViewMessage message;
    message.kind = static_cast<view::MessageKind>(kind);
    message.sequence = 7, message.start_incarnation = 1, message.incarnation = 2;
    message.address = "10.0.0.2:7000";
    message.target = kind == 3 ? "celia" : "alva";
    message.target_address = "10.0.0.3:7000";
    message.digest = 42;
    message.updates = {{"alva", "10.0.0.1:7000", 1, MemberStatus::suspect, 1, {"boris"}, kSecond},
                       {"celia", "10.0.0.3:7000", 3, MemberStatus::dead, 1, {}, 0}};
    all.push_back(view::encode(message));
  }
  return all;
}

}  // namespace

TEST_CASE("every decoder of the fleet handles mutated messages of every component", "[mutation]") {
  std::vector<std::string> seeds = record_messages();
  for (const std::string& body : view_messages()) seeds.push_back(body);
  for (const std::string& command : commands()) seeds.push_back(without_checksum(command));
  seeds.push_back(without_checksum(ledger_of(20)));
  const std::string envelope =
      EnvelopeSealer("tartu", {kKey}).seal({1, "boris", 1, kStart, Component::view, view_messages().front()});
  seeds.push_back(
      envelope.substr(36));  // without the authentication code and the length, which the decoder adds
  for (const std::string& seed : seeds) REQUIRE(try_all_decoders(seed));  // unmutated seeds decode
  Mutator mutator{std::mt19937_64(20261203)};
  std::size_t read = 0;
  constexpr int kRounds = 100'000;
  for (int i = 0; i < kRounds; ++i) {
    std::string bytes = seeds[mutator.below(seeds.size())];
    mutator.mutate(bytes);
    const std::vector<char> exact(bytes.begin(),
                                  bytes.end());  // sized exactly, so that sanitizers see an overread
    read += try_all_decoders({exact.data(), exact.size()});
  }
  CHECK(read > kRounds / 10);  // some mutated messages still decode
}

TEST_CASE("complete nodes tolerate malformed messages of a fleet member", "[mutation]") {
  std::vector<std::string> inputs;
  for (int part = 0; part < 3; ++part) {
    for (const std::string& body : record_messages()) inputs.push_back(static_cast<char>(part | 4) + body);
    for (const std::string& body : view_messages())
      for (int how : {8, 8 | 16, 8 | 32}) inputs.push_back(static_cast<char>(part | how) + body);
  }
  if (const char* folder = std::getenv("MARBLEHUB_FUZZ_SEEDS"))
    for (std::size_t i = 0; i < inputs.size(); ++i)
      std::ofstream(std::string(folder) + "/" + std::to_string(i), std::ios::binary) << inputs[i];
  for (const std::string& input : inputs) deliver_to_node(input);
  Mutator mutator{std::mt19937_64(20261204)};
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = inputs[mutator.below(inputs.size())];
    std::string body = bytes.substr(1);
    mutator.mutate(body);
    deliver_to_node(bytes[0] + body);
  }
  SUCCEED("no node exceeded its memory or its limits");
}

// An entry that does not decode as a command must not be treated as a disk fault.
TEST_CASE("a member without a disk tolerates an append whose entry is not a command", "[mutation]") {
  FuzzedNode fuzzed(NodeRole::without_disk);
  Message append;
  append.kind = kAppendRequest;
  append.term = append.index = append.index_term = 1;
  auto& entry = *append.entries.emplace_back(std::make_unique<fb::EntryT>());
  entry.index = 2, entry.term = 1, entry.command = "of a later program";
  fuzzed.deliver("boris", Component::record, encode_with_checksum(append), Transport::stream);
  for (int turn = 0; turn < 8; ++turn) fuzzed.step(false);
  CHECK(fuzzed.node->record().ledger().applied == 1);
}

TEST_CASE("a record message with a wrong checksum changes nothing", "[mutation]") {
  Mutator mutator{std::mt19937_64(20261205)};
  const std::vector<std::string> seeds = record_messages();
  for (NodeRole part : {NodeRole::leader, NodeRole::follower, NodeRole::learner}) {
    FuzzedNode fuzzed(part);
    Record& record = fuzzed.node->record();
    const std::uint64_t before = digest(record.ledger()), term = record.term();
    const Role role = record.role();
    for (int i = 0; i < 5000; ++i) {
      const std::string body = seeds[mutator.below(seeds.size())];
      std::string mutated = with_checksum(body);
      mutator.mutate(mutated);
      if (mutated == with_checksum(body)) continue;
      fuzzed.deliver("boris", Component::record, mutated, Transport::stream);
    }
    CHECK(digest(record.ledger()) == before);
    CHECK(record.term() == term);
    CHECK(record.role() == role);
  }
}

}  // namespace marblehub::fleet::fuzzing
