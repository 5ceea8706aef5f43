/// A disk in memory, for tests.
#pragma once

#include <algorithm>

#include "fleet/record/record.h"

namespace marblehub::fleet {

/// Keeps its contents across restarts of a Record. A lost disk is simulated by a new object, an outdated disk
/// by a copy.
class MemoryDisk : public Disk {
 public:
  bool full = false;  ///< if set, every store function fails
  bool store_voting_state(const VotingState& state) override {
    if (full) return false;
    contents_.empty = false;
    contents_.voting = state;
    return true;
  }
  bool append(const std::vector<Entry>& entries) override {
    if (full) return false;
    contents_.empty = false;
    std::erase_if(contents_.entries, [&](const Entry& e) { return e.index >= entries.front().index; });
    contents_.entries.insert(contents_.entries.end(), entries.begin(), entries.end());
    return true;
  }
  bool store_snapshot(std::uint64_t index, std::uint64_t term, const std::string& ledger) override {
    if (full) return false;
    contents_.empty = false;
    // Later entries are kept only if the log contains the snapshot's last entry.
    const auto found =
        std::ranges::find_if(contents_.entries, [&](const Entry& e) { return e.index == index; });
    const bool keep = found != contents_.entries.end() && found->term == term;
    std::erase_if(contents_.entries, [&](const Entry& e) { return !keep || e.index <= index; });
    contents_.snapshot_index = index;
    contents_.snapshot_term = term;
    contents_.snapshot = ledger;
    return true;
  }
  Contents load() override { return contents_; }
  const Contents& contents() const { return contents_; }

 private:
  Contents contents_;
};

}  // namespace marblehub::fleet
