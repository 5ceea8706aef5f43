#include "metrics/registry.h"

#include <fmt/format.h>

#include <set>

namespace marblehub::metrics {
namespace {

std::string escaped(const std::string& text) {
  std::string out;
  for (char c : text) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

}  // namespace

std::string exposition(const Registry& registry) {
  std::string text;
  std::set<std::string> done;
  for (const Metric& family : registry.all()) {
    if (!done.insert(family.name).second) continue;
    text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", family.name, family.help, family.name,
                        family.counter ? "counter" : "gauge");
    for (const Metric& metric : registry.all()) {
      if (metric.name != family.name) continue;
      std::string labels;
      for (const auto& [name, value] : metric.labels)
        labels += fmt::format("{}{}=\"{}\"", labels.empty() ? "" : ",", name, escaped(value));
      text += metric.name + (labels.empty() ? "" : "{" + labels + "}") + fmt::format(" {}\n", metric.value);
    }
  }
  return text;
}

}  // namespace marblehub::metrics
