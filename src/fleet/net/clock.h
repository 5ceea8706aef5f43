/// The clock of the fleet, and the incarnation numbers of its processes.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/time.h"
#include "net/loop.h"

namespace marblehub::fleet {

/// A number for this process that is above that of every earlier process of its name: the clock's, or one
/// above the last number stored in the folder `data` if the clock was set back. Empty `data`: the clock
/// alone. Throws StorageError if the folder cannot be read or written.
std::uint64_t new_incarnation(const std::string& data, Time now);

/// The event loop's clock. Test builds (MARBLEHUB_CHECKS) add the offset in microseconds from
/// MARBLEHUB_CLOCK_OFFSET_US, or from the file named by MARBLEHUB_CLOCK_FILE, which is read every 50 ms.
Time fleet_clock(const net::Loop& loop);

}  // namespace marblehub::fleet
