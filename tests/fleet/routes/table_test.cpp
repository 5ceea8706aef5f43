#include "fleet/routes/table.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <new>
#include <random>
#include <sstream>

static thread_local std::uint64_t allocations = 0;
#ifndef __SANITIZE_ADDRESS__  // the sanitizer has its own allocators and would report a mismatch
void* operator new(std::size_t size) {
  ++allocations;
  if (void* p = std::malloc(size)) return p;
  throw std::bad_alloc();
}
void operator delete(void* p) noexcept { std::free(p); }
void operator delete(void* p, std::size_t) noexcept { std::free(p); }
#endif

namespace marblehub::fleet::test {
namespace {

const KnownCalls kCalls{{"ride", "park"}, {"acme"}};
const std::vector<ListedWorker> kListed{{"w-1", "n", "big", "0"}, {"w-2", "s", "small", "1"}};
const std::string kPools =
    R"("pools": [{"name": "north", "zones": ["n"]}, {"name": "south", "zones": ["s", "x"]}])";

std::string why(const std::string& text, std::uint64_t newest = 0) {
  try {
    parse_and_check_table(text, "deploy/routes.json", newest, kCalls, kListed);
  } catch (const config::DecodeError& error) {
    return error.what();
  }
  return "";
}
std::string with(const std::string& rules, int version = 3) {
  return "{\"version\": " + std::to_string(version) + ", " + kPools + ", \"rules\": [" + rules + "]}";
}

}  // namespace

TEST_CASE("an invalid table is refused with file and key") {
  CHECK(why(with(R"({"class": "ride", "area": "7", "pool": "north", "fallback": "south"})")).empty());
  const std::pair<std::string, std::string> wrong[] = {
      {with(R"({"area": "7", "pool": "north", "pol": "x"})"), "rules.0.pol: expected no such key"},
      {R"({"version": 3, "extra": 1})", "extra: expected no such key"},
      {R"({"pools": []})", "version: expected a value"},
      {R"({"version": "three"})", "version: expected a number"},
      {R"({"version": -3})", "version: expected a number"},
      {with(R"({"area": "7", "pool": "east"})"), "rules.0.pool: expected one of the pools"},
      {with(R"({"area": "7"})"), "rules.0.pool: expected a name"},
      {with(R"({"area": "7", "pool": "north", "fallback": "east"})"), "rules.0.fallback: expected one of"},
      {with(R"({"class": "fly", "pool": "north"})"), "rules.0.class: expected a known class"},
      {with(R"({"tenant": "zeta", "pool": "north"})"), "rules.0.tenant: expected a known tenant"},
      {with(R"({"area": "7", "pool": "north"}, {"area": "7", "pool": "south"})"),
       "rules.1.area: expected what no"},
      {with(R"({"area": "7", "pool": "north"}, {"class": "ride", "area": "7", "pool": "south"})"),
       "rules.1.area: expected what no earlier rule takes; rules.0 fits"},
      {with(R"({"pool": "north"}, {"class": "ride", "pool": "south"})"), "rules.1.class"},
      {R"({"version": 3, "pools": [{"name": "a"}, {"name": "a"}]})", "pools.1.name"},
      {R"({"version": 3, "pools": [{"name": "a", "zones": ["n", "n"]}]})", "pools.0.zones"},
      {R"({"version": 3, "pools": [{"name": "a"}, {"name": "b", "zones": ["q"]}]})",
       "pools.1: expected a listed"},
      {R"({"version": 3, "pools": [{"name": "a", "zones": ["n"], "types": ["small"]}]})",
       "pools.0: expected a listed"},
      {R"({"version": 3, "pools": ["a"]})", "pools: expected a list of objects"},
      {R"({"version": 3, "otherwise": "east"})", "otherwise: expected one of"},
      {"[1]", "expected a JSON object"},
      {"{\"version\": 3", "expected a JSON object"},
      {std::string(200'000, '['), "nested too deep"},
      {std::string(kMaxRouteTableBytes + 1, ' '), "expected at most 262144 octets"},
  };
  for (const auto& [text, key] : wrong) {
    CAPTURE(text.substr(0, 200), key, why(text));
    CHECK(why(text).find("deploy/routes.json: ") == 0);
    CHECK(why(text).find(key) != std::string::npos);
  }
  CHECK(why(with("", 3), 3).find("version: expected above 3") != std::string::npos);
  CHECK(why(with("", 2), 3).find("version: expected above 3") != std::string::npos);
  CHECK(why(with("", 4), 3).empty());
  auto many = [](std::size_t n) {
    std::string text = R"({"version": 1, "pools": [)";
    for (std::size_t i = 0; i < n; ++i)
      text += (i ? ", " : "") + std::string(R"({"name": ")") + std::to_string(i) + "\"}";
    return text + "]}";
  };
  CHECK(why(many(63)).empty());
  CHECK(why(many(64)).find("pools: expected at most 63") != std::string::npos);
}

TEST_CASE("the sample routes.json is valid and proposes nothing") {
  std::ifstream file(MARBLEHUB_SOURCE "/deploy/routes.json");
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(parse_and_check_table(text.str(), "deploy/routes.json", 7, {}, kListed).version == 0);
}

TEST_CASE("a worker's mask has the bits of its pools and the bit of any worker") {
  Table table = parse_and_check_table(
      R"({"version": 1, "pools": [{"name": "n", "zones": ["n"]}, {"name": "both", "zones": ["n", "s"]},)"
      R"( {"name": "s-small", "zones": ["s"], "types": ["small"]}, {"name": "one", "workers": ["w-2"]}]})",
      "f", 0, kCalls, kListed);
  CHECK(pools_containing(table, kListed[0]) == (kAnyWorkerBit | 3));
  CHECK(pools_containing(table, kListed[1]) == (kAnyWorkerBit | 14));
  CHECK((Route{}.pool & kAnyWorkerBit) != 0);
}

TEST_CASE("the matcher finds the first matching rule, as a linear search does, without allocation") {
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    std::mt19937 rng(seed);
    Table table;
    table.version = 5;
    for (int i = 0; i < 20; ++i) table.pools.push_back({"p" + std::to_string(i), {}, {}, {}, {}});
    auto name = [&](unsigned of) { return rng() % 3 ? "x" + std::to_string(rng() % of) : std::string(); };
    for (int i = 0; i < 200; ++i)
      table.rules.push_back({name(3), name(4), name(30), "p" + std::to_string(rng() % 20),
                             rng() % 2 ? "p" + std::to_string(rng() % 20) : ""});
    // Shadowed rules are removed, since they would be refused when a table is decoded.
    auto matches = [](const std::string& rule, const std::string& call) {
      return rule.empty() || rule == call;
    };
    std::vector<Rule> kept;
    for (const Rule& r : table.rules) {
      bool shadowed = false;
      for (const Rule& k : kept)
        shadowed |= matches(k.service_class, r.service_class) && matches(k.tenant, r.tenant) &&
                    matches(k.area, r.area);
      if (!shadowed) kept.push_back(r);
    }
    table.rules = kept;
    const Matcher matcher(table);
    for (int i = 0; i < 500; ++i) {
      const std::string c = name(4), t = name(5), a = name(40);
      std::size_t best = 0;
      while (best < kept.size() && !(matches(kept[best].service_class, c) && matches(kept[best].tenant, t) &&
                                     matches(kept[best].area, a)))
        ++best;
      const std::uint64_t before = allocations;
      const Route route = matcher.route(c, t, a);
      CHECK(allocations == before);
      auto bit = [](const std::string& pool) {
        return pool.empty() ? PoolMask{0} : PoolMask{1} << std::stoi(pool.substr(1));
      };
      CHECK(route.version == 5);
      CHECK(route.pool == (best < kept.size() ? bit(kept[best].pool) : ~PoolMask{0}));
      CHECK(route.fallback == (best < kept.size() ? bit(kept[best].fallback) : ~PoolMask{0}));
    }
  }
}

}  // namespace marblehub::fleet::test
