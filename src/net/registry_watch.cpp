#include "net/registry_watch.h"

#include <fmt/format.h>

#include "log/log.h"
#include "net/descriptor_budget.h"

namespace marblehub::net {
namespace {

// News counts as told 2 s after a watch's wait is over at the latest: a short wait finds a silent registry
// soon. The module asks again up to 1.25 s after a failed call, and the answer takes its time too.
constexpr Time kHold = 8'000'000;
constexpr Time kWatchTimeout = kHold + 600'000;
// What a silent registry has to tell counts as told 6 s after it fell silent. By then the call that is out
// has been given up, the module's pause of up to 1.25 s is over, and the next call is answered.
constexpr Time kCallTimeout = 3'000'000;  // of a call that need not wait: the registry fails later ones too
constexpr Time kConnectTimeout = 1'200'000;  // the system sends a lost SYN again after 1 s
constexpr Time kAnswerTimeout = 2'000'000;   // from the first byte of an answer to its last
constexpr int kReadsAtOnce = 64;             // if bytes never cease
constexpr std::int64_t kNoVersion = -1;      // the first version of a list may well be 0
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
      call_timeout_(loop, [this] { out_of_time(); }),
      next_(loop, [this] { call(); }) {}

RegistryWatch::~RegistryWatch() { close(); }

void RegistryWatch::close() {
  closed_ = true;  // no further call
  next_.stop();
  drop_call();
}

void RegistryWatch::drop_call() {
  out_ = sent_ = answering_ = false;
  call_timeout_.stop();
  Stream::reset(std::move(stream_));
}

void RegistryWatch::follow(std::string address) {
  if (closed_ || address == address_) return;
  address_ = std::move(address);
  index_ = kNoVersion;
  asked_anew_ = false;
  drop_call();
  first_ = true;
  next_.start(0);
}

void RegistryWatch::watch_endpoints() {
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
  call_timeout_.start(kConnectTimeout);
  if (stream_) return connected();
  auto to = parse_address(address_);
  if (!to) return fail("no address");
  stream_ = std::make_unique<Stream>(loop_, *this);
  stream_->read_first();  // what it tells counts since it was written: no call is placed before it is read
  stream_->connect(*to, kRegistryReserve);
}

void RegistryWatch::connected() {
  sent_ = true;
  bool watches = index_ >= 0;
  call_timeout_.start(watches ? kWatchTimeout : kCallTimeout);
  std::string query = watches ? fmt::format("?from={}&hold_ms={}", index_, kHold / 1000) : "";
  stream_->write(fmt::format(
      "GET /registry/instances{} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", query, address_));
}

void RegistryWatch::received(std::string_view bytes) {
  received_ = true;
  if (!out_) return Stream::reset(std::move(stream_));  // nothing is asked: this connection is out of step
  if (!std::exchange(answering_, true)) call_timeout_.start(kAnswerTimeout);
  std::size_t used = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
    complete();
    // What follows an answer belongs to none that was asked for; the rest of it must not meet the next call.
    if (used != bytes.size()) Stream::reset(std::move(stream_));
    return;
  }
  if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || used != bytes.size()) fail("not HTTP");
}

void RegistryWatch::ended(CloseKind) {
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
  out_ = sent_ = answering_ = false;
  log::debug("registry answer with {} lines, version {}", list.workers.size(), list.index);
  call_timeout_.stop();
  http_parser_pause(&parser_, 0);
  if (!http_should_keep_alive(&parser_)) Stream::reset(std::move(stream_));
  bool watched = index_ >= 0;
  if (watched && list.index < index_) return ask_anew();
  if (watched) asked_anew_ = false;
  index_ = list.index;
  next_.start(0);  // a watch goes on only if the next call comes within 200 ms
  if (std::exchange(first_, false) || list.snapshot || !list.workers.empty()) handler_.told(list);
}

// An answer older than the list held: what it says may be over. Either it came late or the registry counts
// its versions from the beginning again; the whole list tells which, and is taken whatever its version. A
// registry that does so again is asked later, as after any failed call.
void RegistryWatch::ask_anew() {
  log::warning("registry: a list older than version {} was not taken, the whole list is asked for", index_);
  index_ = kNoVersion;
  if (std::exchange(asked_anew_, true)) return fail("older lists again and again");
  next_.start(0);
}

// After a stall of the process the answer may lie in the socket, and it counts as told since it was written.
void RegistryWatch::out_of_time() {
  read_now();
  if (out_ && !call_timeout_.active()) fail("no answer in time");
}

void RegistryWatch::read_now() {
  received_ = true;
  for (int reads = 0; sent_ && reads < kReadsAtOnce && std::exchange(received_, false); ++reads)
    stream_->read_now();
}

void RegistryWatch::fail(const char* why) {
  log::info("registry call failed: {}", why);
  next_.stop();
  drop_call();
  handler_.refused();
}

}  // namespace marblehub::net
