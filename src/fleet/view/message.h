// One message of the view, as fields and as octets (message.fbs).
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/view/view.h"

namespace marblehub::fleet::view {

constexpr std::size_t kMaxAccusers = 4;  // the first and Lifeguard's K = 3 that confirm
constexpr std::size_t kMaxDatagramBodyBytes = 1200;
constexpr std::size_t kMaxMemberNameBytes = 128, kMaxAddressBytes = 64;
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;  // above: cannot be true, is not believed

// What is said about one member.
struct MemberUpdate {
  std::string name, address;
  std::uint64_t incarnation = 0;
  MemberStatus status = MemberStatus::alive;
  std::uint8_t schema = 1;
  std::vector<std::string> accusers;  // of a suspect: who missed its answer, each by its own probe
  Time age = 0;                       // of its standing, in a whole exchange; milliseconds on the wire
};

enum class MessageKind : std::uint8_t {
  ping = 1,  // answer with ack and the same sequence
  ack,
  ping_request,  // probe `target` for me, then ack in its name or nack
  nack,
  push_pull_request,  // by stream: my digest is this; send the whole where yours differs
  push_pull_state,    // by stream: all members; send yours in return
  push_pull_reply,    // by stream: all members, in return
  gossip              // nothing but gossip; not answered
};

struct ViewMessage {
  MessageKind kind = MessageKind::ping;
  std::uint64_t sequence = 0;
  std::uint64_t start_incarnation = 0;  // of the sender: the incarnation its process began with
  std::uint64_t incarnation = 0;        // of the sender, as `address`, `schema` and `standing`
  std::string address;
  std::uint8_t schema = 1;
  MemberStatus status = MemberStatus::alive;
  std::string target, target_address;  // whom it is meant for or about; empty: whoever is there
  std::uint64_t digest = 0;            // of the sender's view where it is settled; 0: it is not
  std::vector<MemberUpdate> updates;
};

std::string encode(const ViewMessage& message);
std::optional<ViewMessage> decode(std::string_view body);  // none: cut, out of bounds, or of no known kind

// Octets that this takes in a message at most, so that news are chosen to fit without trying.
std::size_t encoded_size(const MemberUpdate& update);
std::size_t encoded_header_size(const ViewMessage& message);

}  // namespace marblehub::fleet::view
