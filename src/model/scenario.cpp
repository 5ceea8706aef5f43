#include "model/scenario.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include "config/json.h"

namespace marblehub::model {
namespace {

using config::DecodeError;
using config::Options;

std::string trimmed(std::string_view text) {
  std::size_t from = text.find_first_not_of(" \t\r");
  if (from == text.npos) return "";
  return std::string(text.substr(from, text.find_last_not_of(" \t\r") - from + 1));
}

// Parses the lines of a scenario file, then decodes the settings.
class Reader {
 public:
  explicit Reader(std::string source) : source_(std::move(source)) {}

  Scenario read(const std::string& text, const std::vector<std::pair<std::string, std::string>>& changes) {
    std::istringstream in(text);
    std::string line;
    for (number_ = 1; std::getline(in, line); ++number_) {
      std::string clean = trimmed(line.substr(0, line.find('#')));
      if (clean.empty()) continue;
      if (clean.starts_with("at ")) {
        parse_event(clean);
      } else if (clean.starts_with("expect ")) {
        parse_expectation(clean);
      } else {
        parse_setting(clean);
      }
    }
    for (const auto& [key, value] : changes) values_[key] = value;
    return decode();
  }

 private:
  [[noreturn]] void fail(const std::string& message) const {
    throw DecodeError(source_ + ":" + std::to_string(number_) + ": " + message);
  }
  double number(const std::string& word) const {
    auto value = config::parse_number<double>(word);
    if (!value) fail("expected a number, not '" + word + "'");
    return *value;
  }
  static Time seconds(double s) { return static_cast<Time>(s * static_cast<double>(kSecond)); }

  void parse_setting(const std::string& line) {
    std::size_t at = line.find('=');
    if (at == line.npos) fail("expected KEY = VALUE, at ..., or expect ...");
    std::string key = trimmed(line.substr(0, at));
    if (!values_.emplace(key, trimmed(line.substr(at + 1))).second) fail("setting " + key + " appears twice");
    if (key.starts_with("workers.")) {
      std::string kind = key.substr(8, key.find('.', 8) - 8);
      if (std::find(kinds_.begin(), kinds_.end(), kind) == kinds_.end()) kinds_.push_back(kind);
    }
  }

  // at T drain KIND.N for S | stop KIND.N | hang KIND.N for S | slow KIND.N to X [for S] |
  //      kill balancer N for S | drop X within S | move X
  void parse_event(const std::string& line) {
    std::istringstream in(line);
    std::string word, action, target, preposition;
    in >> word >> word;
    ScheduledEvent h;
    h.at = seconds(number(word));
    in >> action >> target;
    auto matches = [&](const char* name, ScheduledEvent::EventType type) {
      if (action == name) h.type = type;
      return action == name;
    };
    bool of_worker = matches("drain", ScheduledEvent::EventType::drain) ||
                     matches("stop", ScheduledEvent::EventType::stop) ||
                     matches("hang", ScheduledEvent::EventType::hang) ||
                     matches("slow", ScheduledEvent::EventType::slow);
    if (of_worker) {
      std::size_t dot = target.rfind('.');
      if (dot == target.npos) fail("expected a worker as KIND.NUMBER, not '" + target + "'");
      h.kind = target.substr(0, dot);
      h.number = static_cast<int>(number(target.substr(dot + 1)));
    } else if (matches("kill", ScheduledEvent::EventType::kill_balancer)) {
      in >> word;
      h.number = static_cast<int>(number(word));
    } else if (matches("drop", ScheduledEvent::EventType::drop) ||
               matches("move", ScheduledEvent::EventType::move)) {
      h.value = number(target);
    } else {
      fail("expected drain, stop, hang, slow, kill, drop or move, not '" + action + "'");
    }
    while (in >> preposition >> word) {
      if (preposition == "for" || preposition == "within")
        h.duration = seconds(number(word));
      else if (preposition == "to")
        h.value = number(word);
      else
        fail("expected for, within or to, not '" + preposition + "'");
    }
    scheduled_events_.emplace_back(h, number_);
  }

