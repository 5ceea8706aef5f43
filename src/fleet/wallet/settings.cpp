#include <fmt/format.h>

#include <algorithm>

#include "config/json.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {
namespace {

using config::Options;

std::int64_t units(const Options& options, const std::string& key, std::int64_t min) {
  auto value = config::parse_number<std::int64_t>(options.text(key));
  if (!value || *value < min || *value > kMaxUnits)
    options.refuse(key, fmt::format("whole units, {} to 2^53", min));
  return *value;
}

const std::string& name(const Options& options, const std::string& key) {
  const std::string& text = options.text(key);
  if (text.empty() || text.size() > 128) options.refuse(key, "a name of 1 to 128 bytes");
  return text;
}

Time duration(const Options& options, const char* key, double unit, double min, double max, Time absent) {
  if (!options.find(key)) return absent;
  double value = options.number<double>(key, min);
  if (value > max) options.refuse(key, fmt::format("{} at most", max));
  return static_cast<Time>(value * unit);
}

// The length of a list of objects; an empty list flattens to an empty value.
std::size_t length(const Options& options, const std::string& list, std::size_t max) {
  if (const std::string* empty = options.find(list)) {
    if (!empty->empty()) options.refuse(list, "a list of objects");
    return 0;
  }
  auto count = options.number_or<std::size_t>(list + ".count", 0, 0);
  if (count > max) options.refuse(list, fmt::format("{} at most", max));
  return count;
}

}  // namespace

WalletSettings wallet_settings_from(const Options& options, const std::vector<std::string>& classes) {
  WalletSettings s;
  if (options.find("unknown"))
    s.unknown_served = options.choice<bool>("unknown", {{"serve", true}, {"refuse", false}});
  s.term = duration(options, "term_s", 1e6, 1, 600, s.term);
  s.ahead = duration(options, "ahead_s", 1e6, 0.05, 60, s.ahead);
  s.pause = duration(options, "pause_ms", 1e3, 100, 60'000, s.pause);
  if (s.ahead * 2 > s.term) options.refuse("ahead_s", "at most half of term_s");
  if (options.find("held_back_most")) s.max_held_back = units(options, "held_back_most", 1);
  std::size_t prices = length(options, "prices", 1024);
  for (std::size_t i = 0; i < prices; ++i) {
    std::string path = fmt::format("prices.{}.", i);
    std::int64_t price = units(options, path + "units", 0);
    if (price > s.max_held_back)
      options.refuse(path + "units", "at most held_back_most: no slice could cover such a call");
    const std::string& priced = name(options, path + "class");
    if (!classes.empty() && std::find(classes.begin(), classes.end(), priced) == classes.end())
      options.refuse(path + "class", "a class of the start file, not \"" + priced + "\"");
    if (!s.prices.emplace(priced, price).second) options.refuse(path + "class", "each class once");
  }
  std::size_t deposits = length(options, "deposits", 65'536);
  std::map<std::string, std::int64_t> sums;
  for (std::size_t i = 0; i < deposits; ++i) {
    std::string path = fmt::format("deposits.{}.", i);
    const std::string& wallet = name(options, path + "wallet");
    std::int64_t amount = units(options, path + "units", 1);
    if (!s.deposits[wallet].emplace(name(options, path + "id"), amount).second)
      options.refuse(path + "id", "each id once in a wallet");
    std::int64_t& sum = sums[wallet];
    if (amount > kMaxUnits - sum) options.refuse(path + "units", "a sum of at most 2^53 in a wallet");
    sum += amount;
  }
  std::vector<std::string> unread = options.unread();
  if (!unread.empty()) options.refuse(unread.front(), "no such key");
  return s;
}

void check_deposits(const WalletSettings& settings, const Ledger& ledger, const std::string& place) {
  for (const auto& [tenant, deposits] : settings.deposits) {
    auto it = ledger.wallets.find(tenant);
    if (it == ledger.wallets.end()) continue;
    std::int64_t sum = 0;
    for (const auto& [id, amount] : deposits) sum += amount;
    std::int64_t used = it->second.paid - it->second.balance;  // spent, held back or in slices
    if (sum < used)
      throw config::DecodeError(
          fmt::format("{}setting deposits of {}: expected a sum of {} or more, which is spent or in slices, "
                      "not {}",
                      place, tenant, used, sum));
  }
}

}  // namespace marblehub::fleet
