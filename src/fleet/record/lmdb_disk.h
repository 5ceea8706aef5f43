// A voter's disk in service: one LMDB file, `record.mdb` in the settings' folder, synced at each call, a
// 64-bit FNV-1a behind each record.
//
// Outcomes: the folder missing, not writable or no folder, or held by another process: the constructor throws
// StorageError with the path and why. Disk or map full, or an input/output error while writing: the
// call returns false and nothing of it is kept. A record whose hash is off, or one missing between others:
// load throws with file, offset and key. Damage to LMDB's own pages is refused where LMDB notices it.
#pragma once

#include "fleet/record/record.h"

struct MDB_env;
struct MDB_txn;

namespace marblehub::fleet {

class LmdbDisk : public Disk {
 public:
  explicit LmdbDisk(const std::string& folder, std::size_t map_octets = std::size_t{1} << 28);
  ~LmdbDisk() override;
  LmdbDisk(const LmdbDisk&) = delete;
  LmdbDisk& operator=(const LmdbDisk&) = delete;

  bool store_voting_state(const VotingState& state) override;
  bool append(const std::vector<Entry>& entries) override;
  bool store_snapshot(std::uint64_t index, std::uint64_t term, const std::string& ledger) override;
  Contents load() override;

 private:
  template <class Change>
  bool write(Change&& change);  // all of it or nothing
  std::string file_;
  int lock_ = -1;
  MDB_env* env_ = nullptr;
  unsigned table_ = 0;
};

}  // namespace marblehub::fleet
