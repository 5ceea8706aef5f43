#include "fleet/processes/scenario.h"

#include <sstream>

#include "fleet/processes/scenario_player.h"

namespace marblehub::test {

ScenarioResult play_scenario(const std::string& text, const std::string& node_program,
                             const std::string& balancer_program) {
  ScenarioPlayer player(node_program, balancer_program);
  std::istringstream lines(text);
  std::string line;
  int number = 0;
  try {
    while (std::getline(lines, line)) {
      ++number;
      player.play_line(line.substr(0, line.find('#')));
    }
  } catch (const std::exception& error) {
    player.result.passed = false;
    player.result.why = "line " + std::to_string(number) + ": " + error.what();
    player.result.timeline = player.timeline();
  }
  return player.result;
}

}  // namespace marblehub::test
