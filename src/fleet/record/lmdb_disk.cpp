#include "fleet/record/lmdb_disk.h"

#include <fcntl.h>
#include <lmdb.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "fleet/record/checked_flatbuffer.h"
#include "fleet/storage_error.h"

namespace marblehub::fleet {
namespace {

// Keys: "T" for the voting state, "S" for the snapshot, "E" and the big-endian index for an entry, so that
// entries are sorted.
std::string entry_key(std::uint64_t index) {
  std::string key = "E";
  for (int shift = 56; shift >= 0; shift -= 8) key += static_cast<char>(index >> shift & 0xff);
  return key;
}

void append_u64(std::string& to, std::uint64_t number) {
  to.append(reinterpret_cast<const char*>(&number), sizeof number);
}

std::uint64_t consume_u64(std::string_view& from) {
  std::uint64_t number = 0;
  if (from.size() < sizeof number) return 0;  // not written by this program, as the hash matches
  std::memcpy(&number, from.data(), sizeof number);
  from.remove_prefix(sizeof number);
  return number;
}

MDB_val to_mdb(std::string_view bytes) { return {bytes.size(), const_cast<char*>(bytes.data())}; }
std::string_view to_view(const MDB_val& value) {
  return {static_cast<const char*>(value.mv_data), value.mv_size};
}

int put_record(MDB_txn* txn, MDB_dbi table, const std::string& key, std::string record) {
  append_u64(record, fnv1a_hash(key + record));
  MDB_val name = to_mdb(key), value = to_mdb(record);
  return mdb_put(txn, table, &name, &value, 0);
}

// Has to be destroyed before its transaction ends. `handle` is null if opening failed.
struct Cursor {
  Cursor(MDB_txn* txn, MDB_dbi table) {
    if (mdb_cursor_open(txn, table, &handle) != 0) handle = nullptr;
  }
  ~Cursor() {
    if (handle != nullptr) mdb_cursor_close(handle);
  }
  MDB_cursor* handle = nullptr;
};

// Deletes the entries from `first` to `last`, inclusive.
int erase_entries(MDB_txn* txn, MDB_dbi table, std::uint64_t first, std::uint64_t last) {
  Cursor cursor(txn, table);
  const std::string from = entry_key(first), to = entry_key(last);
  MDB_val key = to_mdb(from), value{};
  int code = cursor.handle == nullptr ? ENOMEM : mdb_cursor_get(cursor.handle, &key, &value, MDB_SET_RANGE);
  while (code == 0 && to_view(key) <= to && to_view(key).front() == 'E') {
    if ((code = mdb_cursor_del(cursor.handle, 0)) != 0) return code;
    code = mdb_cursor_get(cursor.handle, &key, &value, MDB_GET_CURRENT);
    if (code == EINVAL) code = MDB_NOTFOUND;  // the last entry was deleted
  }
  return code == MDB_NOTFOUND ? 0 : code;
}

// The position of a value in the file; each page begins with its page number.
std::uint64_t file_offset(const MDB_val& value) {
  const auto page_bytes = static_cast<std::uintptr_t>(sysconf(_SC_PAGESIZE));
  const auto address = reinterpret_cast<std::uintptr_t>(value.mv_data);
  std::uint64_t page = 0;
  std::memcpy(&page, reinterpret_cast<const void*>(address & ~(page_bytes - 1)), sizeof page);
  return page * page_bytes + (address & (page_bytes - 1));
}

}  // namespace

LmdbDisk::LmdbDisk(const std::string& folder, std::size_t map_bytes) : file_(folder + "/record.mdb") {
  const auto fail = [&](const std::string& what) {
    const std::string why = "record: " + what;
    if (env_ != nullptr) mdb_env_close(env_);
    if (lock_ >= 0) close(lock_);
    throw StorageError(why);
  };
  const std::string lock_file = folder + "/record.lock";
  lock_ = open(lock_file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) fail(lock_file + " cannot be opened: " + std::strerror(errno));
  if (flock(lock_, LOCK_EX | LOCK_NB) != 0) fail(lock_file + " is held by another process");
  MDB_txn* txn = nullptr;
  int code = mdb_env_create(&env_);
  if (code == 0) code = mdb_env_set_mapsize(env_, map_bytes);
  if (code == 0) code = mdb_env_open(env_, file_.c_str(), MDB_NOSUBDIR | MDB_NOLOCK, 0600);
  if (code == 0) code = mdb_txn_begin(env_, nullptr, 0, &txn);
  if (code == 0) code = mdb_dbi_open(txn, nullptr, 0, &table_);
  if (code == 0) code = mdb_txn_commit(txn);
  if (code != 0) fail(file_ + " cannot be opened: " + mdb_strerror(code));
}

LmdbDisk::~LmdbDisk() {
  mdb_env_close(env_);
  close(lock_);
}

template <class Change>
bool LmdbDisk::write(Change&& change) {
  MDB_txn* txn = nullptr;
  if (mdb_txn_begin(env_, nullptr, 0, &txn) != 0) return false;
  if (change(txn) != 0) {
    mdb_txn_abort(txn);
    return false;
  }
  return mdb_txn_commit(txn) == 0;  // returns after the sync
}

bool LmdbDisk::store_voting_state(const VotingState& state) {
  std::string record;
  append_u64(record, state.term);
  append_u64(record, state.readmit_after);
  append_u64(record, state.excluded ? 1 : 0);
  record += state.voted_for;
  return write([&](MDB_txn* txn) { return put_record(txn, table_, "T", record); });
}

bool LmdbDisk::append(const std::vector<Entry>& entries) {
  if (entries.empty()) return true;
  return write([&](MDB_txn* txn) {
    int code = erase_entries(txn, table_, entries.front().index, ~std::uint64_t{0});
    for (const Entry& entry : entries) {
      if (code != 0) return code;
      std::string record;
      append_u64(record, entry.term);
      code = put_record(txn, table_, entry_key(entry.index), record + entry.command);
    }
    return code;
  });
}

bool LmdbDisk::store_snapshot(std::uint64_t index, std::uint64_t term, const std::string& ledger) {
  return write([&](MDB_txn* txn) {
    std::string record;
    append_u64(record, index);
    append_u64(record, term);
    int code = put_record(txn, table_, "S", record + ledger);
    if (code != 0) return code;
    // Later entries are kept only if the log contains the snapshot's last entry.
    const std::string name = entry_key(index);
    MDB_val key = to_mdb(name), value{};
    const bool found = mdb_get(txn, table_, &key, &value) == 0;
    std::string_view bytes = found ? to_view(value) : std::string_view();
    const bool same_log = found && consume_u64(bytes) == term;
    return erase_entries(txn, table_, 0, same_log ? index : ~std::uint64_t{0});
  });
}

Disk::Contents LmdbDisk::load() {
  MDB_txn* txn = nullptr;
  int code = mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn);
  if (code != 0) throw StorageError("record: " + file_ + " cannot be read: " + mdb_strerror(code));
  const std::unique_ptr<MDB_txn, void (*)(MDB_txn*)> transaction_end(txn, mdb_txn_abort);
  Cursor cursor(txn, table_);
  if (cursor.handle == nullptr) throw StorageError("record: " + file_ + " cannot be read: out of memory");
  Contents contents;
  MDB_val key{}, value{};
  while ((code = mdb_cursor_get(cursor.handle, &key, &value, MDB_NEXT)) == 0) {
    const auto fail = [&](const std::string& what) {
      throw StorageError("record: " + file_ + " at offset " + std::to_string(file_offset(value)) + ": " +
                         what);
    };
    std::string_view bytes = to_view(value);
    const std::string name(to_view(key));
    std::uint64_t hash = 0;
    if (bytes.size() >= sizeof hash) {
      std::memcpy(&hash, bytes.data() + bytes.size() - sizeof hash, sizeof hash);
      bytes.remove_suffix(sizeof hash);
    }
    if (hash != fnv1a_hash(name + std::string(bytes))) fail("a record is corrupted");
    contents.empty = false;
    if (name == "T") {
      contents.voting.term = consume_u64(bytes);
      contents.voting.readmit_after = consume_u64(bytes);
      contents.voting.excluded = consume_u64(bytes) != 0;
      contents.voting.voted_for = bytes;
    } else if (name == "S") {
      contents.snapshot_index = consume_u64(bytes);
      contents.snapshot_term = consume_u64(bytes);
      contents.snapshot = bytes;
    } else {
      std::uint64_t index = 0;
      for (unsigned char byte : name.substr(1)) index = index << 8 | byte;
      if (!contents.entries.empty() && contents.entries.back().index + 1 != index)
        fail("entry " + std::to_string(index) + " does not follow the previous entry");
      const std::uint64_t term = consume_u64(bytes);
      contents.entries.push_back({index, term, std::string(bytes)});
    }
  }
  if (code != MDB_NOTFOUND) throw StorageError("record: " + file_ + ": " + mdb_strerror(code));
  if (!contents.entries.empty() && contents.entries.front().index != contents.snapshot_index + 1)
    throw StorageError("record: " + file_ + " at entry " + std::to_string(contents.entries.front().index) +
                       ": the entries between the snapshot and it are missing");
  return contents;
}

}  // namespace marblehub::fleet
