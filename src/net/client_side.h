// The platform's clients: the listener and one link for each client.
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

class Listener {
 public:
  /// Throws ListenError.
  Listener(Loop& loop, core::Dispatcher& dispatcher, core::WorkerSide& workers, const sockaddr_in& address,
           DescriptorBudget& descriptors, metrics::Registry& metrics);
  ~Listener();

  // Takes what has come, then no more. Stays open, to be closed again later, while someone waits to be
  // accepted for whom no descriptor is free.
  void close();
  bool closed() const { return !fd_; }
  // Reads once more from those that have not asked yet; one that still has sent no whole line is answered
  // BUSY.
  void turn_away_silent();
  std::size_t not_asked_yet() const { return asking_.size(); }

 private:
  friend class ClientLink;
  void accept_some();
  bool accept_one();
  bool connection_pending() const;  // to be accepted
  void free_descriptors(std::size_t staying);
  bool evict_one(std::size_t staying);
  void pause();
  void remove(ClientLink& link);

  Loop& loop_;
  core::Dispatcher& dispatcher_;
  core::WorkerSide& workers_;
  DescriptorBudget& descriptors_;
  Fd fd_;
  IoWatch io_;
  TimerWatch pause_;
  std::list<std::unique_ptr<ClientLink>> links_;
  std::list<ClientLink*> asking_;             // those that have not asked yet, the oldest first
  std::unordered_set<std::string> open_ids_;  // of the calls that wait or stand
  metrics::Metric &accepted_, &full_, &malformed_, &silent_, &evicted_, &rejected_for_descriptors_, &pings_,
      &bytes_in_, &bytes_out_;
};

class ClientLink final : public core::ClientSide {
 public:
  ClientLink(Listener& listener, Loop& loop);
  ~ClientLink() override;
  void start(Fd fd);  // once it has its place in the listener's lists

  // From the exchange.
  void established(std::string_view receipt) override;
  void overload_reply(Time pause) override;
  void failed(std::string_view words) override;
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
  // Stream::Handler and core::ClientSide both tell of an ending; the stream's comes through this.
  struct FromStream final : Stream::Handler {
    explicit FromStream(ClientLink& l) : link(l) {}
    void received(std::string_view bytes) override { link.received(bytes); }
    void drained() override { link.drained(); }
    void ended(CloseKind ending) override { link.ended_by_peer(ending); }
    ClientLink& link;
  };

  void first_lines();
  bool ping();
  void ask(std::string line);
  void malformed();
  void never_asked();
  void ask_now_or_leave();
  void evict();
  void stop_asking();
  void forward(std::string_view bytes);
  void say(std::string_view bytes);
  void say_and_close(std::string_view line, void (*how)(std::unique_ptr<Stream>) = Stream::finish);
  void close(CloseKind ending);
  void end(void (*how)(std::unique_ptr<Stream>));

  Listener& listener_;
  FromStream from_stream_;
  std::unique_ptr<Stream> stream_;
  core::Exchange* exchange_ = nullptr;
  bool asked_ = false, standing_ = false, full_told_ = false;
  char last_said_ = '\n';  // the last byte passed on to the client
  std::string in_;         // what has come and is not passed on yet
  LineTracker lines_;
  TimerWatch request_timeout_;  // runs until the client has asked, from when it connected
  int pings_ = 0;
  std::string id_;  // once it has asked
  std::list<std::unique_ptr<ClientLink>>::iterator place_;
  std::list<ClientLink*>::iterator asking_place_;
};

}  // namespace marblehub::net
