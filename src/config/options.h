// The one place where settings and lists are decoded. A source (the bench's attach line, a JSON document)
// is brought into path=value pairs; everything after that is common to the adapter and the program.
#pragma once

#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "marblehub/policy.h"

namespace marblehub::config {

/// What is wrong with the input: what() is one plain line that names the place and, where one is at fault,
/// the key.
class DecodeError : public std::runtime_error {
 public:
  explicit DecodeError(const std::string& message) : std::runtime_error(message) {}
  DecodeError(const std::string& place, std::string_view key, std::string_view expected)
      : std::runtime_error(place + "setting " + std::string(key) + ": expected " + std::string(expected)),
        key_(key) {}

  /// The key at fault; empty where the input as a whole is wrong.
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if constexpr (std::is_floating_point_v<Number>)
    if (!std::isfinite(value)) return std::nullopt;
  return value;
}

using Values = std::map<std::string, std::string, std::less<>>;

// Path=value pairs, and where they came from.
class Options {
 public:
  Options(Values values, std::string place) : values_(std::move(values)), place_(std::move(place)) {}
  // A part of `whole`, which hears of the keys that are read here.
  Options(Values values, std::string place, const Options& whole, std::string prefix)
      : values_(std::move(values)), place_(std::move(place)), whole_(&whole), prefix_(std::move(prefix)) {}

  [[noreturn]] void refuse(std::string_view key, std::string_view expected) const {
    throw DecodeError(place_, key, expected);
  }
  const std::string* find(std::string_view key) const {
    auto it = values_.find(key);
    if (it == values_.end()) return nullptr;
    mark_read(it->first);
    return &it->second;
  }
  const std::string& text(std::string_view key) const {
    const std::string* value = find(key);
    if (!value) refuse(key, "a value");
    return *value;
  }
  template <class Number>
  Number number(std::string_view key, Number least) const {
    std::optional<Number> value = parse_number<Number>(text(key));
    if (!value || *value < least) refuse(key, "a number, " + std::to_string(least) + " or more");
    return *value;
  }
  template <class Number>
  Number number_or(std::string_view key, Number least, Number absent) const {
    return find(key) ? number<Number>(key, least) : absent;
  }
  double share_or(std::string_view key, double least, double absent) const {
    double value = number_or(key, least, absent);
    if (value > 1) refuse(key, "a share from 0 to 1");
    return value;
  }
  bool flag(std::string_view key) const {
    const std::string& value = text(key);
    if (value != "true" && value != "false") refuse(key, "true or false");
    return value == "true";
  }
  template <class Choice>
  Choice choice(std::string_view key,
                std::initializer_list<std::pair<std::string_view, Choice>> choices) const {
    const std::string& value = text(key);
    std::string names;
    for (const auto& [name, meaning] : choices) {
      if (value == name) return meaning;
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    refuse(key, "one of " + names);
  }
  // The key under which a renamed setting is given: `current`, or `former`, its name in files of older
  // versions, which is then among former_keys(). Throws DecodeError where both are given.
  std::string_view renamed(std::string_view current, std::string_view former) const {
    if (!find(former)) return current;
    if (find(current)) refuse(former, "only " + std::string(current) + ", its present name");
    former_keys_.emplace(former, current);
    return former;
  }
  // The former names that were read, each with the name to use in its place.
  const Values& former_keys() const { return former_keys_; }
  const Values& values() const { return values_; }
  // Keys that nobody has asked for: a misspelt one is among them.
  std::vector<std::string> unread() const {
    std::vector<std::string> keys;
    for (const auto& [key, value] : values_)
      if (!read_.count(key)) keys.push_back(key);
    return keys;
  }

 private:
  void mark_read(const std::string& key) const {
    read_.insert(key);
    if (whole_) whole_->mark_read(prefix_ + key);
  }

  Values values_;
  std::string place_;
  const Options* whole_ = nullptr;
  std::string prefix_;
  mutable std::set<std::string> read_;
  mutable Values former_keys_;
};

marblehub::policy::Settings settings_from(const Options& options);

}  // namespace marblehub::config
