#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "config/options.h"
#include "fleet/wire/envelope.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kMinKeyBytes = 32, kMaxKeyBytes = 1024, kMaxKeys = 2, kMaxFileBytes = 8192;

/// The value of a hex digit; -1 for any other character.
int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

/// Reads a file that only its owner may access. The permissions are checked on the open file, because the
/// path may be replaced in between.
std::string read_private_file(const std::string& path) {
  /// Closes the file descriptor.
  struct File {
    int handle;
    ~File() {
      if (handle >= 0) ::close(handle);
    }
  } file{::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)};
  auto refuse = [&](const std::string& what) { throw config::DecodeError(path + ": key file: " + what); };
  struct stat state {};
  if (file.handle < 0 || ::fstat(file.handle, &state) != 0) refuse(std::strerror(errno));
  if (!S_ISREG(state.st_mode)) refuse("expected a regular file");
  if (state.st_mode & (S_IRWXG | S_IRWXO))
    refuse("accessible by others than its owner; expected mode 0600 or 0400");
  std::string text;
  char chunk[1024];
  for (ssize_t received; (received = ::read(file.handle, chunk, sizeof chunk)) != 0;) {
    if (received < 0 && errno == EINTR) continue;
    if (received < 0) refuse(std::strerror(errno));
    text.append(chunk, static_cast<std::size_t>(received));
    if (text.size() > kMaxFileBytes) refuse("longer than " + std::to_string(kMaxFileBytes) + " bytes");
  }
  return text;
}

}  // namespace

std::vector<std::string> read_key_file(const std::string& path) {
  std::string text = read_private_file(path);
  std::vector<std::string> keys;
  std::size_t line_number = 0;
  for (std::size_t position = 0; position < text.size();) {
    std::size_t end = std::min(text.find('\n', position), text.size());
    std::string_view line = std::string_view(text).substr(position, end - position);
    position = end + 1;
    ++line_number;
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) continue;
    auto refuse = [&](const std::string& what) {  // the line is a secret and must not appear in the message
      throw config::DecodeError(
          std::string(path).append(":").append(std::to_string(line_number)).append(": key: ") + what);
    };
    if (keys.size() == kMaxKeys) refuse("expected at most two keys, the new and the old");
    std::string key;
    for (std::size_t i = 0; i < line.size(); ++i)
      if (hex_digit(line[i]) < 0) refuse("expected only hex digits, column " + std::to_string(i + 1));
    if (line.size() % 2) refuse("expected an even number of hex digits");
    for (std::size_t i = 0; i < line.size(); i += 2)
      key += static_cast<char>(hex_digit(line[i]) * 16 + hex_digit(line[i + 1]));
    if (key.size() < kMinKeyBytes || key.size() > kMaxKeyBytes)
      refuse("expected 32 bytes or more (64 hex digits), got " + std::to_string(key.size()));
    if (!keys.empty() && keys.front() == key) refuse("the same key twice");
    keys.push_back(std::move(key));
  }
  if (keys.empty())
    throw config::DecodeError(path + ": key file: expected a line of hex digits, but it is empty");
  return keys;
}

}  // namespace marblehub::fleet
