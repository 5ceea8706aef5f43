/// The envelope of every message between balancers. It is authenticated, not encrypted, with HMAC-SHA-256
/// (RFC 2104, FIPS 180-4) under the fleet's key, so that messages from outside the fleet are dropped. The MAC
/// covers the length and the whole table `Sealed` of envelope.fbs.
///
///   MAC (32 bytes) | length (4 bytes, little-endian) | table Sealed
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/time.h"

namespace marblehub::fleet {

/// The range of schema versions that this build reads. During a rolling upgrade a message to a member with an
/// older schema is written in the member's schema.
constexpr std::uint8_t kOldestSchema = 1, kNewestSchema = 1;

/// A message between balancers with the fields of its envelope, unsealed.
struct Envelope {
  std::uint8_t schema = kNewestSchema;
  std::string sender;
  std::uint64_t incarnation = 0;  ///< of the sending process; the messages of an earlier process are stale
  Time sent_at = 0;               ///< by the sender's clock; limits replay and reveals a wrong clock
  Component component = Component::view;
  std::string body;
};

/// Why a received message is dropped. Each reason is a label of marblehub_fleet_messages_dropped_total;
/// the label of `malformed` is "cut".
enum class DropReason { too_long, malformed, other_fleet, forged, schema, stale };
/// Maximum sizes of a sealed message: a body of 1,200 bytes or 1 MiB and its envelope.
constexpr std::size_t kMaxDatagramBytes = 1400, kMaxStreamMessageBytes = (1 << 20) + 1024;
/// Maximum length of the name of a fleet or a member; the settings have the same limit.
constexpr std::size_t kMaxNameBytes = 128;

/// Seals and opens envelopes of one fleet.
class EnvelopeSealer {
 public:
  /// Seals with the first key and opens with any of them, so that the key can be rotated while the fleet
  /// runs. Throws std::invalid_argument where `keys` is empty.
  EnvelopeSealer(std::string fleet, std::vector<std::string> keys);
  /// The sealed message. Throws std::runtime_error where OpenSSL has no HMAC-SHA-256.
  std::string seal(const Envelope& envelope) const;
  /// The envelope, or nothing where the message has to be dropped; `why` is then the reason. The MAC is
  /// verified before any field is read, so a message under another key counts as forged whatever fleet it
  /// names.
  std::optional<Envelope> open(std::string_view bytes, DropReason& why,
                               Transport transport = Transport::stream) const;

 private:
  std::string fleet_;
  std::vector<std::string> keys_;
};

/// Detects authentic messages that are stale (DropReason::stale): replayed ones, and ones that the network
/// delivered after their sender restarted.
class ReplayFilter {
 public:
  /// `window` is the maximum difference between sent_at and the local clock in either direction. It is much
  /// wider than clock_bound: the messages of a member with a wrong clock must be accepted so that it can be
  /// notified.
  explicit ReplayFilter(Time window = 60 * kSecond) : window_(window) {}
  /// Whether to accept the message. Messages of an earlier process of the sender are accepted only until the
  /// later process has been known for `window`, so that a name conflict can be resolved in favour of the
  /// earlier one (see View::name_conflict).
  bool accept(Time now, const Envelope& envelope);

 private:
  /// The latest process seen of one sender.
  struct Latest {
    std::uint64_t incarnation = 0;
    Time since = 0, last_seen = 0;
  };
  Time window_;
  // By sender; where there are more than kMaxSenders, the least recently seen one is evicted.
  std::map<std::string, Latest, std::less<>> latest_;
  static constexpr std::size_t kMaxSenders = 8192;
};

/// Reads the keys of a fleet: one or two lines of hex digits, each at least 32 bytes; the first is the one to
/// seal with. Throws config::DecodeError with the file and line where the file cannot be read or is
/// accessible by others than its owner, a key is too short, too long or not valid hex, or there are more than
/// two keys.
std::vector<std::string> read_key_file(const std::string& path);

}  // namespace marblehub::fleet
