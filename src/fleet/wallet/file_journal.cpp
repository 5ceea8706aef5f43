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

constexpr std::size_t kMaxPending = 65'536;  // lines; with a failing disk, later ones are dropped

std::uint32_t crc32(std::string_view bytes) {
  std::uint32_t crc = ~std::uint32_t{0};
  for (char byte : bytes) {
    crc ^= static_cast<std::uint8_t>(byte);
    for (int bit = 0; bit < 8; ++bit) crc = (crc >> 1) ^ (crc & 1 ? 0xedb88320u : 0);
  }
  return ~crc;
}

std::string percent_encode(std::string_view name) {
  std::string text;
  for (char c : name) {
    bool plain = c > ' ' && c < 0x7f && c != '%';
    text += plain ? std::string(1, c) : fmt::format("%{:02x}", static_cast<std::uint8_t>(c));
  }
  return text;
}

std::string percent_decode(std::string_view text) {
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

bool parse_line(std::string_view text, Journal::Line& into) {
  if (text.size() < 10 || text[8] != ' ') return false;
  std::uint32_t checksum = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + 8, checksum, 16);
  if (error != std::errc() || end != text.data() + 8 || checksum != crc32(text.substr(9))) return false;
  std::string_view payload = text.substr(9);
  std::size_t first_space = payload.find(' '), last_space = payload.rfind(' ');
  if (first_space == std::string_view::npos || first_space == last_space) return false;
  auto spent = config::parse_number<std::int64_t>(payload.substr(last_space + 1));
  if (!spent || *spent < 0) return false;
  into = {percent_decode(payload.substr(0, first_space)),
          percent_decode(payload.substr(first_space + 1, last_space - first_space - 1)), *spent};
  return true;
}

StorageError storage_error(const std::string& path, const std::string& what) {
  return StorageError(fmt::format("{}: {}", path, what));
}

}  // namespace

FileJournal::FileJournal(std::string path, std::size_t max_bytes)
    : path_(std::move(path)), max_bytes_(max_bytes) {
  lock_fd_ = ::open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_fd_ < 0) throw storage_error(path_ + ".lock", std::strerror(errno));
  // The previous process may only be suspended: its spending is not final while it can still spend.
  if (::flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock_fd_);
    throw storage_error(path_, "in use by another process");
  }
  try {
    std::string content = config::read_file(path_).value_or("");
    std::size_t offset = 0;
    for (std::size_t end; (end = content.find('\n', offset)) != std::string::npos; offset = end + 1) {
      Line line;
      if (!parse_line(std::string_view(content).substr(offset, end - offset), line))
        throw storage_error(path_, fmt::format("line at offset {} is damaged", offset));
      update_latest(line);
    }
    loaded_.assign(latest_.begin(), latest_.end());
    fd_ = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    // A torn last line was never durable: the next line overwrites it.
    if (fd_ < 0 || ::ftruncate(fd_, static_cast<off_t>(offset)) != 0)
      throw storage_error(path_, std::strerror(errno));
    size_ = offset;
    thread_ = std::thread([this] { run_writer(); });
  } catch (...) {
    if (fd_ >= 0) ::close(fd_);
    ::close(lock_fd_);
    throw;
  }
}

FileJournal::~FileJournal() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_one();
  thread_.join();
  ::close(fd_);
  ::close(lock_fd_);
}

void FileJournal::append(const Line& line) {
  std::lock_guard lock(mutex_);
  // Durable lines are counted in order, so nothing is appended after a dropped line: from here on slices have
  // no lines and count as spent in full.
  if (dropping_ || pending_.size() >= kMaxPending) {
    dropping_ = true;
    return;
  }
  pending_.push_back(line);
  wakeup_.notify_one();
}

std::vector<Journal::Line> FileJournal::load() { return loaded_; }

std::uint64_t FileJournal::durable_lines() const {
  std::lock_guard lock(mutex_);
  return durable_lines_;
}

bool FileJournal::failing() const {
  std::lock_guard lock(mutex_);
  return failing_;
}

void FileJournal::update_latest(const Line& line) {
  auto existing = std::find_if(latest_.rbegin(), latest_.rend(), [&](const Line& other) {
    return other.slice == line.slice && other.wallet == line.wallet;
  });
  if (existing != latest_.rend())
    existing->spent = line.spent;
  else
    latest_.push_back(line);
  // Slices live for one term: with so many lines the oldest slices are returned.
  if (latest_.size() > 4096) latest_.pop_front();
}

std::string FileJournal::format_line(const Line& line) {
  std::string payload =
      fmt::format("{} {} {}", percent_encode(line.wallet), percent_encode(line.slice), line.spent);
  return fmt::format("{:08x} {}\n", crc32(payload), payload);
}

void FileJournal::run_writer() {
  std::unique_lock lock(mutex_);
  while (true) {
    wakeup_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
    if (pending_.empty()) return;
    std::vector<Line> lines(pending_);
    lock.unlock();
    std::string bytes;
    for (const Line& line : lines) bytes += format_line(line);
    bool written = write(bytes);
    if (written)
      for (const Line& line : lines) update_latest(line);
    // A rotation that fails before the rename is retried. After the rename, no later line counts as durable.
    bool rotated = !written || size_ <= max_bytes_ || rotate();
    lock.lock();
    failing_ = !written || !rotated;
    if (!rotated && size_ <= max_bytes_) dropping_ = rename_unsynced_ = true;
    if (written) {
      pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(lines.size()));
      if (!rename_unsynced_) durable_lines_ += lines.size();
    } else if (stopping_) {
      return;
    } else {
      wakeup_.wait_for(lock, std::chrono::seconds(1), [this] { return stopping_; });
    }
  }
}

// Writes at `size_`, so that a partial write on a full disk is overwritten.
bool FileJournal::write(const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    ssize_t count = ::pwrite(fd_, bytes.data() + done, bytes.size() - done, static_cast<off_t>(size_ + done));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  if (::fdatasync(fd_) != 0) return false;
  size_ += bytes.size();
  return true;
}

bool FileJournal::rotate() {
  std::string bytes;
  std::vector<std::string> kept_lines;
  for (auto line = latest_.rbegin(); line != latest_.rend() && bytes.size() < max_bytes_ / 2; ++line) {
    kept_lines.push_back(format_line(*line));
    bytes += kept_lines.back();
  }
  latest_.erase(latest_.begin(), latest_.end() - static_cast<std::ptrdiff_t>(kept_lines.size()));
  bytes.clear();
  for (auto line = kept_lines.rbegin(); line != kept_lines.rend(); ++line) bytes += *line;
  std::string next_path = path_ + ".next";
  int new_fd = ::open(next_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (new_fd < 0) return false;
  bool complete = ::write(new_fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()) &&
                  ::fdatasync(new_fd) == 0 && ::rename(next_path.c_str(), path_.c_str()) == 0;
  if (!complete) {
    ::close(new_fd);
    return false;
  }
  // Nothing more is written before the new name is durable: after a crash the old file would lack later
  // lines.
  std::size_t slash = path_.rfind('/');
  std::string directory = slash == std::string::npos ? "." : path_.substr(0, slash + 1);
  int directory_fd = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool durable = directory_fd >= 0 && ::fsync(directory_fd) == 0;
  if (directory_fd >= 0) ::close(directory_fd);
  ::close(fd_);
  fd_ = new_fd;
  size_ = bytes.size();
  return durable;
}

}  // namespace marblehub::fleet
