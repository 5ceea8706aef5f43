// Starting files for the applications the balancer is used for, and the check of one. For marblehub-config.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marblehub::config {

struct Application {
  std::string name, summary, request_class;
  long latency_target_ms, deadline_ms, message_target_ms;
  int attempts;
};
const std::vector<Application>& applications();

// A commented file to start from; JSON in which // begins a comment.
std::string sample_config(const Application& application);

struct Findings {
  std::vector<std::string> errors, warnings;  // plain lines, each with the key it is about
};
enum class FileKind { start, quic, remote_write, rebalance, log, fleet, routes, wallet };
// `folder` is where the files that a file names are looked for; those that fleet.json names are looked for as
// the program does, from where it runs. What takes the start file to know is checked with that file alone.
Findings check(std::string_view text, FileKind kind, const std::string& folder);

}  // namespace marblehub::config
