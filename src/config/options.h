/// Decodes settings from path=value pairs, which the adapter makes from its attach line and the program from
/// JSON documents.
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

/// An error in the input. what() is one line that names the place and, if a single one is at fault, the key.
class DecodeError : public std::runtime_error {
 public:
  explicit DecodeError(const std::string& message) : std::runtime_error(message) {}
  DecodeError(const std::string& place, std::string_view key, std::string_view expected)
      : std::runtime_error(place + "setting " + std::string(key) + ": expected " + std::string(expected)),
        key_(key) {}

  /// The key at fault; empty if the error concerns the whole input.
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

/// Parses the whole text as a number; none if that fails or the value is not finite.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if constexpr (std::is_floating_point_v<Number>)
    if (!std::isfinite(value)) return std::nullopt;
  return value;
}

/// The text of each value, by dotted path such as limits.max_attempts.
using Values = std::map<std::string, std::string, std::less<>>;

/// Path=value pairs and their source. Keeps track of the keys that are read. Functions that return a value
/// throw DecodeError if it is invalid, or missing without a default. `place`, as in "FILE: ", precedes each
/// error message.
class Options {
 public:
  Options(Values values, std::string place) : values_(std::move(values)), place_(std::move(place)) {}
  /// A part of `parent`, which must outlive it. A key that is read here is marked as read in `parent`
  /// too, as `prefix` and key.
  Options(Values values, std::string place, const Options& parent, std::string prefix)
      : values_(std::move(values)), place_(std::move(place)), parent_(&parent), prefix_(std::move(prefix)) {}

  /// Throws DecodeError for this key. `expected` describes the valid values.
  [[noreturn]] void refuse(std::string_view key, std::string_view expected) const {
    throw DecodeError(place_, key, expected);
  }
  /// The value, owned by this object; null if the key is missing.
  const std::string* find(std::string_view key) const {
    auto it = values_.find(key);
    if (it == values_.end()) return nullptr;
    mark_read(it->first);
    return &it->second;
  }
  /// The value as written.
  const std::string& text(std::string_view key) const {
    const std::string* value = find(key);
    if (!value) refuse(key, "a value");
    return *value;
  }
  /// A number, `min` or more.
  template <class Number>
  Number number(std::string_view key, Number min) const {
    std::optional<Number> value = parse_number<Number>(text(key));
    if (!value || *value < min) refuse(key, "a number, " + std::to_string(min) + " or more");
    return *value;
  }
  template <class Number>
  Number number_or(std::string_view key, Number min, Number default_value) const {
    return find(key) ? number<Number>(key, min) : default_value;
  }
  /// A number from `min` to 1.
  double share_or(std::string_view key, double min, double default_value) const {
    double value = number_or(key, min, default_value);
    if (value > 1) refuse(key, "a share from 0 to 1");
    return value;
  }
  /// True or false.
  bool flag(std::string_view key) const {
    const std::string& value = text(key);
    if (value != "true" && value != "false") refuse(key, "true or false");
    return value == "true";
  }
  /// The choice whose name is the value.
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
  /// The key under which a renamed setting is given: `current`, or `former`, its name in files of older
  /// versions, which is then added to former_keys(). Throws DecodeError if both are given.
  std::string_view renamed(std::string_view current, std::string_view former) const {
    if (!find(former)) return current;
    if (find(current)) refuse(former, "only " + std::string(current) + ", its present name");
    former_keys_.emplace(former, current);
    return former;
  }
  /// The former keys that were read, with the present key of each.
  const Values& former_keys() const { return former_keys_; }
  /// All pairs, whether read or not.
  const Values& values() const { return values_; }
  /// Keys that were not read, such as misspelt ones.
  std::vector<std::string> unread() const {
    std::vector<std::string> keys;
    for (const auto& [key, value] : values_)
      if (!read_.count(key)) keys.push_back(key);
    return keys;
  }

 private:
  void mark_read(const std::string& key) const {
    read_.insert(key);
    if (parent_) parent_->mark_read(prefix_ + key);
  }

  Values values_;
  std::string place_;
  const Options* parent_ = nullptr;
  std::string prefix_;
  // Mutable, since a const lookup records its key.
  mutable std::set<std::string> read_;
  mutable Values former_keys_;  // present keys by former keys
};

/// The policy's settings. Throws DecodeError.
marblehub::policy::Settings settings_from(const Options& options);

}  // namespace marblehub::config
