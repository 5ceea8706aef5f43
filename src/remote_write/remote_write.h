/// Prometheus remote write 1.0: sends all metrics at an interval as one snappy-compressed protobuf message.
/// It never blocks the balancer: requests wait in a bounded queue and are sent one at a time.
#pragma once

#include <http_parser.h>

#include <deque>
#include <memory>
#include <string>

#include "config/options.h"
#include "metrics/registry.h"
#include "net/stream.h"

namespace marblehub::metrics {

/// Settings of the remote write client, read from deploy/remote_write.json.
struct RemoteWriteSettings {
  bool enabled = false;
  std::string address, path;  // of the receiver: a.b.c.d:port and the path of the URL
  net::Time interval = 0;     // in microseconds
  std::size_t queue = 0;      // maximum number of waiting requests; the oldest is dropped on overflow
  Labels labels;              // added to every series
};
/// Throws config::DecodeError with the key of a missing or wrong setting.
RemoteWriteSettings remote_write_settings_from(const config::Options& options);

/// Encodes all metrics as an uncompressed prometheus.WriteRequest protobuf message. A metric's own label
/// takes precedence over one of `labels` with the same name.
std::string write_request(const Registry& registry, const Labels& labels, std::int64_t timestamp_ms);

/// Sends the metrics of a registry to one receiver over HTTP. Uses the loop and the registry, which outlive
/// it; owns its connection. A 5xx answer, a timeout or a connection failure is retried with exponential
/// backoff; any other answer completes the request.
class RemoteWrite final : public net::Stream::Handler {
 public:
  RemoteWrite(net::Loop& loop, RemoteWriteSettings settings, Registry& registry);
  ~RemoteWrite() override;

  // net::Stream::Handler
  void connected() override;
  void received(std::string_view bytes) override;
  void ended(net::CloseKind ending) override;

 private:
  void collect();  // queues the current metrics
  void send();     // the first request of the queue
  void response_received(unsigned status);
  void retry_later();     // after a transient failure
  void finish_request();  // removes the first request from the queue

  net::Loop& loop_;
  const RemoteWriteSettings settings_;
  Registry& registry_;
  std::deque<std::string> queue_;
  std::unique_ptr<net::Stream> stream_;
  net::TimerWatch collect_timer_, retry_timer_, write_timeout_;
  http_parser parser_;
  bool in_flight_ = false, response_complete_ = false;
  net::Time backoff_;
  Metric &accepted_, &retried_, &refused_, &overflowed_;
};

}  // namespace marblehub::metrics
