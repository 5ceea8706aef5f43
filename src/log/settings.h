/// Decodes deploy/log.json. Without that file the level is info.
#pragma once

#include "config/options.h"
#include "log/log.h"

namespace marblehub::log {

/// The key `level`: debug, info, warning or error. At debug, every call, probe and registry call is logged;
/// tools/fleet_table.py evaluates these lines. Throws config::DecodeError.
inline Level level_from(const config::Options& options) {
  return options.choice<Level>(
      "level",
      {{"debug", Level::debug}, {"info", Level::info}, {"warning", Level::warning}, {"error", Level::error}});
}

}  // namespace marblehub::log
