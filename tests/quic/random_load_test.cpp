// The QUIC front under random load: clients that change address and id, share and swap sockets, come back and
// end; workers that refuse, fall silent, send Retry, lack an id configuration, drain and vanish. Test builds
// of the program check its tables meanwhile and end at the first fault.
#include "support/random_load.h"

#include "quic/testbed.h"

namespace marblehub::test {
namespace {

constexpr int kIdleMs = 2000, kMaxFlows = 64;
constexpr std::size_t kMaxClients = 30;
constexpr int kFirstLateNumber = 100'000;  // of clients that begin anew at the end
const std::vector<std::string> kWorkerNames = {"g-1", "g-2", "g-3"};

json quic_changes(const char* forwarding) {
  return {{"forwarding", forwarding}, {"idle_ms", kIdleMs}, {"calls", kMaxFlows}, {"paths", kMaxFlows}};
}

// The testbed with clients and workers that do as the random numbers say.
class QuicRandomLoad {
 public:
  QuicRandomLoad(std::uint64_t seed, const char* forwarding)
      : random_(seed), testbed_(kWorkerNames, 800, 1024, quic_changes(forwarding)) {}

  void run(std::int64_t ms) {
    for (const std::int64_t end = now_ms() + ms; now_ms() < end;) {
      make_client_act();
      if (random_.one_in(30)) make_worker_act();
      testbed_.run(2);
      if (testbed_.program->has_ended()) break;
    }
    INFO("the log: " << testbed_.program->log());
    REQUIRE(testbed_.program->exit_code() == -1);
  }
  // With all workers back, each open connection with a routable id is served, whatever happened to it.
  void check_served() {
    for (auto& worker : testbed_.workers) {
      worker->busy = worker->silent = worker->sends_retry = false;
      worker->has_id_config = true;
      set_status(*worker, "ready");
    }
    testbed_.run(6000, [&] { return testbed_.registry_update.empty(); });
    testbed_.run(3500);  // until refused calls are forgotten
    for (StubClient* client : open_) {
      if (has_routable_connection(*client)) continue;
      client->renew(kFirstLateNumber + ++late_clients_);
      client->open();
    }
    testbed_.run(1500);
    std::vector<StubClient*> waiting;
    std::copy_if(open_.begin(), open_.end(), std::back_inserter(waiting),
                 [&](StubClient* client) { return has_routable_connection(*client); });
    INFO(open_.size() << " clients, " << waiting.size() << " of them with a connection");
    CHECK(!waiting.empty());  // workers that were gone are cold and take few
    const std::string request = "LAST";
    auto is_answered = [&](StubClient* client) { return client->answers.count(request) > 0; };
    for (int tries = 0; tries < 3; ++tries) {
      std::erase_if(waiting, is_answered);
      for (StubClient* client : waiting) client->request(request);
      testbed_.run(500);
    }
    std::erase_if(waiting, is_answered);
    CHECK(waiting.empty());
  }
  // Nothing is left of connections that are not heard of.
  void check_forgotten() {
    testbed_.run(kIdleMs + 4000);  // also the lifetime of a CONNECTION_CLOSE
    CHECK(testbed_.counter("marblehub_quic_flows") == 0);
    CHECK(testbed_.counter("marblehub_quic_paths") == 0);
    CHECK(testbed_.counter("marblehub_connections") == 0);
    CHECK(testbed_.counter("marblehub_quic_address_changes_total") > 10);
  }

 private:
  bool has_routable_connection(const StubClient& client) {
    return !client.id.empty() && !unroutable(client.id) && testbed_.worker_of(client);
  }
  StubWorker& any_worker() { return *random_.of(testbed_.workers); }

  void open_client() {
    StubClient& client = testbed_.client();
    if (!open_.empty() && random_.one_in(3)) {
      StubClient& other = *random_.of(open_);
      if (!other.sibling) other.share_socket(client);
    }
    client.open();
    open_.push_back(&client);
  }
  void make_client_act() {
    if (open_.size() < kMaxClients && random_.one_in(4)) return open_client();
    if (open_.empty()) return;
    StubClient& client = *random_.of(open_);
    switch (random_.below(10)) {
      case 0:
        return client.change_address();
      case 1:
        return swap_sockets(client, *random_.of(open_));
      case 2:
        if (!client.next_id.empty()) client.id = client.next_id;
        return;
      case 3:
        if (StubWorker* worker = testbed_.worker_of(client); worker && random_.one_in(4))
          end(client, *worker);
        return;
      case 4:
        return client.open();  // as a client does that has not had an answer yet
      case 5:
        return send_early(client, any_worker().retry_id);
      default:
        if (!client.id.empty()) client.request("R" + std::to_string(++requests_) + std::string(40, '.'));
    }
  }
  void swap_sockets(StubClient& a, StubClient& b) {
    if (a.sibling || b.sibling) return;
    std::swap(a.udp, b.udp);
  }
  // A short-header packet to the id of a Retry, which a call may be bound by that is still pending.
  void send_early(StubClient& client, const std::string& retry_id) {
    if (retry_id.empty()) return;
    std::string id = std::exchange(client.id, retry_id);
    client.request("EARLY");
    client.id = id;
  }
  void end(StubClient& client, StubWorker& worker) {
    worker.end(client.id);
    std::erase(open_, &client);
  }

  void make_worker_act() {
    StubWorker& worker = any_worker();
    switch (random_.below(8)) {
      case 0:
        worker.silent = random_.one_in(8);
        return;
      case 1:
        worker.busy = random_.one_in(8);
        return;
      case 2:
        worker.has_id_config = !random_.one_in(4);
        return;
      case 3:
        worker.sends_retry = random_.one_in(8);
        return;
      case 4:
        return send_control(worker);
      case 5:
        return testbed_.program->signal(SIGHUP);
      default:
        return set_status(worker, random_.one_in(6) ? random_.one_in(2) ? "draining" : "gone" : "ready");
    }
  }
  void set_status(StubWorker& worker, const char* status) {
    testbed_.registry_update.push_back(QuicTestbed::entry(worker, status));
  }
  void send_control(StubWorker& worker) {
    if (worker.clients.empty()) return;
    auto& [id, client] =
        *std::next(worker.clients.begin(), static_cast<std::ptrdiff_t>(random_.below(worker.clients.size())));
    auto& [other_id, other] =
        *std::next(worker.clients.begin(), static_cast<std::ptrdiff_t>(random_.below(worker.clients.size())));
    if (random_.one_in(4)) return worker.control("LEFT", id, id);
    worker.control("LINK", id, id, " " + hex(other_id));  // also of another connection, as no worker should
  }

  RandomChoice random_;
  QuicTestbed testbed_;
  std::vector<StubClient*> open_;
  int requests_ = 0, late_clients_ = 0;
};

}  // namespace

// Guards against entries of flows, ids, paths and pending attempts that outlive them or lead elsewhere.
TEST_CASE("the tables of the QUIC front agree under random load") {
  for (const char* forwarding : {"socket", "proxy-v2"}) {
    for (std::uint64_t seed : load_seeds({1, 2})) {
      INFO(forwarding << ", seed " << seed);
      QuicRandomLoad load(seed, forwarding);
      load.run(load_duration_ms(6'000));
      load.check_served();
      load.check_forgotten();
    }
  }
}

}  // namespace marblehub::test
