// Prometheus remote write, version 1.0: every interval all metrics go out as one snappy-compressed protobuf.
// It works beside the serving: a bounded queue, one request at a time, nothing waits for it.
#pragma once

#include <http_parser.h>

#include <deque>
#include <memory>
#include <string>

#include "config/options.h"
#include "metrics/registry.h"
#include "net/stream.h"

namespace marblehub::metrics {

struct RemoteWriteSettings {
  bool enabled = false;
  std::string address, path;  // of the receiver: a.b.c.d:port and what follows it in the URL
  net::Time interval = 0;
  std::size_t queue = 0;  // requests kept while the receiver is away; then the oldest goes
  Labels labels;          // added to every series
};
// deploy/remote_write.json. Off unless it says so.
RemoteWriteSettings remote_write_settings_from(const config::Options& options);

// The protobuf message prometheus.WriteRequest, not yet compressed.
std::string write_request(const Registry& registry, const Labels& labels, std::int64_t timestamp_ms);

class RemoteWrite final : public net::Stream::Handler {
 public:
  RemoteWrite(net::Loop& loop, RemoteWriteSettings settings, Registry& registry);
  ~RemoteWrite() override;

  void connected() override;
  void received(std::string_view bytes) override;
  void ended(net::Ending ending) override;

 private:
  void collect();
  void send();
  void complete(unsigned status);
  void again();  // after a failure that may pass
  void done();   // with the first request in the queue

  net::Loop& loop_;
  const RemoteWriteSettings settings_;
  Registry& registry_;
  std::deque<std::string> queue_;
  std::unique_ptr<net::Stream> stream_;
  net::TimerWatch collect_, retry_, write_timeout_;
  http_parser parser_;
  bool out_ = false, complete_ = false;
  net::Time backoff_;
  Metric &sent_, &retried_, &refused_, &overflowed_;
};

}  // namespace marblehub::metrics
