/// The client of the worker registry: long polling over HTTP/1.1.
#pragma once

#include <http_parser.h>

#include <functional>
#include <memory>
#include <string>

#include "core/ports.h"
#include "net/stream.h"

namespace marblehub::net {

/// Asks for what has changed since the list known at the start, and then watches for changes. One call is
/// outstanding at a time; a watch is followed by the next as soon as it is answered. After a failure it waits
/// for watch_endpoints.
class RegistryWatch final : public core::Registry, public Stream::Handler {
 public:
  /// Receives each list, or a notification that a call failed.
  struct Handler {
    std::function<void(const config::WorkerList&)> on_list;
    std::function<void(bool reachable)> on_failure;  // reachable: the registry was connected to
  };
  /// Requests the changes since the list `known`, or the full list if that one is empty. A list that is
  /// confirmed unchanged is watched after `first_watch_delay`, in microseconds.
  RegistryWatch(Loop& loop, std::string address, const config::WorkerList& known, Time first_watch_delay);
  ~RegistryWatch() override;
  void set_handler(Handler handler) { handler_ = std::move(handler); }
  void close();  ///< no further call is made, and a pending one is abandoned
  /// Abandons a pending call at the old address and requests the full list at the new one, whose versions
  /// need not continue those of the old one.
  void change_address(std::string address);

  void watch_endpoints() override;
  /// Handles what has already arrived, without waiting for the loop.
  void read_now();

  void connected() override;
  void received(std::string_view bytes) override;
  void ended(CloseKind ending) override;

 private:
  void send_request();
  void abandon_call();  // its answer is ignored
  void on_call_timeout();
  void complete();
  Time pause_before_next_call(bool unchanged);
  void request_full_list();
  void fail(const char* why);

  Loop& loop_;
  std::string address_;
  const Time first_watch_delay_;
  std::int64_t version_;
  Handler handler_;
  std::unique_ptr<Stream> stream_;
  TimerWatch call_timer_, next_call_timer_;
  http_parser parser_;
  std::string body_;
  bool call_pending_ = false, closed_ = false, awaiting_first_answer_ = true;
  bool request_sent_ = false, response_started_ = false;  // of the pending call
  bool bytes_received_ = false;                           // since it was last cleared
  bool confirmed_ = false;                                // whether an answer has come since the start
  bool full_list_requested_ = false;  // after an outdated answer, until a watch is answered correctly
};

}  // namespace marblehub::net
