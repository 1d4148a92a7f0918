// Decodes the records in the answers of the platform's store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuslb::platform {

struct store_record {
  std::uint64_t offset = 0;
  std::string key;
  std::string value; // empty: the key was removed
};

enum class read_status : std::uint8_t {
  ok,
  expired, // the requested records are no longer kept; read the newest of each key
  failed
};
struct read_result {
  read_status status = read_status::failed;
  std::string reason; // why the read failed; empty unless `failed`
  std::vector<store_record> records;
  std::uint64_t end_offset = 0;  // of the log
  std::uint64_t next_offset = 0; // after the last record that `read_from` has passed
  // Rises each time the store comes back from an older copy of itself; zero if it states none.
  std::uint64_t era = 0;
};

// Decodes the body of an answer to a read from an offset. The result has failed if the body is cut.
read_result decode_records(std::string_view bytes, std::uint64_t from_offset);

// Adds the records of a page to `result`. Returns the key after which the next page begins; empty
// if this is the last one. Throws an exception derived from `std::exception` if a field is missing
// or of another type.
std::string decode_page(const std::string& body, bool is_first, read_result& result);

} // namespace arbutuslb::platform