  // expect STATISTIC [at T] below|above|at most|at least|exactly X
  void parse_expectation(const std::string& line) {
    Expectation e;
    e.text = trimmed(line.substr(7));
    std::istringstream in(e.text);
    std::vector<std::string> words;
    for (std::string word; in >> word;) words.push_back(word);
    std::size_t i = 0;
    auto is_comparison = [&](std::size_t k) {
      std::string two_words = k + 1 < words.size() ? words[k] + " " + words[k + 1] : "";
      return words[k] == "below" || words[k] == "above" || words[k] == "exactly" || two_words == "at most" ||
             two_words == "at least";
    };
    for (; i < words.size() && words[i] != "at" && !is_comparison(i); ++i)
      e.statistic += (e.statistic.empty() ? "" : " ") + words[i];
    if (i + 1 < words.size() && words[i] == "at" && !is_comparison(i)) {
      e.at = seconds(number(words[i + 1]));
      i += 2;
    }
    if (i >= words.size() || !is_comparison(i)) fail("expected below, above, at most, at least or exactly");
    if (words[i] == "at") {
      e.comparison =
          words[i + 1] == "most" ? Expectation::Comparison::at_most : Expectation::Comparison::at_least;
      i += 2;
    } else {
      e.comparison = words[i] == "below"   ? Expectation::Comparison::below
                     : words[i] == "above" ? Expectation::Comparison::above
                                           : Expectation::Comparison::exactly;
      i += 1;
    }
    if (i + 1 != words.size()) fail("expected one number at the end");
    e.value = number(words[i]);
    expectations_.push_back(std::move(e));
  }

  Scenario decode() {
    Options o(values_, source_ + ": ");
    Scenario s;
    auto real_or = [&](const char* key, double fallback, double min = 0) {
      return o.number_or(key, min, fallback);
    };
    auto integer_or = [&](const char* key, int fallback, int min = 0) {
      return o.number_or<int>(key, min, fallback);
    };
    auto ms = [&](std::string_view key, double fallback) {
      return static_cast<Time>(o.number_or(key, 0.0, fallback) * static_cast<double>(kMillisecond));
    };
    auto share = [&](const char* key, double fallback) { return o.share_or(key, 0, fallback); };
    s.name = o.text("name");
    s.duration = seconds(o.number<double>("seconds", 1));
    s.balancers = integer_or("balancers", 1, 1);
    if (s.balancers > 1000) o.refuse("balancers", "a number, 1000 or less");
    for (const std::string& name : kinds_) {
      std::string at = "workers." + name + ".";
      WorkerKind k;
      k.name = name;
      k.count = o.number<int>(at + "count", 1);
      k.cores = o.number_or(at + "cores", 0.01, 4.0);
      k.speed = o.number_or(at + "speed", 0.01, 1.0);
      k.scale = o.number_or(at + "scale", 0.0, k.cores * k.speed / 4);
      k.max_connections = o.number_or(at + "most", 0, 0);
      k.max_queue_wait = static_cast<Time>(o.number_or(at + "queue_ms", 1.0, 1000.0) * 1000);
      k.starts_at = seconds(o.number_or(at + "from_s", 0.0, 0.0));
      s.kinds.push_back(std::move(k));
    }
    if (s.kinds.empty()) o.refuse("workers.NAME.count", "one kind of workers or more");
    if (s.workers() > 20000) o.refuse("workers", "20000 workers or less");
    s.setup_work = real_or("costs.setup_us", 2000);
    s.probe_work = real_or("costs.probe_us", 100);
    s.group_work = real_or("costs.group_us", 0);
    s.service_time = ms("costs.service_ms", 2);
    s.store_time = ms("store.ms", 10);
    s.store_rate = real_or("store.calls_a_second", 0);
    s.initial_connections = integer_or("clients.standing", 0);
    s.mean_stay = o.number<double>("clients.stay_s", 0.1);
    s.arrival_rate = real_or("clients.arrivals_a_second", s.initial_connections / s.mean_stay);
    s.arrivals_end = ms("clients.arrivals_for_s", 0) * 1000;
    s.load = o.number<double>("clients.load_us", 1);
    s.load_sigma = real_or("clients.spread", 0);
    s.heavy_share = share("clients.heavy_share", 0);
    s.heavy_factor = real_or("clients.heavy_times", 1, 1);
    s.groups = integer_or("clients.groups", 0);
    s.big_group_share = share("clients.big_group_share", 0);
    s.quic_share = share("clients.quic_share", 0);
    s.quic_obeys = share("clients.quic_obeys", 1);
    s.lost_share = share("clients.lost_share", 0);
    if (o.find("clients.placed")) s.initial_kind = o.text("clients.placed");
    s.reconnect_delay = ms("clients.comes_back_ms", 300);
    s.client_timeout = ms(o.renamed("clients.timeout_ms", "clients.patience_ms"), 3000);
    s.max_tries = integer_or("clients.tries", 8, 1);
    s.hop_delay = ms("net.hop_ms", 1);
    if (s.hop_delay < 200) o.refuse("net.hop_ms", "0.2 or more");
    s.hop_jitter = ms("net.jitter_ms", 1);
    s.min_list_delay = ms("list.late_least_ms", 20);
    s.max_list_delay = std::max(s.min_list_delay, ms("list.late_most_ms", 1000));
    s.max_report_age = ms("reports.late_ms", 50);
    s.report_noise = real_or("reports.noise", 0);
    s.cold_share = share("cold.share", 0.3);
    if (s.cold_share <= 0) o.refuse("cold.share", "a share above 0");
    s.warm_up_time = ms("cold.warm_ms", 30000);
    s.crash_wait = ms("falls.over_ms", 4000);
    s.restart_delay = ms("falls.back_ms", 5000);
    s.wave_amplitude = share("wave.amplitude", 0);
    s.wave_period = std::max<Time>(kSecond, ms("wave.period_ms", 60000));
    s.slo = ms("clients.slo_ms", 500);
    s.message_objective = ms("clients.aim_ms", 150);
    s.rebalance = rebalance::settings_from(config::sub_options(o, "rebalance", source_ + ": rebalance: "));
    if (std::vector<std::string> unread = o.unread(); !unread.empty())
      o.refuse(unread.front(), "no such key");
    for (auto& [h, line] : scheduled_events_) {
      number_ = line;
      if (!h.kind.empty() && s.worker(h.kind, h.number) < 0)
        fail("no such worker: " + h.kind + "." + std::to_string(h.number));
      if (h.type == ScheduledEvent::EventType::kill_balancer && (h.number < 1 || h.number > s.balancers))
        fail("no such balancer: " + std::to_string(h.number));
      s.scheduled_events.push_back(h);
    }
    if (!s.initial_kind.empty() && s.worker(s.initial_kind, 1) < 0)
      o.refuse("clients.placed", "a kind of workers");
    s.expectations = expectations_;
    return s;
  }

