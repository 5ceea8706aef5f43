// The list of suites.
#include "suites/suites.h"

#include "report.h"

namespace marblehub::conformance {

const std::vector<Suite>& suites() {
  static const std::vector<Suite> all = {
      {"ids", "connection ids of all forms", connection_ids},
      {"versions", "versions 1, 2 and others", versions},
      {"initials", "what begins a connection, and coalesced packets", initials},
      {"0-rtt", "early data in every order", zero_rtt},
      {"retry", "address validation by the router and by workers", retry},
      {"amplification", "three times what came in", amplification},
      {"late", "workers that answer after their call was given up", late_replies},
      {"migration", "addresses that change, keys, ECN, IPv6", migration},
      {"workers", "workers that drain, refuse, die and come back", workers},
      {"routers", "routers that start anew", routers},
      {"reload", "configurations that change while serving", reload},
      {"faults", "a network that loses, repeats and reorders", faults},
  };
  return all;
}

}  // namespace marblehub::conformance
