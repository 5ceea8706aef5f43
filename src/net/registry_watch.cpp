#include "net/registry_watch.h"

#include <fmt/format.h>

#include "log/log.h"
#include "net/descriptor_budget.h"

namespace marblehub::net {
namespace {

// Changes must be applied at most 2 s after the hold time of a watch. A short hold time detects a silent
// registry soon; the policy retries up to 1.25 s after a failed call.
constexpr Time kWatchHold = 8'000'000;
// The hold time of calls until the first answer: the registry answers at once, also if nothing has changed.
constexpr Time kConfirmationHold = 1'000;
constexpr Time kWatchTimeout = kWatchHold + 600'000;
// Changes must be applied at most 6 s after the registry fell silent. By then the pending call has timed out,
// the policy's pause of up to 1.25 s is over, and the next call is answered.
constexpr Time kCallTimeout = 3'000'000;     // of a call without a hold time
constexpr Time kConnectTimeout = 1'200'000;  // the system retransmits a lost SYN after 1 s
constexpr Time kAnswerTimeout = 2'000'000;   // from the first byte of an answer to its last
constexpr int kMaxReads = 64;                // bounds read_now while bytes keep arriving
constexpr std::int64_t kNoVersion = -1;      // the first version of a list may be 0
constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;

const http_parser_settings& callbacks() {
  static const http_parser_settings parser_settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_body = [](http_parser* p, const char* at, std::size_t size) {
      auto& body = *static_cast<std::string*>(p->data);
      if (body.size() + size > kMaxBodyBytes) return 1;
      body.append(at, size);
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }();
  return parser_settings;
}

}  // namespace

RegistryWatch::RegistryWatch(Loop& loop, std::string address, const config::WorkerList& known,
                             Time first_watch_delay)
    : loop_(loop),
      address_(std::move(address)),
      first_watch_delay_(first_watch_delay),
      version_(known.workers.empty() ? kNoVersion : known.index),
      call_timer_(loop, [this] { on_call_timeout(); }),
      next_call_timer_(loop, [this] { send_request(); }) {}

RegistryWatch::~RegistryWatch() { close(); }

void RegistryWatch::close() {
  closed_ = true;  // no further call
  next_call_timer_.stop();
  abandon_call();
}

void RegistryWatch::abandon_call() {
  call_pending_ = request_sent_ = response_started_ = false;
  call_timer_.stop();
  Stream::reset(std::move(stream_));
}

void RegistryWatch::change_address(std::string address) {
  if (closed_ || address == address_) return;
  address_ = std::move(address);
  version_ = kNoVersion;
  full_list_requested_ = false;
  abandon_call();
  awaiting_first_answer_ = true;
  next_call_timer_.start(0);
}

void RegistryWatch::watch_endpoints() {
  if (closed_ || call_pending_ || next_call_timer_.active()) return;  // a call is pending or scheduled
  awaiting_first_answer_ = true;
  next_call_timer_.start(0);
}

void RegistryWatch::send_request() {
  if (closed_ || call_pending_) return;
  call_pending_ = true;
  log::debug("registry call from version {}", version_);
  body_.clear();
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = &body_;
  call_timer_.start(kConnectTimeout);
  if (stream_) return connected();
  auto to = parse_address(address_);
  if (!to) return fail("no address");
  stream_ = std::make_unique<Stream>(loop_, *this);
  stream_->set_read_priority();  // a list is applied before calls that are read in the same iteration
  stream_->connect(*to, kRegistryReserve);
}

void RegistryWatch::connected() {
  request_sent_ = true;
  bool watches = version_ >= 0;
  call_timer_.start(watches && confirmed_ ? kWatchTimeout : kCallTimeout);
  const Time hold = confirmed_ ? kWatchHold : kConfirmationHold;
  std::string query = watches ? fmt::format("?from={}&hold_ms={}", version_, hold / 1000) : "";
  stream_->write(fmt::format(
      "GET /registry/instances{} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", query, address_));
}

void RegistryWatch::received(std::string_view bytes) {
  bytes_received_ = true;
  if (!call_pending_) return Stream::reset(std::move(stream_));  // no call is pending: unexpected bytes
  if (!std::exchange(response_started_, true)) call_timer_.start(kAnswerTimeout);
  std::size_t used = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
    complete();
    // Bytes after the answer belong to no request and must not be taken for the next answer.
    if (used != bytes.size()) Stream::reset(std::move(stream_));
    return;
  }
  if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || used != bytes.size()) fail("not HTTP");
}

void RegistryWatch::ended(CloseKind) {
  if (call_pending_ && stream_) {  // a body without a length ends with its connection
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED && parser_.status_code == 200) return complete();
  }
  if (call_pending_) return fail("the connection ended");
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
  call_pending_ = request_sent_ = response_started_ = false;
  log::debug("registry answer with {} lines, version {}", list.workers.size(), list.index);
  call_timer_.stop();
  http_parser_pause(&parser_, 0);
  if (!http_should_keep_alive(&parser_)) Stream::reset(std::move(stream_));
  bool watched = version_ >= 0;
  if (watched && list.index < version_) return request_full_list();
  if (watched) full_list_requested_ = false;
  version_ = list.index;
  next_call_timer_.start(pause_before_next_call(list.workers.empty()));
  if (std::exchange(awaiting_first_answer_, false) || list.snapshot || !list.workers.empty())
    handler_.on_list(list);
}

// The registry continues a watch only if the next call comes within 200 ms. The first watch of an unchanged
// list may wait, so that balancers that start together do not call twice at once.
Time RegistryWatch::pause_before_next_call(bool unchanged) {
  const bool is_first = !std::exchange(confirmed_, true);
  return is_first && unchanged ? first_watch_delay_ : 0;
}

// Called for an answer older than the current list: either it is outdated or the registry restarted its
// version count. The full list is accepted whatever its version. A second such answer counts as a failed
// call.
void RegistryWatch::request_full_list() {
  log::warning("registry: ignored a list older than version {}, requesting the full list", version_);
  version_ = kNoVersion;
  if (std::exchange(full_list_requested_, true)) return fail("older lists again and again");
  next_call_timer_.start(0);
}

// After a stall of the process the answer may be unread in the socket. It counts as told since it was
// written.
void RegistryWatch::on_call_timeout() {
  read_now();
  if (call_pending_ && !call_timer_.active()) fail("no answer in time");
}

void RegistryWatch::read_now() {
  bytes_received_ = true;
  for (int reads = 0; request_sent_ && reads < kMaxReads && std::exchange(bytes_received_, false); ++reads)
    stream_->read_now();
}

void RegistryWatch::fail(const char* why) {
  const bool reachable = request_sent_;
  log::info("registry call failed: {}{}", why, reachable ? "" : ", not connected");
  next_call_timer_.stop();
  abandon_call();
  handler_.on_failure(reachable);
}

}  // namespace marblehub::net
