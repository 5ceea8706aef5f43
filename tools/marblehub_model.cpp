/// marblehub-model: simulates scenarios of a fleet on virtual time (docs/model.md).
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

// Parses KEY=VALUE arguments.
Changes parse_changes(const std::vector<std::string>& settings) {
  Changes changes;
  for (const std::string& setting : settings) {
    std::size_t at = setting.find('=');
    if (at == setting.npos) throw std::runtime_error("expected KEY=VALUE: " + setting);
    changes.emplace_back(setting.substr(0, at), setting.substr(at + 1));
  }
  return changes;
}

// Parses "NAME: KEY=VALUE KEY=VALUE"; without a name the whole text is the name.
std::pair<std::string, Changes> parse_variant(const std::string& text) {
  std::size_t colon = text.find(": ");
  std::string name = colon == text.npos ? text : text.substr(0, colon);
  std::istringstream words(colon == text.npos ? text : text.substr(colon + 2));
  std::vector<std::string> settings;
  for (std::string word; words >> word;) settings.push_back(word);
  return {name, parse_changes(settings)};
}

// The command line.
struct Arguments {
  std::vector<std::string> files, settings, variants, values;
  std::string parameter, out;
  std::uint64_t seed = 1;
  std::size_t seeds = 10;
  int threads = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));

  // The scenario of a file with the changes of --set and `extra` applied.
  Scenario scenario(const std::string& file, Changes extra = {}) const {
    Changes all = parse_changes(settings);
    all.insert(all.end(), extra.begin(), extra.end());
    return load_scenario(file, all);
  }
};

// Runs one seed, with progress on a terminal. Returns the exit code, as all commands below.
int run_one(const Arguments& args, bool log) {
  RunOptions options;
  options.seed = args.seed;
  options.threads = args.threads;
  options.log = log;
  bool show_progress = isatty(STDERR_FILENO) != 0;
  if (show_progress)
    options.progress = [](Time at) { std::cerr << "\r" << at / kSecond << " s " << std::flush; };
  Result result = run(args.scenario(args.files.front()), options);
  if (show_progress) std::cerr << "\r          \r";
  std::cout << result.log << result.text();
  return result.passed() ? 0 : 1;
}

// Runs every seed of every way in parallel.
std::vector<Variant> run_variants(const Arguments& args,
                                  const std::vector<std::pair<std::string, Scenario>>& variants) {
  std::vector<Job> jobs;
  for (const auto& [name, scenario] : variants)
    for (std::size_t i = 0; i < args.seeds; ++i) jobs.push_back({scenario, args.seed + i});
  std::vector<Result> results = run_all(jobs, args.threads, [](std::size_t done, std::size_t all) {
    if (isatty(STDERR_FILENO) || done == all || done % 100 == 0)
      std::cerr << (isatty(STDERR_FILENO) ? "\r" : "") << done << " of " << all << " runs"
                << (isatty(STDERR_FILENO) && done < all ? "" : "\n") << std::flush;
  });
  std::vector<Variant> completed;
  for (std::size_t w = 0; w < variants.size(); ++w) {
    Variant variant{variants[w].first, {}};
    for (std::size_t i = 0; i < args.seeds; ++i)
      variant.results.push_back(std::move(results[w * args.seeds + i]));
    completed.push_back(std::move(variant));
  }
  return completed;
}

// Prints a line for each run that broke an expectation. Returns whether there was none.
bool print_failures(const std::vector<Variant>& variants) {
  bool all_good = true;
  for (const Variant& variant : variants)
    for (const Result& r : variant.results) {
      if (r.passed()) continue;
      all_good = false;
      std::string first = r.text();
      std::cout << variant.name << ": " << first.substr(0, first.find("  calls")) << "\n";
    }
  return all_good;
}

// The variants to compare: variants of one file if --way is given, else one per file.
std::vector<std::pair<std::string, Scenario>> load_variants(const Arguments& args) {
  std::vector<std::pair<std::string, Scenario>> variants;
  if (args.variants.empty()) {
    for (const std::string& file : args.files) variants.emplace_back(file, args.scenario(file));
  } else {
    for (const std::string& text : args.variants) {
      auto [name, changes] = parse_variant(text);
      variants.emplace_back(name, args.scenario(args.files.front(), changes));
    }
  }
  return variants;
}

int sweep(const Arguments& args) {
  std::vector<std::pair<std::string, Scenario>> variants;
  for (const std::string& value : args.values)
    variants.emplace_back(value, args.scenario(args.files.front(), {{args.parameter, value}}));
  if (variants.empty()) variants.emplace_back("unchanged", args.scenario(args.files.front()));
  std::vector<Variant> completed = run_variants(args, variants);
  std::cout << args.parameter << "\n" << table(completed, kComparedStatistics);
  return print_failures(completed) ? 0 : 1;
}

int compare(const Arguments& args) {
  std::vector<Variant> completed = run_variants(args, load_variants(args));
  std::cout << args.seeds << " paired seeds; differences are shown if their 95% interval excludes zero\n"
            << table(completed, kComparedStatistics);
  return 0;
}

int report(const Arguments& args) {
  std::vector<Variant> completed = run_variants(args, load_variants(args));
  std::ofstream file(args.out);
  file << html_report(completed.front().results.front().scenario, completed, kComparedStatistics);
  file.close();
  if (!file) throw std::runtime_error("cannot write " + args.out);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Simulates scenarios of a fleet of balancers and workers on virtual time; see docs/model.md."};
  app.require_subcommand(1);
  Arguments args;
  auto add_command = [&](const char* name, const char* help, bool several_files) {
    CLI::App* sub = app.add_subcommand(name, help);
    sub->add_option("scenario", args.files, "scenario files (docs/model.md)")
        ->required()
        ->check(CLI::ExistingFile)
        ->expected(1, several_files ? 8 : 1);
    sub->add_option("--set", args.settings, "KEY=VALUE overrides the scenario file")->take_all();
    sub->add_option("--seed", args.seed, "first seed; equal seeds give identical output");
    sub->add_option("--threads", args.threads, "number of threads")->check(CLI::Range(1, 256));
    return sub;
  };
  auto* run_command =
      add_command("run", "run one seed; exits with 1 if an expectation of the scenario fails", false);
  auto* replay_command = add_command("replay", "like run, with a line for each client event", false);
  auto* sweep_command = add_command("sweep", "vary a parameter, with several seeds per value", false);
  sweep_command->add_option("--over", args.parameter, "key of the parameter");
  sweep_command->add_option("--values", args.values, "values, separated by commas")->delimiter(',');
  auto* compare_command =
      add_command("compare", "compare scenario files, or variants of one, paired by seed", true);
  auto* report_command = add_command("report", "like compare, as an HTML page with plots", true);
  for (CLI::App* sub : {sweep_command, compare_command, report_command})
    sub->add_option("--seeds", args.seeds, "number of seeds");
  for (CLI::App* sub : {compare_command, report_command})
    sub->add_option("--way", args.variants, "\"NAME: KEY=VALUE ...\", repeatable")->take_all();
  report_command->add_option("--out", args.out, "output file")->required();
  CLI11_PARSE(app, argc, argv);
  marblehub::log::threshold = marblehub::log::Level::error;
  try {
    if (run_command->parsed()) return run_one(args, false);
    if (replay_command->parsed()) return run_one(args, true);
    if (sweep_command->parsed()) return sweep(args);
    if (compare_command->parsed()) return compare(args);
    return report(args);
  } catch (const std::exception& error) {
    std::cerr << "marblehub-model: " << error.what() << '\n';
    return 2;
  }
}
