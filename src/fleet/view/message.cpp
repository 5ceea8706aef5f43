#include "fleet/view/message.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>

#include "message_generated.h"

namespace marblehub::fleet::view {
namespace {

using flatbuffers::FlatBufferBuilder;

bool text_fits(const flatbuffers::String* text, std::size_t max_size) {
  return text && text->size() > 0 && text->size() <= max_size;
}

bool status_known(std::uint8_t status) { return status <= static_cast<std::uint8_t>(MemberStatus::left); }

/// Decodes an update; false where it exceeds a limit.
bool read_update(const wire::MemberUpdate& from, MemberUpdate& to) {
  if (!text_fits(from.name(), kMaxMemberNameBytes) || !text_fits(from.address(), kMaxAddressBytes))
    return false;
  if (!status_known(from.status()) || from.incarnation() > kMaxIncarnation) return false;
  to.name = from.name()->str();
  to.address = from.address()->str();
  to.incarnation = from.incarnation();
  to.status = static_cast<MemberStatus>(from.status());
  to.schema = from.schema();
  to.age = Time{from.age_ms()} * kMillisecond;
  if (from.accusers())
    for (const auto* accuser : *from.accusers()) {
      if (!text_fits(accuser, kMaxMemberNameBytes)) return false;
      if (to.accusers.size() < kMaxAccusers) to.accusers.push_back(accuser->str());
    }
  return true;
}

std::size_t encoded_size(const std::string& text) { return 4 + (text.size() + 4) / 4 * 4; }

}  // namespace

// The constants cover a table's vtable (counted for each, although equal ones are shared), offsets and
// padding.
std::size_t encoded_size(const MemberUpdate& update) {
  std::size_t bytes = 64 + encoded_size(update.name) + encoded_size(update.address);
  for (const std::string& accuser : update.accusers) bytes += 4 + encoded_size(accuser);
  return bytes;
}

std::size_t encoded_header_size(const ViewMessage& message) {
  return 120 + encoded_size(message.address) + encoded_size(message.target) +
         encoded_size(message.target_address);
}

std::string encode(const ViewMessage& message) {
  FlatBufferBuilder builder(1536);
  std::vector<flatbuffers::Offset<wire::MemberUpdate>> updates;
  updates.reserve(message.updates.size());
  for (const MemberUpdate& update : message.updates) {
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> accusers;
    if (!update.accusers.empty()) accusers = builder.CreateVectorOfStrings(update.accusers);
    auto name = builder.CreateString(update.name), address = builder.CreateString(update.address);
    Time age = std::clamp<Time>(update.age / kMillisecond, 0, 0xffffffff);
    updates.push_back(wire::CreateMemberUpdate(builder, name, address, update.incarnation,
                                               static_cast<std::uint8_t>(update.status), update.schema,
                                               accusers, static_cast<std::uint32_t>(age)));
  }
  auto encoded_updates = builder.CreateVector(updates);
  auto address = builder.CreateString(message.address);
  flatbuffers::Offset<flatbuffers::String> target, target_address;
  if (!message.target.empty()) target = builder.CreateString(message.target);
  if (!message.target_address.empty()) target_address = builder.CreateString(message.target_address);
  builder.Finish(wire::CreateViewMessage(builder, static_cast<std::uint8_t>(message.kind), message.sequence,
                                         message.start_incarnation, message.incarnation, address,
                                         message.schema, static_cast<std::uint8_t>(message.status), target,
                                         target_address, message.digest, encoded_updates));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<ViewMessage> decode(std::string_view body) {
  if (body.size() < 8 || body.size() > (std::size_t{1} << 20)) return std::nullopt;
  std::string copy(body);  // an aligned copy, as FlatBuffers reads in place
  const auto* data = reinterpret_cast<const std::uint8_t*>(copy.data());
  flatbuffers::Verifier verifier(data, copy.size());
  if (!wire::VerifyViewMessageBuffer(verifier)) return std::nullopt;
  const wire::ViewMessage& from = *wire::GetViewMessage(data);
  if (from.kind() < static_cast<std::uint8_t>(MessageKind::ping) ||
      from.kind() > static_cast<std::uint8_t>(MessageKind::gossip) || !status_known(from.status()) ||
      from.incarnation() > kMaxIncarnation || from.start_incarnation() > kMaxIncarnation ||
      !text_fits(from.address(), kMaxAddressBytes))
    return std::nullopt;
  ViewMessage to;
  to.kind = static_cast<MessageKind>(from.kind());
  to.sequence = from.sequence();
  to.start_incarnation = from.start_incarnation();
  to.incarnation = from.incarnation();
  to.address = from.address()->str();
  to.schema = from.schema();
  to.status = static_cast<MemberStatus>(from.status());
  to.digest = from.digest();
  if (from.target()) {
    if (from.target()->size() > kMaxMemberNameBytes) return std::nullopt;
    to.target = from.target()->str();
  }
  if (from.target_address()) {
    if (from.target_address()->size() > kMaxAddressBytes) return std::nullopt;
    to.target_address = from.target_address()->str();
  }
  if (from.updates())
    for (const auto* one : *from.updates()) {
      MemberUpdate update;
      if (!read_update(*one, update))
        return std::nullopt;  // a message with an invalid update is dropped whole
      to.updates.push_back(std::move(update));
    }
  return to;
}

}  // namespace marblehub::fleet::view
