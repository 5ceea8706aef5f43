#include "fleet/routes/driver.h"

#include <algorithm>
#include <limits>

#include "fleet/record/checked_flatbuffer.h"
#include "fleet/routes/table.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kMaxReasonBytes = 300;

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string truncated(std::string text) {
  if (text.size() > kMaxReasonBytes) text.resize(kMaxReasonBytes);
  return text;
}

std::string joined(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    if (text.size() > kMaxReasonBytes / 2) return text + " and others";
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

// The recorded text of a version; null if there is none.
const std::string* recorded_text(const RouteState& routes, std::uint64_t version) {
  if (version != 0 && version == routes.next) return &routes.next_text;
  if (version != 0 && version == routes.in_force) return &routes.text;
  if (version != 0 && version == routes.staged) return &routes.staged_text;
  return nullptr;
}

// Why `version` with this text cannot be proposed; empty if it can be or is recorded with this text already.
std::string version_conflict(const RouteState& routes, std::uint64_t version, const std::string& text) {
  const std::uint64_t newest = std::max({routes.in_force, routes.next, routes.max_proposed});
  const std::string* recorded = recorded_text(routes, version);
  if (version > newest || (recorded && *recorded == text)) return {};
  if (version == routes.max_proposed && fnv1a_hash(text) == routes.max_proposed_hash)
    return {};  // aborted before
  return "above " + std::to_string(newest) + ", which was proposed before";
}

}  // namespace

std::uint64_t ActivationDriver::check_new(const std::string& text, const RouteState& routes) const {
  const std::string& file = settings_.routes_file;
  // Checked against the workers only if they are known. At the start they are not; staging checks again.
  Table table =
      listed_known_ ? parse_and_check_table(text, file, 0, calls_, listed_) : parse_table(text, file);
  if (table.version == 0) return 0;
  const std::string why = version_conflict(routes, table.version, text);
  // A reload reads this file again even if only others have changed: a text accepted before is not refused
  // although its version is outdated by now.
  if (!why.empty() && fnv1a_hash(text) == accepted_hash_) return 0;
  if (!why.empty()) config::Options({}, file + ": ").refuse("version", why);
  return recorded_text(routes, table.version) ? 0 : table.version;
}

void ActivationDriver::offer(Time, const std::string& text, const RouteState& routes) {
  const std::uint64_t version = check_new(text, routes);
  accepted_hash_ = fnv1a_hash(text);
  if (version == 0) return;
  offered_ = text;
  offered_version_ = version;
  due_ = 0;
}

void ActivationDriver::step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out) {
  due_ = std::numeric_limits<Time>::max();
  update_last_refusal(record.ledger().routes);
  answer_proposal(now, record, out);
  propose(now, record, alive, out);
  drive(now, record, alive, out);
  abort_stale(now, record, out);
}

void ActivationDriver::update_last_refusal(const RouteState& routes) {
  if (routes.last_refusal == recorded_refusal_) return;
  recorded_refusal_ = last_refusal_ = routes.last_refusal;
}

// Phase one, at each member that is waited for. The answer is repeated in case it was lost.
void ActivationDriver::answer_proposal(Time now, Record& record, Outbox& out) {
  const RouteState& routes = record.ledger().routes;
  if (routes.staged != answered_version_) answered_version_ = 0;
  if (routes.staged == 0 || !routes.waited_for.count(settings_.name) || !listed_known_) return;
  if (answered_version_ != 0 && now < answered_at_ + settings_.stage / 2)
    return wake_at(answered_at_ + settings_.stage / 2);
  answered_version_ = routes.staged;
  answered_at_ = now;
  std::string refusal;
  try {
    Table table = parse_and_check_table(routes.staged_text, "routes " + std::to_string(routes.staged),
                                        std::max(routes.in_force, routes.next), calls_, listed_);
    if (table.version != routes.staged) refusal = "routes: setting version: differs from the proposed one";
  } catch (const config::DecodeError& error) {
    refusal = error.what();
  }
  ++(refusal.empty() ? counts.accepted : counts.refused);
  record.propose(now, AnswerRoutes{answered_version_, settings_.name, truncated(std::move(refusal))}, out);
}

