#include "wire.h"

#include <istream>
#include <optional>
#include <ostream>

namespace marblehub::policy::adapter {
namespace {

using marblehub::config::Options;
using marblehub::config::parse_number;
using marblehub::config::settings_from;

void append(std::string& reply, std::string_view verb, int instance) {
  reply += verb;
  reply += ' ';
  reply += std::to_string(instance);
}

/// Visitor for std::visit made of several lambdas.
template <class... Parts>
struct Overloaded : Parts... {
  using Parts::operator()...;
};
template <class... Parts>
Overloaded(Parts...) -> Overloaded<Parts...>;  // required by clang before 17

}  // namespace

/// Reads the space-separated fields of one line from left to right. Every reader throws WireError if the
/// field is missing or invalid; `what` describes the expected value.
class Adapter::Fields {
 public:
  Fields(std::string_view line, std::size_t number)
      : rest_(line), has_more_(!line.empty()), number_(number) {}

  std::string location() const { return "line " + std::to_string(number_) + ": "; }
  [[noreturn]] void fail(std::string_view expected) const {
    throw WireError(location() + "expected " + std::string(expected));
  }
  bool has_more() const { return has_more_; }
  std::string_view text(std::string_view what) {
    if (!has_more_) fail(what);
    std::size_t space = rest_.find(' ');
    std::string_view part = rest_.substr(0, space);
    has_more_ = space != std::string_view::npos;
    rest_ = has_more_ ? rest_.substr(space + 1) : std::string_view();
    if (part.empty()) fail(what);
    return part;
  }
  template <class Number>
  Number number(std::string_view what) {
    std::optional<Number> value = parse_number<Number>(text(what));
    if (!value || *value < 0) fail(what);
    return *value;
  }
  // A number, or "-", which is read as 0.
  template <class Number>
  Number number_or_absent(std::string_view what) {
    std::string_view part = text(what);
    if (part == "-") return 0;
    std::optional<Number> value = parse_number<Number>(part);
    if (!value || *value < 0) fail(what);
    return *value;
  }
  bool flag(std::string_view what) {
    std::string_view part = text(what);
    if (part != "0" && part != "1") fail(what);
    return part == "1";
  }
  template <class Choice>
  Choice choice(std::string_view what, std::initializer_list<std::pair<std::string_view, Choice>> choices) {
    std::string_view part = text(what);
    for (const auto& [name, meaning] : choices)
      if (part == name) return meaning;
    fail(what);
  }
  Outcome outcome() {
    return choice<Outcome>("an outcome code: S, E, F, T, C, R, X or N", {{"S", Outcome::served},
                                                                         {"E", Outcome::error},
                                                                         {"F", Outcome::full},
                                                                         {"T", Outcome::timeout},
                                                                         {"C", Outcome::connect_failed},
                                                                         {"R", Outcome::reset},
                                                                         {"X", Outcome::cancelled},
                                                                         {"N", Outcome::not_sent}});
  }
  // Comma-separated name:value pairs, or "-". Unknown names are ignored.
  LoadReport report() {
    std::string_view all = text("a load report or -");
    LoadReport report;
    double cpu = -1;
    if (all == "-") return report;
    while (!all.empty()) {
      std::string_view pair = all.substr(0, all.find(','));
      all = pair.size() < all.size() ? all.substr(pair.size() + 1) : std::string_view();
      std::size_t colon = pair.find(':');
      if (colon == std::string_view::npos) fail("name:value in the load report");
      std::optional<double> value = parse_number<double>(pair.substr(colon + 1));
      if (!value) fail("a number in the load report");
      if (pair.substr(0, colon) == "x0") report.load = *value;
      if (pair.substr(0, colon) == "cpu") cpu = *value;
    }
    if (report.load < 0) report.load = cpu;
    return report;
  }
  void expect_end() const {
    if (has_more_) fail("the end of the line");
  }

