// Sends requests to the local upstream by HTTP over persistent connections.
#pragma once

#include "arbutuslb/core/engine/actions.h"
#include "arbutuslb/core/engine/events.h"
#include "arbutuslb/runtime/clock.h"
#include "arbutuslb/runtime/http/client.h"
#include "arbutuslb/runtime/settings.h"

#include <deque>
#include <functional>
#include <map>

namespace arbutuslb::runtime {

// Not thread-safe.
class upstream_client {
public:
  // `on_event` is called once for each request with its result, possibly from within `execute`. It
  // must not call the client. Nothing is reported after destruction.
  using receiver = std::function<void(core::engine::event)>;
  // Sends at most `max_requests` requests at a time; the others wait. `clock` must outlive the
  // client.
  upstream_client(asio::io_context& loop, const anchored_clock& clock, const endpoint& upstream,
                  int max_requests, receiver on_event);

  void execute(core::engine::execute_request action);
  // Closes the connection of the request, so that the upstream notices. Does nothing if the request
  // is complete or still waits to be sent.
  void cancel(std::uint64_t execution);
  // Checks time limits; call it periodically.
  void sweep();

private:
  struct waiting_request {
    core::engine::execute_request action;
    core::time_point deadline;
  };

  void send_waiting();
  // Reports the waiting requests whose deadline has passed.
  void drop_expired();
  void send(const waiting_request& request);
  void on_end(std::uint64_t execution, http::exchange_result end);
  void report_broken(std::uint64_t execution);
  core::http_request make_request(const core::engine::execute_request& action,
                                  core::duration time_left) const;

  const anchored_clock& clock_;
  asio::ip::tcp::endpoint address_;
  std::size_t max_requests_;
  receiver on_event_;
  std::deque<waiting_request> waiting_;
  std::map<std::uint64_t, std::uint64_t> exchanges_; // by execution
  http::client connections_;
};

} // namespace arbutuslb::runtime