void ActivationDriver::propose(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out) {
  if (offered_version_ == 0) return;
  const RouteState& routes = record.ledger().routes;
  // Without a grant and a leader this balancer's record may be outdated, and with it the check below.
  if (!record.grant() || !record.has_majority(now)) return wake_at(now + kRetryInterval);
  const std::string why = version_conflict(routes, offered_version_, offered_);
  if (!why.empty()) {
    last_refusal_ = settings_.routes_file + ": setting version: expected " + why;
  } else if (recorded_text(routes, offered_version_)) {
    // Another balancer was offered the same text.
  } else {
    std::vector<std::string> members = alive;
    if (!contains(members, settings_.name)) members.push_back(settings_.name);
    own_version_ = offered_version_;
    own_text_ = offered_;
    own_proposed_at_ = now;
    own_staged_ = own_decided_ = false;
    given_up_members_.clear();
    ++counts.proposed;
    record.propose(now, ProposeRoutes{own_version_, own_text_, std::move(members), now}, out);
  }
  offered_version_ = 0;
  offered_.clear();
}

// The proposer drives its activation. If it dies before the activation time is recorded, the leader aborts.
void ActivationDriver::drive(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out) {
  if (own_version_ == 0) return;
  const RouteState& routes = record.ledger().routes;
  const Time deadline = own_proposed_at_ + settings_.stage;
  if (routes.staged != own_version_ || routes.staged_text != own_text_) {
    // Activated, aborted or replaced by a newer one; or not applied yet. The record repeats the proposal
    // until a majority has it, so it is followed until it is applied, to abort it if that is too late.
    if (own_staged_ || routes.max_proposed > own_version_)
      own_version_ = 0, own_text_.clear();
    else if (now < deadline)
      wake_at(deadline);
    return;
  }
  const bool late = !own_staged_ && now >= deadline;
  own_staged_ = true;
  if (own_decided_) return;
  if (now >= deadline) {
    own_decided_ = true;
    ++counts.aborted;
    record.propose(
        now,
        AbortRoutes{own_version_, late ? "recorded after its time only, offer it again"
                                       : truncated("not staged in time by " + joined(routes.waited_for))},
        out);
    return;
  }
  wake_at(deadline);
  // All live members must accept. One that the view has given up is not waited for: its lease expires before
  // the activation time, and without a new one it places nothing.
  for (const std::string& name : routes.waited_for)
    if (name != settings_.name && !contains(alive, name) && given_up_members_.insert(name).second)
      record.propose(now, AnswerRoutes{own_version_, name, {}, true}, out);
  if (!routes.waited_for.empty() || routes.next != 0) return;
  own_decided_ = true;
  ++counts.activated;
  // The leader moves the activation time up if the command reaches it too late.
  record.propose(
      now, ActivateRoutes{own_version_, now + settings_.lease + 2 * settings_.clock_bound + kDeliveryMargin},
      out);
}

void ActivationDriver::abort_stale(Time now, Record& record, Outbox& out) {
  const RouteState& routes = record.ledger().routes;
  if (record.role() != Role::leader || routes.staged == 0) {
    watched_version_ = 0;
    return;
  }
  if (watched_version_ != routes.staged || watched_term_ != record.term()) {
    watched_version_ = routes.staged;
    watched_term_ = record.term();
    watched_since_ = now;
  }
  const Time deadline = watched_since_ + settings_.stage;
  if (now < deadline) return wake_at(deadline);
  watched_since_ = now;  // repeated after each time-out, in case the command is lost with this term
  wake_at(now + settings_.stage);
  ++counts.aborted;
  record.propose(
      now,
      AbortRoutes{watched_version_, truncated(routes.waited_for.empty()
                                                  ? "its proposer is gone"
                                                  : "not staged in time by " + joined(routes.waited_for))},
      out);
}

}  // namespace marblehub::fleet
