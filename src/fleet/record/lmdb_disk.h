/// The disk of a voter in service: one LMDB file, `record.mdb`, in the settings' folder. Each call is synced,
/// and each record ends with its 64-bit FNV-1a hash.
#pragma once

#include "fleet/record/record.h"

struct MDB_env;
struct MDB_txn;

namespace marblehub::fleet {

/// Owns the file and a lock on `record.lock`. Each store function is one transaction: if the disk or the map
/// is full or a write fails, it returns false and nothing has changed. Damage to LMDB's own pages is detected
/// only where LMDB notices it.
class LmdbDisk : public Disk {
 public:
  /// Throws StorageError with path and reason if the folder is missing, not writable or not a folder, or if
  /// another process holds the lock.
  explicit LmdbDisk(const std::string& folder, std::size_t map_bytes = std::size_t{1} << 28);
  ~LmdbDisk() override;
  LmdbDisk(const LmdbDisk&) = delete;
  LmdbDisk& operator=(const LmdbDisk&) = delete;

  bool store_voting_state(const VotingState& state) override;
  bool append(const std::vector<Entry>& entries) override;
  bool store_snapshot(std::uint64_t index, std::uint64_t term, const std::string& ledger) override;
  /// Also throws StorageError if a log entry is missing.
  Contents load() override;

 private:
  template <class Change>
  bool write(Change&& change);  // runs `change` in a transaction
  std::string file_;
  int lock_ = -1;
  MDB_env* env_ = nullptr;
  unsigned table_ = 0;
};

}  // namespace marblehub::fleet
