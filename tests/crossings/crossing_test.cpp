// Plays the crossing that the variable CROSSING names; ctest starts this once for each file of the folder.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "support/exchange_player.h"

TEST_CASE("crossing") {
  const char* file = std::getenv("CROSSING");
  REQUIRE(file != nullptr);
  marblehub::test::play_exchange(file);
}
