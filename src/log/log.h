/// Writes log messages to standard error, one per line.
#pragma once

#include <fmt/format.h>

#include <cstdio>

namespace marblehub::log {

/// Severity, in ascending order.
enum class Level { debug, info, warning, error };

/// Messages below this level are dropped.
inline Level threshold = Level::info;

template <class... Args>
void write(Level level, fmt::format_string<Args...> text, Args&&... args) {
  static constexpr const char* names[] = {"debug", "info", "warning", "error"};
  if (level < threshold) return;
  fmt::print(stderr, "{} {}\n", names[static_cast<int>(level)],
             fmt::format(text, std::forward<Args>(args)...));
}
template <class... Args>
void debug(fmt::format_string<Args...> text, Args&&... args) {
  write(Level::debug, text, std::forward<Args>(args)...);
}
template <class... Args>
void info(fmt::format_string<Args...> text, Args&&... args) {
  write(Level::info, text, std::forward<Args>(args)...);
}
template <class... Args>
void warning(fmt::format_string<Args...> text, Args&&... args) {
  write(Level::warning, text, std::forward<Args>(args)...);
}
template <class... Args>
void error(fmt::format_string<Args...> text, Args&&... args) {
  write(Level::error, text, std::forward<Args>(args)...);
}

}  // namespace marblehub::log
