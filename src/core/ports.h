/// What the core asks of its surroundings. A front implements the client's and the worker's side of a call;
/// the core knows neither descriptors nor wires nor the event loop.
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

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time now() const = 0;  // Unix time in microseconds that never goes back
};

// How a side ended its part: in order, or by breaking off. Passed on as it came.
enum class CloseKind { orderly, aborted };

// Why a standing connection's client is told to move: what the policy says of its worker; no answer on it for
// too long; the planner, for balance or because routes name another pool; a planned restart.
enum class MoveReason { draining, down, overwhelmed, late, silent, balance, routes, restart };

// Part of what one side sends the other while a connection stands.
struct StreamChunk {
  std::string_view bytes;
  int messages = 0;         // whole messages that end in it
  bool at_boundary = true;  // after it the stream stands between two messages
};

class ClientSide {
 public:
  virtual ~ClientSide() = default;
  // The answer: exactly one of these three is called for a call whose client still waits.
  virtual void established(std::string_view receipt) = 0;
  virtual void overload_reply(Time pause) = 0;
  virtual void failed(std::string_view words) = 0;  // the worker's own words, if it had any
  // Whether its client is still there, asked of the connection itself: the client's end may lie behind what
  // has been read of it so far. True where that cannot be told.
  virtual bool is_connected() const { return true; }
  // While the connection stands.
  virtual void deliver(std::string_view bytes) = 0;
  virtual void hold(bool on) = 0;            // the worker takes no more for now
  virtual void redirect() = 0;               // tell the client to come again, and end
  virtual void ended(CloseKind ending) = 0;  // the worker's side has ended
};

// One attempt: the call is out at one worker. Destroying it gives the attempt up.
class Attempt {
 public:
  virtual ~Attempt() = default;
  virtual void deliver(std::string_view bytes) = 0;
  virtual void hold(bool on) = 0;
  virtual void finish(CloseKind ending) = 0;  // the client's side has ended; destroyed right after
  // Whether a worker that says nothing to it is to blame. Not before it has been sent the call, nor where
  // anyone may have made the call up and it cannot have run: a flood of those would have every worker taken
  // for dead.
  virtual bool timeout_blames_worker() const { return true; }
};

class WorkerSide {
 public:
  virtual ~WorkerSide() = default;
  // Begins an attempt. What comes of it is told to the exchange, never from within this call.
  virtual std::unique_ptr<Attempt> begin_attempt(Exchange& exchange, const std::string& worker,
                                                 const std::string& address, Time wait) = 0;
};

class Prober {
 public:
  virtual ~Prober() = default;
  virtual void probe(const std::string& worker, const std::string& address) = 0;
};

class Registry {
 public:
  virtual ~Registry() = default;
  virtual void watch_endpoints() = 0;
};

}  // namespace marblehub::core
