/// Which part of a big fleet this balancer uses.
#pragma once

#include "marblehub/policy.h"
#include "policy/state/backend_table.h"

namespace marblehub::policy {

/// Marks the backends of this balancer's sample and lists them in BackendTable::sampled. With many balancers
/// each uses only a sample of a big fleet: the same part of every zone, and a step further than the balancer
/// before, so that every backend is in equally many samples. Where there are groups, all listed backends are
/// sampled.
void choose_sample(const Settings& settings, BackendTable& backends);

}  // namespace marblehub::policy
