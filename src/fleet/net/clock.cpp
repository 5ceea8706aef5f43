#include "fleet/net/clock.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "fleet/storage_error.h"

namespace marblehub::fleet {
namespace {

#ifdef MARBLEHUB_CHECKS
Time test_offset(Time now) {
  static Time offset = 0, read_at = 0;
  if (read_at != 0 && now - read_at < 50 * kMillisecond) return offset;
  read_at = now;
  if (const char* text = std::getenv("MARBLEHUB_CLOCK_OFFSET_US")) offset = std::atoll(text);
  if (const char* file = std::getenv("MARBLEHUB_CLOCK_FILE"))
    if (Time read = 0; std::ifstream(file) >> read) offset = read;
  return offset;
}
#endif

}  // namespace

std::uint64_t new_incarnation(const std::string& data, Time now) {
  auto incarnation = static_cast<std::uint64_t>(now);
  if (data.empty()) return incarnation;
  const std::string file = data + "/incarnation", next = file + ".next";
  std::uint64_t last = 0;
  if (std::ifstream in(file); in && !(in >> last))
    throw StorageError(file + ": expected a number; remove the file if this voter is new");
  incarnation = std::max(incarnation, last + 1);
  std::ofstream out(next);
  out << incarnation << '\n';
  out.close();
  std::error_code error;
  std::filesystem::rename(next, file, error);
  if (!out || error) throw StorageError(file + ": cannot be written");
  return incarnation;
}

Time fleet_clock(const net::Loop& loop) {
  Time now = loop.now();
#ifdef MARBLEHUB_CHECKS
  now += test_offset(now);
#endif
  return now;
}

}  // namespace marblehub::fleet
