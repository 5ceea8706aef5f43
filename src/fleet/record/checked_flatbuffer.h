// Flatbuffers in, flatbuffers out: a hash behind each, the verifier before each is read.
#pragma once

#include <cstring>
#include <string>
#include <string_view>
#include <vector>

#include "flatbuffers/flatbuffers.h"

namespace marblehub::fleet {

inline std::uint64_t fnv1a_hash(std::string_view octets) {  // FNV-1a, 64 bits
  std::uint64_t hash = 14695981039346656037ULL;
  for (unsigned char octet : octets) hash = (hash ^ octet) * 1099511628211ULL;
  return hash;
}

template <class Native>
std::string encode_with_checksum(const Native& native) {
  using Table = typename Native::TableType;
  flatbuffers::FlatBufferBuilder builder;
  builder.ForceDefaults(false);
  builder.Finish(Table::Pack(builder, &native));
  std::string out(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
  const std::uint64_t hash = fnv1a_hash(out);
  out.append(reinterpret_cast<const char*>(&hash), sizeof hash);
  return out;
}

// False: cut, flipped, or not of this schema.
template <class Native>
bool decode_with_checksum(std::string_view octets, Native& into) {
  using Table = typename Native::TableType;
  std::uint64_t hash = 0;
  if (octets.size() < sizeof hash + 8) return false;
  std::memcpy(&hash, octets.data() + octets.size() - sizeof hash, sizeof hash);
  octets.remove_suffix(sizeof hash);
  if (hash != fnv1a_hash(octets)) return false;
  // A body may stand anywhere in its envelope; tables are read in place and want their alignment.
  std::vector<std::uint64_t> aligned((octets.size() + 7) / 8);
  std::memcpy(aligned.data(), octets.data(), octets.size());
  const auto* begin = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(begin, octets.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) return false;
  flatbuffers::GetRoot<Table>(begin)->UnPackTo(&into);
  return true;
}

}  // namespace marblehub::fleet
