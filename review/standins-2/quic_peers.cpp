// Stand-ins for QUIC, by RFC 9000 and 9001 as far as a case needs them; Initials are protected as there.
//
//   quic_peers worker PORT WORK_MS      a worker: runs the command that 0-RTT brings, works, then answers
//   quic_peers client PORT COMMAND MS   a client that resumes: Initial and 0-RTT, repeated after its PTO
//
// The worker listens on PORT over UDP, and over TCP for probes. 0-RTT is protected with a ticket's key, which the
// stand-ins share. Each event is one line on standard output.
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "quic/crypto.h"
#include "quic/initial.h"
#include "quic/packet.h"

namespace {

using namespace marblehub::quic;

constexpr std::size_t kPacketNumberSize = 4;

double now_ms() {
  using namespace std::chrono;
  return duration<double, std::milli>(steady_clock::now().time_since_epoch()).count();
}

void say(const std::string& text) {
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
}

sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

const std::string& ticket_key() {
  static const std::string key = hkdf_expand_label(hkdf_extract("ticket", "of the stand-ins"), "0rtt", 16);
  return key;
}

// A 0-RTT packet with the command (RFC 9000, 17.2.3).
std::string zero_rtt_packet(const std::string& destination, const std::string& source, const std::string& command) {
  std::string packet(1, long_header_first_byte(PacketType::zero_rtt, kVersion1, kPacketNumberSize - 1));
  put_u32(packet, kVersion1);
  packet += static_cast<char>(destination.size()) + destination + static_cast<char>(source.size()) + source;
  std::string sealed = gcm_seal(ticket_key(), std::string(12, '\0'), command, destination);
  put_varint(packet, kPacketNumberSize + sealed.size());
  put_u32(packet, 0);
  return packet + sealed;
}

// The command in a datagram's 0-RTT packet; empty where there is none.
std::string command_in(std::string_view datagram) {
  while (!datagram.empty()) {
    auto header = parse(datagram);
    if (!header || header->packet.empty()) return "";
    if (header->type == PacketType::zero_rtt) {
      std::string_view rest = header->packet.substr(7 + header->destination.size() + header->source.size());
      consume_varint(rest);
      auto command = gcm_open(ticket_key(), std::string(12, '\0'), rest.substr(kPacketNumberSize),
                              header->destination);
      return command.value_or("");
    }
    datagram.remove_prefix(header->packet.size());
  }
  return "";
}

// A call that the worker has taken, until it is answered.
struct Taken {
  sockaddr_in client;
  std::string destination, source;
  double answer_at = 0;
  bool answered = false;
};

void answer(int udp, Taken& call, const std::string& own_id) {
  std::string frames(1, '\x02');  // ACK of packet 0, then PING and PADDING
  frames += std::string("\0\0\0\0", 4) + '\x01' + std::string(1100, '\0');
  std::string packet = seal_initial(initial_keys(call.destination, true), call.source, own_id, 0, frames);
  sendto(udp, packet.data(), packet.size(), 0, reinterpret_cast<sockaddr*>(&call.client), sizeof call.client);
  call.answered = true;
  say("ANSWERED " + hex(call.destination));
}

void take_datagram(int udp, double work_ms, std::map<std::string, Taken>& calls) {
  char bytes[2048];
  sockaddr_in from{};
  socklen_t size = sizeof from;
  ssize_t n = recvfrom(udp, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
  if (n <= 0) return;
  std::string_view datagram(bytes, static_cast<std::size_t>(n));
  auto header = parse(datagram);
  if (!header || header->type != PacketType::initial) return;
  if (!open_initial(initial_keys(header->destination, false), datagram)) return;
  std::string id(header->destination);
  auto [call, is_new] = calls.try_emplace(id, Taken{from, id, std::string(header->source), now_ms() + work_ms});
  call->second.client = from;
  if (is_new) say("RUN " + command_in(datagram) + " of call " + hex(id));
}

void answer_probes(int fd, std::vector<pollfd>& sockets, std::size_t at) {
  char bytes[256];
  ssize_t n = recv(fd, bytes, sizeof bytes, 0);
  if (n <= 0) {
    close(fd);
    sockets.erase(sockets.begin() + static_cast<std::ptrdiff_t>(at));
    return;
  }
  const char* line = "PONG latency_ms=5,util=0.2,x0=0.2\r\n";
  send(fd, line, std::strlen(line), MSG_NOSIGNAL);
}

int run_worker(int port, double work_ms) {
  int udp = socket(AF_INET, SOCK_DGRAM, 0), tcp = socket(AF_INET, SOCK_STREAM, 0), on = 1;
  setsockopt(tcp, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = loopback(port);
  if (bind(udp, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      bind(tcp, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(tcp, 64) != 0)
    return 2;
  say("READY");
  std::map<std::string, Taken> calls;
  const std::string own_id = random_bytes(8);
  std::vector<pollfd> sockets{{udp, POLLIN, 0}, {tcp, POLLIN, 0}};
  for (;;) {
    poll(sockets.data(), sockets.size(), 5);
    if (sockets[0].revents) take_datagram(udp, work_ms, calls);
    if (sockets[1].revents) sockets.push_back({accept(tcp, nullptr, nullptr), POLLIN, 0});
    for (std::size_t i = sockets.size(); i-- > 2;)
      if (sockets[i].revents) answer_probes(sockets[i].fd, sockets, i);
    for (auto& [id, call] : calls)
      if (!call.answered && now_ms() >= call.answer_at) answer(udp, call, own_id);
  }
}

// A client's first flight, sent again after its PTO; a resuming client knows the path's round trip (RFC 9002, 6.2.2).
int run_client(int port, const std::string& command, double wait_ms) {
  constexpr double round_trip_ms = 60;
  int udp = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in to = loopback(port);
  if (connect(udp, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) return 2;
  const std::string destination = random_bytes(8), source = random_bytes(8);
  const std::string early = zero_rtt_packet(destination, source, command);
  double pto = round_trip_ms + 4 * round_trip_ms / 2, due = now_ms();
  const double until = now_ms() + wait_ms;
  for (std::uint32_t number = 0; now_ms() < until;) {
    if (now_ms() >= due) {
      std::string frames = std::string("\x06\0\x01\x01", 4) + std::string(1200 - early.size() - 4 - 40, '\0');
      std::string datagram = seal_initial(initial_keys(destination, false), destination, source, number, frames) + early;
      send(udp, datagram.data(), datagram.size(), 0);
      say("SENT Initial " + std::to_string(number++) + " and 0-RTT of " + std::to_string(datagram.size()) +
          " octets, call " + hex(destination));
      due = now_ms() + pto;
      pto *= 2;
    }
    pollfd readable{udp, POLLIN, 0};
    if (poll(&readable, 1, static_cast<int>(std::max(1.0, std::min(due, until) - now_ms()))) <= 0) continue;
    char bytes[2048];
    ssize_t n = recv(udp, bytes, sizeof bytes, 0);
    if (n <= 0) continue;
    auto frames = open_initial(initial_keys(destination, true), std::string_view(bytes, static_cast<std::size_t>(n)));
    if (!frames) continue;
    bool closed = (*frames)[0] == '\x1c';
    say(closed ? "HEARD CONNECTION_CLOSE " + frames->substr(4) : std::string("HEARD UP"));
    return 0;
  }
  say("HEARD nothing");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "";
  if (mode == "worker" && argc == 4) return run_worker(std::atoi(argv[2]), std::atof(argv[3]));
  if (mode == "client" && argc == 5) return run_client(std::atoi(argv[2]), argv[3], std::atof(argv[4]));
  return 2;
}
