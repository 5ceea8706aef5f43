/// Connections from clients: the listener and one link for each client.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_set>
#include <vector>

#include "core/dispatcher.h"
#include "metrics/registry.h"
#include "net/descriptor_budget.h"
#include "net/lines.h"
#include "net/stream.h"

namespace marblehub::net {

class ClientLink;

/// The address that clients connect to cannot be bound or listened on; code() says why.
class ListenError : public std::system_error {
 public:
  explicit ListenError(int error)
      : std::system_error(error, std::generic_category(), "cannot listen on the address given") {}
};

/// Accepts clients, owns their links, and evicts clients without a request when descriptors run low.
class Listener {
 public:
  /// Throws ListenError.
  Listener(Loop& loop, core::Dispatcher& dispatcher, core::WorkerSide& workers, const sockaddr_in& address,
           DescriptorBudget& descriptors, metrics::Registry& metrics);
  ~Listener();

  /// Accepts all pending connections, then closes. Stays open if there is no descriptor for a pending
  /// connection; the caller tries again later.
  void close();
  bool closed() const { return !fd_; }
  /// From then on PING is answered, also those that came before.
  void set_ready();
  /// Reads once more from clients without a request, and answers BUSY to those that still have none.
  void close_silent_clients();
  /// The number of clients that have sent no request yet.
  std::size_t pending_requests() const { return awaiting_request_.size(); }

 private:
  friend class ClientLink;
  void accept_some();
  bool accept_one();
  bool connection_pending() const;  // in the listen queue
  void free_descriptors(std::size_t exempt);
  bool evict_client(std::size_t exempt);
  void pause();
  void remove(ClientLink& link);

  Loop& loop_;
  core::Dispatcher& dispatcher_;
  core::WorkerSide& workers_;
  bool ready_ = false;  // while false, PINGs are not answered, so that the front sends no clients yet
  DescriptorBudget& descriptors_;
  Fd fd_;
  IoWatch io_;
  TimerWatch pause_timer_;
  std::list<std::unique_ptr<ClientLink>> links_;
  std::list<ClientLink*> awaiting_request_;   // clients without a request, the oldest first
  std::unordered_set<std::string> open_ids_;  // of calls that are waiting or established
  metrics::Metric &accepted_, &accept_pauses_, &malformed_, &silent_, &evicted_, &rejected_for_descriptors_,
      &pings_, &bytes_in_, &bytes_out_;
};

/// One client's connection: parses its request, starts the call, and forwards bytes between client and
/// exchange. Owned by the listener.
class ClientLink final : public core::ClientSide {
 public:
  ClientLink(Listener& listener, Loop& loop);
  ~ClientLink() override;
  void start(Fd fd);  ///< to be called once the link is in the listener's lists

  // From the exchange.
  void established(std::string_view receipt) override;
  void overload_reply(Time pause) override;
  void failed(std::string_view reply) override;
  bool is_connected() const override { return stream_ && !stream_->peer_ended(); }
  void deliver(std::string_view bytes) override;
  void hold(bool on) override;
  void redirect() override;
  void ended(CloseKind ending) override;

  // From the socket.
  void received(std::string_view bytes);
  void drained();
  void ended_by_peer(CloseKind ending);

 private:
  friend class Listener;
  // Forwards the stream's events, since Stream::Handler and core::ClientSide both have a function `ended`.
  struct StreamHandler final : Stream::Handler {
    explicit StreamHandler(ClientLink& l) : link(l) {}
    void received(std::string_view bytes) override { link.received(bytes); }
    void drained() override { link.drained(); }
    void ended(CloseKind ending) override { link.ended_by_peer(ending); }
    ClientLink& link;
  };

  void read_request_lines();
  bool accept_ping();
  void answer_pings();
  void handle_request(std::string line);
  void malformed();
  void on_request_timeout();
  void read_request_or_close();
  void evict();
  void stop_awaiting_request();
  void forward(std::string_view bytes);
  void send_line(std::string_view line);
  void send_bytes(std::string_view bytes);
  void send_and_close(std::string_view line, void (*close_stream)(std::unique_ptr<Stream>) = Stream::finish);
  void close(CloseKind ending);
  void end(void (*close_stream)(std::unique_ptr<Stream>));

  Listener& listener_;
  StreamHandler stream_handler_;
  std::unique_ptr<Stream> stream_;
  core::Exchange* exchange_ = nullptr;
  bool request_received_ = false, established_ = false, blocked_reported_ = false;
  char last_byte_sent_ = '\n';
  std::string input_;           // received, but not yet a complete line
  LineAssembler lines_;         // from the client, once established
  TimerWatch request_timeout_;  // runs from the connect to the request
  int pings_ = 0, unanswered_pings_ = 0;
  std::string id_;  // from the request on
  std::list<std::unique_ptr<ClientLink>>::iterator position_;
  std::list<ClientLink*>::iterator awaiting_position_;
};

}  // namespace marblehub::net
