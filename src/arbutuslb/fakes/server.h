// Common configuration of the stand-ins' cpp-httplib servers.
#pragma once

#include <httplib.h>

namespace arbutuslb::fakes {

inline void prepare_server(httplib::Server& server, std::size_t threads) {
  constexpr std::size_t keep_alive_requests = 1'000'000'000;
  constexpr int keep_alive_seconds = 60;
  server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(keep_alive_requests);
  server.set_keep_alive_timeout(keep_alive_seconds);
}

} // namespace arbutuslb::fakes
