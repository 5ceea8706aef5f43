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

class Reader {
 public:
  explicit Reader(std::string place) : place_(std::move(place)) {}

  Scenario read(const std::string& text, const std::vector<std::pair<std::string, std::string>>& changes) {
    std::istringstream in(text);
    std::string line;
    for (number_ = 1; std::getline(in, line); ++number_) {
      std::string clean = trimmed(line.substr(0, line.find('#')));
      if (clean.empty()) continue;
      if (clean.starts_with("at ")) {
        happening(clean);
      } else if (clean.starts_with("expect ")) {
        expectation(clean);
      } else {
        setting(clean);
      }
    }
    for (const auto& [key, value] : changes) values_[key] = value;
    return decode();
  }

 private:
  [[noreturn]] void refuse(const std::string& what) const {
    throw DecodeError(place_ + ":" + std::to_string(number_) + ": " + what);
  }
  double number(const std::string& word) const {
    auto value = config::parse_number<double>(word);
    if (!value) refuse("expected a number, not '" + word + "'");
    return *value;
  }
  static Time seconds(double s) { return static_cast<Time>(s * static_cast<double>(kSecond)); }

  void setting(const std::string& line) {
    std::size_t at = line.find('=');
    if (at == line.npos) refuse("expected KEY = VALUE, at ..., or expect ...");
    std::string key = trimmed(line.substr(0, at));
    if (!values_.emplace(key, trimmed(line.substr(at + 1))).second)
      refuse("setting " + key + " is there twice");
    if (key.starts_with("workers.")) {
      std::string kind = key.substr(8, key.find('.', 8) - 8);
      if (std::find(kinds_.begin(), kinds_.end(), kind) == kinds_.end()) kinds_.push_back(kind);
    }
  }

  // at T drain KIND.N for S | stop KIND.N | hang KIND.N for S | slow KIND.N to X [for S] |
  //      kill balancer N for S | drop X within S | move X
  void happening(const std::string& line) {
    std::istringstream in(line);
    std::string word, what, whom, preposition;
    in >> word >> word;
    Happening h;
    h.at = seconds(number(word));
    in >> what >> whom;
    auto is = [&](const char* name, Happening::What meaning) {
      if (what == name) h.what = meaning;
      return what == name;
    };
    bool of_worker = is("drain", Happening::What::drain) || is("stop", Happening::What::stop) ||
                     is("hang", Happening::What::hang) || is("slow", Happening::What::slow);
    if (of_worker) {
      std::size_t dot = whom.rfind('.');
      if (dot == whom.npos) refuse("expected a worker as KIND.NUMBER, not '" + whom + "'");
      h.kind = whom.substr(0, dot);
      h.number = static_cast<int>(number(whom.substr(dot + 1)));
    } else if (is("kill", Happening::What::kill_balancer)) {
      in >> word;
      h.number = static_cast<int>(number(word));
    } else if (is("drop", Happening::What::drop) || is("move", Happening::What::move)) {
      h.value = number(whom);
    } else {
      refuse("expected drain, stop, hang, slow, kill, drop or move, not '" + what + "'");
    }
    while (in >> preposition >> word) {
      if (preposition == "for" || preposition == "within")
        h.lasts = seconds(number(word));
      else if (preposition == "to")
        h.value = number(word);
      else
        refuse("expected for, within or to, not '" + preposition + "'");
    }
    happenings_.emplace_back(h, number_);
  }

  // expect FIGURE [at T] below|above|at most|at least|exactly X
  void expectation(const std::string& line) {
    Expectation e;
    e.text = trimmed(line.substr(7));
    std::istringstream in(e.text);
    std::vector<std::string> words;
    for (std::string word; in >> word;) words.push_back(word);
    std::size_t i = 0;
    auto sense_at = [&](std::size_t k) {
      std::string two = k + 1 < words.size() ? words[k] + " " + words[k + 1] : "";
      return words[k] == "below" || words[k] == "above" || words[k] == "exactly" || two == "at most" ||
             two == "at least";
    };
    for (; i < words.size() && words[i] != "at" && !sense_at(i); ++i)
      e.figure += (e.figure.empty() ? "" : " ") + words[i];
    if (i + 1 < words.size() && words[i] == "at" && !sense_at(i)) {
      e.at = seconds(number(words[i + 1]));
      i += 2;
    }
    if (i >= words.size() || !sense_at(i)) refuse("expected below, above, at most, at least or exactly");
    if (words[i] == "at") {
      e.sense = words[i + 1] == "most" ? Expectation::Sense::at_most : Expectation::Sense::at_least;
      i += 2;
    } else {
      e.sense = words[i] == "below"   ? Expectation::Sense::below
                : words[i] == "above" ? Expectation::Sense::above
                                      : Expectation::Sense::exactly;
      i += 1;
    }
    if (i + 1 != words.size()) refuse("expected one number at the end");
    e.value = number(words[i]);
    expectations_.push_back(std::move(e));
  }

