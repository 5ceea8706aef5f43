/// What keeps the fleet's stored data (a voter's disk, a wallet's journal, the clock's file) from being
/// opened or read.
#pragma once

#include <stdexcept>

namespace marblehub::fleet {

/// what() is one plain line that names the file and, where one is at fault, the offset or entry.
class StorageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace marblehub::fleet
