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

// Keys: "T" term and vote, "S" snapshot, "E" and the index, greatest octet first, so that they sort.
std::string entry_key(std::uint64_t index) {
  std::string key = "E";
  for (int shift = 56; shift >= 0; shift -= 8) key += static_cast<char>(index >> shift & 0xff);
  return key;
}

void put(std::string& to, std::uint64_t number) {
  to.append(reinterpret_cast<const char*>(&number), sizeof number);
}

std::uint64_t take(std::string_view& from) {
  std::uint64_t number = 0;
  if (from.size() < sizeof number) return 0;  // the hash was right: a record of this length was never made
  std::memcpy(&number, from.data(), sizeof number);
  from.remove_prefix(sizeof number);
  return number;
}

MDB_val val(std::string_view octets) { return {octets.size(), const_cast<char*>(octets.data())}; }
std::string_view view(const MDB_val& value) {
  return {static_cast<const char*>(value.mv_data), value.mv_size};
}

int store(MDB_txn* txn, MDB_dbi table, const std::string& key, std::string record) {
  put(record, fnv1a_hash(key + record));
  MDB_val name = val(key), value = val(record);
  return mdb_put(txn, table, &name, &value, 0);
}

struct Cursor {  // closed before its transaction ends
  Cursor(MDB_txn* txn, MDB_dbi table) {
    if (mdb_cursor_open(txn, table, &at) != 0) at = nullptr;
  }
  ~Cursor() {
    if (at != nullptr) mdb_cursor_close(at);
  }
  MDB_cursor* at = nullptr;
};

// Entries from `first` to `last`, both with them, are taken away.
int erase(MDB_txn* txn, MDB_dbi table, std::uint64_t first, std::uint64_t last) {
  Cursor cursor(txn, table);
  const std::string from = entry_key(first), to = entry_key(last);
  MDB_val key = val(from), value{};
  int code = cursor.at == nullptr ? ENOMEM : mdb_cursor_get(cursor.at, &key, &value, MDB_SET_RANGE);
  while (code == 0 && view(key) <= to && view(key).front() == 'E') {
    if ((code = mdb_cursor_del(cursor.at, 0)) != 0) return code;
    code = mdb_cursor_get(cursor.at, &key, &value, MDB_GET_CURRENT);
    if (code == EINVAL) code = MDB_NOTFOUND;  // the last one went
  }
  return code == MDB_NOTFOUND ? 0 : code;
}

// Where in the file a value stands: its page begins with its own number.
std::uint64_t offset_of(const MDB_val& value) {
  const auto page_octets = static_cast<std::uintptr_t>(sysconf(_SC_PAGESIZE));
  const auto place = reinterpret_cast<std::uintptr_t>(value.mv_data);
  std::uint64_t page = 0;
  std::memcpy(&page, reinterpret_cast<const void*>(place & ~(page_octets - 1)), sizeof page);
  return page * page_octets + (place & (page_octets - 1));
}

}  // namespace

LmdbDisk::LmdbDisk(const std::string& folder, std::size_t map_octets) : file_(folder + "/record.mdb") {
  const auto refuse = [&](const std::string& what) {
    const std::string why = "record: " + what;
    if (env_ != nullptr) mdb_env_close(env_);
    if (lock_ >= 0) close(lock_);
    throw StorageError(why);
  };
  const std::string lock_file = folder + "/record.lock";
  lock_ = open(lock_file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) refuse(lock_file + " cannot be opened: " + std::strerror(errno));
  if (flock(lock_, LOCK_EX | LOCK_NB) != 0) refuse(lock_file + " is held by another process");
  MDB_txn* txn = nullptr;
  int code = mdb_env_create(&env_);
  if (code == 0) code = mdb_env_set_mapsize(env_, map_octets);
  if (code == 0) code = mdb_env_open(env_, file_.c_str(), MDB_NOSUBDIR | MDB_NOLOCK, 0600);
  if (code == 0) code = mdb_txn_begin(env_, nullptr, 0, &txn);
  if (code == 0) code = mdb_dbi_open(txn, nullptr, 0, &table_);
  if (code == 0) code = mdb_txn_commit(txn);
  if (code != 0) refuse(file_ + " cannot be opened: " + mdb_strerror(code));
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
  return mdb_txn_commit(txn) == 0;  // synced
}

