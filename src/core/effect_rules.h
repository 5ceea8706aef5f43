/// The rule against duplicated effects, as assertions on what leaves the dispatcher. They share no state with
/// the policy, which makes the decisions.
#pragma once

#include <string>

#include "core/worker_directory.h"
#include "marblehub/policy.h"

namespace marblehub::core {

/// The workers that deduplicate a request among each other, as listed when an attempt at one of them began.
struct DedupGroup {
  std::string worker, zone;
  std::int64_t cell = -1;  // -1: none
};

/// The group of a worker as it is listed now.
DedupGroup dedup_group_of(const WorkerDirectory& workers, const std::string& worker);

/// Whether a call of this class may be answered with a rejection, which tells its client that coming again
/// does no harm. `may_have_run`: an attempt may have been executed.
bool rejection_allowed(const policy::RequestClass& request_class, bool may_have_run);

/// Whether a call of this class may be sent to a worker of `next` after an attempt at one of `first` that may
/// have been executed.
bool repeat_allowed(const policy::RequestClass& request_class, const DedupGroup& first,
                    const DedupGroup& next);

}  // namespace marblehub::core
