/// Line protocol of the simulator.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/options.h"
#include "marblehub/policy.h"

namespace marblehub::policy::adapter {

/// Invalid input. what() is a single line that starts with the line number.
using WireError = marblehub::config::DecodeError;

/// Runs one Balancer per attached instance: decodes batches of events from text lines, and encodes the
/// actions.
class Adapter {
 public:
  /// Serves batches until the end of input, which must not be within a batch. Throws WireError.
  void serve(std::istream& in, std::ostream& out);

 private:
  /// An attached balancer and its settings.
  struct Instance {
    Settings settings;
    std::map<std::string, int, std::less<>> class_index;
    std::unique_ptr<Balancer> balancer;  // null once stopped
  };
  using Entries = std::vector<BackendEntry>;

  class Fields;
  bool read_line(std::istream& in);
  void read_batch(std::istream& in, std::string& reply);
  void read_pool(Fields& fields, std::istream& in);
  void read_event(std::string_view verb, Fields& fields, std::string& reply);
  RequestEvent read_request(Fields& fields, const Instance& instance, bool handed_over, std::string* backend);
  void attach(int number, Fields& fields);
  void write(int number, std::string& reply) const;

  std::string line_;
  std::size_t line_number_ = 0;
  Time now_ = 0;
  std::array<std::shared_ptr<const Entries>, 16> pools_;  // endpoint lists, by list number
  std::map<int, Instance> instances_;
  std::vector<Action> actions_;  // of the current event
};

}  // namespace marblehub::policy::adapter
