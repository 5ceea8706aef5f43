// The clock of the fleet, and numbers that grow from process to process.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/time.h"
#include "net/loop.h"

namespace marblehub::fleet {

// A number for this process that is above that of every earlier one of its name: by the clock, and where
// `data` names a folder also by what is kept there, for a clock that was put back. Throws
// StorageError where the folder cannot be written.
std::uint64_t new_incarnation(const std::string& data, Time now);

// The clock of the fleet: the loop's, and in test builds (MARBLEHUB_CHECKS) carried off by the microseconds
// in MARBLEHUB_CLOCK_OFFSET_US, or by those in the file named by MARBLEHUB_CLOCK_FILE, read every 50 ms.
Time fleet_clock(const net::Loop& loop);

}  // namespace marblehub::fleet
