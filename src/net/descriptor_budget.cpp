#include "net/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <iterator>

#include "net/stream.h"

namespace marblehub::net {
namespace {

constexpr std::size_t kTemporaryFiles = 2;  // opened briefly: a configuration, a log

// The number of open descriptors that Fd does not count; an estimate if /proc is not available.
std::size_t other_open_descriptors() {
  std::error_code error;
  std::filesystem::directory_iterator all("/proc/self/fd", error);
  auto open = error ? std::size_t{12} : static_cast<std::size_t>(std::distance(begin(all), end(all)));
  return open - std::min(open, Fd::in_use());
}

// Raises the soft RLIMIT_NOFILE towards `requested` and returns how many of these descriptors are allowed.
std::size_t allowed_by_system(std::size_t requested) {
  rlimit current{};
  if (getrlimit(RLIMIT_NOFILE, &current) != 0 || current.rlim_cur == RLIM_INFINITY) return requested;
  if (current.rlim_cur < requested && current.rlim_cur < current.rlim_max) {
    current.rlim_cur = std::min<rlim_t>(requested, current.rlim_max);
    setrlimit(RLIMIT_NOFILE, &current);
  }
  return std::min<std::size_t>(requested, current.rlim_cur);
}

}  // namespace

DescriptorBudget::DescriptorBudget(std::int64_t max_open)
    : reserved_(other_open_descriptors() + kTemporaryFiles + kRegistryReserve) {
  set_limit(max_open);
}

void DescriptorBudget::set_limit(std::int64_t max_open) {
  limit_ = allowed_by_system(static_cast<std::size_t>(std::max<std::int64_t>(max_open, 0)));
  Fd::set_max_open(limit_ - std::min(limit_, reserved_));
}

bool DescriptorBudget::is_low() const { return Fd::available() + Stream::lingering() <= limit_ / 8; }

bool DescriptorBudget::make_one_available() { return Fd::available() > 0 || Stream::reclaim(); }

}  // namespace marblehub::net
