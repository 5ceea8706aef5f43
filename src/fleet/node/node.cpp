#include "fleet/node/node.h"

#include <algorithm>

#include "check/check.h"

namespace marblehub::fleet {

Node::Node(NodeOptions options, Time now)
    : view_(std::make_unique<View>(options.settings, options.incarnation, options.seed, now)),
      record_(std::make_unique<Record>(options.settings, options.incarnation, options.disk,
                                       options.first_fleet, options.seed ^ 0x9e3779b97f4a7c15, now)) {
  if (!options.settings.routes_file.empty())
    routes_ = std::make_unique<Routes>(options.settings, std::move(options.calls), now);
  if (options.wallet)
    wallets_ = std::make_unique<Wallets>(options.settings, std::move(*options.wallet), options.journal,
                                         options.incarnation, options.seed ^ 0xd1b54a32d192ed03, now);
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
  step_components(now, out);  // the wallets have no messages of their own and use the record
}

void Node::tick(Time now, Outbox& out) {
  view_->tick(now, out);
  record_->tick(now, out);
  step_components(now, out);
}

void Node::leave(Time now, Outbox& out) {
  if (wallets_) wallets_->return_all(now, *record_, out);  // before this member leaves the view
  view_->leave(now, out);
  step_components(now, out);
}

Time Node::next_due() const {
  Time due = std::min(view_->next_due(), record_->next_due());
  if (routes_) due = std::min(due, routes_->next_due());
  if (wallets_) due = std::min(due, wallets_->next_due());
  return due;
}

void Node::step_components(Time now, Outbox& out) {
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
  // The leader of a single voter applies its commands immediately, and the other components should see the
  // result in the same step. The number of rounds is limited; the rest follows at next_due.
  for (int round = 0; round < 4; ++round) {
    const std::uint64_t applied = record_->ledger().applied;
    if (routes_) routes_->step(now, *record_, alive_, out);
    if (wallets_) wallets_->step(now, *record_, alive_, out);
    MARBLEHUB_INVARIANT("node", record_->ledger().applied >= applied,
                        "the applied index of the record went back");
    if (record_->ledger().applied == applied) break;
  }
}

}  // namespace marblehub::fleet
