// The bench's wire: text lines in, text lines out, one Balancer for each instance. No decision is taken here.
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

// Input that the wire page does not allow; what() is one plain line.
using WireError = marblehub::config::DecodeError;

class Adapter {
 public:
  // Serves batches until the end of input, which must fall between two of them. Throws WireError.
  void serve(std::istream& in, std::ostream& out);

 private:
  struct Instance {
    Settings settings;
    std::map<std::string, int, std::less<>> class_index;
    std::unique_ptr<Balancer> balancer;  // none once stopped
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
  std::array<std::shared_ptr<const Entries>, 16> pools_;
  std::map<int, Instance> instances_;
  std::vector<Action> actions_;
};

}  // namespace marblehub::policy::adapter
