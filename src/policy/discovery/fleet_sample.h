/// Subsetting: the part of a large fleet that this balancer uses.
#pragma once

#include "marblehub/policy.h"
#include "policy/state/backend_table.h"

namespace marblehub::policy {

/// Selects the sample of this balancer: sets Backend::sampled and fills BackendTable::sampled. The sample
/// holds the same fraction of every zone and is shifted by a fixed step per balancer, so that every backend
/// is in about the same number of samples. With few balancers, or with groups, all listed backends are
/// sampled.
void choose_sample(const Settings& settings, BackendTable& backends);

}  // namespace marblehub::policy
