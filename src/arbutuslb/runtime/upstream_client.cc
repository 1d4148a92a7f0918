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

constexpr std::chrono::milliseconds probe_time{100};

// True if the upstream takes new connections.
bool is_listening(const endpoint& upstream) {
  httplib::Client probe(upstream.host, upstream.port);
  set_time_limit(probe, probe_time);
  const httplib::Result result = probe.Get("/health");
  return result.error() != httplib::Error::Connection;
}

httplib::Request request_of(const core::engine::execute_request& action) {
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

  void run(const core::engine::execute_request& action) {
    const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    std::unique_ptr<httplib::Client> client = clients.take();
    set_time_limit(*client,
                   std::max<core::duration>(action.time_left, std::chrono::milliseconds{1}));
    note_running(action.execution, client.get());
    const httplib::Result result = client->send(request_of(action));
    note_running(action.execution, nullptr);
    if (result) {
      clients.give_back(std::move(client));
      on_event(upstream_answered{
          action.execution,
          {result->status, result->get_header_value("Content-Type"), result->body}});
      return;
    }
    const bool is_late = std::chrono::steady_clock::now() - began >= action.time_left;
    on_event(upstream_failed{action.execution, fault_of(result.error(), is_late)});
  }

  upstream_fault fault_of(httplib::Error error, bool is_late) const {
    if (error == httplib::Error::Connection) {
      return upstream_fault::not_connected;
    }
    if (is_late) {
      return upstream_fault::timed_out;
    }
    return is_listening(upstream) ? upstream_fault::broken : upstream_fault::died;
  }

  void note_running(std::uint64_t execution, httplib::Client* client) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (client == nullptr) {
      running.erase(execution);
    } else {
      running[execution] = client;
    }
  }

  void cancel(std::uint64_t execution) {
    const std::lock_guard<std::mutex> lock(mutex);
    const std::map<std::uint64_t, httplib::Client*>::iterator found = running.find(execution);
    if (found != running.end()) {
      found->second->stop();
    }
  }

  endpoint upstream;
  http_client_pool clients;
  receiver on_event;
  std::mutex mutex;
  std::map<std::uint64_t, httplib::Client*> running;
  asio::thread_pool threads;
};

upstream_client::upstream_client(const endpoint& upstream, int connections, receiver on_event)
    : state_(std::make_unique<state>(upstream, connections, std::move(on_event))) {}

upstream_client::~upstream_client() {
  state_->threads.join();
}

void upstream_client::run(const core::engine::execute_request& action) {
  asio::post(state_->threads, [this, action] { state_->run(action); });
}

void upstream_client::cancel(std::uint64_t execution) {
  state_->cancel(execution);
}

} // namespace arbutuslb::runtime