  Scenario decode() {
    Options o(values_, place_ + ": ");
    Scenario s;
    auto real = [&](const char* key, double absent, double least = 0) {
      return o.number_or(key, least, absent);
    };
    auto whole = [&](const char* key, int absent, int least = 0) {
      return o.number_or<int>(key, least, absent);
    };
    auto ms = [&](std::string_view key, double absent) {
      return static_cast<Time>(o.number_or(key, 0.0, absent) * static_cast<double>(kMillisecond));
    };
    auto share = [&](const char* key, double absent) { return o.share_or(key, 0, absent); };
    s.name = o.text("name");
    s.lasts = seconds(o.number<double>("seconds", 1));
    s.balancers = whole("balancers", 1, 1);
    if (s.balancers > 1000) o.refuse("balancers", "a number, 1000 or less");
    for (const std::string& name : kinds_) {
      std::string at = "workers." + name + ".";
      Kind k;
      k.name = name;
      k.count = o.number<int>(at + "count", 1);
      k.cores = o.number_or(at + "cores", 0.01, 4.0);
      k.speed = o.number_or(at + "speed", 0.01, 1.0);
      k.scale = o.number_or(at + "scale", 0.0, k.cores * k.speed / 4);
      k.most = o.number_or(at + "most", 0, 0);
      k.queue = static_cast<Time>(o.number_or(at + "queue_ms", 1.0, 1000.0) * 1000);
      k.from = seconds(o.number_or(at + "from_s", 0.0, 0.0));
      s.kinds.push_back(std::move(k));
    }
    if (s.kinds.empty()) o.refuse("workers.NAME.count", "one kind of workers or more");
    if (s.workers() > 20000) o.refuse("workers", "20000 workers or less");
    s.setup_work = real("costs.setup_us", 2000);
    s.probe_work = real("costs.probe_us", 100);
    s.group_work = real("costs.group_us", 0);
    s.service = ms("costs.service_ms", 2);
    s.store_time = ms("store.ms", 10);
    s.store_rate = real("store.calls_a_second", 0);
    s.standing = whole("clients.standing", 0);
    s.stay = o.number<double>("clients.stay_s", 0.1);
    s.arrivals = real("clients.arrivals_a_second", s.standing / s.stay);
    s.arrive_until = ms("clients.arrivals_for_s", 0) * 1000;
    s.load = o.number<double>("clients.load_us", 1);
    s.spread = real("clients.spread", 0);
    s.heavy_share = share("clients.heavy_share", 0);
    s.heavy_times = real("clients.heavy_times", 1, 1);
    s.groups = whole("clients.groups", 0);
    s.big_group = share("clients.big_group_share", 0);
    s.quic_share = share("clients.quic_share", 0);
    s.quic_obeys = share("clients.quic_obeys", 1);
    s.lost = share("clients.lost_share", 0);
    if (o.find("clients.placed")) s.placed = o.text("clients.placed");
    s.comes_back = ms("clients.comes_back_ms", 300);
    s.client_timeout = ms(o.renamed("clients.timeout_ms", "clients.patience_ms"), 3000);
    s.tries = whole("clients.tries", 8, 1);
    s.hop = ms("net.hop_ms", 1);
    if (s.hop < 200) o.refuse("net.hop_ms", "0.2 or more");
    s.jitter = ms("net.jitter_ms", 1);
    s.list_least = ms("list.late_least_ms", 20);
    s.list_most = std::max(s.list_least, ms("list.late_most_ms", 1000));
    s.report_late = ms("reports.late_ms", 50);
    s.report_noise = real("reports.noise", 0);
    s.cold_share = share("cold.share", 0.3);
    if (s.cold_share <= 0) o.refuse("cold.share", "a share above 0");
    s.warm_within = ms("cold.warm_ms", 30000);
    s.falls_over = ms("falls.over_ms", 4000);
    s.back_after = ms("falls.back_ms", 5000);
    s.wave = share("wave.amplitude", 0);
    s.wave_period = std::max<Time>(kSecond, ms("wave.period_ms", 60000));
    s.slo = ms("clients.slo_ms", 500);
    s.aim = ms("clients.aim_ms", 150);
    s.rebalance = rebalance::settings_from(config::sub_options(o, "rebalance", place_ + ": rebalance: "));
    if (std::vector<std::string> unread = o.unread(); !unread.empty())
      o.refuse(unread.front(), "no such key");
    for (auto& [h, line] : happenings_) {
      number_ = line;
      if (!h.kind.empty() && s.worker(h.kind, h.number) < 0)
        refuse("there is no worker " + h.kind + "." + std::to_string(h.number));
      if (h.what == Happening::What::kill_balancer && (h.number < 1 || h.number > s.balancers))
        refuse("there is no balancer " + std::to_string(h.number));
      s.happenings.push_back(h);
    }
    if (!s.placed.empty() && s.worker(s.placed, 1) < 0) o.refuse("clients.placed", "a kind of workers");
    s.expectations = expectations_;
    return s;
  }

  const std::string place_;
  int number_ = 0;
  config::Values values_;
  std::vector<std::string> kinds_;  // in the order of the file
  std::vector<std::pair<Happening, int>> happenings_;
  std::vector<Expectation> expectations_;
};

}  // namespace

int Scenario::workers() const {
  int all = 0;
  for (const Kind& k : kinds) all += k.count;
  return all;
}

int Scenario::worker(const std::string& kind, int number) const {
  int before = 0;
  for (const Kind& k : kinds) {
    if (k.name == kind) return number >= 1 && number <= k.count ? before + number - 1 : -1;
    before += k.count;
  }
  return -1;
}

std::pair<const Kind*, int> Scenario::place_of(int worker) const {
  for (const Kind& k : kinds) {
    if (worker < k.count) return {&k, worker + 1};
    worker -= k.count;
  }
  throw std::out_of_range("there is no such worker");
}

std::string Scenario::name_of(int worker) const {
  auto [kind, number] = place_of(worker);
  return kind->name + "-" + std::to_string(number);
}

Scenario scenario_from(const std::string& text, const std::string& place,
                       const std::vector<std::pair<std::string, std::string>>& changes) {
  return Reader(place).read(text, changes);
}

Scenario scenario_in(const std::string& path,
                     const std::vector<std::pair<std::string, std::string>>& changes) {
  auto text = config::read_file(path);
  if (!text) throw config::DecodeError(path + ": cannot be read");
  return scenario_from(*text, path, changes);
}

}  // namespace marblehub::model
