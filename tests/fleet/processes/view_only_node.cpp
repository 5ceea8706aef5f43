// A node that has only the view. It replaces src/fleet/node where that is not built, for the tests of the
// driver, the links and the scenarios of the view.
#include "fleet/node/node.h"

namespace marblehub::fleet {

void Record::Release::operator()(State*) const {}
void Routes::Release::operator()(State*) const {}
void Wallets::Release::operator()(State*) const {}

Node::Node(NodeOptions options, Time now)
    : view_(std::make_unique<View>(options.settings, options.incarnation, options.seed, now)) {}
void Node::heard(Time, const std::string&, Time) {}
void Node::received(Time now, const std::string& from, Component component, std::string_view body,
                    Transport transport, Outbox& out) {
  if (component == Component::view) view_->received(now, from, body, transport, out);
}
void Node::tick(Time now, Outbox& out) { view_->tick(now, out); }
void Node::leave(Time now, Outbox& out) { view_->leave(now, out); }
Time Node::next_due() const { return view_->next_due(); }

}  // namespace marblehub::fleet
