// Stand-in for the platform's store over HTTP: append-only topics of keyed records.
//
// Faults can be injected: unavailability, delay, lost answers, appends that take effect late, and
// the return from an older copy, after which offsets are assigned again and the era has risen.
//
//   platform_store store(loop, address);
//   store.faults().is_down = true;
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/runtime/http/server.h"

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutuslb::fakes {

// Injected faults. They may be changed at any time.
struct store_faults {
  bool is_down = false;         // answers 503 without executing the request
  bool is_silent = false;       // accepts requests but neither executes nor answers them
  double lost_answer_ratio = 0; // fraction of the executed appends that are not answered
  // Fraction of the appends that are not answered and take effect up to `max_append_delay` later.
  double late_append_ratio = 0;
  core::duration max_append_delay = std::chrono::seconds{2};
  core::duration delay{}; // added to each answer
};

// A read of the log returns records of about this size in all, and one record at least.
inline constexpr std::size_t max_read_bytes = std::size_t{1024} * 1024;

// Not thread-safe.
class platform_store {
public:
  platform_store(asio::io_context& loop, const asio::ip::tcp::endpoint& address,
                 std::uint64_t seed);
  ~platform_store();

  store_faults& faults() { return faults_; }
  // Drops the records that were appended within `age`, as if the store had come back from a copy.
  // Of `rewritten_topic`, the newest record of each key is appended again if it was dropped.
  void restore(core::duration age, const std::string& rewritten_topic = "");
  // Returns the number of requests received.
  std::uint64_t calls() const noexcept { return calls_; }
  // Checks the time limits of the HTTP server. Call it at least four times a second.
  void sweep(core::time_point now) { server_.sweep(now); }

private:
  struct record {
    std::string key;
    std::string content; // encoded as appended: length of the key (1 byte), key, value
    std::chrono::steady_clock::time_point appended_at{};
  };
  struct pending_read {
    std::uint64_t token = 0;
    std::string topic;
    std::size_t from = 0;
  };
  using parameters = std::map<std::string, std::string>;

  void on_request(std::uint64_t token, const core::http_request& request);
  void append(std::uint64_t token, const parameters& query, const std::string& body);
  int apply(const parameters& query, const std::string& body);
  void read(std::uint64_t token, const parameters& query);
  void read_newest(std::uint64_t token, const std::string& topic);
  void answer_pending_reads(const std::string& topic);
  void answer_read(const pending_read& read);
  void respond(std::uint64_t token, int status, std::string body);
  void after(core::duration delay, std::function<void()> callback);

  asio::io_context& loop_;
  core::random_source random_;
  store_faults faults_;
  std::map<std::string, std::vector<record>> topics_;
  std::vector<pending_read> pending_reads_;
  std::uint64_t era_ = 1;
  std::uint64_t calls_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  runtime::http::server server_;
};

} // namespace arbutuslb::fakes
