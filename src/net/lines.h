/// Parsing of the platform's protocol: lines that end with CRLF, at most 4 KiB long.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ports.h"

namespace marblehub::net {

constexpr std::size_t kMaxLineBytes = 4096;  // including CRLF

/// Removes the next complete line from the buffer and returns it without its line end; none if there is none.
std::optional<std::string> take_line(std::string& buffer);

std::string_view without_line_end(std::string_view line);  ///< without CRLF or LF
std::string_view verb_of(std::string_view line);           ///< the first word of a line

/// The value of `name` in "VERB id key a=1,b=2" or "PONG a=1,b=2"; none if it is absent.
std::optional<std::string_view> field(std::string_view line, std::string_view name);

/// The line with the value of `name` replaced; unchanged if it has no such field.
std::string with_field(std::string_view line, std::string_view name, std::string_view value);

/// A client's request line, "OPEN id key fields". The members are views into that line.
struct Opening {
  std::string_view id, request_class;
  std::int64_t wait_ms = 0;  // how long the client waits for an answer
  double load_hint = 0;      // 0: none given
  std::string_view group;    // the client or its group; empty: none
  bool returning = false;    // the client reconnects after a lost connection or a move
  std::string_view worker;   // the worker that held the call before this process started; else empty
};

/// Parses a request line; none if workers would not accept it. Such a line must never be sent to a worker.
std::optional<Opening> parse_opening(std::string_view line);

/// A hash of a name: the same at every balancer, and never 0.
std::uint64_t nonzero_name_hash(std::string_view name);

/// The load fields at the end of a worker's answer; a load of -1 if there are none.
core::LoadReport parse_load_report(std::string_view line);

/// Finds the line ends in a forwarded byte stream, however it is split into chunks.
class LineTracker {
 public:
  /// The bytes up to and including the next line end, or all bytes if there is none.
  struct Segment {
    std::size_t length;
    bool ended;
  };
  /// Consumes the next segment of `bytes`; the caller removes its length from the front.
  Segment next(std::string_view bytes);
  bool at_line_start() const { return line_length_ == 0; }  ///< whether no line is incomplete
  /// The start of the most recently completed line, long enough for its verb and a number.
  const std::string& last_line() const { return last_line_; }

 private:
  std::string prefix_, last_line_;
  std::size_t line_length_ = 0;
};

}  // namespace marblehub::net
