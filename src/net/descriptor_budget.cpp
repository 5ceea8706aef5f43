#include "net/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <iterator>

#include "net/stream.h"

namespace marblehub::net {
namespace {

constexpr std::size_t kFiles = 2;  // opened for a moment: a configuration, a log

// What is open beside the sockets that Fd counts.
std::size_t open_besides() {
  std::error_code error;
  std::filesystem::directory_iterator all("/proc/self/fd", error);
  auto open = error ? std::size_t{12} : static_cast<std::size_t>(std::distance(begin(all), end(all)));
  return open - std::min(open, Fd::in_use());
}

// So many of `wanted` as the system allows, which is asked for more where it allows fewer for now.
std::size_t allowed_by_system(std::size_t wanted) {
  rlimit system{};
  if (getrlimit(RLIMIT_NOFILE, &system) != 0 || system.rlim_cur == RLIM_INFINITY) return wanted;
  if (system.rlim_cur < wanted && system.rlim_cur < system.rlim_max) {
    system.rlim_cur = std::min<rlim_t>(wanted, system.rlim_max);
    setrlimit(RLIMIT_NOFILE, &system);
  }
  return std::min<std::size_t>(wanted, system.rlim_cur);
}

}  // namespace

DescriptorBudget::DescriptorBudget(std::int64_t most) : own_(open_besides() + kFiles + kRegistryReserve) {
  set_limit(most);
}

void DescriptorBudget::set_limit(std::int64_t most) {
  limit_ = allowed_by_system(static_cast<std::size_t>(std::max<std::int64_t>(most, 0)));
  Fd::allow(limit_ - std::min(limit_, own_));
}

bool DescriptorBudget::is_low() const { return Fd::left() + Stream::lingering() <= limit_ / 8; }

bool DescriptorBudget::make_one_available() { return Fd::left() > 0 || Stream::reclaim(); }

}  // namespace marblehub::net
