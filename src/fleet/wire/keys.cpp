#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "config/options.h"
#include "fleet/wire/envelope.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kLeastKey = 32, kMostKey = 1024, kMostKeys = 2, kLongestFile = 8192;

int digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// The file's text. Its rights are asked of the open file, not of its name: that may change in between.
std::string text_of(const std::string& path) {
  struct File {
    int handle;
    ~File() {
      if (handle >= 0) ::close(handle);
    }
  } file{::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)};
  auto refuse = [&](const std::string& what) { throw config::DecodeError(path + ": key file: " + what); };
  struct stat state {};
  if (file.handle < 0 || ::fstat(file.handle, &state) != 0) refuse(std::strerror(errno));
  if (!S_ISREG(state.st_mode)) refuse("expected a plain file");
  if (state.st_mode & (S_IRWXG | S_IRWXO))
    refuse("others than its owner may read or write it; expected mode 0600 or 0400");
  std::string text;
  char part[1024];
  for (ssize_t got; (got = ::read(file.handle, part, sizeof part)) != 0;) {
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) refuse(std::strerror(errno));
    text.append(part, static_cast<std::size_t>(got));
    if (text.size() > kLongestFile) refuse("longer than " + std::to_string(kLongestFile) + " octets");
  }
  return text;
}

}  // namespace

std::vector<std::string> read_key_file(const std::string& path) {
  std::string text = text_of(path);
  std::vector<std::string> keys;
  std::size_t number = 0;
  for (std::size_t at = 0; at < text.size();) {
    std::size_t end = std::min(text.find('\n', at), text.size());
    std::string_view line = std::string_view(text).substr(at, end - at);
    at = end + 1;
    ++number;
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) continue;
    auto refuse = [&](const std::string& what) {  // never with the line itself: it is a secret
      throw config::DecodeError(
          std::string(path).append(":").append(std::to_string(number)).append(": key: ") + what);
    };
    if (keys.size() == kMostKeys) refuse("expected at most two keys, the new and the old");
    std::string key;
    for (std::size_t i = 0; i < line.size(); ++i)
      if (digit(line[i]) < 0) refuse("expected hex digits alone, column " + std::to_string(i + 1));
    if (line.size() % 2) refuse("expected an even number of hex digits");
    for (std::size_t i = 0; i < line.size(); i += 2)
      key += static_cast<char>(digit(line[i]) * 16 + digit(line[i + 1]));
    if (key.size() < kLeastKey || key.size() > kMostKey)
      refuse("expected 32 octets or more (64 hex digits), got " + std::to_string(key.size()));
    if (!keys.empty() && keys.front() == key) refuse("the same key twice");
    keys.push_back(std::move(key));
  }
  if (keys.empty()) throw config::DecodeError(path + ": key file: expected a line of hex, it is empty");
  return keys;
}

}  // namespace marblehub::fleet
