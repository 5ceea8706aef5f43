#include "net/lines.h"

#include <algorithm>
#include <set>

#include "config/options.h"

namespace marblehub::net {
namespace {

constexpr std::size_t kMaxTokenLength = 128;  // of an id or a key

// Start and length of the value of name=value in the line's last word, whose fields are separated by commas.
std::optional<std::pair<std::size_t, std::size_t>> find_field(std::string_view line, std::string_view name) {
  std::size_t at = line.rfind(' ');
  if (at == std::string_view::npos) return std::nullopt;
  for (at += 1; at < line.size();) {
    std::size_t end = std::min(line.find(',', at), line.size());
    std::string_view pair = line.substr(at, end - at);
    if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
      return std::pair(at + name.size() + 1, pair.size() - name.size() - 1);
    at = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> take_line(std::string& buffer) {
  std::size_t end = buffer.find('\n');
  if (end == std::string::npos) return std::nullopt;
  std::string line = buffer.substr(0, end > 0 && buffer[end - 1] == '\r' ? end - 1 : end);
  buffer.erase(0, end + 1);
  return line;
}

std::string_view without_line_end(std::string_view line) {
  return line.substr(0, line.find_last_not_of("\r\n") + 1);
}

std::string_view verb_of(std::string_view line) {
  line = without_line_end(line);
  return line.substr(0, line.find(' '));
}

std::optional<std::string_view> field(std::string_view line, std::string_view name) {
  auto at = find_field(line, name);
  if (!at) return std::nullopt;
  return line.substr(at->first, at->second);
}

std::string with_field(std::string_view line, std::string_view name, std::string_view value) {
  std::string out(line);
  if (auto at = find_field(line, name)) out.replace(at->first, at->second, value);
  return out;
}

std::optional<Opening> parse_opening(std::string_view line) {
  auto cut = [](std::string_view& rest, char at) {
    std::size_t end = std::min(rest.find(at), rest.size());
    std::string_view segment = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return segment;
  };
  auto token = [](std::string_view text) {
    return !text.empty() && text.size() <= kMaxTokenLength &&
           text.find_first_of("=,") == std::string_view::npos;
  };
  if (!std::all_of(line.begin(), line.end(), [](char c) { return c >= ' ' && c <= '~'; }))
    return std::nullopt;
  if (cut(line, ' ') != "OPEN") return std::nullopt;
  Opening opening;
  opening.id = cut(line, ' ');
  std::string_view key = cut(line, ' ');
  if (!token(opening.id) || !token(key) || line.find(' ') != std::string_view::npos) return std::nullopt;
  std::set<std::string_view> seen;
  for (bool more = true; more;) {
    more = line.find(',') != std::string_view::npos;
    std::string_view value = cut(line, ','), name = cut(value, '=');
    if (name.empty() || !seen.insert(name).second)
      return std::nullopt;  // a worker may use the other one of two
    if (name == "c") opening.request_class = value;
    if (name == "g") opening.group = value;
    if (name == "at") opening.worker = value;
    if (name == "again") opening.returning = value == "1";
    if (name == "d") {
      auto wait = config::parse_number<std::int64_t>(value);  // rejects nan, inf and overflow
      if (!wait || *wait < 0) return std::nullopt;
      opening.wait_ms = *wait;
    }
    if (name == "h") {
      auto load = config::parse_number<double>(value);
      if (!load || *load < 0) return std::nullopt;
      opening.load_hint = *load;
    }
  }
  bool complete =
      seen.count("c") && (seen.count("d") || seen.count("at")) && seen.count("at") == !opening.worker.empty();
  return complete ? std::optional(opening) : std::nullopt;
}

std::uint64_t nonzero_name_hash(std::string_view name) { return marblehub::policy::name_hash(name) | 1; }

core::LoadReport parse_load_report(std::string_view line) {
  core::LoadReport report;
  auto number = [&](std::string_view name) -> double {
    auto text = field(line, name);
    auto value = text ? config::parse_number<double>(*text) : std::nullopt;
    return value && *value >= 0 ? *value : -1;
  };
  report.load = number("x0");
  if (report.load < 0) report.load = number("util");
  if (report.load < 0) report.load = number("cpu");
  return report;
}

std::string_view LineAssembler::add(std::string_view bytes) {
  returned_.clear();
  const std::size_t last_line_end = bytes.rfind('\n');
  std::size_t length = last_line_end == std::string_view::npos ? 0 : last_line_end + 1;
  line_length_ = (length > 0 ? 0 : line_length_) + bytes.size() - length;
  if (inside_overlong_line()) length = bytes.size();
  const std::string_view passed = bytes.substr(0, length), rest = bytes.substr(length);
  if (!passed.empty() && !held_.empty()) returned_ = std::exchange(held_, {}).append(passed);
  held_.append(rest);
  return returned_.empty() ? passed : std::string_view(returned_);
}

std::string LineAssembler::take_rest() {
  line_length_ = 0;
  return std::exchange(held_, {});
}

}  // namespace marblehub::net
