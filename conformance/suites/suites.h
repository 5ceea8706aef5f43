/// The suites. Each puts its requirements to a router that runs, with peers of its own; what a section asks
/// of ends that terminate a connection is the peers' part and not checked here.
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
