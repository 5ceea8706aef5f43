#include "config/options.h"

#include <algorithm>
#include <vector>

namespace marblehub::config {

using namespace marblehub::policy;

Settings settings_from(const Options& options) {
  Settings s;
  s.balancers = options.number<int>("balancers", 1);
  s.balancer_index = options.number<int>("me", 0);
  s.zone = options.text("zone");
  s.pull_endpoints = options.choice<bool>("registry_mode", {{"push", false}, {"ask", true}});
  if (options.find("specifics.groups")) s.groups = options.flag("specifics.groups");
  s.max_attempts = options.number<int>("limits.max_attempts", 1);
  s.may_probe = options.flag("limits.probes");
  if (const std::string* how = options.find("report.how"))
    s.load_reported = *how != "silent" && *how != "none";
  s.may_send_retry_after = options.flag("limits.retry_after");
  s.max_retry_after_us = options.number<Time>("limits.max_retry_after_us", 0);
  s.connect_timeout_us = options.number<Time>("limits.connect_timeout_us", 0);
  s.stop_sending_within_us = options.number_or<Time>("invariants.stop_sending_within_us", 0, 0);
  s.must_ask_within_us = options.number_or<Time>("invariants.must_ask_in_us", 0, 0);
  s.cold_share = options.number<double>("invariants.cold_share", 0);
  s.warm_within_us = options.number<Time>("invariants.warm_within_us", 0);
  s.price_probe = options.number_or<double>("prices.probe", 0, 0);
  s.price_cross_zone = options.number_or<double>("prices.cross_zone", 0, 0);

  std::vector<double> objectives;  // for messages, in microseconds, by class; optional
  if (const std::string* list = options.find("specifics.message_aim_us")) {
    for (std::size_t at = 0; at < list->size();) {
      std::size_t comma = std::min(list->find(',', at), list->size());
      std::optional<double> objective = parse_number<double>(std::string_view(*list).substr(at, comma - at));
      if (!objective || *objective < 0) options.refuse("specifics.message_aim_us", "numbers, 0 or more");
      objectives.push_back(*objective);
      at = comma + 1;
    }
  }
  int classes = options.number<int>("request_classes.count", 1);
  for (int i = 0; i < classes; ++i) {
    std::string path = "request_classes." + std::to_string(i) + ".";
    RequestClass c;
    c.name = options.text(path + "name");
    c.slo_us = options.number<Time>(path + "slo_us", 0);
    c.repeat = options.choice<Repeat>(
        path + "repeat", {{"safe", Repeat::safe}, {"keyed", Repeat::keyed}, {"unsafe", Repeat::unsafe}});
    c.dedup_scope = options.choice<DedupScope>(
        path + "dedup_scope",
        {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
    c.dedup_window_us = options.number<Time>(path + "window_us", 0);
    c.stream = options.flag(path + "stream");
    if (static_cast<std::size_t>(i) < objectives.size())
      c.message_objective_us = static_cast<Time>(objectives[i]);
    s.classes.push_back(std::move(c));
  }
  if (auto error = validate(s)) options.refuse(error->key, "another value");
  return s;
}

}  // namespace marblehub::config
