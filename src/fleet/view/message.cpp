#include "fleet/view/message.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>

#include "message_generated.h"

namespace marblehub::fleet::view {
namespace {

using flatbuffers::FlatBufferBuilder;

bool text_fits(const flatbuffers::String* text, std::size_t most) {
  return text && text->size() > 0 && text->size() <= most;
}

bool status_known(std::uint8_t status) { return status <= static_cast<std::uint8_t>(MemberStatus::left); }

bool read(const wire::News& from, News& to) {
  if (!text_fits(from.name(), kLongestMemberName) || !text_fits(from.address(), kLongestAddress))
    return false;
  if (!status_known(from.status()) || from.incarnation() > kMostIncarnation) return false;
  to.name = from.name()->str();
  to.address = from.address()->str();
  to.incarnation = from.incarnation();
  to.status = static_cast<MemberStatus>(from.status());
  to.schema = from.schema();
  to.age = Time{from.age_ms()} * kMillisecond;
  if (from.accusers())
    for (const auto* accuser : *from.accusers()) {
      if (!text_fits(accuser, kLongestMemberName)) return false;
      if (to.accusers.size() < kMostAccusers) to.accusers.push_back(accuser->str());
    }
  return true;
}

std::size_t octets_of(const std::string& text) { return 4 + (text.size() + 4) / 4 * 4; }

}  // namespace

// Each table: its vtable (shared between equal ones, but counted), offsets and padding, rounded up.
std::size_t octets_of(const News& news) {
  std::size_t octets = 64 + octets_of(news.name) + octets_of(news.address);
  for (const std::string& accuser : news.accusers) octets += 4 + octets_of(accuser);
  return octets;
}

std::size_t octets_of_head(const Said& said) {
  return 120 + octets_of(said.address) + octets_of(said.target) + octets_of(said.target_address);
}

std::string encode(const Said& said) {
  FlatBufferBuilder builder(1536);
  std::vector<flatbuffers::Offset<wire::News>> news;
  news.reserve(said.news.size());
  for (const News& one : said.news) {
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> accusers;
    if (!one.accusers.empty()) accusers = builder.CreateVectorOfStrings(one.accusers);
    auto name = builder.CreateString(one.name), address = builder.CreateString(one.address);
    Time age = std::clamp<Time>(one.age / kMillisecond, 0, 0xffffffff);
    news.push_back(wire::CreateNews(builder, name, address, one.incarnation,
                                    static_cast<std::uint8_t>(one.status), one.schema, accusers,
                                    static_cast<std::uint32_t>(age)));
  }
  auto all = builder.CreateVector(news);
  auto address = builder.CreateString(said.address);
  flatbuffers::Offset<flatbuffers::String> target, target_address;
  if (!said.target.empty()) target = builder.CreateString(said.target);
  if (!said.target_address.empty()) target_address = builder.CreateString(said.target_address);
  builder.Finish(wire::CreateSaid(
      builder, static_cast<std::uint8_t>(said.kind), said.sequence, said.born, said.incarnation, address,
      said.schema, static_cast<std::uint8_t>(said.status), target, target_address, said.digest, all));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<Said> decode(std::string_view body) {
  if (body.size() < 8 || body.size() > (std::size_t{1} << 20)) return std::nullopt;
  std::string copy(body);  // aligned
  const auto* data = reinterpret_cast<const std::uint8_t*>(copy.data());
  flatbuffers::Verifier verifier(data, copy.size());
  if (!wire::VerifySaidBuffer(verifier)) return std::nullopt;
  const wire::Said& from = *wire::GetSaid(data);
  if (from.kind() < static_cast<std::uint8_t>(Kind::ping) ||
      from.kind() > static_cast<std::uint8_t>(Kind::news) || !status_known(from.status()) ||
      from.incarnation() > kMostIncarnation || from.born() > kMostIncarnation ||
      !text_fits(from.address(), kLongestAddress))
    return std::nullopt;
  Said to;
  to.kind = static_cast<Kind>(from.kind());
  to.sequence = from.sequence();
  to.born = from.born();
  to.incarnation = from.incarnation();
  to.address = from.address()->str();
  to.schema = from.schema();
  to.status = static_cast<MemberStatus>(from.status());
  to.digest = from.digest();
  if (from.target()) {
    if (from.target()->size() > kLongestMemberName) return std::nullopt;
    to.target = from.target()->str();
  }
  if (from.target_address()) {
    if (from.target_address()->size() > kLongestAddress) return std::nullopt;
    to.target_address = from.target_address()->str();
  }
  if (from.news())
    for (const auto* one : *from.news()) {
      News news;
      if (!read(*one, news)) return std::nullopt;  // all or nothing: half of a message is no message
      to.news.push_back(std::move(news));
    }
  return to;
}

}  // namespace marblehub::fleet::view
