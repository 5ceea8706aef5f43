#include <catch2/catch.hpp>

#include "config/json.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {
namespace {

WalletSettings decode(const std::string& text) {
  return wallet_settings_from(config::flatten(text, "wallet.json: "));
}

}  // namespace

TEST_CASE("The shipped wallet file has no deposits and no prices", "[wallet]") {
  WalletSettings s = wallet_settings_from(config::load_options(MARBLEHUB_SOURCE "/deploy/wallet.json"));
  CHECK(s.deposits.empty());
  CHECK(s.prices.empty());
  CHECK(s.unknown_served);
  CHECK(s.term == 10 * kSecond);
}

TEST_CASE("All keys of a wallet file are decoded", "[wallet]") {
  WalletSettings s = decode(R"({"unknown": "refuse", "term_s": 5, "ahead_s": 0.5, "held_back_most": 50,
    "pause_ms": 500, "prices": [{"class": "a", "units": 2}, {"class": "b", "units": 0}],
    "deposits": [{"wallet": "p", "id": "1", "units": 9007199254740992}, {"wallet": "q", "id": "1", "units": 7}]})");
  CHECK_FALSE(s.unknown_served);
  CHECK(s.term == 5 * kSecond);
  CHECK(s.ahead == 500 * kMillisecond);
  CHECK(s.pause == 500 * kMillisecond);
  CHECK(s.max_held_back == 50);
  CHECK(s.prices == std::map<std::string, std::int64_t>{{"a", 2}, {"b", 0}});
  CHECK(s.deposits["p"]["1"] == kMaxUnits);
  CHECK(s.deposits["q"]["1"] == 7);
}

TEST_CASE("Invalid wallet files are refused with file and key", "[wallet]") {
  auto [text, key] = GENERATE(table<std::string, std::string>({
      {R"({"term": 5})", "term"},
      {R"({"term_s": "5s"})", "term_s"},
      {R"({"term_s": 0.5})", "term_s"},
      {R"({"term_s": 601})", "term_s"},
      {R"({"ahead_s": 6})", "ahead_s"},
      {R"({"pause_ms": 99})", "pause_ms"},
      {R"({"held_back_most": 1.5})", "held_back_most"},
      {R"({"held_back_most": -1})", "held_back_most"},
      {R"({"unknown": "free"})", "unknown"},
      {R"({"prices": [{"class": "a", "units": -1}]})", "prices.0.units"},
      {R"({"prices": [{"class": "a", "units": 1001}]})", "prices.0.units"},
      {R"({"prices": [{"class": "a", "units": 1}, {"class": "a", "units": 2}]})", "prices.1.class"},
      {R"({"prices": [{"class": "a", "units": 1, "unit": "call"}]})", "prices.0.unit"},
      {R"({"prices": "cheap"})", "prices"},
      {R"({"deposits": {"p": 5}})", "deposits.p"},
      {R"({"deposits": [{"wallet": "p", "id": "1", "units": 0}]})", "deposits.0.units"},
      {R"({"deposits": [{"wallet": "p", "id": "1", "units": "100 calls"}]})", "deposits.0.units"},
      {R"({"deposits": [{"wallet": "p", "id": "1", "units": 9007199254740993}]})", "deposits.0.units"},
      {R"({"deposits": [{"wallet": "p", "id": "1", "units": 9007199254740992},
                        {"wallet": "p", "id": "2", "units": 1}]})",
       "deposits.1.units"},
      {R"({"deposits": [{"wallet": "p", "id": "1", "units": 1}, {"wallet": "p", "id": "1", "units": 1}]})",
       "deposits.1.id"},
      {R"({"deposits": [{"wallet": "", "id": "1", "units": 1}]})", "deposits.0.wallet"},
      {R"({"deposits": [{"wallet": "p", "units": 1}]})", "deposits.0.id"},
  }));
  INFO(text);
  CHECK_THROWS_WITH(decode(text), Catch::Matchers::StartsWith("wallet.json: setting " + key + ": expected "));
}

}  // namespace marblehub::fleet
