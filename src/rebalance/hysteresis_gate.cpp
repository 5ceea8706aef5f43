#include "rebalance/hysteresis_gate.h"

namespace marblehub::rebalance {
namespace {

constexpr Time kReopenDelay = 10'000'000;

}  // namespace

void HysteresisGate::update(bool close, bool clear, Time now) {
  if (close) closed_ = true;
  if (!closed_ || !clear) {
    clear_since_ = -1;
    return;
  }
  if (clear_since_ < 0) clear_since_ = now;
  if (now - clear_since_ >= kReopenDelay) closed_ = false;
}

}  // namespace marblehub::rebalance
