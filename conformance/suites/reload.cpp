// Reloads of id configurations and settings in operation.
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void reload(Report& report) {
  report.suite("reload");
  Testbed testbed({"g-1"}, default_options());
  Client& c = testbed.client();
  bool ok = connects(testbed, c) && request_succeeds(testbed, c, "one");
  const IdConfig& old = testbed.options.worker.ids;
  json old_config = {{"rotation", old.rotation}, {"server_id_length", 4}, {"nonce_length", 6}, {"key", ""}};
  json new_config = {
      {"rotation", 3}, {"server_id_length", 5}, {"nonce_length", 9}, {"key", std::string(32, 'a')}};
  testbed.write_quic({{"ids", json::array({old_config, new_config})}});
  testbed.reload();
  report.check("quic-load-balancers, 3.1", "a new rotation is learnt beside the old one",
               ok && request_succeeds(testbed, c, "two") &&
                   testbed.counter("marblehub_reloads_total{result=\"taken\"}") == 1);
  IdCodec codec({{3, 5, 9, std::string(16, '\xaa')}});
  Probe probe(testbed);
  std::size_t before = testbed.worker(0).datagrams;
  probe.send("\x40" + codec.encode(3, default_server_id("g-1", 5), "nine octe") + std::string(40, 'x'));
  testbed.run(150);
  report.check("quic-load-balancers, 3.1", "and ids of it are routed before any worker uses it",
               testbed.worker(0).datagrams == before + 1);
  testbed.write_quic({{"ids", json::array({new_config})}, {"retire_ms", 1500}});
  testbed.reload();
  report.check("quic-load-balancers, 3.1", "an old rotation that is taken out goes on for its stated time",
               request_succeeds(testbed, c, "three"));
  report.check("alerts", "which the metrics tell", testbed.counter("marblehub_quic_configs_retiring") == 1);
  testbed.write_quic(
      {{"ids", json::array({new_config,
                            {{"rotation", 2}, {"server_id_length", 4}, {"nonce_length", 7}, {"key", ""}}})}});
  testbed.reload();
  report.check("quic-load-balancers, 3.1", "its rotation is not given out anew in that time",
               testbed.counter("marblehub_reloads_total{result=\"refused\"}") == 1);
  testbed.write_quic(
      {{"ids", json::array({new_config, {{"rotation", 9}, {"server_id_length", 4}, {"nonce_length", 6}}})}});
  testbed.reload();
  report.check("operators", "a file with a wrong key is refused whole",
               testbed.counter("marblehub_reloads_total{result=\"refused\"}") == 2);
  report.check("operators", "and the log names the key, but no secret",
               testbed.program->log().find("ids.1.rotation") != std::string::npos &&
                   testbed.program->log().find(std::string(32, 'a')) == std::string::npos);
  testbed.run(1800);
  before = testbed.worker(0).datagrams;
  probe.send("\x40" + IdCodec({old}).encode(2, default_server_id("g-1", 4), "nonce!") + std::string(40, 'x'));
  testbed.run(100);
  report.check("quic-load-balancers, 3.1", "after that time its ids name nobody",
               testbed.counter("marblehub_quic_unknown_ids_total") >= 1);
}

}  // namespace marblehub::conformance
