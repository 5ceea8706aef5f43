#include "rebalance/progress_watch.h"

#include <algorithm>

namespace marblehub::rebalance {
namespace {

constexpr double kProgressRatio = 0.9;  // the gap must shrink to this share of its maximum
constexpr int kMaxDoublings = 4;        // of the pause

}  // namespace

bool ProgressWatch::allows_moves(double gap, Time timeout, Time now) {
  if (now < paused_until_) return false;
  if (period_start_ < 0) period_start_ = now;
  // The gap may widen during a period, for example as new workers report; progress is measured from the
  // widest.
  max_gap_ = std::max(max_gap_, gap);
  if (now - period_start_ < timeout) return true;
  const bool tried = moves_ > 0;
  const bool narrowed = gap <= max_gap_ * kProgressRatio;
  period_start_ = now;
  max_gap_ = gap;
  moves_ = 0;
  if (!tried) return true;
  if (narrowed) {
    failed_periods_ = 0;
    return true;
  }
  paused_until_ = now + timeout * (Time{1} << std::min(failed_periods_, kMaxDoublings));
  failed_periods_ += 1;
  return false;
}

}  // namespace marblehub::rebalance
