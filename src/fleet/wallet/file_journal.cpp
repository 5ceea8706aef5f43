#include "fleet/wallet/file_journal.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>

#include "config/json.h"
#include "fleet/storage_error.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kMostWaiting = 65'536;  // lines; beyond it, with a dead disk, they are let go

std::uint32_t crc32(std::string_view octets) {
  std::uint32_t crc = ~std::uint32_t{0};
  for (char octet : octets) {
    crc ^= static_cast<std::uint8_t>(octet);
    for (int bit = 0; bit < 8; ++bit) crc = (crc >> 1) ^ (crc & 1 ? 0xedb88320u : 0);
  }
  return ~crc;
}

std::string encoded(std::string_view name) {
  std::string text;
  for (char c : name) {
    bool plain = c > ' ' && c < 0x7f && c != '%';
    text += plain ? std::string(1, c) : fmt::format("%{:02x}", static_cast<std::uint8_t>(c));
  }
  return text;
}

std::string decoded(std::string_view text) {
  std::string name;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::sscanf(std::string(text.substr(i + 1, 2)).c_str(), "%2x", &value) == 1) {
      name += static_cast<char>(value);
      i += 2;
    } else {
      name += text[i];
    }
  }
  return name;
}

bool line_in(std::string_view text, Journal::Line& into) {
  if (text.size() < 10 || text[8] != ' ') return false;
  std::uint32_t sum = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + 8, sum, 16);
  if (error != std::errc() || end != text.data() + 8 || sum != crc32(text.substr(9))) return false;
  std::string_view rest = text.substr(9);
  std::size_t one = rest.find(' '), two = rest.rfind(' ');
  if (one == std::string_view::npos || one == two) return false;
  auto spent = config::number_in<std::int64_t>(rest.substr(two + 1));
  if (!spent || *spent < 0) return false;
  into = {decoded(rest.substr(0, one)), decoded(rest.substr(one + 1, two - one - 1)), *spent};
  return true;
}

StorageError trouble(const std::string& path, const std::string& what) {
  return StorageError(fmt::format("{}: {}", path, what));
}

}  // namespace

FileJournal::FileJournal(std::string path, std::size_t bound) : path_(std::move(path)), bound_(bound) {
  lock_ = ::open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) throw trouble(path_ + ".lock", std::strerror(errno));
  // The process before may only sleep; its slices must not be told while it can still spend them.
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock_);
    throw trouble(path_, "in use by another process");
  }
  try {
    std::string all = config::read_file(path_).value_or("");
    std::size_t at = 0;
    for (std::size_t end; (end = all.find('\n', at)) != std::string::npos; at = end + 1) {
      Line line;
      if (!line_in(std::string_view(all).substr(at, end - at), line))
        throw trouble(path_, fmt::format("line at offset {} is damaged", at));
      remember(line);
    }
    before_.assign(newest_.begin(), newest_.end());
    file_ = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    // A torn last line was never lasting: what comes next begins where it began.
    if (file_ < 0 || ::ftruncate(file_, static_cast<off_t>(at)) != 0)
      throw trouble(path_, std::strerror(errno));
    size_ = at;
    thread_ = std::thread([this] { write_all(); });
  } catch (...) {
    if (file_ >= 0) ::close(file_);
    ::close(lock_);
    throw;
  }
}

FileJournal::~FileJournal() {
  {
    std::lock_guard hold(mutex_);
    ending_ = true;
  }
  more_.notify_one();
  thread_.join();
  ::close(file_);
  ::close(lock_);
}

void FileJournal::append(const Line& line) {
  std::lock_guard hold(mutex_);
  // A line let go never lasts, nor may any after it: slices go without lines from here on, and count in full.
  if (full_ || waiting_.size() >= kMostWaiting) {
    full_ = true;
    return;
  }
  waiting_.push_back(line);
  more_.notify_one();
}

std::vector<Journal::Line> FileJournal::load() { return before_; }

std::uint64_t FileJournal::durable_lines() const {
  std::lock_guard hold(mutex_);
  return lasting_;
}

bool FileJournal::failing() const {
  std::lock_guard hold(mutex_);
  return failing_;
}

void FileJournal::remember(const Line& line) {
  auto same = std::find_if(newest_.rbegin(), newest_.rend(), [&](const Line& other) {
    return other.slice == line.slice && other.wallet == line.wallet;
  });
  if (same != newest_.rend())
    same->spent = line.spent;
  else
    newest_.push_back(line);
  // Slices live for a term; of this many the oldest are long told.
  if (newest_.size() > 4096) newest_.pop_front();
}

std::string FileJournal::text_of(const Line& line) {
  std::string rest = fmt::format("{} {} {}", encoded(line.wallet), encoded(line.slice), line.spent);
  return fmt::format("{:08x} {}\n", crc32(rest), rest);
}

void FileJournal::write_all() {
  std::unique_lock hold(mutex_);
  while (true) {
    more_.wait(hold, [this] { return ending_ || !waiting_.empty(); });
    if (waiting_.empty()) return;
    std::vector<Line> lines(waiting_);
    hold.unlock();
    std::string octets;
    for (const Line& line : lines) octets += text_of(line);
    bool written = write(octets);
    if (written)
      for (const Line& line : lines) remember(line);
    // One that fails before the new file stands is tried again; after that nothing lasts any more.
    bool rotated = !written || size_ <= bound_ || rotate();
    hold.lock();
    failing_ = !written || !rotated;
    if (!rotated && size_ <= bound_) full_ = unnamed_ = true;
    if (written) {
      waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(lines.size()));
      if (!unnamed_) lasting_ += lines.size();
    } else if (ending_) {
      return;
    } else {
      more_.wait_for(hold, std::chrono::seconds(1), [this] { return ending_; });
    }
  }
}

// At `size_`, so that what a full disk took in part is written over.
bool FileJournal::write(const std::string& octets) {
  std::size_t done = 0;
  while (done < octets.size()) {
    ssize_t wrote =
        ::pwrite(file_, octets.data() + done, octets.size() - done, static_cast<off_t>(size_ + done));
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote <= 0) return false;
    done += static_cast<std::size_t>(wrote);
  }
  if (::fdatasync(file_) != 0) return false;
  size_ += octets.size();
  return true;
}

bool FileJournal::rotate() {
  std::string octets;
  std::vector<std::string> kept;
  for (auto line = newest_.rbegin(); line != newest_.rend() && octets.size() < bound_ / 2; ++line) {
    kept.push_back(text_of(*line));
    octets += kept.back();
  }
  newest_.erase(newest_.begin(), newest_.end() - static_cast<std::ptrdiff_t>(kept.size()));
  octets.clear();
  for (auto line = kept.rbegin(); line != kept.rend(); ++line) octets += *line;
  std::string next = path_ + ".next";
  int file = ::open(next.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return false;
  bool whole = ::write(file, octets.data(), octets.size()) == static_cast<ssize_t>(octets.size()) &&
               ::fdatasync(file) == 0 && ::rename(next.c_str(), path_.c_str()) == 0;
  if (!whole) {
    ::close(file);
    return false;
  }
  // Nothing more is written before the new name lasts: the old file's lines would say too little.
  std::size_t slash = path_.rfind('/');
  std::string folder = slash == std::string::npos ? "." : path_.substr(0, slash + 1);
  int at = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool lasts = at >= 0 && ::fsync(at) == 0;
  if (at >= 0) ::close(at);
  ::close(file_);
  file_ = file;
  size_ = octets.size();
  return lasts;
}

}  // namespace marblehub::fleet
