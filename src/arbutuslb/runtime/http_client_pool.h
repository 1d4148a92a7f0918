// Pool of keep-alive HTTP connections to one server, each used by one thread at a time.
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/runtime/settings.h"

#include <httplib.h>
#include <memory>
#include <mutex>
#include <vector>

namespace arbutuslb::runtime {

// Sets the timeout of the connection, of each read and of each write of the client's next request.
inline void set_timeouts(httplib::Client& client, core::duration timeout) {
  const std::chrono::seconds whole_seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout);
  const std::int64_t microseconds = (timeout - whole_seconds).count();
  client.set_connection_timeout(whole_seconds.count(), microseconds);
  client.set_read_timeout(whole_seconds.count(), microseconds);
  client.set_write_timeout(whole_seconds.count(), microseconds);
}

// Thread-safe.
class http_client_pool {
public:
  explicit http_client_pool(endpoint server) : server_(std::move(server)) {}

  // Returns a connection that no other thread uses.
  std::unique_ptr<httplib::Client> acquire() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (idle_.empty()) {
      std::unique_ptr<httplib::Client> client =
          std::make_unique<httplib::Client>(server_.host, server_.port);
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      return client;
    }
    std::unique_ptr<httplib::Client> client = std::move(idle_.back());
    idle_.pop_back();
    return client;
  }

  void release(std::unique_ptr<httplib::Client> client) {
    const std::lock_guard<std::mutex> lock(mutex_);
    idle_.push_back(std::move(client));
  }

private:
  endpoint server_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<httplib::Client>> idle_;
};

} // namespace arbutuslb::runtime
