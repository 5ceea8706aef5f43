// A member's copy of the log: in memory from `base` on, and written through to the disk before anything is
// answered that rests on it.
#pragma once

#include <deque>

#include "fleet/record/record.h"

namespace marblehub::fleet {

class Log {
 public:
  struct Entry {
    std::uint64_t term = 0;
    std::string octets;              // empty: a no-op
    std::optional<Command> command;  // decoded once
  };
  explicit Log(Disk* disk) : disk_(disk) {}
  void load(const Disk::Contents& contents);  // throws StorageError where an entry is no command

  std::uint64_t base() const { return base_; }  // the entry before the first in memory
  std::uint64_t last() const { return base_ + entries_.size(); }
  std::uint64_t last_term() const { return *term_at(last()); }
  std::optional<std::uint64_t> term_at(std::uint64_t index) const;  // none: not here, or below `base`
  const Entry& at(std::uint64_t index) const { return entries_[index - base_ - 1]; }
  // Of `entries`, what is not here yet replaces all that stands from there on. False: the disk took nothing
  // and nothing changed, or an entry is no command.
  bool append(const std::vector<Disk::Entry>& entries);

  // Voters by the newest ChangeVoters in the log; none: as the ledger has it.
  std::optional<std::pair<std::uint64_t, std::vector<std::string>>> voters() const;

  std::uint64_t snapshot_index() const { return snapshot_index_; }
  std::uint64_t snapshot_term() const { return snapshot_term_; }
  const std::string& snapshot() const { return snapshot_; }
  bool compact(std::uint64_t index, std::string ledger);                      // keeps a tail for those behind
  bool install(std::uint64_t index, std::uint64_t term, std::string ledger);  // the log begins anew there

 private:
  Disk* disk_;
  std::uint64_t base_ = 0, base_term_ = 0, snapshot_index_ = 0, snapshot_term_ = 0;
  std::string snapshot_;
  std::deque<Entry> entries_;
};

}  // namespace marblehub::fleet
