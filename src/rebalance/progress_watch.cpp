#include "rebalance/progress_watch.h"

#include <algorithm>

namespace marblehub::rebalance {
namespace {

constexpr double kNarrowed = 0.9;  // the gap must have come down to this part of what it was
constexpr int kMostDoublings = 4;  // of the rest after fruitless tries

}  // namespace

bool ProgressWatch::may_go_on(double gap, Time timeout, Time now) {
  if (now < rest_until_) return false;
  if (since_ < 0) since_ = now;
  // A gap that opened after the watch began, as new workers report, is what the moves are measured by.
  gap_ = std::max(gap_, gap);
  if (now - since_ < timeout) return true;
  const bool tried = moves_ > 0;
  const bool narrowed = gap <= gap_ * kNarrowed;
  since_ = now;
  gap_ = gap;
  moves_ = 0;
  if (!tried) return true;
  if (narrowed) {
    fruitless_ = 0;
    return true;
  }
  rest_until_ = now + timeout * (Time{1} << std::min(fruitless_, kMostDoublings));
  fruitless_ += 1;
  return false;
}

}  // namespace marblehub::rebalance
