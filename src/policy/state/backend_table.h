/// All backends that have appeared in the endpoint list. It never shrinks, so that indexes stay valid.
#pragma once

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/state/backend.h"

namespace marblehub::policy {

/// Index that stands for no backend.
inline constexpr int kNoBackend = -1;

/// Maps addresses to backends. Backends are never removed, so an index stays valid for the lifetime of the
/// balancer.
class BackendTable {
 public:
  /// Returns the index of the backend, or kNoBackend.
  int find(const std::string& address) const {
    auto it = index_.find(address);
    return it == index_.end() ? kNoBackend : it->second;
  }

  /// Returns the backend with this address, and whether the call has added it. The pointer is valid until the
  /// next call.
  std::pair<Backend*, bool> find_or_add(const std::string& address) {
    auto [it, added] = index_.try_emplace(address, static_cast<int>(backends_.size()));
    if (added) {
      all_.push_back(it->second);
      backends_.emplace_back();
      backends_.back().address = address;
      backends_.back().hash = mix_bits(name_hash(address));
    }
    return {&backends_[static_cast<std::size_t>(it->second)], added};
  }

  Backend& operator[](int index) { return backends_[static_cast<std::size_t>(index)]; }
  const Backend& operator[](int index) const { return backends_[static_cast<std::size_t>(index)]; }
  std::size_t size() const { return backends_.size(); }
  auto begin() { return backends_.begin(); }
  auto begin() const { return backends_.begin(); }
  auto end() { return backends_.end(); }
  auto end() const { return backends_.end(); }

  /// Indices of all backends.
  const std::vector<int>& all() const { return all_; }

  /// Indices of the backends in the sample. The order is unspecified, and selection may change it.
  std::vector<int>& sampled() { return sampled_; }

  /// Addresses of the listed backends that are marked down.
  std::vector<std::string> down_backends() const {
    std::vector<std::string> addresses;
    for (const Backend& backend : backends_)
      if (backend.listed && backend.down) addresses.push_back(backend.address);
    return addresses;
  }

 private:
  std::vector<Backend> backends_;
  std::unordered_map<std::string, int> index_;
  std::vector<int> all_, sampled_;
};

}  // namespace marblehub::policy
