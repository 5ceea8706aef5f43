/// Sample configurations for common applications and the validation of configuration files, for
/// marblehub-config.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marblehub::config {

/// An application with typical latency targets, in milliseconds.
struct Application {
  std::string name, summary, request_class;
  long latency_target_ms, deadline_ms, message_target_ms;
  int attempts;
};
/// All applications that a sample configuration exists for.
const std::vector<Application>& applications();

/// A commented configuration file for the application: JSON with // comments.
std::string sample_config(const Application& application);

/// The result of validating a file.
struct Findings {
  std::vector<std::string> errors, warnings;  // one line each, with the key concerned
};
/// The configuration files; `start` is the main one, which names the others.
enum class FileKind { start, quic, remote_write, rebalance, log, fleet, routes, wallet };
/// Validates a file. Relative file names in it are resolved against `folder`, those in fleet.json against the
/// current directory, as the balancer does. Checks that need the main file are made only with
/// FileKind::start.
Findings check(std::string_view text, FileKind kind, const std::string& folder);

}  // namespace marblehub::config
