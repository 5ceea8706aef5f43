// The registry, asked over HTTP/1.1: one call out at a time, and the next watch right after an answer.
#pragma once

#include <http_parser.h>

#include <functional>
#include <memory>
#include <string>

#include "core/ports.h"
#include "net/stream.h"

namespace marblehub::net {

class RegistryWatch final : public core::Registry, public Stream::Handler {
 public:
  struct Handler {
    std::function<void(const config::WorkerList&)> told;
    std::function<void()> refused;
  };
  // Only what has changed since the list `known` is asked for; the whole list where that one is empty.
  RegistryWatch(Loop& loop, std::string address, const config::WorkerList& known);
  ~RegistryWatch() override;
  void on_news(Handler handler) { handler_ = std::move(handler); }
  void close();
  // The registry has moved: whatever is out at the old address is dropped, and the whole list is asked for at
  // the new one, which need not count its versions as the old one did.
  void follow(std::string address);

  void watch_endpoints() override;
  // Takes what has come by now without waiting for the loop.
  void read_now();

  void connected() override;
  void received(std::string_view bytes) override;
  void ended(CloseKind ending) override;

 private:
  void call();
  void drop_call();  // what is out is heard of no more
  void out_of_time();
  void complete();
  void ask_anew();
  void fail(const char* why);

  Loop& loop_;
  std::string address_;
  std::int64_t index_;
  Handler handler_;
  std::unique_ptr<Stream> stream_;
  TimerWatch call_timeout_, next_;
  http_parser parser_;
  std::string body_;
  bool out_ = false, closed_ = false, first_ = true;
  bool sent_ = false, answering_ = false;  // of the call that is out: written; the first byte has come
  bool received_ = false;                  // since it was last cleared
  bool asked_anew_ = false;  // an answer older than the list held has come, and no sound one of a watch since
};

}  // namespace marblehub::net
