#include "rebalance/settings.h"

namespace marblehub::rebalance {
namespace {

using config::Options;

Time seconds(const Options& options, std::string_view key, double min, Time fallback) {
  return static_cast<Time>(options.number_or(key, min, static_cast<double>(fallback) / 1e6) * 1e6);
}

// Parses hh:mm into the minute of the day.
int minute_of_day(const Options& options, const char* key) {
  const std::string& text = options.text(key);
  auto hours =
      text.size() == 5 && text[2] == ':' ? config::parse_number<int>(text.substr(0, 2)) : std::nullopt;
  auto minutes = hours ? config::parse_number<int>(text.substr(3)) : std::nullopt;
  if (!minutes || *hours < 0 || *hours > 23 || *minutes < 0 || *minutes > 59)
    options.refuse(key, "a time of day as hh:mm, UTC");
  return *hours * 60 + *minutes;
}

}  // namespace

Settings settings_from(const Options& options) {
  Settings s;
  if (options.find("enabled")) s.enabled = options.flag("enabled");
  if (options.find("dry_run")) s.dry_run = options.flag("dry_run");
  s.moves_per_minute = options.number_or("moves_a_minute", 0.0, s.moves_per_minute);
  s.fleet_moves_per_minute = options.number_or("fleet_moves_a_minute", 0.0, s.fleet_moves_per_minute);
  s.gap = options.share_or("gap", 0.01, s.gap);
  s.min_move_interval = seconds(options, "floor_s", 0, s.min_move_interval);
  s.settle_time = seconds(options, "settle_s", 0, s.settle_time);
  s.half_life = seconds(options, "half_s", 5, s.half_life);
  if (options.find("quiet_from")) s.quiet_from = minute_of_day(options, "quiet_from");
  if (options.find("quiet_to")) s.quiet_to = minute_of_day(options, "quiet_to");
  if ((s.quiet_from < 0) != (s.quiet_to < 0))
    options.refuse(s.quiet_from < 0 ? "quiet_from" : "quiet_to", "both or neither");
  s.min_gain = options.number_or("price", 0.0, s.min_gain);
  s.store_calls_per_minute = options.number_or("store_calls_a_minute", 0.0, s.store_calls_per_minute);
  s.max_report_age = seconds(options, "stale_s", 1, s.max_report_age);
  s.max_refused_share = options.share_or("refusals", 0.001, s.max_refused_share);
  s.max_mean_load = options.share_or("overload", 0.1, s.max_mean_load);
  s.progress_timeout =
      seconds(options, options.renamed("progress_timeout_s", "patience_s"), 10, s.progress_timeout);
  if (options.find("pause_file")) s.pause_file = options.text("pause_file");
  std::vector<std::string> unread = options.unread();
  if (!unread.empty()) options.refuse(unread.front(), "no such key");
  return s;
}

}  // namespace marblehub::rebalance
