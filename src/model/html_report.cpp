// The HTML report, from a Mustache template (mustache(5)). Plots are inline SVG, so the page is
// self-contained.
#include <fmt/format.h>

#include <algorithm>
#include <kainjow/mustache.hpp>

#include "model/study.h"

namespace marblehub::model {
namespace {

using kainjow::mustache::data;
using kainjow::mustache::mustache;

constexpr double kWidth = 640, kHeight = 240, kLeft = 56, kBottom = 28;
const char* const kColours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b9770e", "#34495e"};

const char* const kTemplate = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{title}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; color: #222; }
table { border-collapse: collapse; margin: 1rem 0; } td, th { padding: .25rem .75rem; text-align: right; border-bottom: 1px solid #ddd; }
td:first-child, th:first-child { text-align: left; } .apart { font-weight: 600; } .bad { color: #b00; }
svg text { font: 11px system-ui, sans-serif; fill: #444; } figure { margin: 1.5rem 0; } .key span { margin-right: 1.2rem; }
</style></head><body>
<h1>{{title}}</h1>
<p>{{seeds}} seeds each. A difference is paired by seed, with a 95% interval; one whose interval excludes zero is bold.</p>
<table><tr><th></th>{{#ways}}<th>{{name}}</th>{{/ways}}</tr>
{{#rows}}<tr><td>{{name}}</td>{{#cells}}<td>{{mean}}{{#difference}}<br><small{{#apart}} class="apart"{{/apart}}>{{text}}</small>{{/difference}}</td>{{/cells}}</tr>
{{/rows}}</table>
<p class="key">{{#ways}}<span style="color:{{colour}}">&#9632; {{name}}</span>{{/ways}}</p>
{{#plots}}<figure><figcaption>{{name}}</figcaption>{{{svg}}}</figure>
{{/plots}}
<h2>Expectations</h2>
<table><tr><th>variant</th><th>expectation</th><th>holds in</th></tr>
{{#verdicts}}<tr{{#bad}} class="bad"{{/bad}}><td>{{way}}</td><td>{{text}}</td><td>{{held}} of {{all}}</td></tr>
{{/verdicts}}</table>
</body></html>
)";

// Reads the plotted value of a snapshot.
using Getter = double (*)(const Result::Snapshot&);

// The mean over the seeds at each snapshot.
std::vector<std::pair<double, double>> mean_curve(const Variant& variant, Getter getter) {
  std::vector<std::pair<double, double>> points;
  for (std::size_t k = 0; k < variant.results.front().snapshots.size(); ++k) {
    double sum = 0;
    for (const Result& r : variant.results) sum += getter(r.snapshots[k]);
    points.emplace_back(variant.results.front().snapshots[k].at,
                        sum / static_cast<double>(variant.results.size()));
  }
  return points;
}

// A line plot over time as SVG, one line per variant.
std::string plot(const std::vector<Variant>& variants, Getter getter) {
  double max_y = 0, end = 1;
  std::vector<std::vector<std::pair<double, double>>> lines;
  for (const Variant& variant : variants) {
    lines.push_back(mean_curve(variant, getter));
    for (auto [x, y] : lines.back()) max_y = std::max(max_y, y), end = std::max(end, x);
  }
  if (max_y <= 0) max_y = 1;
  auto x_position = [&](double x) { return kLeft + x / end * (kWidth - kLeft - 8); };
  auto y_position = [&](double y) { return kHeight - kBottom - y / max_y * (kHeight - kBottom - 10); };
  std::string svg =
      fmt::format("<svg viewBox=\"0 0 {} {}\" width=\"{}\" role=\"img\">", kWidth, kHeight, kWidth);
  for (int i = 0; i <= 4; ++i) {
    double y = max_y * i / 4, x = end * i / 4;
    svg += fmt::format("<line x1=\"{}\" x2=\"{}\" y1=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"#ddd\"/>", kLeft,
                       kWidth - 8, y_position(y), y_position(y));
    svg += fmt::format("<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{:.3g}</text>", kLeft - 6,
                       y_position(y) + 4, y);
    svg += fmt::format("<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{:.0f} s</text>", x_position(x),
                       kHeight - 8, x);
  }
  for (std::size_t w = 0; w < lines.size(); ++w) {
    svg += fmt::format("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"{}\" points=\"", kColours[w % 6]);
    for (auto [x, y] : lines[w]) svg += fmt::format("{:.1f},{:.1f} ", x_position(x), y_position(y));
    svg += "\"/>";
  }
  return svg + "</svg>";
}

// The rows of the table of statistics.
data rows(const std::vector<Variant>& variants, const std::vector<std::string>& statistics) {
  data all{data::type::list};
  for (const std::string& name : statistics) {
    data cells{data::type::list};
    for (const Variant& variant : variants) {
      data cell{data::type::object};
      cell.set("mean", fmt::format("{:.5g}", variant.estimate_of(name).mean));
      if (&variant != &variants.front()) {
        Estimate paired = variant.paired_difference(variants.front(), name);
        data difference{data::type::object};
        difference.set("text", fmt::format("{:+.4g} \u00b1 {:.2g}", paired.mean, paired.half_width));
        difference.set("apart", data{paired.significant() ? data::type::bool_true : data::type::bool_false});
        cell.set("difference", difference);
      }
      cells.push_back(cell);
    }
    data row{data::type::object};
    row.set("name", name);
    row.set("cells", cells);
    all.push_back(row);
  }
  return all;
}

// For each expectation and variant, the number of seeds in which it holds.
data verdicts(const std::vector<Variant>& variants) {
  data all{data::type::list};
  for (const Variant& variant : variants)
    for (std::size_t v = 0; v < variant.results.front().verdicts.size(); ++v) {
      auto held = std::count_if(variant.results.begin(), variant.results.end(),
                                [&](const Result& r) { return r.verdicts[v].holds; });
      data row{data::type::object};
      row.set("way", variant.name);
      row.set("text", variant.results.front().verdicts[v].expected);
      row.set("held", std::to_string(held));
      row.set("all", std::to_string(variant.results.size()));
      bool failed = held != static_cast<std::ptrdiff_t>(variant.results.size());
      row.set("bad", data{failed ? data::type::bool_true : data::type::bool_false});
      all.push_back(row);
    }
  return all;
}

}  // namespace

std::string html_report(const std::string& title, const std::vector<Variant>& variants,
                        const std::vector<std::string>& statistics) {
  data names{data::type::list}, plots{data::type::list};
  for (std::size_t w = 0; w < variants.size(); ++w) {
    data variant{data::type::object};
    variant.set("name", variants[w].name);
    variant.set("colour", kColours[w % 6]);
    names.push_back(variant);
  }
  const std::pair<const char*, Getter> shown[] = {
      {"Gap: highest minus lowest load per capacity", [](const Result::Snapshot& m) { return m.gap; }},
      {"Highest load of a worker", [](const Result::Snapshot& m) { return m.highest; }},
      {"Planner moves per 10 s", [](const Result::Snapshot& m) { return m.moves; }},
      {"Session store calls per 10 s", [](const Result::Snapshot& m) { return m.store_calls; }},
      {"Established connections", [](const Result::Snapshot& m) { return m.connections; }}};
  for (const auto& [name, getter] : shown) {
    data plotted{data::type::object};
    plotted.set("name", name);
    plotted.set("svg", plot(variants, getter));
    plots.push_back(plotted);
  }
  data all{data::type::object};
  all.set("title", title);
  all.set("seeds", std::to_string(variants.front().results.size()));
  all.set("ways", names);
  all.set("rows", rows(variants, statistics));
  all.set("plots", plots);
  all.set("verdicts", verdicts(variants));
  mustache document(kTemplate);
  return document.render(all);
}

}  // namespace marblehub::model
