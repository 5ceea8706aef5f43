// MemoryDisk and LmdbDisk have the same contract; LmdbDisk detects faults of its file.
#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>

#include "fleet/record/lmdb_disk.h"
#include "fleet/record/memory_disk.h"

using namespace marblehub::fleet;
namespace fs = std::filesystem;

namespace {

/// A temporary folder.
struct Folder {
  Folder() {
    char name[] = "/tmp/marblehub-record-XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() { fs::remove_all(path); }
  std::string path;
};

void check_equal(const Disk::Contents& a, const Disk::Contents& b) {
  CHECK(a.empty == b.empty);
  CHECK(a.voting.term == b.voting.term);
  CHECK(a.voting.voted_for == b.voting.voted_for);
  CHECK(a.voting.excluded == b.voting.excluded);
  CHECK(a.voting.readmit_after == b.voting.readmit_after);
  CHECK(a.snapshot_index == b.snapshot_index);
  CHECK(a.snapshot_term == b.snapshot_term);
  CHECK(a.snapshot == b.snapshot);
  REQUIRE(a.entries.size() == b.entries.size());
  for (std::size_t i = 0; i < a.entries.size(); ++i) {
    CHECK(a.entries[i].index == b.entries[i].index);
    CHECK(a.entries[i].term == b.entries[i].term);
    CHECK(a.entries[i].command == b.entries[i].command);
  }
}

}  // namespace

TEST_CASE("LmdbDisk and MemoryDisk hold the same after random calls and reopening") {
  Folder folder;
  auto disk = std::make_unique<LmdbDisk>(folder.path);
  MemoryDisk memory;
  CHECK(disk->load().empty);
  std::mt19937_64 random(3);
  std::uint64_t last = 0, base = 0, term = 1;
  for (int step = 0; step < 120; ++step) {
    switch (random() % 4) {
      case 0: {
        const Disk::VotingState voting{++term, "v" + std::to_string(random() % 3), random() % 2 == 0,
                                       random() % 9};
        CHECK(disk->store_voting_state(voting) == memory.store_voting_state(voting));
        break;
      }
      case 1:
        if (last > base) {
          base += 1 + random() % (last - base);
          const std::uint64_t snapshot_term = random() % 4 == 0 ? 99 : 1;
          const std::string ledger(random() % 9000, 'l');
          CHECK(disk->store_snapshot(base, snapshot_term, ledger) ==
                memory.store_snapshot(base, snapshot_term, ledger));
          last = memory.contents().entries.empty() ? base : memory.contents().entries.back().index;
        }
        break;
      default: {
        std::vector<Disk::Entry> entries;
        std::uint64_t index = last > base ? base + 1 + random() % (last - base + 1) : last + 1;
        for (int i = 0; i < 3; ++i, ++index)
          entries.push_back({index, 1 + random() % 2 * 98, std::string(random() % 5000, 'c')});
        CHECK(disk->append(entries) == memory.append(entries));
        last = index - 1;
      }
    }
    if (step % 40 == 0) {
      disk.reset();
      disk = std::make_unique<LmdbDisk>(folder.path);
    }
    check_equal(disk->load(), memory.load());
  }
}

TEST_CASE("a corrupted byte is reported with file and offset") {
  Folder folder;
  const std::string command = "the command that is flipped";
  {
    LmdbDisk disk(folder.path);
    REQUIRE(disk.append({{1, 1, "first"}, {2, 1, command}, {3, 1, std::string(9000, 'x')}}));
  }
  std::fstream file(folder.path + "/record.mdb", std::ios::in | std::ios::out | std::ios::binary);
  std::string contents((std::istreambuf_iterator<char>(file)), {});
  for (const std::string& what : {command, std::string(9000, 'x')}) {
    const std::size_t at = contents.rfind(what);
    REQUIRE(at != std::string::npos);
    file.clear();
    file.seekp(static_cast<std::streamoff>(at + 4));
    file.put('!').flush();
    std::string why;
    try {
      LmdbDisk(folder.path).load();
    } catch (const std::runtime_error& error) {
      why = error.what();
    }
    // A record begins with its term, eight bytes before the command.
    CHECK(why == "record: " + folder.path + "/record.mdb at offset " + std::to_string(at - 8) +
                     ": a record is corrupted");
    file.seekp(static_cast<std::streamoff>(at + 4));
    file.put(what[4]).flush();
  }
  CHECK(LmdbDisk(folder.path).load().entries.size() == 3);
}

TEST_CASE("a full disk keeps its contents, and an unusable folder is reported") {
  Folder folder;
  {
    LmdbDisk disk(folder.path, 256 * 1024);
    REQUIRE(disk.append({{1, 1, "first"}}));
    CHECK_FALSE(disk.append({{2, 1, std::string(300 * 1024, 'x')}}));
    CHECK(disk.load().entries.size() == 1);
    CHECK(disk.store_voting_state({4, "v1", false, 0}));
    CHECK_THROWS_WITH(LmdbDisk(folder.path),
                      "record: " + folder.path + "/record.lock is held by another process");
  }
  CHECK(LmdbDisk(folder.path).load().voting.term == 4);
  CHECK_THROWS_WITH(
      LmdbDisk(folder.path + "/none"),
      "record: " + folder.path + "/none/record.lock cannot be opened: No such file or directory");
  if (geteuid() != 0) {  // root may write everywhere
    fs::permissions(folder.path, fs::perms::owner_read | fs::perms::owner_exec);
    fs::remove(folder.path + "/record.lock");
    CHECK_THROWS(LmdbDisk(folder.path));
    fs::permissions(folder.path, fs::perms::owner_all);
  }
  std::ofstream(folder.path + "/record.mdb", std::ios::trunc) << std::string(8192, 'j');
  CHECK_THROWS_WITH(LmdbDisk(folder.path), Catch::Contains("record.mdb cannot be opened"));
}
