#include "fleet/record/log.h"

#include <stdexcept>

#include "fleet/storage_error.h"

namespace marblehub::fleet {
namespace {

constexpr std::uint64_t kTail = 128;  // entries before a snapshot that stay in memory for slow followers

bool decode_entry(const Disk::Entry& entry, Log::Entry& into) {
  into.term = entry.term;
  into.encoded = entry.command;
  if (entry.command.empty()) return true;
  return decode(entry.command, into.command.emplace());
}

}  // namespace

void Log::load(const Disk::Contents& contents) {
  base_ = snapshot_index_ = contents.snapshot_index;
  base_term_ = snapshot_term_ = contents.snapshot_term;
  snapshot_ = contents.snapshot;
  for (const Disk::Entry& entry : contents.entries) {
    if (entry.index <= base_) continue;
    if (entry.index != last() + 1 || !decode_entry(entry, entries_.emplace_back()))
      throw StorageError("record: entry " + std::to_string(entry.index) +
                         " on disk is not a valid command or does not follow entry " +
                         std::to_string(last()));
  }
}

std::optional<std::uint64_t> Log::term_at(std::uint64_t index) const {
  if (index == base_) return base_term_;
  if (index < base_ || index > last()) return std::nullopt;
  return at(index).term;
}

bool Log::append(const std::vector<Disk::Entry>& entries) {
  std::size_t first = 0;
  while (first < entries.size() && (entries[first].index <= base_ ||
                                    term_at(entries[first].index) == std::optional(entries[first].term)))
    ++first;
  if (first == entries.size()) return true;
  std::deque<Entry> added;
  std::vector<Disk::Entry> missing(entries.begin() + static_cast<std::ptrdiff_t>(first), entries.end());
  for (std::size_t i = 0; i < missing.size(); ++i)
    if (missing[i].index != missing[0].index + i || !decode_entry(missing[i], added.emplace_back()))
      return false;
  if (missing[0].index > last() + 1) return false;
  if (disk_ != nullptr && !disk_->append(missing)) return false;
  entries_.resize(missing[0].index - base_ - 1);
  for (Entry& entry : added) entries_.push_back(std::move(entry));
  return true;
}

std::optional<std::pair<std::uint64_t, std::vector<std::string>>> Log::voters() const {
  for (std::uint64_t index = last(); index > base_; --index) {
    const auto& command = at(index).command;
    if (!command) continue;
    const auto* change = std::get_if<ChangeVoters>(&command->body);
    if (change != nullptr && !change->voters.empty()) return std::pair{index, change->voters};
  }
  return std::nullopt;
}

bool Log::compact(std::uint64_t index, std::string ledger) {
  const std::uint64_t term = *term_at(index);
  if (disk_ != nullptr && !disk_->store_snapshot(index, term, ledger)) return false;
  snapshot_index_ = index;
  snapshot_term_ = term;
  snapshot_ = std::move(ledger);
  while (base_ + kTail < index) {
    base_term_ = entries_.front().term;
    entries_.pop_front();
    ++base_;
  }
  return true;
}

bool Log::install(std::uint64_t index, std::uint64_t term, std::string ledger) {
  if (disk_ != nullptr && !disk_->store_snapshot(index, term, ledger)) return false;
  snapshot_index_ = index;
  snapshot_term_ = term;
  snapshot_ = std::move(ledger);
  if (term_at(index) == std::optional(term)) return true;  // the entries after it stay
  entries_.clear();
  base_ = index;
  base_term_ = term;
  return true;
}

}  // namespace marblehub::fleet