  const std::string source_;
  int number_ = 0;
  config::Values values_;
  std::vector<std::string> kinds_;  // in the order of the file
  std::vector<std::pair<ScheduledEvent, int>> scheduled_events_;
  std::vector<Expectation> expectations_;
};

}  // namespace

int Scenario::workers() const {
  int all = 0;
  for (const WorkerKind& k : kinds) all += k.count;
  return all;
}

int Scenario::worker(const std::string& kind, int number) const {
  int before = 0;
  for (const WorkerKind& k : kinds) {
    if (k.name == kind) return number >= 1 && number <= k.count ? before + number - 1 : -1;
    before += k.count;
  }
  return -1;
}

std::pair<const WorkerKind*, int> Scenario::locate(int worker) const {
  for (const WorkerKind& k : kinds) {
    if (worker < k.count) return {&k, worker + 1};
    worker -= k.count;
  }
  throw std::out_of_range("no worker with this index");
}

std::string Scenario::name_of(int worker) const {
  auto [kind, number] = locate(worker);
  return kind->name + "-" + std::to_string(number);
}

Scenario parse_scenario(const std::string& text, const std::string& source,
                        const std::vector<std::pair<std::string, std::string>>& changes) {
  return Reader(source).read(text, changes);
}

Scenario load_scenario(const std::string& path,
                       const std::vector<std::pair<std::string, std::string>>& changes) {
  auto text = config::read_file(path);
  if (!text) throw config::DecodeError(path + ": cannot read the file");
  return parse_scenario(*text, path, changes);
}

}  // namespace marblehub::model
