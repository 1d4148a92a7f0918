#include "arbutuslb/runtime/upstream_client.h"

#include "arbutuslb/core/engine/actions.h"
#include "arbutuslb/runtime/http_client_pool.h"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <map>

namespace arbutuslb::runtime {
namespace {

using core::engine::upstream_answered;
using core::engine::upstream_failed;
using core::engine::upstream_fault;

constexpr std::chrono::milliseconds probe_timeout{100};

// Returns whether the upstream accepts new connections.
bool is_listening(const endpoint& upstream) {
  httplib::Client probe(upstream.host, upstream.port);
  set_timeouts(probe, probe_timeout);
  const httplib::Result result = probe.Get("/health");
  return result.error() != httplib::Error::Connection;
}

httplib::Request make_request(const core::engine::execute_request& action) {
  httplib::Request request;
  request.method = action.content.method;
  request.path = action.content.path;
  request.body = action.content.body;
  if (!action.content.content_type.empty()) {
    request.set_header("Content-Type", action.content.content_type);
  }
  if (!action.content.key.empty()) {
    request.set_header("Idempotency-Key", action.content.key);
  }
  request.set_header("X-Deadline-Ms", std::to_string(core::to_milliseconds(action.time_left)));
  request.set_header("X-Call-Depth", std::to_string(action.content.depth + 1));
  return request;
}

} // namespace

struct upstream_client::state {
  state(const endpoint& server, int connections, receiver receive)
      : upstream(server), clients(server), on_event(std::move(receive)),
        threads(static_cast<std::size_t>(connections)) {}

  void execute(const core::engine::execute_request& action) {
    const std::chrono::steady_clock::time_point start_time = std::chrono::steady_clock::now();
    std::unique_ptr<httplib::Client> client = clients.acquire();
    set_timeouts(*client, std::max<core::duration>(action.time_left, std::chrono::milliseconds{1}));
    set_active_client(action.execution, client.get());
    const httplib::Result result = client->send(make_request(action));
    set_active_client(action.execution, nullptr);
    if (result) {
      clients.release(std::move(client));
      on_event(upstream_answered{
          action.execution,
          {result->status, result->get_header_value("Content-Type"), result->body}});
      return;
    }
    const bool is_past_deadline = std::chrono::steady_clock::now() - start_time >= action.time_left;
    on_event(upstream_failed{action.execution, classify_fault(result.error(), is_past_deadline)});
  }

  upstream_fault classify_fault(httplib::Error error, bool is_past_deadline) const {
    if (error == httplib::Error::Connection) {
      return upstream_fault::not_connected;
    }
    if (is_past_deadline) {
      return upstream_fault::timed_out;
    }
    return is_listening(upstream) ? upstream_fault::broken : upstream_fault::died;
  }

  void set_active_client(std::uint64_t execution, httplib::Client* client) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (client == nullptr) {
      active_clients.erase(execution);
    } else {
      active_clients[execution] = client;
    }
  }

  void cancel(std::uint64_t execution) {
    const std::lock_guard<std::mutex> lock(mutex);
    const std::map<std::uint64_t, httplib::Client*>::iterator found =
        active_clients.find(execution);
    if (found != active_clients.end()) {
      found->second->stop();
    }
  }

  endpoint upstream;
  http_client_pool clients;
  receiver on_event;
  std::mutex mutex;
  std::map<std::uint64_t, httplib::Client*> active_clients;
  asio::thread_pool threads;
};

upstream_client::upstream_client(const endpoint& upstream, int connections, receiver on_event)
    : state_(std::make_unique<state>(upstream, connections, std::move(on_event))) {}

upstream_client::~upstream_client() {
  state_->threads.join();
}

void upstream_client::execute(const core::engine::execute_request& action) {
  asio::post(state_->threads, [this, action] { state_->execute(action); });
}

void upstream_client::cancel(std::uint64_t execution) {
  state_->cancel(execution);
}

} // namespace arbutuslb::runtime
