// The platform's store: an append-only log that also keeps the newest record of each key.
//
// All calls end by their time-out. A write without an answer has an unknown outcome and stays so:
// it may still be done later.
#pragma once

#include "arbutuslb/runtime/http/client.h"

#include <optional>

namespace arbutuslb::platform {

struct store_record {
  std::uint64_t offset = 0;
  std::string key;
  std::string value; // empty: the key was dropped
};

enum class read_status : std::uint8_t {
  ok,
  expired, // the wanted records are gone; read the newest of each key
  failed
};
struct read_result {
  read_status status = read_status::failed;
  std::string reason; // of `failed`
  std::vector<store_record> records;
  std::uint64_t end_offset = 0;
};

enum class append_status : std::uint8_t {
  appended,
  conflict, // the log does not end where it was expected to
  refused,  // not done
  unknown
};
struct append_result {
  append_status status = append_status::unknown;
  std::string reason;
};

// Not thread-safe. Uses partition 0 of topics that keep the newest record of each key.
class store_client {
public:
  store_client(runtime::http::client& connections, const asio::ip::tcp::endpoint& address);

  // Reads the newest record of every key.
  void read_newest(const std::string& topic, std::function<void(read_result)> on_end);
  // Reads the records from `from_offset` on; waits up to `wait` for the first. Returns a number for
  // `cancel`.
  std::uint64_t read_from(const std::string& topic, std::uint64_t from_offset, core::duration wait,
                          std::function<void(read_result)> on_end);
  void cancel(std::uint64_t call) { connections_.cancel(call); }
  // Appends one record; if `expected_end` is given, only if the log ends there.
  void append(const std::string& topic, const std::string& key, const std::string& value,
              std::optional<std::uint64_t> expected_end, std::function<void(append_result)> on_end);

  std::uint64_t calls() const noexcept { return calls_; }

private:
  std::uint64_t call(core::http_request request, core::duration timeout,
                     runtime::http::client::end_handler on_end);
  void read_page(const std::string& topic, const std::string& after, read_result so_far,
                 std::function<void(read_result)> on_end);

  runtime::http::client& connections_;
  asio::ip::tcp::endpoint address_;
  std::uint64_t calls_ = 0;
};

} // namespace arbutuslb::platform
