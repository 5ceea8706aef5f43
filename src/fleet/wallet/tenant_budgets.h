// What this balancer may spend without asking: one till for each wallet, with the slices that it holds. The
// only part of the wallet on a call's way; nothing here waits, allocates or throws once it is built.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

// open: spent from. closing: nothing new is reserved, what is reserved may still be served. returning: exact,
// and on its way to the record. lapsed: the record counts it as spent in full until `returning` again.
enum class Stage : std::uint8_t { empty, open, closing, returning, lapsed };

struct Held {
  std::string id;
  Stage stage = Stage::empty;
  bool was_lapsed = false;
  std::int64_t amount = 0, spent = 0, reserved = 0;
  std::int64_t allowed = 0;  // spent + reserved stay within it: what the journal's lines allow
  std::int64_t claimed = 0;  // by the last line, which may not last yet; 0: no line, spent in full
  std::uint64_t line = 0;    // its number
  Time ends = 0;             // the term's end less the clock bound, by this balancer's clock
  Time since = 0;

  std::int64_t left(Time now) const {
    return stage == Stage::open && now < ends ? allowed - spent - reserved : 0;
  }
  std::int64_t unspent(Time now) const {
    return stage == Stage::open && now < ends ? amount - spent - reserved : 0;
  }
};

struct Till {
  std::string tenant;
  std::vector<Held> held;           // grows off the call's way alone; an index stays while it is reserved
  std::vector<std::uint32_t> open;  // indices, the oldest first
  std::int64_t spent_here = 0;      // since this process began
  // What calls asked for, for the owner of slices to read and clear. A call dearer than `most` is hopeless:
  // it says nothing of what will be spent here.
  std::int64_t asked = 0, taken = 0;  // units, since last read; of these reserved
  std::int64_t dear = 0;              // the dearest of these calls
  std::int64_t hungry = 0;            // the dearest call refused since the last slice came, none hopeless
  std::int64_t least = 0;             // the cheapest refused since then
  Time last_asked = -3600 * kSecond;
  std::int64_t most = 0;   // what one slice could hold: the balance, or the most that is unspent in one here
  bool out = true;         // the balance is not enough for the cheapest call
  Wallets::Totals totals;  // of the record, as last seen

  std::int64_t left(Time now) const;
};

struct Hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};

class Tills {
 public:
  void prices(const WalletSettings& settings);
  Till& open(const std::string& tenant);  // makes it where there is none; not on a call's way
  const Till* find(std::string_view tenant) const;

  ReserveResult reserve(Time now, std::string_view tenant, std::string_view service_class, Reservation& into);
  void commit(const Reservation& reservation) { take_back(reservation, true); }
  void release(const Reservation& reservation) { take_back(reservation, false); }

  std::vector<Till>& all() { return tills_; }
  // Whether the call that was refused last may find a slice soon.
  bool hope() const { return refused_ < tills_.size() && refused_price_ <= tills_[refused_].most; }
  std::int64_t dearest() const { return dearest_; }
  void close() { closed_ = true; }  // nothing is reserved any more

 private:
  void take_back(const Reservation& reservation, bool served);

  std::vector<Till> tills_;
  std::unordered_map<std::string, std::uint32_t, Hash, std::equal_to<>> by_tenant_;
  std::unordered_map<std::string, std::int64_t, Hash, std::equal_to<>> prices_;
  std::int64_t dearest_ = 1;
  std::size_t refused_ = ~std::size_t{0};
  std::int64_t refused_price_ = 0;
  Time newest_ = 0;  // a clock that steps back must not make a term longer
  bool unknown_served_ = true, closed_ = false;
};

}  // namespace marblehub::fleet