 private:
  std::string_view rest_;
  bool has_more_;
  std::size_t number_;
};

bool Adapter::read_line(std::istream& in) {
  if (!std::getline(in, line_)) return false;
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  ++line_number_;
  return true;
}

void Adapter::serve(std::istream& in, std::ostream& out) {
  std::string reply;
  while (read_line(in)) {
    if (line_.empty()) continue;
    reply.clear();
    read_batch(in, reply);
    reply += "eor\n";
    out << reply << std::flush;
  }
}

void Adapter::read_batch(std::istream& in, std::string& reply) {
  {
    Fields fields(line_, line_number_);
    if (fields.text("tick") != "tick") fields.fail("tick");
    Time clock = fields.number<Time>("the clock in microseconds");
    fields.expect_end();
    if (clock < now_) fields.fail("a clock not less than the previous one");
    now_ = clock;
  }
  while (read_line(in)) {
    Fields fields(line_, line_number_);
    std::string_view verb = fields.text("an event or go");
    if (verb == "go") {
      fields.expect_end();
      return;
    }
    if (verb == "pool") {
      read_pool(fields, in);
    } else {
      read_event(verb, fields, reply);
    }
  }
  throw WireError("line " + std::to_string(line_number_ + 1) + ": expected go, found the end of input");
}

void Adapter::read_pool(Fields& fields, std::istream& in) {
  auto slot = fields.number<std::size_t>("a list number from 0 to 15");
  if (slot >= pools_.size()) fields.fail("a list number from 0 to 15");
  auto count = fields.number<std::size_t>("the number of entries");
  fields.expect_end();
  auto entries = std::make_shared<Entries>();
  for (std::size_t i = 0; i < count; ++i) {
    if (!read_line(in))
      throw WireError("line " + std::to_string(line_number_ + 1) +
                      ": expected entry, found the end of input");
    Fields entry(line_, line_number_);
    if (entry.text("entry") != "entry") entry.fail("entry");
    BackendEntry b;
    b.health = entry.choice<Health>(
        "SERVING, DRAINING or DELETED",
        {{"SERVING", Health::serving}, {"DRAINING", Health::draining}, {"DELETED", Health::deleted}});
    entry.text("the machine type");
    b.start_time = entry.number_or_absent<Time>("the start time");
    b.scale = entry.number_or_absent<double>("the scale");
    b.zone = entry.text("the zone");
    b.address = entry.text("the backend");
    b.cell = entry.number_or_absent<std::int64_t>("the cell");
    entry.expect_end();
    entries->push_back(std::move(b));
  }
  pools_[slot] = std::move(entries);
}

void Adapter::attach(int number, Fields& fields) {
  auto seed = fields.number<std::uint64_t>("a seed");
  std::map<std::string, std::string, std::less<>> values;
  while (fields.has_more()) {
    std::string_view pair = fields.text("path=value");
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) fields.fail("path=value");
    values.emplace(pair.substr(0, equals), pair.substr(equals + 1));
  }
  Instance instance;
  instance.settings = settings_from(Options(std::move(values), fields.location()));
  for (std::size_t i = 0; i < instance.settings.classes.size(); ++i)
    instance.class_index.emplace(instance.settings.classes[i].name, static_cast<int>(i));
  instance.balancer = std::make_unique<Balancer>(instance.settings, seed, now_);
  instances_[number] = std::move(instance);
}

RequestEvent Adapter::read_request(Fields& fields, const Instance& instance, bool handed_over,
                                   std::string* backend) {
  RequestEvent request;
  request.id = fields.number<std::uint64_t>("a request id");
  auto read_flags = [&] {
    auto flags = fields.number<unsigned>("the bitmap");
    request.returned = flags & 16;
    return flags;
  };
  auto read_class = [&] {
    auto it = instance.class_index.find(fields.text("a class"));
    if (it == instance.class_index.end()) fields.fail("a class named in request_classes");
    request.request_class = it->second;
  };
  // Bit 0: the load hint is valid. Bit 4: the client reconnects.
  unsigned flags = 0;
  if (handed_over) {
    read_class();
    fields.text("a tenant or -");
    fields.number_or_absent<std::uint64_t>("a key or -");
    request.expires_in = fields.number_or_absent<Time>("the remaining time");
    request.load_hint = fields.number_or_absent<double>("a load hint or -");
    request.group = fields.number_or_absent<std::uint64_t>("a group or -");
    flags = read_flags();
    *backend = fields.text("a backend");
  } else {
    flags = read_flags();
    fields.number_or_absent<std::uint64_t>("a key or -");
    request.group = fields.number_or_absent<std::uint64_t>("a group or -");
    fields.text("a tenant or -");
    request.load_hint = fields.number_or_absent<double>("a load hint or -");
    read_class();
    request.expires_in = fields.number_or_absent<Time>("the remaining time");
  }
  if (!(flags & 1)) request.load_hint = 0;
  fields.expect_end();
  return request;
}

