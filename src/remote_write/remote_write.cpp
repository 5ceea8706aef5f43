#include "remote_write/remote_write.h"

#include <fmt/format.h>
#include <snappy.h>

#include <algorithm>
#include <bit>

#include "log/log.h"

namespace marblehub::metrics {
namespace {

using net::Time;

constexpr Time kMinBackoff = 500'000, kMaxBackoff = 30'000'000, kWriteTimeout = 5'000'000;

void put_varint(std::string& out, std::uint64_t value) {
  for (; value >= 0x80; value >>= 7) out += static_cast<char>(value | 0x80);
  out += static_cast<char>(value);
}

// Appends a length-delimited field: a string or an embedded message.
void put_bytes(std::string& out, unsigned number, std::string_view bytes) {
  put_varint(out, number << 3 | 2);
  put_varint(out, bytes.size());
  out += bytes;
}

// Encodes a prometheus.Label.
std::string label(std::string_view name, std::string_view value) {
  std::string out;
  put_bytes(out, 1, name);
  put_bytes(out, 2, value);
  return out;
}

// Encodes a prometheus.Sample.
std::string sample(double value, std::int64_t timestamp_ms) {
  std::string out;
  put_varint(out, 1 << 3 | 1);
  auto bits = std::bit_cast<std::uint64_t>(value);
  for (int i = 0; i < 8; ++i) out += static_cast<char>(bits >> (8 * i));
  put_varint(out, 2 << 3);
  put_varint(out, static_cast<std::uint64_t>(timestamp_ms));
  return out;
}

}  // namespace

RemoteWriteSettings remote_write_settings_from(const config::Options& options) {
  RemoteWriteSettings s;
  s.enabled = options.flag("enabled");
  const std::string& url = options.text("url");
  constexpr std::string_view scheme = "http://";
  std::size_t slash = url.find('/', scheme.size());
  if (url.starts_with(scheme)) s.address = url.substr(scheme.size(), slash - scheme.size());
  s.path = slash == std::string::npos ? "/" : url.substr(slash);
  if (!net::parse_address(s.address)) options.refuse("url", "http://a.b.c.d:port/path");
  s.interval = options.number<Time>("interval_ms", 100) * 1000;
  s.queue = options.number<std::size_t>("queue", 1);
  for (const auto& [key, value] : options.values())
    if (key.starts_with("labels.")) {
      options.find(key);
      s.labels.emplace_back(key.substr(7), value);
    }
  return s;
}

std::string write_request(const Registry& registry, const Labels& labels, std::int64_t timestamp_ms) {
  std::string request;
  for (const Metric& metric : registry.all()) {
    Labels all = metric.labels;
    all.emplace_back("__name__", metric.name);
    for (const auto& extra : labels)
      if (std::none_of(all.begin(), all.end(), [&](const auto& l) { return l.first == extra.first; }))
        all.push_back(extra);
    std::sort(all.begin(), all.end());  // the protocol requires sorted labels
    std::string series;
    for (const auto& [name, value] : all) put_bytes(series, 1, label(name, value));
    put_bytes(series, 2, sample(metric.value, timestamp_ms));
    put_bytes(request, 1, series);
  }
  return request;
}

RemoteWrite::RemoteWrite(net::Loop& loop, RemoteWriteSettings settings, Registry& registry)
    : loop_(loop),
      settings_(std::move(settings)),
      registry_(registry),
      collect_timer_(loop, [this] { collect(); }),
      retry_timer_(loop, [this] { send(); }),
      write_timeout_(loop, [this] { retry_later(); }),
      backoff_(kMinBackoff),
      accepted_(registry.counter("marblehub_remote_writes_total", "Remote writes, by how they ended",
                                 {{"result", "taken"}})),
      retried_(registry.counter("marblehub_remote_writes_total", "Remote writes, by how they ended",
                                {{"result", "retried"}})),
      refused_(registry.counter("marblehub_remote_writes_total", "Remote writes, by how they ended",
                                {{"result", "refused"}})),
      overflowed_(registry.counter("marblehub_remote_writes_total", "Remote writes, by how they ended",
                                   {{"result", "overflowed"}})) {
  collect_timer_.start(settings_.interval);
}

RemoteWrite::~RemoteWrite() { net::Stream::reset(std::move(stream_)); }

void RemoteWrite::collect() {
  collect_timer_.start(settings_.interval);
  std::string body, request = write_request(registry_, settings_.labels, loop_.now() / 1000);
  snappy::Compress(request.data(), request.size(), &body);
  if (queue_.size() >= settings_.queue) {
    overflowed_.add();
    // A request in flight is kept, unless the queue holds no other.
    queue_.erase(queue_.begin() + (in_flight_ && queue_.size() > 1 ? 1 : 0));
    if (queue_.empty()) in_flight_ = false;
  }
  queue_.push_back(std::move(body));
  if (!in_flight_ && !retry_timer_.active()) send();
}

void RemoteWrite::send() {
  if (queue_.empty()) return;
  in_flight_ = true;
  response_complete_ = false;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  write_timeout_.start(kWriteTimeout);
  if (stream_) return connected();
  stream_ = std::make_unique<net::Stream>(loop_, *this);
  stream_->connect(*net::parse_address(settings_.address));
}

void RemoteWrite::connected() {
  stream_->write(
      fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/x-protobuf\r\n"
                  "Content-Encoding: snappy\r\nUser-Agent: marblehub\r\n"
                  "X-Prometheus-Remote-Write-Version: 0.1.0\r\nContent-Length: {}\r\n\r\n",
                  settings_.path, settings_.address, queue_.front().size()));
  stream_->write(queue_.front());
}

void RemoteWrite::received(std::string_view bytes) {
  if (!in_flight_) return;
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_message_complete = [](http_parser* p) {
    static_cast<RemoteWrite*>(p->data)->response_complete_ = true;
    return 0;
  };
  std::size_t parsed = http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size());
  if (response_complete_) return response_received(parser_.status_code);
  if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parsed != bytes.size()) retry_later();
}

void RemoteWrite::ended(net::CloseKind) {
  if (in_flight_) return retry_later();
  net::Stream::reset(std::move(stream_));
}

void RemoteWrite::response_received(unsigned status) {
  if (!http_should_keep_alive(&parser_)) net::Stream::reset(std::move(stream_));
  if (status / 100 == 5) return retry_later();
  if (status / 100 == 2) {
    accepted_.add();
  } else {  // a permanent rejection: drop the request so that later ones are sent
    refused_.add();
    log::warning("remote write rejected with status {}", status);
  }
  finish_request();
}

void RemoteWrite::finish_request() {
  in_flight_ = false;
  write_timeout_.stop();
  backoff_ = kMinBackoff;
  queue_.pop_front();
  if (!queue_.empty()) retry_timer_.start(0);
}

void RemoteWrite::retry_later() {
  retried_.add();
  in_flight_ = false;
  write_timeout_.stop();
  net::Stream::reset(std::move(stream_));
  retry_timer_.start(backoff_);
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
}

}  // namespace marblehub::metrics
