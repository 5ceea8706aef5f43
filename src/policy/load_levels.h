/// Thresholds used by more than one component. A load is the requested work divided by the capacity, a delay
/// is a fraction of the latency objective.
#pragma once

namespace marblehub::policy {

/// Load below which a backend has headroom.
inline constexpr double kHeadroomLoad = 0.6;

/// Delay, as a part of the latency objective, from which connections may migrate to other backends.
inline constexpr double kMigrationThreshold = 0.8;

/// Maximum number of backends of mean scale used by one group.
inline constexpr double kMaxGroupBackends = 3;

/// Weight factor of a backend that an earlier attempt of the same request was sent to. It is chosen only if
/// no other backend is available.
inline constexpr double kTriedWeight = 1e-6;

}  // namespace marblehub::policy
