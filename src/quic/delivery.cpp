#include "quic/delivery.h"

#include <algorithm>
#include <optional>

#include "quic/initial.h"

namespace marblehub::quic {
namespace {

constexpr std::size_t kMaxFlightDatagrams = 8;

// How far the Initial at the start of a datagram carries the client's handshake data; none where it is no
// Initial that a worker could read.
std::optional<std::uint64_t> handshake_data_end(std::string_view datagram) {
  auto header = parse(datagram);
  if (!header || header->type != PacketType::initial) return std::nullopt;
  auto frames = open_initial(initial_keys(header->destination, false, header->version), datagram);
  if (!frames) return std::nullopt;
  return crypto_data_end(*frames);
}

}  // namespace

void Delivery::add(std::string_view datagram) {
  if (flight_.size() >= kMaxFlightDatagrams) {
    overflowed_ = true;
    return;
  }
  flight_.emplace_back(datagram);
}

void Delivery::begin_attempt() {
  sent_ = returned_ = first_ = 0;
  begun_with_ = flight_.size();
}

void Delivery::retry_received() {
  if (client_has_repeated()) return;
  returned_ = sent_ = 0;
  first_ = begun_with_ = flight_.size();
}

// An Initial that carries no more of the handshake than those before it is a repeat, also one that only asks
// for an acknowledgement.
bool Delivery::client_has_repeated() const {
  if (overflowed_) return true;
  std::uint64_t known_end = 0;
  for (std::size_t i = first_; i < flight_.size(); ++i) {
    auto end = handshake_data_end(flight_[i]);
    if (!end) continue;
    if (i >= begun_with_ && *end <= known_end) return true;
    known_end = std::max(known_end, *end);
  }
  return false;
}

}  // namespace marblehub::quic
