// A stand-in of the platform's store: topics that keep the newest record of each key, over HTTP.
//
// It can be down, slow, lose its answers, and do late what it was asked.
//
//   platform_store store(loop, address);
//   store.trouble().is_down = true;
#pragma once

#include "arbutuslb/core/base/random.h"
#include "arbutuslb/runtime/http/server.h"

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutuslb::fakes {

// What goes wrong at the store, changed at any time.
struct store_trouble {
  bool is_down = false;         // answers 503 and does nothing
  bool is_silent = false;       // answers nothing and does nothing
  double lost_answer_share = 0; // of the appends that are done
  double late_append_share = 0; // done up to `latest` after their answer was lost
  core::duration latest = std::chrono::seconds{2};
  core::duration delay{}; // of each answer
};

// Not thread-safe.
class platform_store {
public:
  platform_store(asio::io_context& loop, const asio::ip::tcp::endpoint& address,
                 std::uint64_t seed);
  ~platform_store();

  store_trouble& trouble() { return trouble_; }
  void sweep(core::time_point now) { server_.sweep(now); }

private:
  struct record {
    std::string key;
    std::string content; // as appended: length of the key, key, value
  };
  struct waiting_read {
    std::uint64_t token = 0;
    std::string topic;
    std::size_t from = 0;
  };
  using parameters = std::map<std::string, std::string>;

  void on_request(std::uint64_t token, const core::http_request& request);
  void append(std::uint64_t token, const parameters& asked, const std::string& body);
  int apply(const parameters& asked, const std::string& body);
  void read(std::uint64_t token, const parameters& asked);
  void read_newest(std::uint64_t token, const std::string& topic);
  void answer_waiting(const std::string& topic);
  void answer_read(const waiting_read& read);
  void respond(std::uint64_t token, int status, std::string body);
  void after(core::duration delay, std::function<void()> what);

  asio::io_context& loop_;
  core::random_source random_;
  store_trouble trouble_;
  std::map<std::string, std::vector<record>> topics_;
  std::vector<waiting_read> waiting_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  runtime::http::server server_;
};

} // namespace arbutuslb::fakes
