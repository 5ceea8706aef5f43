// The envelope and the key file: only unmodified messages of the fleet open, and a refused key file is
// reported with its line.
#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <random>

#include "config/options.h"
#include "fleet/wire/envelope.h"

using namespace marblehub::fleet;

namespace {

const std::string kOldKey(32, 'o'), kNewKey(32, 'n');

Envelope sample(std::string body = "the body of a message") {
  Envelope e;
  e.sender = "alva";
  e.incarnation = 7;
  e.sent_at = 1'000'000'007;
  e.component = Component::record;
  e.body = std::move(body);
  return e;
}

/// Why `sealer` drops the message; nothing where it opens it.
std::optional<DropReason> refusal(const EnvelopeSealer& sealer, std::string_view bytes,
                                  Transport transport = Transport::stream) {
  DropReason why{};
  if (sealer.open(bytes, why, transport)) return std::nullopt;
  return why;
}

/// A temporary key file with the given content and mode, removed at the end.
struct KeyFile {
  std::string path;
  explicit KeyFile(const std::string& text, mode_t mode = 0600) {
    char name[] = "/tmp/fleet-key-XXXXXX";
    int handle = mkstemp(name);
    path = name;
    close(handle);
    std::ofstream(path) << text;
    chmod(path.c_str(), mode);
  }
  ~KeyFile() { unlink(path.c_str()); }
  /// The error without the path; empty where the file is accepted.
  std::string refused() const {
    try {
      read_key_file(path);
    } catch (const marblehub::config::DecodeError& e) {
      std::string what = e.what();
      return what.substr(0, path.size()) == path ? what.substr(path.size())
                                                 : "error without the path: " + what;
    }
    return "";
  }
};

}  // namespace

TEST_CASE("an opened envelope equals the one that was sealed") {
  EnvelopeSealer sealer("tartu", {kNewKey});
  for (std::size_t size : {0, 1, 1200, 1 << 20}) {
    Envelope in = sample(std::string(size, '\x81'));
    DropReason why{};
    auto out = sealer.open(sealer.seal(in), why);
    REQUIRE(out);
    CHECK(out->sender == in.sender);
    CHECK(out->incarnation == 7);
    CHECK(out->sent_at == in.sent_at);
    CHECK(out->component == Component::record);
    CHECK(out->body == in.body);
    if (size == 1200) CHECK_FALSE(refusal(sealer, sealer.seal(in), Transport::datagram));
  }
}

TEST_CASE("a key can be rotated while the fleet runs") {
  EnvelopeSealer before("tartu", {kOldKey}), during("tartu", {kNewKey, kOldKey}), after("tartu", {kNewKey});
  CHECK_FALSE(refusal(during, before.seal(sample())));
  CHECK_FALSE(refusal(after, during.seal(sample())));
  CHECK(refusal(before, after.seal(sample())) == DropReason::forged);
  CHECK(refusal(after, before.seal(sample())) == DropReason::forged);
}

TEST_CASE("each dropped message has the reason of its defect") {
  EnvelopeSealer sealer("tartu", {kNewKey}), other("narva", {kNewKey});
  CHECK(refusal(sealer, other.seal(sample())) == DropReason::other_fleet);
  CHECK(refusal(sealer, "") == DropReason::malformed);
  CHECK(refusal(sealer, std::string(35, 'x')) == DropReason::malformed);
  CHECK(refusal(sealer, sealer.seal(sample(std::string(1400, 'x'))), Transport::datagram) ==
        DropReason::too_long);
  CHECK(refusal(sealer, sealer.seal(sample(std::string(kMaxStreamMessageBytes, 'x')))) ==
        DropReason::too_long);
  Envelope newer = sample();
  newer.schema = kNewestSchema + 1;
  CHECK(refusal(sealer, sealer.seal(newer)) == DropReason::schema);
  Envelope unknown = sample();
  unknown.component = static_cast<Component>(99);
  CHECK(refusal(sealer, sealer.seal(unknown)) == DropReason::schema);
  Envelope unnamed = sample();
  unnamed.sender.clear();
  CHECK(refusal(sealer, sealer.seal(unnamed)) == DropReason::malformed);
}

