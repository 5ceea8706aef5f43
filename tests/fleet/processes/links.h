// What lies between the balancers: for each ordered pair a forwarder of datagrams and streams that can lose,
// delay, repeat, reorder and cut. It runs in a thread of its own. Chance comes from the scenario's seed.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace marblehub::test {

struct Faults {
  bool cut = false;                     // nothing passes; streams stand still and go on when it is healed
  double loss = 0, repeat = 0;          // of datagrams; a stream's octets are late by 200 ms instead of lost
  double reorder = 0;                   // of datagrams: so many are held for 50 ms, others overtake them
  double delay_from = 0, delay_to = 0;  // milliseconds
};

class Links {
 public:
  explicit Links(std::uint64_t seed);
  ~Links();
  Links(const Links&) = delete;

  // The address at which `from` reaches `to`, which listens at `address`. Before start.
  std::string add(const std::string& from, const std::string& to, const std::string& address);
  void start();
  void set(const std::string& from, const std::string& to, const Faults& faults);
  Faults get(const std::string& from, const std::string& to);
  struct Counts {
    std::uint64_t passed = 0, lost = 0, repeated = 0;
  };
  Counts counts();

 private:
  struct Link;
  struct Stream;
  struct DelayedDatagram {
    std::int64_t due = 0;
    std::uint64_t order = 0;
    Link* link = nullptr;
    std::string bytes;
    bool operator<(const DelayedDatagram& other) const {  // the earliest first
      return due != other.due ? due > other.due : order > other.order;
    }
  };
  struct EpollTarget {  // what epoll names
    enum { udp, listener, source_end, target_end, wake } kind = wake;
    Link* link = nullptr;
    Stream* stream = nullptr;
  };
  void run();
  void receive_datagrams(Link& link, std::int64_t now);
  void accept(Link& link);
  void read_stream(Stream& stream, std::int64_t now);
  void forward_due(std::int64_t now);
  bool forward_due(Stream& stream, std::int64_t now);  // false: it is over
  void set_watched(int fd, EpollTarget& what, bool add = true);
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  std::mutex mutex_;
  std::mt19937_64 rng_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Link>> links_;
  std::map<Stream*, std::unique_ptr<Stream>> streams_;
  std::priority_queue<DelayedDatagram> delayed_;
  std::uint64_t next_order_ = 0;
  Counts counts_;
  int epoll_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace marblehub::test