void Adapter::read_event(std::string_view verb, Fields& fields, std::string& reply) {
  static constexpr std::string_view verbs[] = {"attach",      "members", "work_item", "result",
                                               "handover",    "inbox",   "ring",      "first",
                                               "ping_result", "interim", "stop",      "gone"};
  bool is_known = false;
  for (std::string_view v : verbs) is_known |= v == verb;
  if (!is_known) fields.fail("a known event or go");
  int number = fields.number<int>("an instance");
  if (verb == "attach") return attach(number, fields);
  auto it = instances_.find(number);
  if (it == instances_.end()) fields.fail("an instance that has been attached");
  Instance& instance = it->second;

  Event event;
  if (verb == "members") {
    EndpointListEvent e;
    fields.number_or_absent<std::uint64_t>("the version of the list");
    std::string_view slot_text = fields.text("a list number");
    e.kind = fields.choice<EndpointListKind>("changes, all, remembered or refused",
                                             {{"changes", EndpointListKind::changes},
                                              {"all", EndpointListKind::full},
                                              {"remembered", EndpointListKind::cached},
                                              {"refused", EndpointListKind::failed}});
    if (e.kind != EndpointListKind::failed) {
      std::optional<std::size_t> slot = parse_number<std::size_t>(slot_text);
      if (!slot || *slot >= pools_.size() || !pools_[*slot])
        fields.fail("the number of a pool received before");
      e.entries = pools_[*slot];
    }
    // A pushed list is confirmed by no answer: what has changed since follows by itself.
    if (e.kind == EndpointListKind::cached && !instance.settings.pull_endpoints)
      e.kind = EndpointListKind::full;
    event = std::move(e);
  } else if (verb == "work_item") {
    event = read_request(fields, instance, false, nullptr);
  } else if (verb == "handover") {
    HandoverEvent e;
    e.request = read_request(fields, instance, true, &e.backend);
    event = std::move(e);
  } else if (verb == "result") {
    ResultEvent e;
    e.id = fields.number<std::uint64_t>("a request id");
    e.attempt = fields.number<int>("an attempt number");
    e.terminal = fields.flag("0 or 1");
    e.backend = fields.text("a backend");
    e.rtt = fields.number<Time>("the elapsed time");
    e.outcome = fields.outcome();
    e.report = fields.report();
    event = std::move(e);
  } else if (verb == "first") {
    EstablishedEvent e;
    e.id = fields.number<std::uint64_t>("a request id");
    fields.text("a backend");
    e.attempt = fields.number<int>("an attempt number");
    e.rtt = fields.number<Time>("the elapsed time");
    event = e;
  } else if (verb == "ping_result") {
    ProbeResultEvent e;
    e.backend = fields.text("a backend");
    e.rtt = fields.number<Time>("the elapsed time");
    e.outcome = fields.outcome();
    e.report = fields.report();
    event = std::move(e);
  } else if (verb == "interim") {
    ConnectionUpdateEvent e;
    e.id = fields.number<std::uint64_t>("a request id");
    e.attempt = fields.number<int>("an attempt number");
    e.kind = fields.choice<ConnectionUpdateKind>(
        "1 or 2", {{"1", ConnectionUpdateKind::load_changed}, {"2", ConnectionUpdateKind::messages_slow}});
    fields.text("a backend");
    e.value = fields.number<double>("a level");
    event = e;
  } else if (verb == "ring") {
    event = TimerEvent{fields.number<std::uint64_t>("a cookie")};
  } else if (verb == "gone") {
    event = ClientGoneEvent{fields.number<std::uint64_t>("a request id")};
  } else if (verb == "inbox") {
    return;  // balancers exchange no messages, so the rest of the line is ignored
  } else {
    fields.expect_end();
    instance.balancer.reset();  // stop
    return;
  }
  fields.expect_end();
  if (!instance.balancer) return;
  actions_.clear();
  instance.balancer->handle(now_, event, actions_);
  write(number, reply);
}

void Adapter::write(int number, std::string& reply) const {
  auto put = [&](std::string_view verb, auto... values) {
    append(reply, verb, number);
    auto append_value = [&](const auto& value) {
      reply += ' ';
      if constexpr (std::is_integral_v<std::decay_t<decltype(value)>>) {
        reply += std::to_string(value);
      } else {
        reply += value;
      }
    };
    (append_value(values), ...);
    reply += '\n';
  };
  for (const Action& action : actions_) {
    std::visit(
        Overloaded{[&](const Submit& a) { put("submit_to", a.id, std::string_view(a.backend), a.deadline); },
                   [&](const Reject& a) { put("decline", a.id, a.retry_after); },
                   [&](const Fail& a) { put("surrender", a.id); },
                   [&](const Redirect& a) { put("redirect", a.id); },
                   [&](const Probe& a) { put("check", std::string_view(a.backend)); },
                   [&](const WatchEndpoints&) { put("track", 1); },
                   [&](const SetTimer& a) { put("set_alarm", a.after, a.cookie); }},
        action);
  }
}

}  // namespace marblehub::policy::adapter
