#include "rebalance/hysteresis_gate.h"

namespace marblehub::rebalance {
namespace {

constexpr Time kReopensAfter = 10'000'000;

}  // namespace

void HysteresisGate::update(bool bad, bool well, Time now) {
  if (bad) shut_ = true;
  if (!shut_ || !well) {
    well_since_ = -1;
    return;
  }
  if (well_since_ < 0) well_since_ = now;
  if (now - well_since_ >= kReopensAfter) shut_ = false;
}

}  // namespace marblehub::rebalance
