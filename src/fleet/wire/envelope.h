// The outside of every message: sealed under the fleet's key, so that strangers' words change nothing.
// HMAC-SHA-256 (RFC 2104, FIPS 180-4) by OpenSSL over schema, fleet, sender, incarnation, time, part and
// body.
//
//   code (32 octets) | length (4, little-endian) | Sealed of envelope.fbs
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/time.h"

namespace marblehub::fleet {

constexpr std::uint8_t kOldestSchema = 1, kNewestSchema = 1;  // a rolling upgrade speaks the older of two

struct Envelope {
  std::uint8_t schema = kNewestSchema;
  std::string sender;
  std::uint64_t incarnation = 0;  // of the sender's process: a message of an earlier one is old
  Time sent_at = 0;               // by the sender's clock; bounds replay and shows a clock that is off
  Component component = Component::view;
  std::string body;
};

enum class DropReason { too_long, malformed, other_fleet, forged, schema, stale };
// Of a sealed message, in octets: a body of 1,200 or of 1 MiB and what is around it.
constexpr std::size_t kMaxDatagramBytes = 1400, kMaxStreamMessageBytes = (1 << 20) + 1024;
constexpr std::size_t kMaxNameBytes = 128;  // of a fleet or a member; settings bound them likewise

class EnvelopeSealer {
 public:
  // The first key seals; all open, so that a key can be changed while the fleet runs.
  EnvelopeSealer(std::string fleet, std::vector<std::string> keys);
  std::string seal(const Envelope& envelope) const;
  // What is cut, forged, over the bound or of another fleet or schema is refused; `why` says which. The code
  // is checked before anything of a stranger is read, so one with another key counts as forged whatever its
  // fleet.
  std::optional<Envelope> open(std::string_view octets, DropReason& why,
                               Transport transport = Transport::stream) const;

 private:
  std::string fleet_;
  std::vector<std::string> keys_;
};

// What was sealed by the fleet but long ago (Dropped::stale): recorded and played again, or held by the
// network until its sender had started anew.
class ReplayFilter {
 public:
  // `window`: how far sent_at may be from this balancer's clock, either way. Far wider than clock_bound: a
  // member whose clock is off must be heard to be told of it.
  explicit ReplayFilter(Time window = 60 * kSecond) : window_(window) {}
  // False: to be dropped. A sender's latest process counts; an earlier one is heard no more, except while the
  // later is younger than `window` (two processes under one name: the earlier has the right, see View::twin).
  bool accept(Time now, const Envelope& envelope);

 private:
  struct Latest {
    std::uint64_t incarnation = 0;
    Time since = 0, heard = 0;
  };
  Time window_;
  std::map<std::string, Latest, std::less<>> latest_;  // at most kMost; the one not heard longest is dropped
  static constexpr std::size_t kMost = 8192;
};

// The keys of a file: one or two lines of hex, 32 octets or more each; the first seals, all open. Throws
// config::DecodeError with file and line where it cannot be read, others than its owner can, a key is short,
// odd or no hex, or there are more than two.
std::vector<std::string> read_key_file(const std::string& path);

}  // namespace marblehub::fleet
