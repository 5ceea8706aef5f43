// A disk in memory, with the faults that disks have. Restarting a voter is making a new Record on it; losing
// the disk is making it anew; an old copy is a copy of it.
#pragma once

#include <algorithm>

#include "fleet/record/record.h"

namespace marblehub::fleet {

class MemoryDisk : public Disk {
 public:
  bool full = false;
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
    // Entries after it follow it only where it is of the same log.
    const auto same =
        std::ranges::find_if(contents_.entries, [&](const Entry& e) { return e.index == index; });
    const bool follow = same != contents_.entries.end() && same->term == term;
    std::erase_if(contents_.entries, [&](const Entry& e) { return !follow || e.index <= index; });
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
