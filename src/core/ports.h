/// The interfaces that the core needs implemented. A front implements the client's and the worker's side of a
/// call; the core is independent of sockets, protocols and the event loop.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "config/json.h"
#include "marblehub/policy.h"

namespace marblehub::core {

using marblehub::policy::LoadReport;
using marblehub::policy::Outcome;
using marblehub::policy::Time;

class Exchange;

/// The time source.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time now() const = 0;  // Unix time in microseconds; never decreases
};

/// How a side closed its stream: orderly (FIN) or aborted (RST). Forwarded to the other side unchanged.
enum class CloseKind { orderly, aborted };

/// Why the client of an established connection is requested to move. draining to late: the policy's reasons;
/// silent: the worker does not respond; balance, routes: the planner, the latter because routes name another
/// pool; restart: this balancer restarts.
enum class MoveReason { draining, down, overwhelmed, late, silent, balance, routes, restart };

/// Part of the byte stream of an established connection. Fronts hold back an incomplete message, so that
/// either side can be closed at any time without a part of one.
struct StreamChunk {
  std::string_view bytes;   // may be empty
  int messages = 0;         // number of messages that end in it
  bool at_boundary = true;  // no message is incomplete after it, nor held back
};

/// The client's side of a call, implemented by a front.
class ClientSide {
 public:
  virtual ~ClientSide() = default;
  // The answer: exactly one of these three is called, unless the client has left.
  virtual void established(std::string_view receipt) = 0;  // the worker's answer, for the client
  virtual void overload_reply(Time pause) = 0;  // after which to retry, in microseconds; 0: unspecified
  virtual void failed(std::string_view error_text) = 0;  // the worker's error message, or empty
  /// Whether the client is still connected. Checks the connection itself, as its end may not have been read
  /// yet. True if that cannot be determined.
  virtual bool is_connected() const { return true; }
  // Called while the connection is established.
  virtual void deliver(std::string_view bytes) = 0;  // sends the worker's bytes to the client
  virtual void hold(bool on) = 0;  // stops or resumes reading from the client: the worker is blocked
  virtual void redirect() = 0;     // requests the client to reconnect, and closes; never completes a message
  virtual void ended(CloseKind close_kind) = 0;  // the worker's side has closed
};

/// One attempt: the call as sent to one worker. Destroying it cancels the attempt.
class Attempt {
 public:
  virtual ~Attempt() = default;
  virtual void deliver(std::string_view bytes) = 0;  // sends the client's bytes to the worker
  virtual void hold(bool on) = 0;                    // stops or resumes reading from the worker
  virtual void finish(CloseKind close_kind) = 0;     // the client's side has closed; destroyed right after
  /// Whether it is certain that the worker has not executed the call, and will not once the attempt is
  /// destroyed.
  virtual bool proved_not_run() const { return false; }
  /// Whether a time-out counts as a failure of the worker. False before the call has been sent, and for calls
  /// that may be forged: a flood of those would otherwise mark every worker as failed.
  virtual bool timeout_blames_worker() const { return true; }
};

/// The worker's side of a front's calls.
class WorkerSide {
 public:
  virtual ~WorkerSide() = default;
  /// Begins an attempt that may take up to `wait` microseconds. Results are reported to the exchange, but
  /// never from within this call.
  virtual std::unique_ptr<Attempt> begin_attempt(Exchange& exchange, const std::string& worker,
                                                 const std::string& address, Time wait) = 0;
};

/// Sends probes; results go to Dispatcher::probe_result.
class Prober {
 public:
  virtual ~Prober() = default;
  virtual void probe(const std::string& worker, const std::string& address) = 0;
};

/// The client of service discovery; lists go to Dispatcher::list_received and list_failed.
class Registry {
 public:
  virtual ~Registry() = default;
  virtual void watch_endpoints() = 0;  // requests the list, or its next change
};

}  // namespace marblehub::core
