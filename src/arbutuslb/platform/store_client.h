// Client of the platform's store: an append-only log that also keeps the newest record of each key.
//
// Every call completes by its timeout. The outcome of an append without an answer is unknown and
// remains so, because the store may still apply it later.
#pragma once

#include "arbutuslb/platform/store_answers.h"
#include "arbutuslb/runtime/http/client.h"

#include <optional>

namespace arbutuslb::platform {

enum class append_status : std::uint8_t {
  appended,
  conflict, // the end offset of the log is not `expected_end`
  refused,  // the record was not appended
  unknown   // the record may have been appended, or may be appended later
};
struct append_result {
  append_status status = append_status::unknown;
  std::string reason;
  std::uint64_t era = 0; // of the answer; zero if there is none or it states none
};

// Which connection a read uses. Open connections may have gone silent while new ones work.
enum class connection_choice : std::uint8_t { any, new_one };

// Not thread-safe. Uses partition 0 of topics that keep the newest record of each key.
class store_client {
public:
  store_client(runtime::http::client& connections, const asio::ip::tcp::endpoint& address);

  // Reads the newest record of every key. All pages of the result are of one era.
  void read_newest(const std::string& topic, std::function<void(read_result)> on_result,
                   connection_choice choice = connection_choice::any);
  // Reads the records from `from_offset`; waits up to `wait` for the first. Returns an id for
  // `cancel`.
  std::uint64_t read_from(const std::string& topic, std::uint64_t from_offset, core::duration wait,
                          std::function<void(read_result)> on_result,
                          connection_choice choice = connection_choice::any);
  void cancel(std::uint64_t request_id) { connections_.cancel(request_id); }
  // Appends one record; if `expected_end` is set, only if it is the end offset of the log. Uses a
  // new connection: appends are rare, and callers wait for them.
  void append(const std::string& topic, const std::string& key, const std::string& value,
              std::optional<std::uint64_t> expected_end,
              std::function<void(append_result)> on_result);

  std::uint64_t calls() const noexcept { return calls_; }

private:
  std::uint64_t send_request(core::http_request request, core::duration timeout,
                             connection_choice choice,
                             runtime::http::client::completion_handler on_result);
  void read_page(const std::string& topic, const std::string& after, read_result partial_result,
                 connection_choice choice, std::function<void(read_result)> on_result);

  runtime::http::client& connections_;
  asio::ip::tcp::endpoint address_;
  std::uint64_t calls_ = 0;
};

} // namespace arbutuslb::platform
