// A caller that writes to its own connection whatever a client may send: several requests before
// the first answer, or a request in pieces. It checks that every answer belongs to its request.
//
//   raw_caller::start(loop, address, {{0ms, bytes, {"a-1", "a-2"}}, {50ms, more, {"a-3"}}},
//   on_end);
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/runtime/http/message_reader.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutuslb::soak {

// Bytes that are written together.
struct caller_write {
  core::duration after{}; // the write before, or the start
  std::string bytes;
  std::vector<std::string> completed; // ids of the requests that end with these bytes
};

// The end of one request.
struct caller_result {
  std::string id;
  std::optional<core::http_response> answer; // none if the connection ended before
  // Time from the last byte of the request until the connection ended, if there is no answer.
  core::duration waited{};
};

class raw_caller : public std::enable_shared_from_this<raw_caller> {
public:
  using end_handler = std::function<void(const caller_result& result)>;

  // `on_end` is called once for each request whose last byte was written, in order. The connection
  // is closed after `time_limit`.
  static void start(asio::io_context& loop, const asio::ip::tcp::endpoint& address,
                    std::vector<caller_write> writes, core::duration time_limit,
                    end_handler on_end);

private:
  raw_caller(asio::io_context& loop, std::vector<caller_write> writes, end_handler on_end);
  void write_next();
  void read();
  void end();

  struct sent_request {
    std::string id;
    std::chrono::steady_clock::time_point at;
  };
  asio::ip::tcp::socket socket_;
  asio::steady_timer write_timer_;
  asio::steady_timer limit_;
  std::vector<caller_write> writes_;
  std::size_t next_write_ = 0;
  std::vector<sent_request> sent_;
  std::size_t answered_ = 0;
  runtime::http::message_reader reader_;
  std::string buffer_;
  end_handler on_end_;
  bool has_ended_ = false;
};

} // namespace arbutuslb::soak
