// The records of the stand-in log: streams by name, offsets from 1, limited retention.
//
// Also drives the tests on a paused clock, where no HTTP is between.
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
    std::uint64_t oldest = 1;
    std::uint64_t next = 1;
    std::uint64_t first = 0;
    std::vector<std::string> records;
  };

  // Each stream keeps at most this many records.
  void set_retention(std::size_t records) { retention_ = records; }

  std::uint64_t append(const std::string& stream, std::string record) {
    entries& to = streams_[stream];
    to.records.push_back(std::move(record));
    while (to.records.size() > retention_) {
      to.records.pop_front();
      ++to.oldest;
    }
    return to.oldest + to.records.size() - 1;
  }

  // Returns the records from `from` on, or from the oldest kept if that is later; at most `most`.
  slice read(const std::string& stream, std::uint64_t from, std::size_t most) {
    const entries& source = streams_[stream];
    slice result;
    result.oldest = source.oldest;
    result.next = source.oldest + source.records.size();
    result.first = from < source.oldest ? source.oldest : from;
    for (std::uint64_t i = result.first; i < result.next && result.records.size() < most; ++i) {
      result.records.push_back(source.records[i - source.oldest]);
    }
    return result;
  }

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
