// Real QUIC peers for the tests and the conformance suite: clients and workers on the ngtcp2 library with
// GnuTLS. The daemon links none of this. Everything runs in one thread: the owner polls each peer with
// `step`.
#pragma once

#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>
#include <ngtcp2/ngtcp2_crypto_gnutls.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "quic/connection_id.h"
#include "quic/endpoint.h"

namespace marblehub::peers {

using quic::Endpoint;

std::int64_t now_us();

// A datagram socket on loopback that never blocks.
class Udp {
 public:
  explicit Udp(int family = AF_INET, int port = 0);
  ~Udp();
  Udp(const Udp&) = delete;
  void send(std::string_view bytes, const Endpoint& to) const;
  struct Came {
    std::string bytes;
    Endpoint from;
    unsigned char ecn = 0;
  };
  std::optional<Came> receive() const;
  void mark(unsigned char ecn) const;  // of what is sent from now on
  const Endpoint& local() const { return local_; }

 private:
  int fd_;
  Endpoint local_;
};

// What the network between a client and the router does to datagrams, drawn from a seed. Shares are of 1.
struct Faults {
  double lose = 0, repeat = 0, delay = 0;  // a delayed one is overtaken by those behind it
  std::int64_t delay_us = 20'000;
  std::uint64_t seed = 1;
};

// The hop that does it, both ways, around a client's socket; it can also give the client another address, as
// a NAT does, without the client knowing.
class Hop {
 public:
  explicit Hop(int family, Faults faults = {});
  void send(std::string_view bytes, const Endpoint& to);
  std::vector<std::string> receive();  // from the present address and all earlier ones
  void step();                         // lets go of what was delayed
  void rebind();
  const Endpoint& address() const { return sockets_.back()->local(); }
  Udp& socket() { return *sockets_.back(); }
  std::size_t octets_in = 0, octets_out = 0;
  std::function<std::vector<std::string>(std::string)> tamper;  // of what is sent: several, other or none

 private:
  struct Held {
    std::int64_t until;
    std::string bytes;
    Endpoint to;
  };
  bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

  const int family_;
  Faults faults_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Udp>> sockets_;
  std::vector<Held> held_out_, held_in_;
};

// One end of a connection. Streams carry whole texts: each side sends one and ends it.
class Connection {
 public:
  virtual ~Connection();
  Connection(const Connection&) = delete;

  bool handshaken() const { return conn_ && ngtcp2_conn_get_handshake_completed(conn_); }
  bool over() const { return over_; }
  bool was_reset() const { return was_reset_; }                            // by a stateless reset
  std::optional<std::uint64_t> close_code() const { return close_code_; }  // of the peer's CONNECTION_CLOSE
  ngtcp2_conn* raw() { return conn_; }
  void write();

 protected:
  Connection();
  virtual void transmit(const ngtcp2_path& path, std::string_view bytes) = 0;
  virtual void text_came(std::int64_t stream, const std::string& text) = 0;
  virtual void completed() {}
  virtual void new_id(ngtcp2_cid&, std::uint8_t*, std::size_t) = 0;
  void read(const Endpoint& local, const Endpoint& remote, std::string_view bytes);
  void expire();
  void send_text(std::int64_t stream, std::string text);
  void shut(std::uint64_t application_code);  // closes at once
  ngtcp2_callbacks callbacks(bool server);
  void finish_setup();

  struct Stream {
    std::string out, in;
    std::size_t sent = 0;
    bool has_out = false, fin_sent = false;
  };
  ngtcp2_conn* conn_ = nullptr;
  gnutls_session_t session_ = nullptr;
  ngtcp2_crypto_conn_ref ref_;
  std::map<std::int64_t, Stream> streams_;
  bool over_ = false, was_reset_ = false;
  std::optional<std::uint64_t> close_code_;

