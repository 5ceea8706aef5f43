// Short byte strings without heap allocation, for connection ids (at most 20 bytes; RFC 9000, 17.2), server
// ids (at most 15 bytes; draft-ietf-quic-load-balancers, section 3) and the keys of hash tables.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>

namespace marblehub::quic {

/// A byte string of at most N bytes that is stored inside the object.
template <std::size_t N>
class InlineBytes {
 public:
  InlineBytes() = default;
  /// Throws std::length_error for more than N bytes; callers check the lengths of untrusted input before.
  InlineBytes(std::string_view from) : size_(static_cast<std::uint8_t>(from.size())) {
    if (from.size() > N) throw std::length_error("byte string is longer than its fixed capacity");
    if (!from.empty()) std::memcpy(bytes_.data(), from.data(), from.size());
  }
  InlineBytes(const std::string& from) : InlineBytes(std::string_view(from)) {}
  InlineBytes(const char* from) : InlineBytes(std::string_view(from)) {}

  operator std::string_view() const { return {bytes_.data(), size_}; }
  std::string_view view() const { return {bytes_.data(), size_}; }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

  friend bool operator==(const InlineBytes& a, const InlineBytes& b) { return a.view() == b.view(); }
  friend bool operator==(const InlineBytes& a, std::string_view b) { return a.view() == b; }
  friend bool operator==(const InlineBytes& a, const char* b) { return a.view() == b; }
  friend bool operator==(const InlineBytes& a, const std::string& b) { return a.view() == b; }
  friend bool operator<(const InlineBytes& a, const InlineBytes& b) { return a.view() < b.view(); }

 private:
  std::array<char, N> bytes_{};
  std::uint8_t size_ = 0;
};

using ConnectionId = InlineBytes<20>;
using ServerId = InlineBytes<15>;

/// The seed of hash_bytes, drawn at random once in each process: without it, peers could choose connection
/// ids and addresses that collide in the hash tables.
std::uint64_t hash_secret();

/// XXH3 of the bytes, seeded with hash_secret().
inline std::size_t hash_bytes(std::string_view bytes) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), hash_secret());
}

/// Hash of byte strings for unordered containers with lookup by std::string_view.
struct BytesHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view bytes) const { return hash_bytes(bytes); }
};
/// Equality of byte strings for unordered containers with lookup by std::string_view.
struct BytesEqual {
  using is_transparent = void;
  bool operator()(std::string_view a, std::string_view b) const { return a == b; }
};

}  // namespace marblehub::quic
