#include "arbutuslb/runtime/upstream_client.h"

#include <asio/io_context.hpp>

namespace arbutuslb::runtime {
namespace {

using core::engine::upstream_answered;
using core::engine::upstream_failed;
using core::engine::upstream_fault;

constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::milliseconds probe_timeout{100};
// A connection that was idle for longer may be about to be closed by the upstream, so a request
// that may be executed only once is sent on a new one.
constexpr std::chrono::milliseconds keyed_max_idle{1500};
constexpr std::chrono::seconds max_idle{4};
// For the answers that are being read. A daemon has 64 MB for everything (docs/CAPACITY.md).
constexpr http::memory_limits answer_memory{.total = std::size_t{16} * 1024 * 1024,
                                            .single = std::size_t{24} * 1024 * 1024};

} // namespace

upstream_client::upstream_client(asio::io_context& loop, const anchored_clock& clock,
                                 const endpoint& upstream, int max_requests, receiver on_event)
    : clock_(clock), address_(asio::ip::make_address_v4(upstream.host), upstream.port),
      max_requests_(static_cast<std::size_t>(max_requests)), on_event_(std::move(on_event)),
      connections_(loop, std::make_shared<http::memory_budget>(answer_memory)) {}

core::http_request upstream_client::make_request(const core::engine::execute_request& action,
                                                 core::duration time_left) const {
  core::http_request request;
  request.method = action.content.method;
  request.target = action.content.path;
  request.body = action.content.body;
  request.headers.emplace_back("Host", address_.address().to_string() + ":" +
                                           std::to_string(address_.port()));
  if (!action.content.content_type.empty()) {
    request.headers.emplace_back("Content-Type", action.content.content_type);
  }
  if (!action.content.key.empty()) {
    request.headers.emplace_back("Idempotency-Key", action.content.key);
  }
  request.headers.emplace_back("X-Deadline-Ms", std::to_string(core::to_milliseconds(time_left)));
  request.headers.emplace_back("X-Call-Depth", std::to_string(action.content.depth + 1));
  return request;
}

void upstream_client::execute(core::engine::execute_request action) {
  const core::time_point deadline = clock_.now() + action.time_left;
  waiting_.push_back({std::move(action), deadline});
  send_waiting();
}

void upstream_client::send_waiting() {
  drop_expired();
  while (!waiting_.empty() && exchanges_.size() < max_requests_) {
    const waiting_request next = std::move(waiting_.front());
    waiting_.pop_front();
    send(next);
  }
}

void upstream_client::drop_expired() {
  const core::time_point now = clock_.now();
  std::erase_if(waiting_, [this, now](const waiting_request& request) {
    const bool is_expired = request.deadline <= now;
    if (is_expired) {
      on_event_(upstream_failed{request.action.execution, upstream_fault::timed_out});
    }
    return is_expired;
  });
}

void upstream_client::send(const waiting_request& request) {
  const std::uint64_t execution = request.action.execution;
  const core::duration time_left =
      std::max<core::duration>(request.deadline - clock_.now(), std::chrono::milliseconds{1});
  http::send_options options;
  options.connect_timeout = std::min<core::duration>(connect_timeout, time_left);
  options.max_idle = request.action.content.key.empty() ? core::duration{max_idle}
                                                        : core::duration{keyed_max_idle};
  options.answer_timeout = time_left;
  exchanges_[execution] = connections_.send(
      address_, make_request(request.action, time_left), std::move(options),
      [this, execution](http::exchange_result end) { on_end(execution, std::move(end)); });
}

void upstream_client::on_end(std::uint64_t execution, http::exchange_result end) {
  exchanges_.erase(execution);
  switch (end.outcome) {
  case http::exchange_outcome::answered: {
    const std::string* content_type = core::find_header(end.answer.headers, "Content-Type");
    on_event_(upstream_answered{execution,
                                {end.answer.status, content_type == nullptr ? "" : *content_type,
                                 std::move(end.answer.body)}});
    break;
  }
  case http::exchange_outcome::not_connected:
    on_event_(upstream_failed{execution, upstream_fault::not_connected});
    break;
  case http::exchange_outcome::broken:
    if (end.is_timeout) {
      on_event_(upstream_failed{execution, upstream_fault::timed_out});
    } else {
      report_broken(execution);
    }
    break;
  }
  send_waiting();
}

// Reports that an exchange broke, once it is known whether the upstream accepts new connections.
void upstream_client::report_broken(std::uint64_t execution) {
  connections_.connect(address_, probe_timeout, [this, execution](http::connect_outcome outcome) {
    on_event_(upstream_failed{execution, outcome == http::connect_outcome::connected
                                             ? upstream_fault::broken
                                             : upstream_fault::died});
  });
}

void upstream_client::cancel(std::uint64_t execution) {
  const std::map<std::uint64_t, std::uint64_t>::iterator found = exchanges_.find(execution);
  if (found == exchanges_.end()) {
    return;
  }
  connections_.cancel(found->second);
  exchanges_.erase(found);
  report_broken(execution);
  send_waiting();
}

void upstream_client::sweep() {
  drop_expired();
  connections_.sweep(clock_.now());
}

} // namespace arbutuslb::runtime
