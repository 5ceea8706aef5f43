// The requirements, by suite. Every one is put to a router that runs, with peers of the suite's own; what a
// section asks of ends that terminate a connection is the peers' part and not checked here.
#include <algorithm>
#include <set>

#include "quic/initial.h"
#include "quic/packet.h"
#include "quic/proxy_header.h"
#include "quic/stateless_reset.h"
#include "quic/validation.h"
#include "report.h"
#include "stage.h"

namespace marblehub::conformance {
namespace {

using namespace peers;
using namespace quic;

const std::string kResetKey(16, 'r');

StageOptions usual(bool proxy = true) {
  StageOptions options;
  options.proxy = proxy;
  options.worker.reset_key = kResetKey;
  return options;
}

// A bare socket that speaks to the router as a client that is no QUIC stack.
struct Probe {
  explicit Probe(Stage& s) : stage(s), udp(s.options.family) {}
  void send(const std::string& bytes) { udp.send(bytes, stage.router()); }
  // All that comes back within so long.
  std::vector<std::string> answers(int ms = 250, std::size_t enough = 1) {
    std::vector<std::string> out;
    stage.run(ms, [&] {
      while (auto came = udp.receive()) out.push_back(came->bytes);
      return out.size() >= enough;
    });
    return out;
  }
  std::optional<std::string> answer(int ms = 250) {
    auto all = answers(ms);
    return all.empty() ? std::nullopt : std::optional(all[0]);
  }
  Stage& stage;
  Udp udp;
};

// An Initial that no TLS stands behind, of 1,200 octets or as many as said.
std::string bare_initial(std::string_view destination, std::string_view source,
                         std::uint32_t version = kVersion1, std::string_view token = "",
                         std::size_t size = 1200) {
  std::string empty =
      seal_initial(initial_keys(destination, false, version), destination, source, 0, "", version, token);
  // The length field of what is under 64 octets takes one octet, of more two.
  std::string frames(size > empty.size() + 1 ? size - empty.size() - 1 : 1, '\0');
  return seal_initial(initial_keys(destination, false, version), destination, source, 0, frames, version,
                      token);
}

std::string fresh_id(std::size_t size = 10) {
  std::string id = random_octets(size);
  id[0] = static_cast<char>(id[0] | kUnroutable << 5);
  return id;
}

// Sockets of ours in workers' places: the router is told that the workers are there now.
void take_places(Stage& stage, std::initializer_list<std::pair<const char*, const Udp*>> places) {
  stage.run(4500, [&] { return stage.registry.watched(); });
  for (const auto& [worker, sink] : places) stage.registry.set(worker, sink->local().text(), "ready");
  stage.run(400);
}

// What goes before a worker's answer to a datagram that came with this header.
std::string header_back(const ProxyHeader& came) {
  std::array<char, kLongestProxyHeader> out;
  std::size_t size = write_proxy_header(out, {false, came.destination, came.source, {}, {}});
  return std::string(out.data(), size);
}

bool up(Stage& stage, Client& client, int ms = 2500) {
  return stage.run(ms, [&] { return client.handshaken(); }) && !client.over();
}

bool asks(Stage& stage, Client& client, const std::string& text, int ms = 2500) {
  client.request(text);
  return stage.run(ms, [&] { return client.all_answered_once() || client.over(); }) &&
         client.all_answered_once();
}

std::string token_of(const std::string& retry) {
  auto header = parse(retry);
  std::size_t at = 7 + header->destination.size() + header->source.size();
  return retry.substr(at, retry.size() - at - 16);
}

std::optional<std::string> close_frames(const std::string& packet, std::string_view destination,
                                        std::uint32_t version = kVersion1) {
  return open_initial(initial_keys(destination, true, version), packet);
}

bool closes_with(const std::optional<std::string>& packet, std::string_view destination, std::uint64_t code,
                 std::uint32_t version = kVersion1) {
  auto frames = packet ? close_frames(*packet, destination, version) : std::nullopt;
  if (!frames || frames->empty() || (*frames)[0] != 0x1c) return false;
  std::string_view rest = std::string_view(*frames).substr(1);
  return take_varint(rest) == code;
}

// ---- Connection ids --------------------------------------------------------------------------------

void stable_by_address(Report& report) {
  // Two sockets of ours in the workers' places, which answer whatever they get.
  Stage stage({"g-1", "g-2"}, usual());
  Udp sinks[2];
  take_places(stage, {{"g-1", &sinks[0]}, {"g-2", &sinks[1]}});
  Probe tuple(stage);
  std::size_t got[2] = {0, 0};
  for (int i = 0; i < 12; ++i) {
    tuple.send("\x40\xe1" + std::string(60, static_cast<char>('a' + i)));
    stage.run(30, [&] {
      for (int s : {0, 1})
        while (auto came = sinks[s].receive()) {
          std::string_view bytes = came->bytes;
          auto header = take_proxy_header(bytes);
          if (!header) continue;
          got[s] += 1;
          sinks[s].send(header_back(*header) + "\x40" + std::string(40, 'y'), came->from);
        }
      return false;
    });
  }
  report.check("quic-load-balancers, 4.2",
               "further ones of the same address go to the same worker, whatever their octets",
               got[0] + got[1] == 12 && (got[0] == 0 || got[1] == 0));
  report.check("quic-load-balancers, 4.2", "and are no further calls",
               stage.counter("marblehub_calls_total") == 1);
}

void ids(Report& report) {
  report.suite("ids");
  const char* draft = "quic-load-balancers";
  auto at = [&](const char* section) { return std::string(draft) + ", " + section; };
  struct Way {
    IdConfig config;
    const char *section, *words;
  };
  for (const Way& way :
       {Way{{0, 1, 4, ""}, "5.2", "an id in the clear of the shortest parts is routed"},
        {{6, 15, 4, ""}, "5.2", "an id in the clear of the longest server id is routed"},
        {{1, 4, 12, std::string(16, 'a')}, "5.4.1", "an id of one pass (16 octets) is routed"},
        {{2, 3, 4, std::string(16, 'b')}, "5.4.2", "a four-pass id of 7 octets is routed"},
        {{3, 4, 6, std::string(16, 'c')}, "5.4.2", "a four-pass id of 10 octets is routed"},
        {{4, 8, 11, std::string(16, 'd')}, "5.4.2", "a four-pass id of 19 octets is routed"},
        {{5, 1, 4, std::string(16, 'e')}, "5.4.2", "a four-pass id of 5 octets is routed"},
        {{0, 4, 6, "", false}, "3", "an id whose first octet holds no length is routed"}}) {
    StageOptions options = usual();
    options.worker.ids = way.config;
    Stage stage({"g-1", "g-2"}, options);
    Client& c = stage.client();
    bool good = up(stage, c) && asks(stage, c, "one");
    c.rebind();
    report.check(at(way.section), way.words, good && asks(stage, c, "two"));
  }
  Stage stage({"g-1", "g-2"}, usual());
  Probe probe(stage);
  IdCodec codec({stage.options.worker.ids});
  probe.send("\x40" + codec.encode(2, "none", "nonce!") + std::string(40, 'x'));
  report.check(at("4.1"), "an id that names no worker is dropped, not guessed at",
               !probe.answer() && stage.counter("marblehub_quic_unknown_ids_total") == 1);
  std::string short_one = codec.encode(2, stage.worker(0).server_id, "nonce!");
  short_one[0] = static_cast<char>(2 << 5 | 9);
  probe.send("\x40" + short_one + std::string(40, 'x'));
  report.check(at("3.2"), "an id whose length octet is wrong is dropped",
               !probe.answer() && stage.counter("marblehub_quic_unknown_ids_total") == 2);
  probe.send("\x40" + std::string(1, '\x8a') + std::string(50, 'x'));
  report.check(at("3.1"), "an id of a rotation that is not configured is dropped",
               !probe.answer() && stage.counter("marblehub_quic_unknown_ids_total") == 3);
  double calls = stage.counter("marblehub_calls_total");
  probe.send("\x40\xe0" + std::string(60, 'x'));
  stage.run(200);
  report.check(at("3.1"), "an id of the unroutable codepoint goes through the module as a call",
               stage.counter("marblehub_calls_total") == calls + 1);
  stable_by_address(report);
  // A client that makes up an id of a worker's form has no claim to that worker.
  std::string chosen = codec.encode(2, stage.worker(0).server_id, "nonce!");
  calls = stage.counter("marblehub_calls_total");
  probe.send(bare_initial(chosen, "source"));
  stage.run(200);
  report.check(at("4.1"), "an Initial whose made-up id names a worker is placed by the module all the same",
               stage.counter("marblehub_calls_total") == calls + 1);
}

// ---- Versions --------------------------------------------------------------------------------------

void versions(Report& report) {
  report.suite("versions");
  Stage stage({"g-1"}, usual());
  Probe probe(stage);
  std::string id = fresh_id(), unknown = bare_initial(id, "source");
  unknown[1] = '\x1a', unknown[2] = '\x2a', unknown[3] = '\x3a', unknown[4] = '\x4a';
  probe.send(unknown);
  auto answer = probe.answer();
  auto header = answer ? parse(*answer) : std::nullopt;
  bool negotiates = header && header->kind == Kind::negotiation;
  report.check("RFC 9000, 6.1", "an unknown version is answered with Version Negotiation", negotiates);
  report.check("RFC 9000, 17.2.1", "its ids are the client's, the other way round",
               negotiates && header->destination == "source" && header->source == id);
  std::set<std::string> offers;
  if (negotiates)
    for (std::size_t i = answer->size() - 12; i < answer->size(); i += 4) offers.insert(answer->substr(i, 4));
  report.check("RFC 9000, 6.1", "version 1 is among the offers", offers.contains(std::string("\0\0\0\1", 4)));
  report.check("RFC 9369, 4", "version 2 is among the offers", offers.contains("\x6b\x33\x43\xcf"));
  report.check("RFC 9000, 6.3", "a reserved version is among the offers",
               std::any_of(offers.begin(), offers.end(), [](const std::string& v) {
                 return std::all_of(v.begin(), v.end(), [](char c) { return (c & 0x0f) == 0x0a; });
               }));
  report.check("RFC 9000, 6.1", "the version that was refused is not", !offers.contains("\x1a\x2a\x3a\x4a"));
  report.check("RFC 9000, 8.1", "the answer is shorter than what came",
               negotiates && answer->size() < unknown.size());
  probe.send(unknown.substr(0, 1199));
  report.check("RFC 9000, 6.1", "a datagram under 1,200 octets of an unknown version is not answered",
               !probe.answer());
  std::string longest = unknown.substr(0, 5) + '\xff' + std::string(255, 'd') + '\xff' +
                        std::string(255, 's') + std::string(800, 'x');
  probe.send(longest);
  answer = probe.answer();
  header = answer ? parse(*answer) : std::nullopt;
  report.check("RFC 8999, 5.1", "ids of up to 255 octets are handled in unknown versions",
               header && header->kind == Kind::negotiation && header->source == std::string(255, 'd'));
  probe.send(*answer);
  report.check("RFC 9000, 6.1", "Version Negotiation is never answered", !probe.answer());
  stage.worker(0).options.mute = true;
  std::string second = bare_initial(fresh_id(), "source", kVersion2);
  probe.send(second);
  stage.run(150);
  report.check("RFC 9369, 3.2", "an Initial of version 2 (type 0b01) is a call",
               stage.counter("marblehub_calls_total") == 1 && stage.worker(0).datagrams > 0);
  id = parse(second)->destination;
  std::optional<std::string> closed;
  stage.run(2500, [&] {
    while (auto came = probe.udp.receive()) closed = came->bytes;
    return closed.has_value();
  });
  report.check("RFC 9369, 3.3.1", "its CONNECTION_CLOSE is under the keys of version 2",
               closes_with(closed, id, kConnectionRefused, kVersion2));
  report.check("RFC 9369, 3.1", "and carries version 2 in its header",
               closed && parse(*closed)->version == kVersion2);
  probe.send(std::string(1, '\xf0') + second.substr(1));  // in version 2 a Retry is 0b00, 0b11 a Handshake
  report.check("RFC 9369, 3.2", "types of version 2 are not read as those of version 1",
               !probe.answer() && stage.counter("marblehub_calls_total") == 1);
}

// ---- Initials and coalescing -----------------------------------------------------------------------

void handshakes(Report& report);

void initials(Report& report) {
  report.suite("initials");
  StageOptions options = usual();
  options.deadline_ms = 1500;
  Stage stage({"g-1", "g-2"}, options);
  Probe probe(stage);
  auto calls = [&] {
    stage.run(120);
    return stage.counter("marblehub_calls_total");
  };
  for (auto& w : stage.workers) w->options.mute = true;
  probe.send(bare_initial(fresh_id(), "source", kVersion1, "", 1199));
  report.check("RFC 9000, 14.1", "an Initial in under 1,200 octets is dropped", calls() == 0);
  probe.send(bare_initial(fresh_id(7), "source"));
  report.check("RFC 9000, 7.2", "an Initial whose id has under 8 octets is dropped", calls() == 0);
  std::string wrong = bare_initial(fresh_id(), "source");
  wrong[5] = 21;
  probe.send(wrong);
  report.check("RFC 9000, 17.2", "an id of over 20 octets is dropped in version 1", calls() == 0);
  wrong = bare_initial(fresh_id(), "source");
  wrong[0] = static_cast<char>(wrong[0] & ~0x40);
  probe.send(wrong);
  report.check("RFC 9000, 17.2", "an Initial that begins a connection without the fixed bit is dropped",
               calls() == 0);
  probe.send(bare_initial(fresh_id(), "source").substr(0, 600));
  report.check("RFC 9000, 17.2", "an Initial whose length goes past the datagram is dropped", calls() == 0);
  probe.send(retry_packet(kVersion1, fresh_id(), "source", std::string(1200, 't'), "original"));
  report.check("RFC 9000, 17.2.5", "a Retry from a client is dropped", calls() == 0);

  std::string id = fresh_id(), initial = bare_initial(id, "source");
  probe.send(initial);
  probe.send(initial);
  report.check("RFC 9000, 17.2.2", "a repeated Initial is the same call", calls() == 1);
  std::optional<std::string> closed;
  std::int64_t began = now_us();
  stage.run(3000, [&] {
    while (auto came = probe.udp.receive()) closed = came->bytes;
    return closed.has_value();
  });
  report.check("PROTOCOL, answers", "a call without a reply is answered before its time is up",
               closed && now_us() - began < 1'550'000);
  report.check("RFC 9000, 10.2.3", "by a CONNECTION_CLOSE in an Initial the client can open",
               closes_with(closed, id, kConnectionRefused));
  report.check("RFC 9000, 7.2", "to the client's own id", closed && parse(*closed)->destination == "source");
  probe.send(initial);
  auto again = probe.answer();
  report.check("RFC 9000, 10.2.1", "a late repetition gets the same answer", again && again == closed);
  report.check("RFC 9000, 8.1", "no answer is over three times what came in",
               closed && closed->size() < 3 * initial.size());
  report.check("PROTOCOL, answers", "and there is one answer only", probe.answers(300).empty());

  handshakes(report);
}

void handshakes(Report& report) {
  Stage stage({"g-1", "g-2"}, usual());
  Client& normal = stage.client();
  report.check("RFC 9000, 7", "a handshake passes", up(stage, normal));
  report.check("RFC 9000, 2", "requests and answers pass", asks(stage, normal, "one"));
  ClientOptions none;
  none.id_length = 0;
  Client& zero = stage.client(none);
  report.check("RFC 9000, 5.1", "a client with ids of no octets is served",
               up(stage, zero) && asks(stage, zero, "two"));
  ClientOptions large;
  large.padding = 2600;
  Client& several = stage.client(large);
  report.check("RFC 9001, 4.3", "a ClientHello over several Initials is one call",
               up(stage, several) && asks(stage, several, "three"));
  Client& turned = stage.client(large);
  std::vector<std::string> held;
  turned.hop.tamper = [&held](std::string bytes) {
    held.push_back(bytes);
    if (held.size() < 2) return std::vector<std::string>{};
    std::vector<std::string> out(held.rbegin(), held.rend());
    held.clear();
    return out;
  };
  turned.step();
  turned.hop.tamper = nullptr;
  report.check("RFC 9000, 13", "its Initials in the wrong order are served", up(stage, turned));
  Client& twice = stage.client();
  twice.hop.tamper = [](std::string bytes) { return std::vector<std::string>{bytes, bytes}; };
  int accepted = stage.worker(0).accepted + stage.worker(1).accepted;
  bool good = up(stage, twice) && asks(stage, twice, "four");
  report.check("RFC 9000, 12.3", "with every datagram sent twice there is one connection and one answer",
               good && stage.worker(0).accepted + stage.worker(1).accepted == accepted + 1);

  // Coalesced packets: what stands behind the first with another id must not reach the worker.
  Udp sink;
  std::string coalesced = bare_initial(fresh_id(), "source", kVersion1, "", 1200);
  std::string foreign = bare_initial(fresh_id(), "source", kVersion1, "", 300);
  Stage silent({"g-1"}, [] {
    StageOptions o = usual();
    o.worker.mute = true;
    return o;
  }());
  Probe second(silent);
  take_places(silent, {{"g-1", &sink}});
  auto seen_with = [&](const std::string& datagram) {
    silent.run(300);
    while (sink.receive()) {
    }
    second.send(datagram);
    std::size_t most = 0;
    silent.run(250, [&] {
      while (auto came = sink.receive()) {
        std::string_view bytes = came->bytes;
        if (take_proxy_header(bytes)) most = std::max(most, bytes.size());
      }
      return most > 0;
    });
    return most;
  };
  report.check("RFC 9000, 12.2", "a later coalesced packet with another id is dropped",
               seen_with(coalesced + foreign) == coalesced.size());
  std::string same_id = fresh_id(), first = bare_initial(same_id, "source");
  std::string then = bare_initial(same_id, "source", kVersion1, "", 300);
  report.check("RFC 9000, 12.2", "coalesced packets with the same id are passed on whole",
               seen_with(first + then) == first.size() + then.size());
}

// ---- 0-RTT -----------------------------------------------------------------------------------------

void zero_rtt(Report& report) {
  report.suite("0-rtt");
  Stage stage({"g-1"}, usual());
  Client& first = stage.client();
  bool good = up(stage, first) && asks(stage, first, "first") &&
              stage.run(1000, [&] { return first.resumption().has_value(); });
  report.check("RFC 9001, 4.6.1", "a session ticket passes", good);
  if (!good) return;
  Resumption ticket = *first.resumption();
  ClientOptions options;
  options.resume = &ticket;
  auto play = [&](const char* section, const char* words,
                  std::function<std::vector<std::string>(std::vector<std::string>)> order) {
    Client& c = stage.client(options);
    std::string text = std::string("early ") + words;
    c.request(text);
    std::vector<std::string> flight;
    c.hop.tamper = [&](std::string bytes) {
      flight.push_back(std::move(bytes));
      return std::vector<std::string>{};
    };
    c.step();
    std::vector<std::string> out = order(flight);
    c.hop.tamper = [&](std::string) { return out; };
    c.hop.send("", stage.router());
    c.hop.tamper = nullptr;
    bool served = stage.run(2500, [&] { return c.all_answered_once() && c.handshaken(); });
    report.check(section, words, served && stage.worker(0).executed[text] == 1);
  };
  // The flight of this stack is one datagram with an Initial and 0-RTT in it: the two are taken apart.
  auto apart = [](const std::vector<std::string>& flight) {
    std::string initial, early;
    for (const std::string& datagram : flight) {
      std::string_view rest = datagram;
      while (!rest.empty()) {
        auto header = parse(rest);
        if (!header || header->kind == Kind::short_header) break;
        (header->kind == Kind::initial ? initial : early) += header->packet;
        rest.remove_prefix(header->packet.size());
      }
    }
    initial.resize(std::max<std::size_t>(initial.size(), 1200), '\0');
    return std::pair(initial, early);
  };
  play("RFC 9000, 17.2.3", "0-RTT coalesced with its Initial is served once",
       [](std::vector<std::string> flight) { return flight; });
  play("RFC 9000, 17.2.3", "0-RTT after its Initial is served once", [&](std::vector<std::string> flight) {
    auto [initial, early] = apart(flight);
    return std::vector<std::string>{initial, early};
  });
  play("RFC 9000, 5.2.2", "0-RTT before its Initial is kept for it and served once",
       [&](std::vector<std::string> flight) {
         auto [initial, early] = apart(flight);
         return std::vector<std::string>{early, initial};
       });
  double calls = stage.counter("marblehub_calls_total");
  Probe probe(stage);
  std::string early = bare_initial(fresh_id(), "source");
  early[0] = static_cast<char>((early[0] & 0xcf) | 0x10);
  early.erase(5 + 1 + 10 + 1 + 6, 1);  // 0-RTT has no token
  probe.send(early);
  report.check("RFC 9000, 5.2.2", "0-RTT without an Initial is no call and gets no answer",
               !probe.answer(700) && stage.counter("marblehub_calls_total") == calls);
}

// ---- Retry -----------------------------------------------------------------------------------------

void retry(Report& report) {
  report.suite("retry");
  for (bool proxy : {true, false}) {
    StageOptions options = usual(proxy);
    options.quic = {{"retry", {{"mode", "always"}, {"token_ms", 1000}}}};
    Stage stage({"g-1"}, options);
    Client& c = stage.client();
    bool good = up(stage, c) && asks(stage, c, "one");
    std::string way = proxy ? " (proxy-v2)" : " (socket)";
    report.check("RFC 9000, 8.1.2", "a client that is asked for a Retry is served" + way,
                 good && c.retried());
    report.check("RFC 9000, 7.3", "its worker has learnt the original and the retry id" + way,
                 stage.worker(0).last_retry &&
                     stage.worker(0).last_retry->first != stage.worker(0).last_retry->second);
    if (!proxy) continue;
    Probe probe(stage), other(stage);
    std::string id = fresh_id(), initial = bare_initial(id, "source");
    double calls = stage.counter("marblehub_calls_total");
    probe.send(initial);
    auto answer = probe.answer();
    auto header = answer ? parse(*answer) : std::nullopt;
    bool is_retry = header && header->kind == Kind::retry;
    report.check("RFC 9000, 17.2.5", "the answer to an Initial without a token is a Retry", is_retry);
    if (!is_retry) continue;
    report.check("RFC 9001, 5.8", "its integrity tag is that of the Initial's id",
                 retry_is_authentic(*answer, id));
    report.check("RFC 9000, 17.2.5", "its destination is the client's id", header->destination == "source");
    report.check("RFC 9000, 17.2.5.1", "its source differs from the Initial's destination",
                 header->source != id);
    report.check("RFC 9000, 8.1.2", "no call is made of it", stage.counter("marblehub_calls_total") == calls);
    report.check("RFC 9000, 8.1", "it is shorter than the Initial", answer->size() < initial.size());
    std::string token = token_of(*answer), retry_id(header->source);
    std::string second = bare_initial(retry_id, "source", kVersion1, token);
    other.send(second);
    report.check("RFC 9000, 8.1.4", "a token shown from another address is refused with INVALID_TOKEN",
                 closes_with(other.answer(), retry_id, kInvalidToken));
    probe.send(bare_initial(fresh_id(), "source", kVersion1, token));
    auto refused = probe.answers();
    report.check("RFC 9000, 8.1.2", "a token with another id than its Retry's is refused",
                 refused.size() == 1 && parse(refused[0])->kind == Kind::initial);
    stage.worker(0).options.mute = true;
    probe.send(second);
    stage.run(150);
    report.check("RFC 9000, 8.1.2", "a good token is taken",
                 stage.counter("marblehub_calls_total") == calls + 1);
    probe.send(bare_initial(retry_id, "elsewh", kVersion1, token));
    report.check("RFC 9000, 8.1.4", "a replayed token is refused",
                 closes_with(probe.answer(), retry_id, kInvalidToken));
    std::string late_id = fresh_id();
    other.send(bare_initial(late_id, "source"));
    auto late = other.answer();
    stage.run(1200);
    std::string late_retry(late ? parse(*late)->source : std::string_view("none"));
    other.send(bare_initial(late_retry, "source", kVersion1, late ? token_of(*late) : ""));
    report.check("RFC 9000, 8.1.3", "a late token is refused",
                 closes_with(other.answer(), late_retry, kInvalidToken));
    other.send(bare_initial(fresh_id(), "source", kVersion1, "a token that a worker gave out"));
    auto foreign = other.answer();
    report.check("RFC 9000, 8.1.3",
                 "a token that is not the router's counts as none: it is asked for a Retry",
                 foreign && parse(*foreign)->kind == Kind::retry);
    other.send(bare_initial(fresh_id(), "source", kVersion2));
    auto two = other.answer();
    report.check("RFC 9369, 3.3.3", "a Retry of version 2 has that version's type and tag",
                 two && parse(*two)->kind == Kind::retry && parse(*two)->version == kVersion2);
  }
  // A Retry of the worker's own.
  StageOptions options = usual();
  options.worker.retry = true;
  Stage stage({"g-1"}, options);
  Client& c = stage.client();
  bool good = up(stage, c) && asks(stage, c, "one");
  report.check("RFC 9000, 17.2.5", "a worker's own Retry is passed on, and its client is served",
               good && c.retried());
  report.check("PROTOCOL, attempts", "on the same call", stage.counter("marblehub_calls_total") == 1);
  report.check("PROTOCOL, attempts", "at the worker that asked",
               stage.counter("marblehub_attempts_total") == 1);
  // From a rate on.
  options = usual();
  options.quic = {{"retry", {{"mode", "from_rate"}, {"from_rate", 50}}}};
  options.worker.mute = true;
  Stage flooded({"g-1"}, options);
  Probe probe(flooded);
  std::size_t retries = 0;
  for (int i = 0; i < 200; ++i) probe.send(bare_initial(fresh_id(), "source"));
  for (const std::string& packet : probe.answers(600, 1000)) {
    auto header = parse(packet);
    retries += header && header->kind == Kind::retry;
  }
  report.check("RFC 9000, 8.1.2", "above the stated rate of unvalidated Initials a Retry is asked for",
               retries > 100);
  report.check("RFC 9000, 8.1.2", "below it none was", retries < 200);
}

// ---- Amplification ---------------------------------------------------------------------------------

void amplification(Report& report) {
  report.suite("amplification");
  StageOptions options = usual();
  Stage stage({"g-1"}, options);
  // A client that sends one Initial and falls silent: all that it gets stays within three times that.
  Client& c = stage.client();
  bool sent = false;
  c.hop.tamper = [&](std::string bytes) {
    if (std::exchange(sent, true)) return std::vector<std::string>{};
    return std::vector<std::string>{std::move(bytes)};
  };
  stage.run(2000);
  report.check("RFC 9000, 8.1", "an address that is not validated gets at most three times what it sent",
               c.hop.octets_in > 0 && c.hop.octets_in <= 3 * 1200);
  // A worker that does not keep to it is held to it.
  Udp sink;
  take_places(stage, {{"g-1", &sink}});
  Probe probe(stage);
  std::string id = fresh_id();
  probe.send(bare_initial(id, "source"));
  std::optional<Udp::Came> came;
  stage.run(500, [&] { return (came = sink.receive()).has_value(); });
  std::size_t got = 0;
  if (came) {
    std::string_view bytes = came->bytes;
    auto header = take_proxy_header(bytes);
    std::string worker_id =
        IdCodec({stage.options.worker.ids}).encode(2, stage.worker(0).server_id, "nonce!");
    for (std::uint32_t i = 0; i < 20; ++i)
      sink.send(header_back(*header) +
                    seal_initial(initial_keys(id, true), "source", worker_id, i, std::string(1100, '\0')),
                came->from);
    for (const std::string& packet : probe.answers(300, 1000)) got += packet.size();
  }
  report.check("RFC 9000, 8.1", "also where its worker sends more", came && got > 0 && got <= 3 * 1200);
  report.check("alerts", "what was kept back is counted",
               stage.counter("marblehub_quic_amplification_stops_total") > 0);
}

// A worker that answers after its call was given up: nobody may hear of it.
void late_replies(Report& report) {
  report.suite("late");
  for (bool proxy : {true, false}) {
    std::string way = proxy ? " (proxy-v2)" : " (socket)";
    StageOptions options = usual(proxy);
    options.deadline_ms = 600;
    Stage stage({"g-1"}, options);
    Udp sink;
    take_places(stage, {{"g-1", &sink}});
    Probe probe(stage);
    std::string id = fresh_id();
    probe.send(bare_initial(id, "source"));
    std::optional<Udp::Came> came;
    std::vector<std::string> answers;
    stage.run(900, [&] {
      if (auto one = sink.receive()) came = one;
      while (auto back = probe.udp.receive()) answers.push_back(back->bytes);
      return came && !answers.empty();
    });
    report.check("PROTOCOL, answers",
                 "a worker that says nothing leaves a call that is refused in time" + way,
                 came && answers.size() == 1 && closes_with(answers[0], id, kConnectionRefused));
    if (!came) continue;
    std::string reply =
        seal_initial(initial_keys(id, true), "source",
                     IdCodec({options.worker.ids}).encode(2, stage.worker(0).server_id, "nonce!"), 0,
                     std::string(100, '\0'));
    std::string_view bytes = came->bytes;
    std::string head;
    if (auto header = proxy ? take_proxy_header(bytes) : std::nullopt) head = header_back(*header);
    sink.send(head + reply, came->from);
    report.check("PROTOCOL, answers", "what it says after that reaches nobody" + way, !probe.answer(300));
  }
}

// ---- Migration -------------------------------------------------------------------------------------

void migration(Report& report) {
  report.suite("migration");
  for (bool proxy : {true, false}) {
    std::string way = proxy ? " (proxy-v2)" : " (socket)";
    Stage stage({"g-1", "g-2"}, usual(proxy));
    Client& c = stage.client();
    bool good = up(stage, c) && asks(stage, c, "one");
    c.rebind();
    report.check("RFC 9000, 9.3", "a rebinding keeps the connection" + way, good && asks(stage, c, "two"));
    stage.run(150);
    good = c.migrate();
    report.check("RFC 9000, 9.5", "a migration with a fresh id keeps it" + way,
                 good && asks(stage, c, "three"));
    c.request("LOCK 1");
    stage.run(20);
    c.rebind();
    report.check("brief", "an address change during a lock command: one answer" + way,
                 stage.run(3000, [&] { return c.all_answered_once(); }));
    report.check("brief", "and the command ran once" + way,
                 stage.worker(0).executed["LOCK 1"] + stage.worker(1).executed["LOCK 1"] == 1);
    stage.run(300);
    report.check("DESIGN, mapping", "it is one connection for the module throughout" + way,
                 stage.counter("marblehub_connections") == 1 && stage.counter("marblehub_calls_total") == 1);
    stage.run(150);
    c.update_key();
    report.check("RFC 9001, 6", "a key update passes" + way, asks(stage, c, "four"));
    std::size_t seen = 0;
    for (auto& w : stage.workers) seen = std::max(seen, w->clients_seen.size());
    report.check("RFC 9000, 9.3", "the worker sees every address its client has had" + way, seen >= 4);
    c.hop.socket().mark(2);
    for (auto& w : stage.workers) w->with_ecn = 0;
    asks(stage, c, "five");
    report.check("RFC 9000, 13.4", "ECN marks of clients reach the worker" + way,
                 stage.worker(0).with_ecn + stage.worker(1).with_ecn > 0);
  }
  ClientOptions none;
  none.id_length = 0;
  Stage stage({"g-1"}, usual());
  std::vector<Client*> all;
  for (int i = 0; i < 4; ++i) all.push_back(&stage.client(none));
  stage.run(2500, [&] { return stage.all_up(); });
  bool good = stage.all_up();
  for (Client* c : all)
    good = good && asks(stage, *c, "x" + std::to_string(reinterpret_cast<std::uintptr_t>(c)));
  report.check("RFC 9000, 5.2", "several connections to one worker are kept apart", good);
  StageOptions six = usual();
  six.family = AF_INET6;
  Stage stage6({"g-1"}, six);
  Client& c6 = stage6.client();
  good = up(stage6, c6) && asks(stage6, c6, "one");
  c6.rebind();
  report.check("IPv6", "handshake, request and rebinding over IPv6", good && asks(stage6, c6, "two"));
}

// ---- Workers that drain, refuse, die and come back -------------------------------------------------

void workers(Report& report) {
  report.suite("workers");
  for (bool proxy : {true, false}) {
    std::string way = proxy ? " (proxy-v2)" : " (socket)";
    Stage stage({"g-1", "g-2"}, usual(proxy));
    for (int i = 0; i < 12; ++i) stage.client();
    stage.run(4500, [&] { return stage.all_up() && stage.registry.watched(); });
    Worker &leaving = stage.worker(0), &staying = stage.worker(1);
    report.check("DESIGN, pick", "new connections spread over the workers" + way,
                 stage.all_up() && leaving.accepted >= 2 && staying.accepted >= 2);
    stage.status(leaving, "draining");
    stage.run(250);
    int before = leaving.initials;
    for (int i = 0; i < 8; ++i) stage.client();
    // Old ones may be asked to move at once; what they ask before that is still served.
    stage.run(2500, [&] { return stage.all_up(); });
    report.check("PROTOCOL, drains", "nothing new goes to a draining worker after 250 ms" + way,
                 leaving.initials == before);
    for (auto& c : stage.clients) c->rebind();  // a move may be under way for some
    report.check(
        "PROTOCOL, moves", "its clients are asked to move, whatever their address by then" + way,
        stage.run(4000, [&] { return leaving.moves.size() >= static_cast<std::size_t>(leaving.accepted); }));
    report.check("PROTOCOL, moves", "and are gone from it" + way,
                 stage.run(1000, [&] { return leaving.connections() == 0; }));
  }
  {
    Stage stage({"g-1", "g-2"}, usual());
    stage.worker(0).options.busy = true;
    for (int i = 0; i < 8; ++i) stage.client();
    stage.run(3000, [&] { return stage.all_up(); });
    report.check("docs/quic.md, BUSY", "a call that a worker turns away goes to another", stage.all_up());
  }
  {
    Stage stage({"g-1", "g-2"}, usual());
    stage.worker(0).options.refuse = true;
    for (int i = 0; i < 8; ++i) stage.client();
    stage.run(3000, [&] { return stage.all_up(); });
    report.check("RFC 9000, 20.1", "so does one that it closes with CONNECTION_REFUSED", stage.all_up());
    report.check("PROTOCOL, outcomes", "and the module hears that the worker was full",
                 stage.counter("marblehub_attempt_results_total{outcome=\"full\"}") > 0);
  }
  for (bool proxy : {true, false}) {
    std::string way = proxy ? " (proxy-v2)" : " (socket)";
    Stage stage({"g-1", "g-2"}, usual(proxy));
    std::vector<Client*> all;
    for (int i = 0; i < 8; ++i) all.push_back(&stage.client());
    stage.run(3000, [&] { return stage.all_up(); });
    std::size_t there = stage.worker(0).connections();
    stage.worker(0).die();
    std::int64_t began = now_us();
    for (Client* c : all) c->request("after");
    auto reset = [&] {
      return static_cast<std::size_t>(
          std::count_if(all.begin(), all.end(), [](Client* c) { return c->was_reset(); }));
    };
    stage.run(1000, [&] { return reset() >= there; });
    report.check("RFC 9000, 10.3", "clients of a dead worker are reset within a second" + way,
                 there > 0 && reset() == there && now_us() - began <= 1'050'000);
    std::size_t answered = 0;
    stage.run(1500, [&] {
      answered = static_cast<std::size_t>(
          std::count_if(all.begin(), all.end(), [](Client* c) { return c->all_answered_once(); }));
      return answered == all.size() - there;
    });
    report.check("RFC 9000, 10.3", "and nobody else is" + way,
                 answered == all.size() - there && reset() == there);
    stage.run(300);
    report.check("DESIGN, mapping", "the module counts them no more" + way,
                 stage.counter("marblehub_connections") == static_cast<double>(all.size() - there));
    stage.worker(0).restart();
    stage.run(4500, [&] { return stage.registry.watched(); });
    stage.tell_address(stage.worker(0));
    stage.run(400);
    int accepted = stage.worker(0).accepted;
    for (int i = 0; i < 12; ++i) stage.client();
    stage.run(3000, [&] { return stage.worker(0).accepted > accepted; });
    report.check("PROTOCOL, registry", "a worker that restarts at another address is found there" + way,
                 stage.worker(0).accepted > accepted);
  }
  {
    Stage stage({"g-1", "g-2"}, usual());
    stage.run(4500, [&] { return stage.registry.watched(); });
    IdCodec codec({stage.options.worker.ids});
    std::string id = codec.encode(2, stage.worker(0).server_id, "nonce!");
    Probe probe(stage);
    probe.send("\x40" + id + std::string(80, 'x'));
    report.check("RFC 9000, 10.3", "the router sends no stateless reset for a worker that runs",
                 !probe.answer(300) && stage.counter("marblehub_quic_stateless_resets_total") == 0);
    stage.status(stage.worker(0), "draining");
    stage.run(300);
    probe.send("\x40" + id + std::string(80, 'x'));
    report.check("RFC 9000, 10.3", "nor for one that drains", !probe.answer(300));
    stage.status(stage.worker(0), "gone");
    stage.run(300);
    probe.send("\x40" + id + std::string(80, 'x'));
    auto packet = probe.answer();
    report.check("RFC 9000, 10.3", "for one that the registry calls gone it does",
                 packet && packet->ends_with(reset_token(kResetKey, id)));
    report.check("RFC 9000, 10.3.3", "shorter than what came", packet && packet->size() < 92);
    probe.send("\x40" + id + std::string(9, 'x'));
    report.check("RFC 9000, 10.3.3", "and none where it could not be", !probe.answer(300));
  }
}

// ---- Routers that die or multiply ------------------------------------------------------------------

void routers(Report& report) {
  report.suite("routers");
  for (bool proxy : {true, false}) {
    std::string way = proxy ? " (proxy-v2)" : " (socket)";
    Stage stage({"g-1", "g-2"}, usual(proxy));
    for (int i = 0; i < 10; ++i) stage.client();
    stage.run(3000, [&] { return stage.all_up(); });
    stage.run(300);  // no end may change its address before the handshake is confirmed (RFC 9000, 9)
    stage.restart_router();
    bool good = stage.all_up();
    for (auto& c : stage.clients) c->request("after");
    stage.run(3000, [&] { return stage.all_answered(); });
    report.check("quic-load-balancers, 4", "a router that starts anew routes every connection" + way,
                 good && stage.all_answered());
    for (int i = 0; i < 3; ++i) {
      for (auto& c : stage.clients) c->request("more " + std::to_string(i));
      stage.run(300);
    }
    stage.run(300);
    report.check("DESIGN, mapping", "and the module counts them again" + way,
                 stage.counter("marblehub_connections") == static_cast<double>(stage.clients.size()));
  }
  // Two routers with the same files: every client's new address leads to the other one.
  Stage stage({"g-1", "g-2"}, usual());
  for (int i = 0; i < 10; ++i) stage.client();
  stage.run(3000, [&] { return stage.all_up(); });
  stage.run(300);
  Endpoint other = stage.second_router();
  for (auto& c : stage.clients) {
    c->request("at the first");
    c->rebind();
    c->go_through(other);
  }
  bool good = stage.run(3000, [&] { return stage.all_answered(); });
  report.check("brief", "a client whose new address leads to another router keeps its connection", good);
  for (int i = 0; i < 3; ++i) {
    for (auto& c : stage.clients) c->request("at the second " + std::to_string(i));
    stage.run(150);
  }
  stage.run(400);
  report.check("brief", "with one answer to every request",
               stage.run(2000, [&] { return stage.all_answered(); }));
  report.check("DESIGN, mapping", "the module of the new router counts it",
               stage.counter("marblehub_connections", true) == 10);
  report.check("DESIGN, mapping", "and that of the old one no more",
               stage.counter("marblehub_connections") == 0);
}

// ---- Reload ----------------------------------------------------------------------------------------

void reload(Report& report) {
  report.suite("reload");
  Stage stage({"g-1"}, usual());
  Client& c = stage.client();
  bool good = up(stage, c) && asks(stage, c, "one");
  const IdConfig& old = stage.options.worker.ids;
  json old_id = {{"rotation", old.rotation}, {"server_id_length", 4}, {"nonce_length", 6}, {"key", ""}};
  json new_id = {
      {"rotation", 3}, {"server_id_length", 5}, {"nonce_length", 9}, {"key", std::string(32, 'a')}};
  stage.write_quic({{"ids", json::array({old_id, new_id})}});
  stage.reload();
  report.check(
      "quic-load-balancers, 3.1", "a new rotation is learnt beside the old one",
      good && asks(stage, c, "two") && stage.counter("marblehub_reloads_total{result=\"taken\"}") == 1);
  IdCodec codec({{3, 5, 9, std::string(16, '\xaa')}});
  Probe probe(stage);
  std::size_t before = stage.worker(0).datagrams;
  probe.send("\x40" + codec.encode(3, default_server_id("g-1", 5), "nine octe") + std::string(40, 'x'));
  stage.run(150);
  report.check("quic-load-balancers, 3.1", "and ids of it are routed before any worker uses it",
               stage.worker(0).datagrams == before + 1);
  stage.write_quic({{"ids", json::array({new_id})}, {"retire_ms", 1500}});
  stage.reload();
  report.check("quic-load-balancers, 3.1", "an old rotation that is taken out goes on for its stated time",
               asks(stage, c, "three"));
  report.check("alerts", "which the metrics tell", stage.counter("marblehub_quic_configs_retiring") == 1);
  stage.write_quic(
      {{"ids", json::array(
                   {new_id, {{"rotation", 2}, {"server_id_length", 4}, {"nonce_length", 7}, {"key", ""}}})}});
  stage.reload();
  report.check("quic-load-balancers, 3.1", "its rotation is not given out anew in that time",
               stage.counter("marblehub_reloads_total{result=\"refused\"}") == 1);
  stage.write_quic(
      {{"ids", json::array({new_id, {{"rotation", 9}, {"server_id_length", 4}, {"nonce_length", 6}}})}});
  stage.reload();
  report.check("operators", "a file with a wrong key is refused whole",
               stage.counter("marblehub_reloads_total{result=\"refused\"}") == 2);
  report.check("operators", "and the log names the key, but no secret",
               stage.program->log().find("ids.1.rotation") != std::string::npos &&
                   stage.program->log().find(std::string(32, 'a')) == std::string::npos);
  stage.run(1800);
  before = stage.worker(0).datagrams;
  probe.send("\x40" + IdCodec({old}).encode(2, default_server_id("g-1", 4), "nonce!") + std::string(40, 'x'));
  stage.run(100);
  report.check("quic-load-balancers, 3.1", "after that time its ids name nobody",
               stage.counter("marblehub_quic_unknown_ids_total") >= 1);
}

// ---- Faults ----------------------------------------------------------------------------------------

void faults(Report& report) {
  report.suite("faults");
  struct Kind {
    const char* words;
    Faults faults;
  };
  for (const Kind& kind :
       {Kind{"one datagram in ten lost", {.lose = 0.1}},
        {"one in five repeated", {.repeat = 0.2}},
        {"one in five overtaken", {.delay = 0.2}},
        {"all of these and a new address with every request", {.lose = 0.05, .repeat = 0.1, .delay = 0.1}}}) {
    Stage stage({"g-1", "g-2"}, [] {
      StageOptions o = usual();
      o.deadline_ms = 3000;
      return o;
    }());
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      ClientOptions options;
      options.faults = kind.faults;
      options.faults.seed = seed;
      stage.client(options);
    }
    stage.run(6000, [&] { return stage.all_up(); });
    for (int i = 0; i < 5; ++i) {
      for (auto& c : stage.clients) {
        c->request("r" + std::to_string(i));
        if (kind.faults.lose > 0 && kind.faults.repeat > 0) c->rebind();
      }
      stage.run(120);
    }
    stage.run(8000, [&] { return stage.all_answered(); });
    report.check("brief", std::string("each request has one answer with ") + kind.words,
                 stage.all_up() && stage.all_answered());
  }
}

}  // namespace

const std::vector<Suite>& suites() {
  static const std::vector<Suite> all = {
      {"ids", "connection ids of all forms", ids},
      {"versions", "versions 1, 2 and others", versions},
      {"initials", "what begins a connection, and coalesced packets", initials},
      {"0-rtt", "early data in every order", zero_rtt},
      {"retry", "address validation by the router and by workers", retry},
      {"amplification", "three times what came in", amplification},
      {"late", "workers that answer after their call was given up", late_replies},
      {"migration", "addresses that change, keys, ECN, IPv6", migration},
      {"workers", "workers that drain, refuse, die and come back", workers},
      {"routers", "routers that start anew", routers},
      {"reload", "configurations that change while serving", reload},
      {"faults", "a network that loses, repeats and reorders", faults},
  };
  return all;
}

}  // namespace marblehub::conformance
