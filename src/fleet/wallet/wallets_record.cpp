// The wallet on the record itself; apart, so that tests of the wallet need no consensus.
#include "fleet/record/record.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {
namespace {

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
  RecordAdapter book(record);
  step(now, book, alive, out);
}

void Wallets::return_all(Time now, Record& record, Outbox& out) {
  RecordAdapter book(record);
  return_all(now, book, out);
}

}  // namespace marblehub::fleet
