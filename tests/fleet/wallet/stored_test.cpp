// Data stored by an earlier version stays readable: tests/fleet/stored holds a voter's disk and a wallet's
// journal written by the version of 2026-12-02.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "fleet/record/command.h"
#include "fleet/record/lmdb_disk.h"
#include "fleet/wallet/file_journal.h"

namespace marblehub::fleet {
namespace {

/// A copy of the stored files, since opening them may write.
struct StoredFiles {
  StoredFiles() {
    std::string name = (std::filesystem::temp_directory_path() / "storedXXXXXX").string();
    path = ::mkdtemp(name.data());
    for (const char* file : {"record.mdb", "journal"})
      std::filesystem::copy_file(std::filesystem::path(MARBLEHUB_SOURCE "/tests/fleet/stored") / file,
                                 std::filesystem::path(path) / file);
  }
  ~StoredFiles() { std::filesystem::remove_all(path); }
  std::string path;
};

}  // namespace

TEST_CASE("a voter's disk written by an earlier version is read unchanged", "[stored]") {
  StoredFiles stored;
  LmdbDisk disk(stored.path);
  const Disk::Contents kept = disk.load();
  CHECK_FALSE(kept.empty);
  CHECK(kept.voting.term == 7);
  CHECK(kept.voting.voted_for == "b2");
  CHECK_FALSE(kept.voting.excluded);
  CHECK(kept.voting.readmit_after == 3);
  CHECK(kept.snapshot_index == 2);
  CHECK(kept.snapshot_term == 5);
  CHECK(kept.snapshot == "a ledger of the landed version");
  REQUIRE(kept.entries.size() == 2);
  CHECK(kept.entries[0].index == 3);
  CHECK(kept.entries[0].term == 6);
  CHECK(kept.entries[1].index == 4);
  CHECK(kept.entries[1].command.empty());
  Command command;
  REQUIRE(decode(kept.entries[0].command, command));
  CHECK(command.id == CommandId{"b1", 5, 1});
  const auto* deposit = std::get_if<Deposit>(&command.body);
  REQUIRE(deposit);
  CHECK(deposit->wallet == "w");
  CHECK(deposit->deposit == "d-1");
  CHECK(deposit->amount == 40);
  CHECK(disk.append({{5, 7, "further"}}));  // the log continues after the stored entries
  CHECK(disk.load().entries.size() == 3);
}

TEST_CASE("a wallet's journal written by an earlier version is read unchanged", "[stored]") {
  StoredFiles stored;
  FileJournal journal(stored.path + "/journal");
  const auto lines = journal.load();
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].wallet == "a partner");
  CHECK(lines[0].slice == "b1/1/1");
  CHECK(lines[0].spent == 20);
  CHECK(lines[1].wallet == "50% \n");
  CHECK(lines[1].slice == "b1/1/2");
  CHECK(lines[1].spent == 3);
}

}  // namespace marblehub::fleet