bool LmdbDisk::store_voting_state(const VotingState& state) {
  std::string record;
  put(record, state.term);
  put(record, state.readmit_after);
  put(record, state.excluded ? 1 : 0);
  record += state.voted_for;
  return write([&](MDB_txn* txn) { return store(txn, table_, "T", record); });
}

bool LmdbDisk::append(const std::vector<Entry>& entries) {
  if (entries.empty()) return true;
  return write([&](MDB_txn* txn) {
    int code = erase(txn, table_, entries.front().index, ~std::uint64_t{0});
    for (const Entry& entry : entries) {
      if (code != 0) return code;
      std::string record;
      put(record, entry.term);
      code = store(txn, table_, entry_key(entry.index), record + entry.command);
    }
    return code;
  });
}

bool LmdbDisk::store_snapshot(std::uint64_t index, std::uint64_t term, const std::string& ledger) {
  return write([&](MDB_txn* txn) {
    std::string record;
    put(record, index);
    put(record, term);
    int code = store(txn, table_, "S", record + ledger);
    if (code != 0) return code;
    // What follows it stays only where it is of the same log.
    const std::string name = entry_key(index);
    MDB_val key = val(name), value{};
    const bool found = mdb_get(txn, table_, &key, &value) == 0;
    std::string_view octets = found ? view(value) : std::string_view();
    const bool same = found && take(octets) == term;
    return erase(txn, table_, 0, same ? index : ~std::uint64_t{0});
  });
}

Disk::Contents LmdbDisk::load() {
  MDB_txn* txn = nullptr;
  int code = mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn);
  if (code != 0) throw StorageError("record: " + file_ + " cannot be read: " + mdb_strerror(code));
  const std::unique_ptr<MDB_txn, void (*)(MDB_txn*)> ended(txn, mdb_txn_abort);
  Cursor cursor(txn, table_);
  if (cursor.at == nullptr) throw StorageError("record: " + file_ + " cannot be read: no memory");
  Contents contents;
  MDB_val key{}, value{};
  while ((code = mdb_cursor_get(cursor.at, &key, &value, MDB_NEXT)) == 0) {
    const auto refuse = [&](const std::string& what) {
      throw StorageError("record: " + file_ + " at offset " + std::to_string(offset_of(value)) + ": " + what);
    };
    std::string_view octets = view(value);
    const std::string name(view(key));
    std::uint64_t hash = 0;
    if (octets.size() >= sizeof hash) {
      std::memcpy(&hash, octets.data() + octets.size() - sizeof hash, sizeof hash);
      octets.remove_suffix(sizeof hash);
    }
    if (hash != fnv1a_hash(name + std::string(octets))) refuse("a record is torn or flipped");
    contents.empty = false;
    if (name == "T") {
      contents.voting.term = take(octets);
      contents.voting.readmit_after = take(octets);
      contents.voting.excluded = take(octets) != 0;
      contents.voting.voted_for = octets;
    } else if (name == "S") {
      contents.snapshot_index = take(octets);
      contents.snapshot_term = take(octets);
      contents.snapshot = octets;
    } else {
      std::uint64_t index = 0;
      for (unsigned char octet : name.substr(1)) index = index << 8 | octet;
      if (!contents.entries.empty() && contents.entries.back().index + 1 != index)
        refuse("entry " + std::to_string(index) + " does not follow the one before");
      const std::uint64_t term = take(octets);
      contents.entries.push_back({index, term, std::string(octets)});
    }
  }
  if (code != MDB_NOTFOUND) throw StorageError("record: " + file_ + ": " + mdb_strerror(code));
  if (!contents.entries.empty() && contents.entries.front().index != contents.snapshot_index + 1)
    throw StorageError("record: " + file_ + " at entry " + std::to_string(contents.entries.front().index) +
                       ": those between it and the snapshot are missing");
  return contents;
}

}  // namespace marblehub::fleet
