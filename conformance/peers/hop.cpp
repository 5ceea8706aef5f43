#include "peers/hop.h"

#include <utility>

namespace marblehub::peers {

Hop::Hop(int family, Faults faults) : family_(family), faults_(faults), random_(faults.seed) { rebind(); }

void Hop::rebind() { sockets_.push_back(std::make_unique<Udp>(family_)); }

void Hop::send(std::string_view bytes, const Endpoint& to) {
  std::vector<std::string> all{std::string(bytes)};
  if (tamper) all = tamper(std::string(bytes));
  for (const std::string& datagram : all) {
    if (happens(faults_.loss)) continue;
    int times = happens(faults_.duplication) ? 2 : 1;
    for (int i = 0; i < times; ++i) {
      bytes_out += datagram.size();
      if (happens(faults_.delay)) {
        delayed_out_.push_back({now_us() + faults_.delay_us, datagram, to});
      } else {
        socket().send(datagram, to);
      }
    }
  }
}

std::vector<std::string> Hop::receive() {
  std::vector<std::string> out;
  for (auto& udp : sockets_)
    while (auto received = udp->receive()) {
      bytes_in += received->bytes.size();
      if (happens(faults_.loss)) continue;
      if (happens(faults_.duplication)) out.push_back(received->bytes);
      if (happens(faults_.delay)) {
        delayed_in_.push_back({now_us() + faults_.delay_us, std::move(received->bytes), {}});
      } else {
        out.push_back(std::move(received->bytes));
      }
    }
  std::erase_if(delayed_in_, [&](DelayedDatagram& delayed) {
    bool due = delayed.due_at <= now_us();
    if (due) out.push_back(std::move(delayed.bytes));
    return due;
  });
  return out;
}

void Hop::step() {
  std::erase_if(delayed_out_, [&](const DelayedDatagram& delayed) {
    bool due = delayed.due_at <= now_us();
    if (due) socket().send(delayed.bytes, delayed.to);
    return due;
  });
}

}  // namespace marblehub::peers
