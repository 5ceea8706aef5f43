#include <fmt/format.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "config/json.h"
#include "fleet/wallet/file_journal.h"

namespace marblehub::fleet {
namespace {

/// A temporary folder that is removed at the end of the test.
struct TempFolder {
  TempFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "walletXXXXXX").string();
    path = ::mkdtemp(name.data());
  }
  ~TempFolder() { std::filesystem::remove_all(path); }
  std::string file() const { return path + "/journal"; }
  std::string path;
};

std::string text(const TempFolder& folder) { return config::read_file(folder.file()).value_or(""); }
void put(const TempFolder& folder, const std::string& text) {
  std::ofstream(folder.file(), std::ios::trunc) << text;
}

}  // namespace

TEST_CASE("A journal loads the last line of each slice", "[wallet][journal]") {
  TempFolder folder;
  {
    FileJournal journal(folder.file());
    CHECK(journal.load().empty());
    journal.append({"a partner", "b1/1/1", 10});
    journal.append({"50% \n", "b1/1/2", 3});
    journal.append({"a partner", "b1/1/1", 20});
    for (int i = 0; i < 500 && journal.durable_lines() < 3; ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(journal.durable_lines() == 3);
    CHECK_THROWS_WITH(FileJournal(folder.file()), Catch::Matchers::EndsWith("in use by another process"));
  }
  FileJournal again(folder.file());
  auto lines = again.load();
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].wallet == "a partner");
  CHECK(lines[0].spent == 20);
  CHECK(lines[1].wallet == "50% \n");
  CHECK(again.durable_lines() == 0);
}

TEST_CASE("A last line torn at any byte is dropped, a damaged line is refused", "[wallet][journal]") {
  TempFolder folder;
  {
    FileJournal journal(folder.file());
    journal.append({"p", "s1", 1});
    journal.append({"p", "s2", 2});
  }
  std::string whole = text(folder);
  std::size_t first = whole.find('\n') + 1;
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    put(folder, whole.substr(0, cut));
    std::size_t kept = cut < first ? 0 : 1;
    {
      FileJournal journal(folder.file());
      CHECK(journal.load().size() == kept);
      journal.append({"p", "s3", 3});
    }
    FileJournal journal(folder.file());
    CHECK(journal.load().size() == kept + 1);
  }
  for (std::size_t at = 0; at < whole.size() - 1; ++at) {
    std::string flipped = whole;
    flipped[at] = static_cast<char>(flipped[at] ^ 1);
    if (flipped[at] == '\n' || whole[at] == '\n') continue;
    put(folder, flipped);
    INFO("byte " << at);
    CHECK_THROWS_WITH(FileJournal(folder.file()), folder.file() + ": line at offset " +
                                                      std::to_string(at < first ? 0 : first) + " is damaged");
  }
}

TEST_CASE("A journal stays within its bound and keeps the newest slices", "[wallet][journal]") {
  TempFolder folder;
  {
    FileJournal journal(folder.file(), 4096);
    for (int i = 0; i < 2000; ++i) {
      journal.append({"p", fmt::format("s{}", i / 2), i});
      if (i % 50 == 0)
        while (journal.durable_lines() < static_cast<std::uint64_t>(i)) std::this_thread::yield();
    }
  }
  CHECK(text(folder).size() <= 2 * 4096);
  FileJournal journal(folder.file(), 4096);
  auto lines = journal.load();
  REQUIRE_FALSE(lines.empty());
  CHECK(lines.back().slice == "s999");
  for (const auto& line : lines) CHECK(line.slice == fmt::format("s{}", line.spent / 2));
}

}  // namespace marblehub::fleet
