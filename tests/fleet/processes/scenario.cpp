#include "fleet/processes/scenario.h"

#include <sstream>

#include "fleet/processes/scenario_player.h"

namespace marblehub::test {

Verdict play(const std::string& text, const std::string& node, const std::string& whole) {
  ScenarioPlayer player(node, whole);
  std::istringstream lines(text);
  std::string line;
  int number = 0;
  try {
    while (std::getline(lines, line)) {
      ++number;
      player.line(line.substr(0, line.find('#')));
    }
  } catch (const std::exception& error) {
    player.verdict.good = false;
    player.verdict.why = "line " + std::to_string(number) + ": " + error.what();
    player.verdict.timeline = player.timeline();
  }
  return player.verdict;
}

}  // namespace marblehub::test
