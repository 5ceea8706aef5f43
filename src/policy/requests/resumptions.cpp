#include "policy/requests/resumptions.h"

#include <utility>

namespace marblehub::policy {
namespace {

constexpr int kMaxAttempts = 4;
constexpr Time kRetryDelay = 300 * kMillisecond;

}  // namespace

void Resumptions::add(std::uint64_t id, std::string backend, Time patience) {
  Time unlisted_until = context_.now + (patience > 0 ? patience : kAttemptTime);
  pending_[id] = {std::move(backend), context_.now, unlisted_until};
}

int Resumptions::backend_of(std::uint64_t id) const {
  auto it = pending_.find(id);
  return it == pending_.end() ? kNoBackend : backends_.find(it->second.backend);
}

// The list that was cached before the start may lack a backend that discovery knows, so a current one is
// requested before an unlisted backend is given up.
Resumptions::Step Resumptions::next_step(std::uint64_t id, int attempts) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return Step::give_up;
  const Pending& pending = it->second;
  if (backends_.find(pending.backend) == kNoBackend) {
    if (endpoints_.is_confirmed() || context_.now >= pending.unlisted_until) return Step::give_up;
    endpoints_.request_first_list();
    return Step::wait;
  }
  // The backend may have another address by now.
  if (endpoints_.state() == EndpointListState::unconfirmed) return Step::wait;
  if (attempts >= kMaxAttempts) return Step::give_up;
  return context_.now >= pending.next_attempt_at ? Step::submit : Step::wait;
}

void Resumptions::attempt_failed(std::uint64_t id) {
  auto it = pending_.find(id);
  if (it != pending_.end()) it->second.next_attempt_at = context_.now + kRetryDelay;
}

}  // namespace marblehub::policy
