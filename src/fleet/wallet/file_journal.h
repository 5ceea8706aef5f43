// A balancer's journal in a text file, one line for each append, written and synced by a thread of its own.
//   CRC WALLET SLICE SPENT      CRC-32 (ISO-HDLC, as in RFC 1952, section 8) in hex over the rest of the line
// Names are percent-encoded (RFC 3986, section 2.1). The last line of a slice counts. A file over its bound
// is replaced by one with the last line of each slice; if these are too many, the oldest slices are left out
// and so count as spent in full.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

/// The Journal in a file that one process at a time may open. Thread-safe.
class FileJournal : public Journal {
 public:
  /// Throws StorageError where the file cannot be opened, is in use by another process, or has a damaged
  /// line. Beyond `max_bytes` the file is rotated.
  explicit FileJournal(std::string path, std::size_t max_bytes = 1 << 20);
  /// Writes the pending lines; those that fail are dropped.
  ~FileJournal() override;
  FileJournal(const FileJournal&) = delete;
  FileJournal& operator=(const FileJournal&) = delete;

  void append(const Line& line) override;
  std::vector<Line> load() override;  // of earlier processes, the oldest slice first
  std::uint64_t durable_lines() const override;
  bool failing() const;  // the last write or rotation failed; writes are retried each second

 private:
  void run_writer();
  bool write(const std::string& bytes);
  bool rotate();
  void update_latest(const Line& line);
  static std::string format_line(const Line& line);

  std::string path_;
  std::size_t max_bytes_, size_ = 0;
  int fd_ = -1, lock_fd_ = -1;
  std::vector<Line> loaded_;  // read from the file at start
  std::deque<Line> latest_;   // the last line of each slice, the oldest slice first; used by the thread only
  mutable std::mutex mutex_;
  std::condition_variable wakeup_;
  std::vector<Line> pending_;  // not written yet; from here on guarded by mutex_
  std::uint64_t durable_lines_ = 0;
  // dropping_: no more lines are accepted; rename_unsynced_: a rotated file may not survive a crash.
  bool failing_ = false, stopping_ = false, dropping_ = false, rename_unsynced_ = false;
  std::thread thread_;
};

}  // namespace marblehub::fleet
