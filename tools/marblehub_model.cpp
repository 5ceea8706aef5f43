// marblehub-model: plays scenarios of a fleet on virtual time. docs/model.md tells how to write one.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <thread>

#include "log/log.h"
#include "model/study.h"

namespace {

using namespace marblehub::model;

Changes changes_in(const std::vector<std::string>& settings) {
  Changes changes;
  for (const std::string& setting : settings) {
    std::size_t at = setting.find('=');
    if (at == setting.npos) throw std::runtime_error("expected KEY=VALUE, not " + setting);
    changes.emplace_back(setting.substr(0, at), setting.substr(at + 1));
  }
  return changes;
}

// "name: key=value key=value", or without a name.
std::pair<std::string, Changes> way_in(const std::string& text) {
  std::size_t colon = text.find(": ");
  std::string name = colon == text.npos ? text : text.substr(0, colon);
  std::istringstream words(colon == text.npos ? text : text.substr(colon + 2));
  std::vector<std::string> settings;
  for (std::string word; words >> word;) settings.push_back(word);
  return {name, changes_in(settings)};
}

struct Asked {
  std::vector<std::string> files, settings, ways, values;
  std::string parameter, out;
  std::uint64_t seed = 1;
  std::size_t seeds = 10;
  int threads = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));

  Scenario scenario(const std::string& file, Changes more = {}) const {
    Changes all = changes_in(settings);
    all.insert(all.end(), more.begin(), more.end());
    return scenario_in(file, all);
  }
};

int run_one(const Asked& asked, bool log) {
  RunOptions options;
  options.seed = asked.seed;
  options.threads = asked.threads;
  options.log = log;
  bool shown = isatty(STDERR_FILENO) != 0;
  if (shown) options.progress = [](Time at) { std::cerr << "\r" << at / kSecond << " s " << std::flush; };
  Result result = run(asked.scenario(asked.files.front()), options);
  if (shown) std::cerr << "\r          \r";
  std::cout << result.log << result.text();
  return result.good() ? 0 : 1;
}

std::vector<Way> play(const Asked& asked, const std::vector<std::pair<std::string, Scenario>>& ways) {
  std::vector<Job> jobs;
  for (const auto& [name, scenario] : ways)
    for (std::size_t i = 0; i < asked.seeds; ++i) jobs.push_back({scenario, asked.seed + i});
  std::vector<Result> results = run_all(jobs, asked.threads, [](std::size_t done, std::size_t all) {
    if (isatty(STDERR_FILENO) || done == all || done % 100 == 0)
      std::cerr << (isatty(STDERR_FILENO) ? "\r" : "") << done << " of " << all << " runs"
                << (isatty(STDERR_FILENO) && done < all ? "" : "\n") << std::flush;
  });
  std::vector<Way> played;
  for (std::size_t w = 0; w < ways.size(); ++w) {
    Way way{ways[w].first, {}};
    for (std::size_t i = 0; i < asked.seeds; ++i)
      way.results.push_back(std::move(results[w * asked.seeds + i]));
    played.push_back(std::move(way));
  }
  return played;
}

// What was not as expected, a line each; whether there was none.
bool all_good(const std::vector<Way>& ways) {
  bool good = true;
  for (const Way& way : ways)
    for (const Result& r : way.results) {
      if (r.good()) continue;
      good = false;
      std::string first = r.text();
      std::cout << way.name << ": " << first.substr(0, first.find("  calls")) << "\n";
    }
  return good;
}

std::vector<std::pair<std::string, Scenario>> ways_of(const Asked& asked) {
  std::vector<std::pair<std::string, Scenario>> ways;
  if (asked.ways.empty()) {
    for (const std::string& file : asked.files) ways.emplace_back(file, asked.scenario(file));
  } else {
    for (const std::string& text : asked.ways) {
      auto [name, changes] = way_in(text);
      ways.emplace_back(name, asked.scenario(asked.files.front(), changes));
    }
  }
  return ways;
}

int sweep(const Asked& asked) {
  std::vector<std::pair<std::string, Scenario>> ways;
  for (const std::string& value : asked.values)
    ways.emplace_back(value, asked.scenario(asked.files.front(), {{asked.parameter, value}}));
  if (ways.empty()) ways.emplace_back("as it stands", asked.scenario(asked.files.front()));
  std::vector<Way> played = play(asked, ways);
  std::cout << asked.parameter << "\n" << table(played, kFigures);
  return all_good(played) ? 0 : 1;
}

int compare(const Asked& asked) {
  std::vector<Way> played = play(asked, ways_of(asked));
  std::cout << asked.seeds
            << " seeds, paired; a difference is shown where its 95% interval leaves out nought\n"
            << table(played, kFigures);
  return 0;
}

int report(const Asked& asked) {
  std::vector<Way> played = play(asked, ways_of(asked));
  std::ofstream file(asked.out);
  file << page(played.front().results.front().scenario, played, kFigures);
  file.close();
  if (!file) throw std::runtime_error("cannot write " + asked.out);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Plays scenarios of a fleet of balancers and workers on virtual time; see docs/model.md."};
  app.require_subcommand(1);
  Asked asked;
  auto command = [&](const char* name, const char* help, bool many) {
    CLI::App* sub = app.add_subcommand(name, help);
    sub->add_option("scenario", asked.files, "files as docs/model.md describes")
        ->required()
        ->check(CLI::ExistingFile)
        ->expected(1, many ? 8 : 1);
    sub->add_option("--set", asked.settings, "KEY=VALUE in place of what the file says")->take_all();
    sub->add_option("--seed", asked.seed, "the first, where there are many; the same gives the same bytes");
    sub->add_option("--threads", asked.threads, "at once")->check(CLI::Range(1, 256));
    return sub;
  };
  auto* once = command("run", "plays one seed; the exit code is 1 when it is not as expected", false);
  auto* replay = command("replay", "the same, with a line for each event of a client", false);
  auto* swept = command("sweep", "a parameter over values, many seeds of each", false);
  swept->add_option("--over", asked.parameter, "the key");
  swept->add_option("--values", asked.values, "its values")->delimiter(',');
  auto* compared = command("compare", "files, or ways of one, paired by seed", true);
  auto* reported = command("report", "the same as one page of HTML with plots", true);
  for (CLI::App* sub : {swept, compared, reported}) sub->add_option("--seeds", asked.seeds, "how many");
  for (CLI::App* sub : {compared, reported})
    sub->add_option("--way", asked.ways, "\"NAME: KEY=VALUE ...\", more than once")->take_all();
  reported->add_option("--out", asked.out, "the page")->required();
  CLI11_PARSE(app, argc, argv);
  marblehub::log::threshold = marblehub::log::Level::error;
  try {
    if (once->parsed()) return run_one(asked, false);
    if (replay->parsed()) return run_one(asked, true);
    if (swept->parsed()) return sweep(asked);
    if (compared->parsed()) return compare(asked);
    return report(asked);
  } catch (const std::exception& error) {
    std::cerr << "marblehub-model: " << error.what() << '\n';
    return 2;
  }
}
