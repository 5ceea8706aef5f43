#include "peers/hop.h"

#include <utility>

namespace marblehub::peers {

Hop::Hop(int family, Faults faults) : family_(family), faults_(faults), random_(faults.seed) { rebind(); }

void Hop::rebind() { sockets_.push_back(std::make_unique<Udp>(family_)); }

void Hop::send(std::string_view bytes, const Endpoint& to) {
  std::vector<std::string> all{std::string(bytes)};
  if (tamper) all = tamper(std::string(bytes));
  for (const std::string& one : all) {
    if (chance(faults_.lose)) continue;
    int times = chance(faults_.repeat) ? 2 : 1;
    for (int i = 0; i < times; ++i) {
      octets_out += one.size();
      if (chance(faults_.delay)) {
        held_out_.push_back({now_us() + faults_.delay_us, one, to});
      } else {
        socket().send(one, to);
      }
    }
  }
}

std::vector<std::string> Hop::receive() {
  std::vector<std::string> out;
  for (auto& one : sockets_)
    while (auto came = one->receive()) {
      octets_in += came->bytes.size();
      if (chance(faults_.lose)) continue;
      if (chance(faults_.repeat)) out.push_back(came->bytes);
      if (chance(faults_.delay)) {
        held_in_.push_back({now_us() + faults_.delay_us, std::move(came->bytes), {}});
      } else {
        out.push_back(std::move(came->bytes));
      }
    }
  std::erase_if(held_in_, [&](Held& held) {
    bool due = held.until <= now_us();
    if (due) out.push_back(std::move(held.bytes));
    return due;
  });
  return out;
}

void Hop::step() {
  std::erase_if(held_out_, [&](const Held& held) {
    bool due = held.until <= now_us();
    if (due) socket().send(held.bytes, held.to);
    return due;
  });
}

}  // namespace marblehub::peers
