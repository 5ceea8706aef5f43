#include "net/room.h"

#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <iterator>

#include "net/loop.h"

namespace marblehub::net {
namespace {

constexpr std::size_t kSpare = 4;  // files that are opened for a moment: a configuration, a log

// What is open beside the sockets that Fd counts.
std::size_t open_besides() {
  std::error_code error;
  std::filesystem::directory_iterator all("/proc/self/fd", error);
  auto open = error ? std::size_t{12} : static_cast<std::size_t>(std::distance(begin(all), end(all)));
  return open - std::min(open, Fd::in_use());
}

}  // namespace

Room::Room(std::int64_t most) : own_(open_besides() + kSpare) { limit(most); }

void Room::limit(std::int64_t most) {
  limit_ = static_cast<std::size_t>(std::max<std::int64_t>(most, 0));
  rlimit system{};
  if (getrlimit(RLIMIT_NOFILE, &system) != 0 || system.rlim_cur == RLIM_INFINITY) return;
  if (system.rlim_cur < limit_ && system.rlim_cur < system.rlim_max) {
    system.rlim_cur = std::min<rlim_t>(limit_, system.rlim_max);
    setrlimit(RLIMIT_NOFILE, &system);
  }
  limit_ = std::min<std::size_t>(limit_, system.rlim_cur);
}

std::size_t Room::left() const {
  std::size_t used = own_ + Fd::in_use();
  return used < limit_ ? limit_ - used : 0;
}

}  // namespace marblehub::net
