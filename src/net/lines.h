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

/// Holds back an incomplete line of a forwarded byte stream until its end arrives, so that the receiver can
/// be moved or closed at any time without having a part of a line. A line longer than kMaxLineBytes, which
/// the protocol forbids, is passed on in parts as they arrive.
class LineAssembler {
 public:
  /// Adds received bytes. Returns what can be forwarded now: whole lines, or parts of an overlong one; empty
  /// while a line is held back. Valid until the next call.
  std::string_view add(std::string_view bytes);
  /// Removes and returns the part of a line that is held back, for a sender that has ended inside it.
  std::string take_rest();
  bool at_line_start() const { return line_length_ == 0; }  ///< whether no line is incomplete
  /// Whether the start of the incomplete line has been passed on, since the line is overlong.
  bool inside_overlong_line() const { return line_length_ > kMaxLineBytes; }

 private:
  std::string held_;             // the start of an incomplete line
  std::string returned_;         // by the last call of add(), where it begins with held bytes
  std::size_t line_length_ = 0;  // of the incomplete line, with the parts already passed on
};

}  // namespace marblehub::net
