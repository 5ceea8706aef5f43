// Proxies between the balancers that inject faults into datagrams and streams.
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

/// The faults of one directed link. Probabilities are from 0 to 1.
struct Faults {
  bool cut = false;                     // drops datagrams; holds streams back until the link is healed
  double loss = 0, repeat = 0;          // of datagrams; a lost part of a stream is delayed by 200 ms instead
  double reorder = 0;                   // probability that a datagram is delayed by 50 ms
  double delay_from = 0, delay_to = 0;  // of each datagram and part of a stream, milliseconds
};

/// Forwards datagrams and streams over one directed link for each ordered pair of members, in a thread of its
/// own. Faults are drawn from a random generator with the scenario's seed.
class Links {
 public:
  explicit Links(std::uint64_t seed);
  ~Links();
  Links(const Links&) = delete;

  // Adds a link to `to`, which listens at `address`, and returns the address that `from` is to use for it.
  // To be called before start(). Throws std::runtime_error if no port is free.
  std::string add(const std::string& from, const std::string& to, const std::string& address);
  void start();
  void set(const std::string& from, const std::string& to, const Faults& faults);
  Faults get(const std::string& from, const std::string& to);
  // Datagrams forwarded, lost and sent twice, over all links.
  struct Counts {
    std::uint64_t passed = 0, lost = 0, repeated = 0;
  };
  Counts counts();

 private:
  struct Link;
  struct Stream;
  // A datagram that is sent to the link's target at `due` (microseconds); `order` keeps the order of arrival.
  struct DelayedDatagram {
    std::int64_t due = 0;
    std::uint64_t order = 0;
    Link* link = nullptr;
    std::string bytes;
    bool operator<(const DelayedDatagram& other) const {  // puts the earliest on top of the queue
      return due != other.due ? due > other.due : order > other.order;
    }
  };
  // The object that an epoll event refers to.
  struct EpollTarget {
    enum { udp, listener, source_end, target_end, wake } kind = wake;
    Link* link = nullptr;
    Stream* stream = nullptr;
  };
  void run();
  void receive_datagrams(Link& link, std::int64_t now);
  void accept(Link& link);
  void read_stream(Stream& stream, std::int64_t now);
  void forward_due(std::int64_t now);
  bool forward_due(Stream& stream, std::int64_t now);  // false if the stream has ended
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
