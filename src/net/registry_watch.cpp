#include "net/registry_watch.h"

#include <fmt/format.h>

#include "log/log.h"
#include "net/room.h"

namespace marblehub::net {
namespace {

// News counts as told 2 s after a watch's wait is over at the latest: a short wait finds a silent registry
// soon. The module asks again up to 1.25 s after a failed call, and the answer takes its time too.
constexpr Time kHold = 8'000'000;
constexpr Time kPatience = kHold + 600'000;
constexpr std::int64_t kNoVersion = -1;  // the first version of a list may well be 0
constexpr std::size_t kLongestBody = 8 * 1024 * 1024;

const http_parser_settings& callbacks() {
  static const http_parser_settings made = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_body = [](http_parser* p, const char* at, std::size_t size) {
      auto& body = *static_cast<std::string*>(p->data);
      if (body.size() + size > kLongestBody) return 1;
      body.append(at, size);
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }();
  return made;
}

}  // namespace

RegistryWatch::RegistryWatch(Loop& loop, std::string address, const config::WorkerList& known)
    : loop_(loop),
      address_(std::move(address)),
      index_(known.workers.empty() ? kNoVersion : known.index),
      patience_(loop, [this] { fail("no answer in time"); }),
      next_(loop, [this] { call(); }) {}

RegistryWatch::~RegistryWatch() { close(); }

void RegistryWatch::close() {
  closed_ = true;  // no further call
  next_.stop();
  drop_call();
}

void RegistryWatch::drop_call() {
  out_ = false;
  patience_.stop();
  Stream::reset(std::move(stream_));
}

void RegistryWatch::follow(std::string address) {
  if (closed_ || address == address_) return;
  address_ = std::move(address);
  index_ = kNoVersion;
  drop_call();
  first_ = true;
  next_.start(0);
}

void RegistryWatch::track() {
  if (closed_ || out_ || next_.active()) return;  // one call out at a time
  first_ = true;
  next_.start(0);
}

void RegistryWatch::call() {
  if (closed_ || out_) return;
  out_ = true;
  log::debug("registry call from version {}", index_);
  body_.clear();
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = &body_;
  patience_.start(kPatience);
  if (stream_) return connected();
  auto to = parse_address(address_);
  if (!to) return fail("no address");
  stream_ = std::make_unique<Stream>(loop_, *this);
  stream_->connect(*to, kRegistryReserve);
}

void RegistryWatch::connected() {
  std::string query = index_ >= 0 ? fmt::format("?from={}&hold_ms={}", index_, kHold / 1000) : "";
  stream_->write(fmt::format(
      "GET /registry/instances{} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", query, address_));
}

void RegistryWatch::received(std::string_view bytes) {
  if (!out_) return;
  std::size_t used = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) return complete();
  if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || used != bytes.size()) fail("not HTTP");
}

void RegistryWatch::ended(Ending) {
  if (out_ && stream_) {  // a body may end with its connection
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED && parser_.status_code == 200) return complete();
  }
  if (out_) return fail("the connection ended");
  Stream::reset(std::move(stream_));
}

void RegistryWatch::complete() {
  if (parser_.status_code != 200) return fail("not 200");
  config::WorkerList list;
  try {
    list = config::list_from(config::flatten(body_, "registry: "));
  } catch (const config::DecodeError& error) {
    log::warning("{}", error.what());
    return fail("a list that cannot be read");
  }
  out_ = false;
  log::debug("registry answer with {} lines, version {}", list.workers.size(), list.index);
  patience_.stop();
  http_parser_pause(&parser_, 0);
  if (!http_should_keep_alive(&parser_)) Stream::reset(std::move(stream_));
  index_ = list.index;
  next_.start(0);  // a watch goes on only if the next call comes within 200 ms
  if (std::exchange(first_, false) || list.snapshot || !list.workers.empty()) handler_.told(list);
}

void RegistryWatch::fail(const char* why) {
  log::info("registry call failed: {}", why);
  next_.stop();
  drop_call();
  handler_.refused();
}

}  // namespace marblehub::net
