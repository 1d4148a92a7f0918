// Keep-alive HTTP connections to one server, each used by one thread at a time.
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/runtime/settings.h"

#include <httplib.h>
#include <memory>
#include <mutex>
#include <vector>

namespace arbutuslb::runtime {

// Sets the longest time for one read and one write of the client's next request.
inline void set_time_limit(httplib::Client& client, core::duration limit) {
  const std::chrono::seconds whole = std::chrono::duration_cast<std::chrono::seconds>(limit);
  const std::int64_t rest = (limit - whole).count();
  client.set_connection_timeout(whole.count(), rest);
  client.set_read_timeout(whole.count(), rest);
  client.set_write_timeout(whole.count(), rest);
}

// Thread-safe.
class http_client_pool {
public:
  explicit http_client_pool(endpoint server) : server_(std::move(server)) {}

  // Returns a connection that nobody else uses.
  std::unique_ptr<httplib::Client> take() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (idle_.empty()) {
      std::unique_ptr<httplib::Client> fresh =
          std::make_unique<httplib::Client>(server_.host, server_.port);
      fresh->set_keep_alive(true);
      fresh->set_tcp_nodelay(true);
      return fresh;
    }
    std::unique_ptr<httplib::Client> client = std::move(idle_.back());
    idle_.pop_back();
    return client;
  }

  void give_back(std::unique_ptr<httplib::Client> client) {
    const std::lock_guard<std::mutex> lock(mutex_);
    idle_.push_back(std::move(client));
  }

private:
  endpoint server_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<httplib::Client>> idle_;
};

} // namespace arbutuslb::runtime
