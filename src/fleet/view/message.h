/// The messages of the membership protocol and their encoding (message.fbs).
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/view/view.h"

namespace marblehub::fleet::view {

/// Limits of a message; one that exceeds them is not decoded.
constexpr std::size_t kMaxAccusers = 4;  // the first and Lifeguard's K = 3 confirmations; more are ignored
constexpr std::size_t kMaxDatagramBodyBytes = 1200;
constexpr std::size_t kMaxMemberNameBytes = 128, kMaxAddressBytes = 64;
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;  // no real one comes close

/// An update about one member.
struct MemberUpdate {
  std::string name, address;
  std::uint64_t incarnation = 0;
  MemberStatus status = MemberStatus::alive;
  std::uint8_t schema = 1;
  std::vector<std::string> accusers;  ///< of a suspect: the members whose own probes of it failed
  Time age = 0;  ///< since the last change of the status; only in a push-pull; milliseconds on the wire
};

/// The numbers are part of the wire format. Push-pulls go by stream, all others by datagram.
enum class MessageKind : std::uint8_t {
  ping = 1,  ///< to be answered with an ack of the same sequence
  ack,
  ping_request,  ///< indirect ping: ping `target`, then answer with an ack, or a nack where it is late
  nack,
  push_pull_request,  ///< has the sender's digest; answered with a state where the digests differ
  push_pull_state,    ///< all members; answered with a reply
  push_pull_reply,    ///< all members
  gossip              ///< only updates; not answered
};

/// One message of the membership protocol. The fields from `start_incarnation` to `status` describe the
/// sender.
struct ViewMessage {
  MessageKind kind = MessageKind::ping;
  std::uint64_t sequence = 0;
  std::uint64_t start_incarnation = 0;  ///< with which the sender's process started
  std::uint64_t incarnation = 0;
  std::string address;
  std::uint8_t schema = 1;
  MemberStatus status = MemberStatus::alive;
  std::string target, target_address;  ///< the addressee or, in indirect pings, the pinged member; empty: any
  std::uint64_t digest = 0;            ///< of the sender's view; 0 in datagrams while it has not converged
  std::vector<MemberUpdate> updates;
};

/// The body of an envelope.
std::string encode(const ViewMessage& message);
/// Nothing where the body is malformed, exceeds a limit or has an unknown kind.
std::optional<ViewMessage> decode(std::string_view body);

/// Upper bounds of the encoded size in bytes of an update and of a message without updates.
std::size_t encoded_size(const MemberUpdate& update);
std::size_t encoded_header_size(const ViewMessage& message);

}  // namespace marblehub::fleet::view
