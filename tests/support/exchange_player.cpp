#include "support/exchange_player.h"

#include <fstream>

#include "support/exchange/player.h"

namespace marblehub::test {

void play_exchange(const std::filesystem::path& path) {
  ExchangePlayer player;
  std::ifstream file(path);
  REQUIRE(file);
  std::string text;
  for (int line = 1; std::getline(file, text); ++line) {
    if (text.empty() || text[0] == '#') continue;
    INFO(path.filename().string() << " line " << line << ": " << text);
    player.step(text);
  }
}

}  // namespace marblehub::test
