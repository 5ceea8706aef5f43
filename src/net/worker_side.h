/// Connections to workers: one for each attempt, and those of the probes.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/dispatcher.h"
#include "metrics/registry.h"
#include "net/lines.h"
#include "net/stream.h"

namespace marblehub::net {

/// Begins attempts: connects to a worker and forwards the call's request line to it.
class WorkerSide final : public core::WorkerSide {
 public:
  /// `connect_timeout` is in microseconds.
  WorkerSide(Loop& loop, Time connect_timeout, metrics::Registry& metrics);
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange& exchange, const std::string& worker,
                                               const std::string& address, Time wait) override;

 private:
  friend class WorkerLink;
  Loop& loop_;
  const Time connect_timeout_;
  metrics::Metric &bytes_in_, &bytes_out_;
};

/// Probes workers with STATS, each over a separate connection that is kept for a while to save the worker the
/// cost of new connections.
class Probes final : public core::Prober {
 public:
  /// Called with the outcome of each probe; `rtt` in microseconds includes a connect.
  using Result = std::function<void(const std::string& worker, Time rtt, core::Outcome outcome,
                                    const core::LoadReport& report)>;
  /// `connect_timeout` is in microseconds.
  Probes(Loop& loop, Time connect_timeout);
  ~Probes() override;
  void on_result(Result result) { result_ = std::move(result); }
  void probe(const std::string& worker, const std::string& address) override;

 private:
  class Link;
  Loop& loop_;
  const Time connect_timeout_;
  Result result_;
  std::map<std::string, std::shared_ptr<Link>> links_;
};

}  // namespace marblehub::net
