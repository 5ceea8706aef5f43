// Connects Wallets to the Record. A separate file, so that tests of the wallet link without consensus.
#include "fleet/record/record.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {
namespace {

/// Passes the calls of RecordInterface on to a Record.
struct RecordAdapter : RecordInterface {
  explicit RecordAdapter(Record& record) : record(record) {}
  const Ledger& ledger() const override { return record.ledger(); }
  bool is_leader() const override { return record.role() == Role::leader; }
  std::uint64_t propose(Time now, Body body, Outbox& out) override {
    return record.propose(now, std::move(body), out);
  }
  Record& record;
};

}  // namespace

void Wallets::step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out) {
  RecordAdapter adapter(record);
  step(now, adapter, alive, out);
}

void Wallets::return_all(Time now, Record& record, Outbox& out) {
  RecordAdapter adapter(record);
  return_all(now, adapter, out);
}

}  // namespace marblehub::fleet
