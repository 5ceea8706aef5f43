#include "core/effect_rules.h"

namespace marblehub::core {

using policy::DedupScope;
using policy::Repeat;

DedupGroup dedup_group_of(const WorkerDirectory& workers, const std::string& worker) {
  auto it = workers.workers().find(worker);
  if (it == workers.workers().end()) return {worker, "", -1};
  return {worker, it->second.zone, it->second.cell};
}

bool rejection_allowed(const policy::RequestClass& request_class, bool may_have_run) {
  if (!may_have_run || request_class.repeat == Repeat::safe) return true;
  return request_class.repeat == Repeat::keyed && request_class.dedup_scope == DedupScope::all;
}

bool repeat_allowed(const policy::RequestClass& request_class, const DedupGroup& first,
                    const DedupGroup& next) {
  if (request_class.repeat == Repeat::safe) return true;
  if (request_class.repeat == Repeat::unsafe) return false;
  if (request_class.dedup_scope == DedupScope::all) return true;
  if (request_class.dedup_scope == DedupScope::zone) return first.zone == next.zone;
  return first.cell == next.cell && (first.cell >= 0 || first.worker == next.worker);
}

}  // namespace marblehub::core
