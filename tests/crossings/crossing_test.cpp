// Plays the script named by the environment variable CROSSING; ctest runs this once for each script in the
// folder.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "support/exchange_player.h"

TEST_CASE("crossing") {
  const char* file = std::getenv("CROSSING");
  REQUIRE(file != nullptr);
  marblehub::test::play_exchange(file);
}
