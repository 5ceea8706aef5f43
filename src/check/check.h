// What must always hold, said where the state is. In test builds (MARBLEHUB_CHECKS) all of it is checked
// after every step and a broken one throws; in service only what is cheap is, and a broken one turns its part
// off, says so and leaves plain balancing running.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

namespace marblehub::check {

struct InvariantViolation : std::logic_error {
  InvariantViolation(const char* component, const std::string& what)
      : std::logic_error(std::string(component) + ": " + what), component(component) {}
  const char* component;
};

// The way out in service: called instead of throwing. Set once by main; in tests it stays empty.
inline std::function<void(const char* component, const std::string& what)> on_violation;

inline void report_violation(const char* component, const std::string& what) {
  if (!on_violation) throw InvariantViolation(component, what);
  on_violation(component, what);
}

}  // namespace marblehub::check

// Cheap: O(1), in service too.
#define MARBLEHUB_INVARIANT(component, condition, what)                      \
  do {                                                                       \
    if (!(condition)) ::marblehub::check::report_violation(component, what); \
  } while (false)

// Dear: walks the state; in test builds alone.
#ifdef MARBLEHUB_CHECKS
#define MARBLEHUB_DEBUG_INVARIANT(component, condition, what) MARBLEHUB_INVARIANT(component, condition, what)
#else
#define MARBLEHUB_DEBUG_INVARIANT(component, condition, what) \
  do {                                                        \
  } while (false)
#endif
