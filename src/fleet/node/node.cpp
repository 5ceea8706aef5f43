#include "fleet/node/node.h"

#include <algorithm>

#include "check/check.h"

namespace marblehub::fleet {

Node::Node(NodeOptions parts, Time now)
    : view_(std::make_unique<View>(parts.settings, parts.incarnation, parts.seed, now)),
      record_(std::make_unique<Record>(parts.settings, parts.incarnation, parts.disk, parts.first_fleet,
                                       parts.seed ^ 0x9e3779b97f4a7c15, now)) {
  if (!parts.settings.routes_file.empty())
    routes_ = std::make_unique<Routes>(parts.settings, std::move(parts.calls), now);
  if (parts.wallet)
    wallets_ = std::make_unique<Wallets>(parts.settings, std::move(*parts.wallet), parts.journal,
                                         parts.incarnation, parts.seed ^ 0xd1b54a32d192ed03, now);
}

void Node::observe_clock(Time now, const std::string& from, Time sent_at) {
  if (routes_) routes_->observe_clock(now, from, sent_at);
}

void Node::received(Time now, const std::string& from, Component component, std::string_view body,
                    Transport transport, Outbox& out) {
  if (component == Component::view)
    view_->received(now, from, body, transport, out);
  else if (component == Component::record)
    record_->received(now, from, body, out);
  settle(now, out);  // a wallet has no messages of its own: all of it goes by the record
}

void Node::tick(Time now, Outbox& out) {
  view_->tick(now, out);
  record_->tick(now, out);
  settle(now, out);
}

void Node::leave(Time now, Outbox& out) {
  if (wallets_) wallets_->return_all(now, *record_, out);  // first: what it returns is still this member's
  view_->leave(now, out);
  settle(now, out);
}

Time Node::next_due() const {
  Time due = std::min(view_->next_due(), record_->next_due());
  if (routes_) due = std::min(due, routes_->next_due());
  if (wallets_) due = std::min(due, wallets_->next_due());
  return due;
}

void Node::settle(Time now, Outbox& out) {
  const std::uint64_t generation = view_->generation();
  MARBLEHUB_INVARIANT("node", generation >= generation_, "the view's generation went back");
  if (generation != generation_ || alive_.empty()) {
    generation_ = generation;
    alive_.clear();
    for (const auto& [name, member] : view_->members())
      if (member.status == MemberStatus::alive || member.status == MemberStatus::suspect)
        alive_.push_back(name);
    record_->update_members(now, alive_, out);
  }
  // A leader of one applies what it proposes at once, and the next part is to see it in the same turn.
  // Bounded: whatever is left is stepped at next_due.
  for (int turn = 0; turn < 4; ++turn) {
    const std::uint64_t applied = record_->ledger().applied;
    if (routes_) routes_->step(now, *record_, alive_, out);
    if (wallets_) wallets_->step(now, *record_, alive_, out);
    MARBLEHUB_INVARIANT("node", record_->ledger().applied >= applied, "the record went back");
    if (record_->ledger().applied == applied) break;
  }
}

}  // namespace marblehub::fleet
