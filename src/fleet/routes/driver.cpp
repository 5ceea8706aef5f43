#include "fleet/routes/driver.h"

#include <algorithm>
#include <limits>

#include "fleet/record/checked_flatbuffer.h"
#include "fleet/routes/table.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kLongestReason = 300;

bool among(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string bounded(std::string text) {
  if (text.size() > kLongestReason) text.resize(kLongestReason);
  return text;
}

std::string joined(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    if (text.size() > kLongestReason / 2) return text + " and others";
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

// The words on record of a version, null where there are none.
const std::string* text_of(const RouteState& routes, std::uint64_t version) {
  if (version != 0 && version == routes.next) return &routes.next_text;
  if (version != 0 && version == routes.in_force) return &routes.text;
  if (version != 0 && version == routes.staged) return &routes.staged_text;
  return nullptr;
}

// Why `version` with these words cannot be proposed; empty: it can, or it is what stands on record already.
std::string stands_against(const RouteState& routes, std::uint64_t version, const std::string& text) {
  const std::uint64_t newest = std::max({routes.in_force, routes.next, routes.max_proposed});
  const std::string* recorded = text_of(routes, version);
  if (version > newest || (recorded && *recorded == text)) return {};
  if (version == routes.max_proposed && fnv1a_hash(text) == routes.max_proposed_hash)
    return {};  // aborted before: again
  return "above " + std::to_string(newest) + ", which was proposed before";
}

}  // namespace

std::uint64_t ActivationDriver::newer(const std::string& text, const RouteState& routes) const {
  const std::string& file = settings_.routes_file;
  // Checked against the list only where one is known: at start it comes later, and staging checks again.
  Table table =
      listed_known_ ? parse_and_check_table(text, file, 0, calls_, listed_) : parse_table(text, file);
  if (table.version == 0) return 0;
  const std::string why = stands_against(routes, table.version, text);
  // Words taken before are no news, however old they are by now: a reload for another file's sake reads them.
  if (!why.empty() && fnv1a_hash(text) == taken_) return 0;
  if (!why.empty()) config::Options({}, file + ": ").refuse("version", why);
  return text_of(routes, table.version) ? 0 : table.version;
}

void ActivationDriver::offer(Time, const std::string& text, const RouteState& routes) {
  const std::uint64_t version = newer(text, routes);
  taken_ = fnv1a_hash(text);
  if (version == 0) return;
  offered_ = text;
  offered_version_ = version;
  due_ = 0;
}

void ActivationDriver::step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out) {
  due_ = std::numeric_limits<Time>::max();
  note_refusal(record.ledger().routes);
  answer(now, record, out);
  propose(now, record, alive, out);
  drive(now, record, alive, out);
  give_up(now, record, out);
}

void ActivationDriver::note_refusal(const RouteState& routes) {
  if (routes.last_refusal == recorded_refusal_) return;
  recorded_refusal_ = last_refusal_ = routes.last_refusal;
}

// Phase one at every member that is waited for. A yes that was lost is said again.
void ActivationDriver::answer(Time now, Record& record, Outbox& out) {
  const RouteState& routes = record.ledger().routes;
  if (routes.staged != answered_) answered_ = 0;
  if (routes.staged == 0 || !routes.waited_for.count(settings_.name) || !listed_known_) return;
  if (answered_ != 0 && now < answered_at_ + settings_.stage / 2)
    return due_at(answered_at_ + settings_.stage / 2);
  answered_ = routes.staged;
  answered_at_ = now;
  std::string refusal;
  try {
    Table table = parse_and_check_table(routes.staged_text, "routes " + std::to_string(routes.staged),
                                        std::max(routes.in_force, routes.next), calls_, listed_);
    if (table.version != routes.staged) refusal = "routes: setting version: differs from the proposed one";
  } catch (const config::DecodeError& error) {
    refusal = error.what();
  }
  ++(refusal.empty() ? counts.taken : counts.refused);
  record.propose(now, AnswerRoutes{answered_, settings_.name, bounded(std::move(refusal))}, out);
}

void ActivationDriver::propose(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out) {
  if (offered_version_ == 0) return;
  const RouteState& routes = record.ledger().routes;
  // Without a grant and a leader this balancer's record may be old: what is newer cannot be told yet.
  if (!record.grant() || !record.has_majority(now)) return due_at(now + kAgain);
  const std::string why = stands_against(routes, offered_version_, offered_);
  if (!why.empty()) {
    last_refusal_ = settings_.routes_file + ": setting version: expected " + why;
  } else if (text_of(routes, offered_version_)) {
    // Another balancer was told the same.
  } else {
    std::vector<std::string> members = alive;
    if (!among(members, settings_.name)) members.push_back(settings_.name);
    driven_ = offered_version_;
    driven_text_ = offered_;
    proposed_at_ = now;
    seen_staged_ = decided_ = false;
    given_up_.clear();
    ++counts.proposed;
    record.propose(now, ProposeRoutes{driven_, driven_text_, std::move(members), now}, out);
  }
  offered_version_ = 0;
  offered_.clear();
}

// The proposer drives its activation; where it dies before the moment is recorded the leader gives it up.
void ActivationDriver::drive(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out) {
  if (driven_ == 0) return;
  const RouteState& routes = record.ledger().routes;
  const Time over = proposed_at_ + settings_.stage;
  if (routes.staged != driven_ || routes.staged_text != driven_text_) {
    // Over: activated, aborted, or a newer one took its place. Or not applied yet: while no majority takes
    // it the record keeps it, so this one must still be there to end it when it comes.
    if (seen_staged_ || routes.max_proposed > driven_)
      driven_ = 0, driven_text_.clear();
    else if (now < over)
      due_at(over);
    return;
  }
  const bool late = !seen_staged_ && now >= over;
  seen_staged_ = true;
  if (decided_) return;
  if (now >= over) {
    decided_ = true;
    ++counts.aborted;
    record.propose(now,
                   AbortRoutes{driven_, late ? "recorded after its time only, offer it again"
                                             : bounded("not staged in time by " + joined(routes.waited_for))},
                   out);
    return;
  }
  due_at(over);
  // All that live must say yes. One that is gone from the view is not waited for: its lease is over before
  // the moment, and it places nothing until it has heard of it.
  for (const std::string& name : routes.waited_for)
    if (name != settings_.name && !among(alive, name) && given_up_.insert(name).second)
      record.propose(now, AnswerRoutes{driven_, name, {}, true}, out);
  if (!routes.waited_for.empty() || routes.next != 0) return;
  decided_ = true;
  ++counts.activated;
  // The leader moves it up where the entry reaches it later.
  record.propose(now, ActivateRoutes{driven_, now + settings_.lease + 2 * settings_.clock_bound + kTravel},
                 out);
}

void ActivationDriver::give_up(Time now, Record& record, Outbox& out) {
  const RouteState& routes = record.ledger().routes;
  if (record.role() != Role::leader || routes.staged == 0) {
    watched_ = 0;
    return;
  }
  if (watched_ != routes.staged || watched_term_ != record.term()) {
    watched_ = routes.staged;
    watched_term_ = record.term();
    watched_since_ = now;
  }
  const Time over = watched_since_ + settings_.stage;
  if (now < over) return due_at(over);
  watched_since_ = now;  // once in each time-out, should it be lost with this term
  due_at(now + settings_.stage);
  ++counts.aborted;
  record.propose(now,
                 AbortRoutes{watched_, bounded(routes.waited_for.empty()
                                                   ? "its proposer is gone"
                                                   : "not staged in time by " + joined(routes.waited_for))},
                 out);
}

}  // namespace marblehub::fleet
