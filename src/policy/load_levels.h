/// Load levels that more than one part of the policy decides by. A load is what is asked of a backend over
/// what it can do; a delay is a part of the latency objective.
#pragma once

namespace marblehub::policy {

/// Load up to which a backend counts as having headroom.
inline constexpr double kHeadroomLoad = 0.6;

/// Part of the latency objective from which a backend counts as filling up, and its connections may migrate.
inline constexpr double kMigrationThreshold = 0.8;

/// Backends of usual size that one group's connections keep to, at most.
inline constexpr double kMaxGroupBackends = 3;

/// Weight of a backend that an earlier attempt of the same request was sent to: chosen where nothing else is
/// left.
inline constexpr double kTriedWeight = 1e-6;

}  // namespace marblehub::policy
