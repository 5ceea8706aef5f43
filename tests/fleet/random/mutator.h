// Random mutation of byte strings, for tests of decoders.
#pragma once

#include <algorithm>
#include <random>
#include <string>

namespace marblehub::fleet::fuzzing {

// Truncates, inserts, erases, flips and replaces bytes, and rarely extends the string to 64 KiB.
struct Mutator {
  std::mt19937_64 random;
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(random() % n); }
  // Applies one to four mutations, fewer when the string becomes empty.
  void mutate(std::string& bytes) {
    for (std::size_t changes = 1 + below(4); changes > 0 && !bytes.empty(); --changes) {
      const std::size_t at = below(bytes.size());
      switch (below(12)) {
        case 0:
          bytes.resize(at);
          break;
        case 1:
          bytes.insert(at, 1 + below(8), static_cast<char>(random()));
          break;
        case 2:
          bytes.erase(at, 1 + below(8));
          break;
        case 3:  // an integer at its limits
          for (std::size_t i = at; i < std::min(bytes.size(), at + 8); ++i)
            bytes[i] = static_cast<char>(i + 1 == at + 8 ? 0x7f + below(2) : 0xff);
          break;
        case 4:
        case 5:
        case 6:
          bytes[at] = static_cast<char>(bytes[at] ^ 1 << below(8));
          break;
        default:
          bytes[at] = static_cast<char>(random());
          break;
      }
    }
    if (below(2000) == 0) bytes.resize(65536, static_cast<char>(random()));
  }
};

}  // namespace marblehub::fleet::fuzzing
