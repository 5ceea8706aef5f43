/// Encoding and decoding of flatbuffers that are followed by a checksum.
#pragma once

#include <cstring>
#include <string>
#include <string_view>
#include <vector>

#include "flatbuffers/flatbuffers.h"

namespace marblehub::fleet {

/// The 64-bit FNV-1a hash of the bytes.
inline std::uint64_t fnv1a_hash(std::string_view bytes) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (unsigned char byte : bytes) hash = (hash ^ byte) * 1099511628211ULL;
  return hash;
}

/// Encodes an object of the generated object API and appends the hash of the result.
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

/// Returns false if the input is truncated, corrupted or does not match the schema.
template <class Native>
bool decode_with_checksum(std::string_view bytes, Native& into) {
  using Table = typename Native::TableType;
  std::uint64_t hash = 0;
  if (bytes.size() < sizeof hash + 8) return false;
  std::memcpy(&hash, bytes.data() + bytes.size() - sizeof hash, sizeof hash);
  bytes.remove_suffix(sizeof hash);
  if (hash != fnv1a_hash(bytes)) return false;
  // The input may be unaligned, but flatbuffers are read in place and need alignment.
  std::vector<std::uint64_t> aligned((bytes.size() + 7) / 8);
  std::memcpy(aligned.data(), bytes.data(), bytes.size());
  const auto* begin = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(begin, bytes.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) return false;
  flatbuffers::GetRoot<Table>(begin)->UnPackTo(&into);
  return true;
}

}  // namespace marblehub::fleet
