// A balancer's journal on its disk: text, a line for each append, written and synced by a thread of its own.
//   CRC WALLET SLICE SPENT      CRC-32 (ISO-HDLC, as in RFC 1952, section 8) in hex over what follows it
// Names are percent-encoded (RFC 3986, section 2.1). A slice's last line holds. The file is replaced by the
// last line of each slice once it is over its bound; what a slice without a line spent is all of it, so the
// oldest slices are left out where that is not enough.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

class FileJournal : public Journal {
 public:
  // Throws StorageError where the file cannot be opened, is another process's, or has a flipped line.
  explicit FileJournal(std::string path, std::size_t bound = 1 << 20);  // octets
  ~FileJournal() override;                                              // what was appended is written
  FileJournal(const FileJournal&) = delete;
  FileJournal& operator=(const FileJournal&) = delete;

  void append(const Line& line) override;
  std::vector<Line> load() override;  // of the processes before this one, the oldest slice first
  std::uint64_t durable_lines() const override;
  bool failing() const;  // the disk is full or gone; it is tried again with the next line

 private:
  void write_all();
  bool write(const std::string& octets);
  bool rotate();
  void remember(const Line& line);
  static std::string text_of(const Line& line);

  std::string path_;
  std::size_t bound_, size_ = 0;
  int file_ = -1, lock_ = -1;
  std::vector<Line> before_;
  std::deque<Line> newest_;  // the last line of each slice, the oldest slice first; of the thread alone
  mutable std::mutex mutex_;
  std::condition_variable more_;
  std::vector<Line> waiting_;
  std::uint64_t lasting_ = 0;
  bool failing_ = false, ending_ = false, full_ = false, unnamed_ = false;
  std::thread thread_;
};

}  // namespace marblehub::fleet
