/// Invariants, checked where the state is kept. Builds with MARBLEHUB_CHECKS (the test builds) check all of
/// them after every step and throw on a violation. Service builds check only the cheap ones; a violation is
/// logged and turns off its component, and plain load balancing continues.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

namespace marblehub::check {

/// Thrown on a violated invariant while no handler is set. `component` is a string literal.
struct InvariantViolation : std::logic_error {
  InvariantViolation(const char* component, const std::string& what)
      : std::logic_error(std::string(component) + ": " + what), component(component) {}
  const char* component;
};

/// The handler that is called instead of throwing. Set while the service runs; empty in tests.
inline std::function<void(const char* component, const std::string& what)> on_violation;

/// Passes a violation to `on_violation`. Throws InvariantViolation where that is empty.
inline void report_violation(const char* component, const std::string& what) {
  if (!on_violation) throw InvariantViolation(component, what);
  on_violation(component, what);
}

}  // namespace marblehub::check

/// Checks an invariant in every build. The condition must be O(1).
#define MARBLEHUB_INVARIANT(component, condition, what)                      \
  do {                                                                       \
    if (!(condition)) ::marblehub::check::report_violation(component, what); \
  } while (false)

/// Checks an invariant whose condition is expensive, such as one that iterates over the state. In builds
/// without MARBLEHUB_CHECKS the condition is not evaluated.
#ifdef MARBLEHUB_CHECKS
#define MARBLEHUB_DEBUG_INVARIANT(component, condition, what) MARBLEHUB_INVARIANT(component, condition, what)
#else
#define MARBLEHUB_DEBUG_INVARIANT(component, condition, what) \
  do {                                                        \
  } while (false)
#endif