 private:
  bool write_one(std::int64_t id, Stream* stream);
};

// What a client needs to come back with 0-RTT.
struct Resumption {
  std::string session;
  ngtcp2_transport_params params{};
};

struct ClientOptions {
  int family = AF_INET;
  std::size_t id_length = 8;  // of the client's own connection ids; 0 is allowed
  std::uint32_t version = 1;
  Faults faults;
  const Resumption* resume = nullptr;
  std::size_t padding = 0;  // octets of ALPN that make the ClientHello longer than a datagram
};

class Client final : public Connection {
 public:
  Client(const Endpoint& router, ClientOptions options = {});
  void step();
  // Sent as soon as a stream is to be had; each text once.
  void request(std::string text);
  void rebind() { hop.rebind(); }  // another address, unknown to the client itself
  // Its datagrams go to another router from now on, as a new address may have them go.
  void go_through(const Endpoint& router) { via_ = router; }
  bool migrate();  // another address, announced, with a fresh id (RFC 9000, 9.2)
  bool update_key();
  void leave() { shut(0); }
  bool early_data_taken() const { return early_taken_; }
  const std::map<std::string, int>& answers() const { return answers_; }
  std::size_t asked() const { return asked_; }
  bool all_answered_once() const;
  std::optional<Resumption> resumption() const { return resumption_; }
  std::string current_id() const;  // the connection id it sends to
  bool retried() const { return retried_; }
  std::int64_t began = 0, up_at = 0;

  Hop hop;

 private:
  void transmit(const ngtcp2_path& path, std::string_view bytes) override;
  void text_came(std::int64_t stream, const std::string& text) override;
  void completed() override;
  void new_id(ngtcp2_cid& id, std::uint8_t* token, std::size_t size) override;
  void open_streams();
  static int ticket_came(gnutls_session_t, unsigned, unsigned, unsigned, const gnutls_datum_t*);

  const Endpoint router_;  // the address that the library has for the other end
  Endpoint via_;           // where the datagrams go
  const ClientOptions options_;
  Endpoint believed_;  // the address that the library has for this end
  std::deque<std::string> waiting_;
  std::map<std::string, int> answers_;
  std::size_t asked_ = 0;
  std::optional<Resumption> resumption_;
  bool early_taken_ = false, retried_ = false;
};

struct WorkerOptions {
  int family = AF_INET;
  bool proxy = false;  // the router speaks proxy-v2 to it
  quic::IdConfig ids{2, 4, 6, ""};
  std::string reset_key;
  bool retry = false;   // asks for a Retry of its own
  bool refuse = false;  // closes every new connection with CONNECTION_REFUSED
  bool busy = false;    // answers BUSY
  bool mute = false;    // takes everything and says nothing
  bool links = true;    // tells the router of the ids it gives out
  std::int64_t lock_us = 80'000;
};

class Worker {
 public:
  Worker(std::string name, WorkerOptions options = {});
  ~Worker();
  void step();
  // As a process that dies: its port is closed, its connections are gone with no word.
  void die();
  bool dead() const { return !udp_; }
  void restart();  // under its name, at another address, knowing nothing

  const std::string name, server_id;
  WorkerOptions options;
  const Endpoint& address() const { return udp_->local(); }
  std::size_t connections() const;
  int initials = 0;  // first datagrams of connections it had not known
  int accepted = 0;
  int store_calls = 0;                  // connections set up, each of which would call the session store
  std::map<std::string, int> executed;  // requests, by their text
  std::vector<std::int64_t> accepted_at;
  std::set<std::string> moves;  // ids that the router asked it to move
  std::size_t datagrams = 0, with_ecn = 0;
  std::optional<std::pair<std::string, std::string>> last_retry;  // original and retry id, as told
  std::set<std::string> clients_seen;  // addresses that the PROXY header or the socket named

 private:
  friend class Served;
  class Served* accept(const std::string& bytes, const Endpoint& client);
  void control(std::string_view words, const Endpoint& client, const Endpoint& router);
  void send(std::string_view bytes, const Endpoint& client);
  void say(const std::string& words, const Endpoint& client);
  void leave(const Endpoint& router, const Endpoint& client, const std::string& id);
  std::string make_id();

  quic::IdCodec codec_;
  std::unique_ptr<Udp> udp_;
  std::map<std::string, std::shared_ptr<class Served>> by_id_;
  std::vector<std::shared_ptr<class Served>> all_;
  std::map<std::string, Endpoint> routers_;  // by client's address: where its datagrams come from
  std::map<std::string, std::string> told_;  // retry id to original id
  std::mt19937_64 random_;
  Endpoint listen_;  // the router's own address, as the PROXY header names it
};

}  // namespace marblehub::peers