TEST_CASE("a message with a flipped bit, a missing or an additional byte does not open") {
  EnvelopeSealer sealer("tartu", {kNewKey, kOldKey});
  std::string good = sealer.seal(sample());
  for (std::size_t i = 0; i < good.size(); ++i)
    for (int bit = 0; bit < 8; ++bit) {
      std::string bad = good;
      bad[i] = static_cast<char>(bad[i] ^ (1 << bit));
      REQUIRE(refusal(sealer, bad));
    }
  for (std::size_t i = 0; i < good.size(); ++i)
    REQUIRE(refusal(sealer, good.substr(0, i)) == DropReason::malformed);
  CHECK(refusal(sealer, good + "x") == DropReason::malformed);
  std::mt19937_64 random(24);
  for (int round = 0; round < 2000; ++round) {
    std::string random_bytes(random() % (round % 100 ? 2000 : 65536), '\0');
    for (char& c : random_bytes) c = static_cast<char>(random());
    REQUIRE(refusal(sealer, random_bytes));
  }
}

TEST_CASE("old messages and messages of an earlier process are stale") {
  ReplayFilter filter(10 * kSecond);
  Envelope e = sample();
  Time now = e.sent_at;
  CHECK(filter.accept(now, e));
  CHECK(filter.accept(now + 9 * kSecond, e));
  CHECK_FALSE(filter.accept(now + 11 * kSecond, e));
  CHECK_FALSE(filter.accept(now - 11 * kSecond, e));
  e.incarnation =
      8;  // a new process: messages of the old one pass a little longer, to resolve a name conflict
  e.sent_at = now + 20 * kSecond;
  CHECK(filter.accept(e.sent_at, e));
  Envelope old = e;
  old.incarnation = 7;
  CHECK(filter.accept(e.sent_at + 5 * kSecond, old));
  old.sent_at = e.sent_at + 11 * kSecond;
  CHECK_FALSE(filter.accept(old.sent_at, old));
  old.sent_at = std::numeric_limits<Time>::min();
  CHECK_FALSE(filter.accept(now, old));
}

TEST_CASE("a key file has one or two private, well-formed keys") {
  const std::string good(64, 'a'), second(66, 'B');
  KeyFile two(good + "\n\n" + second + "\r\n");
  auto keys = read_key_file(two.path);
  REQUIRE(keys.size() == 2);
  CHECK(keys[0] == std::string(32, '\xaa'));
  CHECK(keys[1] == std::string(33, '\xbb'));
  KeyFile one(good, 0400);
  CHECK(read_key_file(one.path).size() == 1);
  CHECK(KeyFile(good, 0640).refused().find("others than its owner") != std::string::npos);
  CHECK(KeyFile(good, 0604).refused().find("others than its owner") != std::string::npos);
  CHECK(KeyFile("").refused().find("it is empty") != std::string::npos);
  CHECK(KeyFile(good + "\n" + std::string(62, 'a')).refused().find(":2: key: expected 32 bytes") == 0);
  CHECK(KeyFile(good + "a").refused().find(":1: key: expected an even number") == 0);
  CHECK(KeyFile(good + "\nxy" + good).refused().find(":2: key: expected only hex digits, column 1") == 0);
  CHECK(KeyFile(good + "\n" + good).refused().find(":2: key: the same key twice") == 0);
  CHECK(KeyFile(good + "\n" + second + "\n" + std::string(64, 'c'))
            .refused()
            .find(":3: key: expected at most") == 0);
  CHECK(KeyFile(std::string(9000, 'a')).refused().find("longer than") != std::string::npos);
  CHECK_THROWS_AS(read_key_file("/nowhere/key"), marblehub::config::DecodeError);
  CHECK_THROWS_AS(read_key_file("/tmp"), marblehub::config::DecodeError);
}
