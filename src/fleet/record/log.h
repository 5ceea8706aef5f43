/// A member's copy of the replicated log.
#pragma once

#include <deque>

#include "fleet/record/record.h"

namespace marblehub::fleet {

/// The entries after `base` in memory and the last snapshot. Changes are written to the disk, if there is
/// one, before they are visible here. Does not own the disk.
class Log {
 public:
  /// A log entry with its command in encoded and decoded form.
  struct Entry {
    std::uint64_t term = 0;
    std::string encoded;             ///< empty for a no-op
    std::optional<Command> command;  ///< none for a no-op
  };
  explicit Log(Disk* disk) : disk_(disk) {}
  /// Throws StorageError if an entry is not a valid command or the entries have a gap.
  void load(const Disk::Contents& contents);

  std::uint64_t base() const { return base_; }  ///< index before the first entry in memory
  std::uint64_t last() const { return base_ + entries_.size(); }
  std::uint64_t last_term() const { return *term_at(last()); }
  /// None if the index is below `base` or after the last entry.
  std::optional<std::uint64_t> term_at(std::uint64_t index) const;
  /// Requires base() < index <= last().
  const Entry& at(std::uint64_t index) const { return entries_[index - base_ - 1]; }
  /// Appends the entries that the log does not have, replacing all conflicting ones. Returns false, without a
  /// change, if the disk fails or an entry is not a valid command.
  bool append(const std::vector<Disk::Entry>& entries);

  /// Index and voters of the newest ChangeVoters in memory; none if the ledger's voters apply.
  std::optional<std::pair<std::uint64_t, std::vector<std::string>>> voters() const;

  std::uint64_t snapshot_index() const { return snapshot_index_; }
  std::uint64_t snapshot_term() const { return snapshot_term_; }
  const std::string& snapshot() const { return snapshot_; }
  /// Replaces the entries up to `index` by a snapshot. The newest of them stay in memory for slow followers.
  /// Returns false, without a change, if the disk fails.
  bool compact(std::uint64_t index, std::string ledger);
  /// Takes over a received snapshot. Entries after it stay only if the log contains its last entry.
  /// Returns false, without a change, if the disk fails.
  bool install(std::uint64_t index, std::uint64_t term, std::string ledger);

 private:
  Disk* disk_;
  std::uint64_t base_ = 0, base_term_ = 0, snapshot_index_ = 0, snapshot_term_ = 0;
  std::string snapshot_;
  std::deque<Entry> entries_;
};

}  // namespace marblehub::fleet
