// In-memory record log of the stand-ins: named streams with offsets from 1 and limited retention.
//
// Used by the HTTP stand-in and, directly, by tests on a manual clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace arbutuslb::fakes {

// Not thread-safe.
class log_store {
public:
  struct slice {
    std::uint64_t oldest = 1; // oldest retained offset of the stream
    std::uint64_t next = 1;   // offset of the next append
    std::uint64_t first = 0;  // offset of the first record of `records`
    std::vector<std::string> records;
  };

  // Limits the number of retained records of each stream; applied at its next append.
  void set_retention(std::size_t records) { retention_ = records; }

  // Returns the offset of the record.
  std::uint64_t append(const std::string& stream, std::string record) {
    entries& target = streams_[stream];
    target.records.push_back(std::move(record));
    while (target.records.size() > retention_) {
      target.records.pop_front();
      ++target.oldest;
    }
    return target.oldest + target.records.size() - 1;
  }

  // Returns up to `max_records` records, starting at `from` or at the oldest retained record,
  // whichever is later.
  slice read(const std::string& stream, std::uint64_t from, std::size_t max_records) {
    const entries& source = streams_[stream];
    slice result;
    result.oldest = source.oldest;
    result.next = source.oldest + source.records.size();
    result.first = from < source.oldest ? source.oldest : from;
    for (std::uint64_t i = result.first; i < result.next && result.records.size() < max_records;
         ++i) {
      result.records.push_back(source.records[i - source.oldest]);
    }
    return result;
  }

  // Returns the last record of the stream, if it has any.
  slice read_latest(const std::string& stream) {
    const entries& source = streams_[stream];
    const std::uint64_t next = source.oldest + source.records.size();
    return read(stream, source.records.empty() ? next : next - 1, 1);
  }

private:
  struct entries {
    std::uint64_t oldest = 1;
    std::deque<std::string> records;
  };
  std::map<std::string, entries> streams_;
  std::size_t retention_ = 1'000'000;
};

} // namespace arbutuslb::fakes
