// The platform's protocol: lines that end with CRLF, at most 4 KiB long.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ports.h"

namespace marblehub::net {

constexpr std::size_t kMaxLineBytes = 4096;  // with its CRLF

// Takes the next whole line out of a buffer, without its end; none if no line is whole yet.
std::optional<std::string> take_line(std::string& buffer);

std::string_view without_line_end(std::string_view line);  // without CRLF or LF
std::string_view verb_of(std::string_view line);

// The value of `name` in "VERB id key a=1,b=2" or "PONG a=1,b=2"; none if it is not there.
std::optional<std::string_view> field(std::string_view line, std::string_view name);

// The line with the value of `name` replaced; unchanged where it has none.
std::string with_field(std::string_view line, std::string_view name, std::string_view value);

// A client's first line: OPEN id key fields. Views into the line.
struct Opening {
  std::string_view id, request_class;
  std::int64_t wait_ms = 0;
  double load_hint = 0;     // 0: none given
  std::string_view group;   // the client, or the group it belongs to; empty: none
  bool again = false;       // it comes back after a break or a move
  std::string_view worker;  // that holds it since before the start; else empty
};

// None where the line is not as workers accept it, whatever it may have been meant to say: such a line must
// never reach one.
std::optional<Opening> parse_opening(std::string_view line);

// A number that stands for a name: the same at every balancer, and never 0.
std::uint64_t nonzero_name_hash(std::string_view name);

// The load at the end of an answer, in the registry's field names.
core::LoadReport parse_load_report(std::string_view line);

// Follows the lines of a stream that passes through, however it is cut into pieces.
class LineTracker {
 public:
  // What up to and including the next line end (or all of `bytes`) is: its length, and whether a line ended.
  struct Part {
    std::size_t length;
    bool ended;
  };
  Part next(std::string_view bytes);
  bool between() const { return length_ == 0; }
  // The beginning of the line that has just ended: enough for its verb and a figure.
  const std::string& last() const { return last_; }

 private:
  std::string head_, last_;
  std::size_t length_ = 0;
};

}  // namespace marblehub::net
