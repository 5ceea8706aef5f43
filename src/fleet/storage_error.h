/// The error that is thrown when stored data of the fleet (a voter's disk, a wallet's journal, the clock
/// file) cannot be opened or read.
#pragma once

#include <stdexcept>

namespace marblehub::fleet {

/// what() is one line that names the file and, where they are known, the offset or the entry.
class StorageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace marblehub::fleet
