// The line protocol of the adapter: decoding of events, encoding of actions, error messages.
#include "wire.h"

#include <gtest/gtest.h>

#include <sstream>

namespace marblehub::policy::adapter {
namespace {

std::string options() {
  return "balancers=2 me=0 zone=north registry_mode=ask report.how=silent report.fields= "
         "limits.max_attempts=3 "
         "limits.probes=true limits.retry_after=true limits.max_retry_after_us=1000 "
         "limits.connect_timeout_us=250000 invariants.answer_slack_us=16000 invariants.cold_share=0.36 "
         "invariants.warm_within_us=8900000 invariants.overload_factor=3.0 invariants.fall_us=3000000 "
         "invariants.some_later_key=5 specifics.message_aim_us=150000.0 request_classes.count=1 "
         "request_classes.0.name=feed request_classes.0.slo_us=300000 request_classes.0.give_up_us=1800000 "
         "request_classes.0.gain=2.0 request_classes.0.repeat=safe request_classes.0.dedup_scope=all "
         "request_classes.0.window_us=5000000 request_classes.0.stream=true";
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

std::string start(const std::string& settings = options()) {
  return "tick 1000000\nattach 3 99 " + settings +
         "\npool 0 1\nentry SERVING std - 1 north 10.0.0.1:70 0\nmembers 3 41 0 remembered\ngo\n";
}

std::string serve(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out;
  Adapter().serve(in, out);
  return out.str();
}

std::string error_of(const std::string& text) {
  try {
    serve(text);
  } catch (const WireError& error) {
    return error.what();
  }
  return "no error";
}

TEST(Wire, ServesASessionFromAttachToStop) {
  std::string reply =
      serve("tick 0\ngo\n" + start() +
            "tick 1001000\nmembers 3 41 0 changes\nwork_item 3 77 1 - - - 12000 feed 1800000\ngo\n"
            "tick 1002000\nfirst 3 77 10.0.0.1:70 0 900\ngo\n"
            "tick 1003000\ninterim 3 77 0 2 10.0.0.1:70 12.5\ninbox 3 1 6869\ngone 3 4\ngo\n"
            "tick 1004000\nresult 3 77 0 1 10.0.0.1:70 3000 S x0:0.4,later:2\ngo\n"
            "tick 1005000\nstop 3\ngo\n"
            "tick 1006000\nring 3 0\ngo\n");
  EXPECT_TRUE(reply.starts_with("eor\nset_alarm 3 ")) << reply;
  EXPECT_NE(reply.find("\nsubmit_to 3 77 10.0.0.1:70 "), std::string::npos) << reply;
  EXPECT_TRUE(reply.ends_with("eor\neor\neor\neor\neor\n")) << reply;
}

TEST(Wire, TimersTriggerProbesAndAListRequest) {
  std::string text = start();
  for (int i = 1; i < 200; ++i) {
    text += "tick ";
    text += std::to_string(1000000 + i * 60000);
    text += "\nring 3 0\ngo\n";
  }
  std::string reply = serve(text);
  EXPECT_NE(reply.find("\ntrack 3 1\n"), std::string::npos);
  EXPECT_NE(reply.find("\ncheck 3 10.0.0.1:70\n"), std::string::npos);
}

TEST(Wire, DecodesHandover) {
  std::string reply = serve(start() +
                            "tick 1001000\nhandover 3 5 feed - - 100 9000 - 1 10.0.0.1:70\ngo\n"
                            "tick 1002000\nresult 3 5 0 1 10.0.0.1:70 3000 X -\ngo\n");
  EXPECT_TRUE(reply.ends_with("eor\neor\neor\n"));
}

TEST(Wire, AcceptsEndOfInputBetweenBatches) { EXPECT_EQ(error_of(start()), "no error"); }

TEST(Wire, ReportsEachErrorWithItsLineNumber) {
  EXPECT_EQ(error_of("tick 5\n"), "line 2: expected go, found the end of input");
  EXPECT_EQ(error_of("tock 5\ngo\n"), "line 1: expected tick");
  EXPECT_EQ(error_of("tick x\ngo\n"), "line 1: expected the clock in microseconds");
  EXPECT_EQ(error_of("tick 5\nring 9 0\ngo\n"), "line 2: expected an instance that has been attached");
  EXPECT_EQ(error_of("tick 5\nwobble 9 0\ngo\n"), "line 2: expected a known event or go");
  EXPECT_EQ(error_of("tick 5\npool 0 2\nentry SERVING std - 1 n a:1 0\ngo\n"), "line 4: expected entry");
  EXPECT_EQ(error_of("tick 5\npool 16 0\ngo\n"), "line 2: expected a list number from 0 to 15");
  EXPECT_EQ(error_of("tick 5\npool 0 1\nentry SERVING std - nan n a:1 0\ngo\n"),
            "line 3: expected the scale");
  EXPECT_EQ(error_of(start() + "tick 1000001\nmembers 3 1 5 all\ngo\n"),
            "line 8: expected the number of a pool received before");
  EXPECT_EQ(error_of(start() + "tick 1000001\nring 3\ngo\n"), "line 8: expected a cookie");
  EXPECT_EQ(error_of(start() + "tick 1000001\nring 3 1 2\ngo\n"), "line 8: expected the end of the line");
  EXPECT_EQ(error_of(start() + "tick 1000001\nresult 3 7 0 2 a:1 1 S -\ngo\n"), "line 8: expected 0 or 1");
  EXPECT_EQ(error_of(start() + "tick 1000001\nresult 3 7 0 1 a:1 1 Q -\ngo\n"),
            "line 8: expected an outcome code: S, E, F, T, C, R, X or N");
  EXPECT_EQ(error_of(start() + "tick 1000001\nwork_item 3 7 0 - - - - other 5\ngo\n"),
            "line 8: expected a class named in request_classes");
}

// Loads and tenants come from outside the balancer, so invalid values must be rejected.
TEST(Wire, AcceptsOrRejectsLoadsAndTenants) {
  std::string call = start() + "tick 1001000\nwork_item 3 77 0 - - jua-daycare - feed 1800000\ngo\n";
  auto load = [&](const std::string& level) {
    return error_of(call + "tick 1002000\ninterim 3 77 0 1 10.0.0.1:70 " + level + "\ngo\n");
  };
  for (const char* valid : {"0", "4000", "0.5", "1e308"}) EXPECT_EQ(load(valid), "no error") << valid;
  for (const char* invalid : {"nan", "inf", "-4000", "1e999", "soon", "", "40x"})
    EXPECT_EQ(load(invalid), "line 11: expected a level") << invalid;
  EXPECT_EQ(load("4000 4000"), "line 11: expected the end of the line");
  EXPECT_EQ(error_of(replaced(call, " jua-daycare ", " - ")), "no error");
  EXPECT_EQ(error_of(replaced(call, " jua-daycare ", " a=b,t= ")), "no error");
  EXPECT_EQ(error_of(replaced(call, " jua-daycare ", "  ")), "line 8: expected a tenant or -");
  // An extreme load must not prevent the next call from being placed.
  std::string reply =
      serve(replaced(call, "work_item", "members 3 41 0 changes\nwork_item") +
            "tick 1002000\nfirst 3 77 10.0.0.1:70 0 900\ninterim 3 77 0 1 10.0.0.1:70 1e308\ngo\n" +
            "tick 1003000\nwork_item 3 78 0 - - - - feed 1800000\ngo\n");
  EXPECT_NE(reply.find("submit_to 3 78 10.0.0.1:70 "), std::string::npos) << reply;
}

TEST(Wire, ReportsMissingAndInvalidSettings) {
  EXPECT_EQ(error_of(start(replaced(options(), "invariants.warm_within_us=8900000 ", ""))),
            "line 2: setting invariants.warm_within_us: expected a value");
  EXPECT_NE(
      error_of(start(replaced(options(), "cold_share=0.36", "cold_share=-1"))).find("invariants.cold_share"),
      std::string::npos);
  EXPECT_NE(
      error_of(start(replaced(options(), "cold_share=0.36", "cold_share=inf"))).find("invariants.cold_share"),
      std::string::npos);
  EXPECT_NE(error_of(start(replaced(options(), "balancers=2", "balancers=0"))).find("setting balancers"),
            std::string::npos);
  EXPECT_NE(
      error_of(start(replaced(options(), "repeat=safe", "repeat=maybe"))).find("request_classes.0.repeat"),
      std::string::npos);
}

}  // namespace
}  // namespace marblehub::policy::adapter
