/// The suites. Each checks its requirements against a running balancer with peers of its own. Requirements on
/// endpoints that terminate a connection concern the peers and are not checked.
#pragma once

#include "report.h"

namespace marblehub::conformance {

void connection_ids(Report& report);
void versions(Report& report);
void initials(Report& report);
void handshakes(Report& report);
void zero_rtt(Report& report);
void retry(Report& report);
void amplification(Report& report);
void late_replies(Report& report);
void migration(Report& report);
void workers(Report& report);
void routers(Report& report);
void reload(Report& report);
void faults(Report& report);

}  // namespace marblehub::conformance
