#include "arbutuslb/runtime/http_front.h"

#include "arbutuslb/core/base/object_reader.h"

#include <atomic>
#include <charconv>
#include <httplib.h>
#include <map>
#include <mutex>
#include <thread>

namespace arbutuslb::runtime {
namespace {

namespace engine = core::engine;
namespace protocol = core::protocol;

constexpr int operator_connections = 8;
constexpr std::size_t keep_alive_requests = 1'000'000'000;
constexpr int keep_alive_seconds = 60;
// A request whose deadline has passed waits this much longer for the daemon's answer.
constexpr std::chrono::seconds answer_slack{2};
constexpr std::chrono::seconds operator_timeout{620};
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr int status_bad_request = 400;
constexpr int status_gateway_timeout = 504;

const char* outcome_name(protocol::call_outcome outcome) {
  switch (outcome) {
  case protocol::call_outcome::answered:
    return "answered";
  case protocol::call_outcome::not_executed:
    return "not-run";
  case protocol::call_outcome::unknown:
    return "unknown";
  }
  return "unknown";
}

// Requests whose server threads wait for an answer. Thread-safe.
template <typename Answer>
class pending_answers {
public:
  std::future<Answer> add(std::uint64_t token) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return promises_[token].get_future();
  }
  void remove(std::uint64_t token) {
    const std::lock_guard<std::mutex> lock(mutex_);
    promises_.erase(token);
  }
  void complete(std::uint64_t token, const Answer& answer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const typename std::map<std::uint64_t, std::promise<Answer>>::iterator found =
        promises_.find(token);
    if (found != promises_.end()) {
      found->second.set_value(answer);
      promises_.erase(found);
    }
  }

private:
  std::mutex mutex_;
  std::map<std::uint64_t, std::promise<Answer>> promises_;
};

std::int64_t header_number(const httplib::Request& request, const char* name,
                           std::int64_t max_value) {
  const std::string text = request.get_header_value(name);
  std::int64_t value = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_number = result.ec == std::errc{} && result.ptr == text.data() + text.size();
  return is_number && value > 0 ? std::min(value, max_value) : 0;
}

void configure(httplib::Server& server, int connections) {
  server.new_task_queue = [connections] {
    return new httplib::ThreadPool(static_cast<std::size_t>(connections));
  };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(keep_alive_requests);
  server.set_keep_alive_timeout(keep_alive_seconds);
}

void bind(httplib::Server& server, const std::string& host, std::uint16_t port) {
  if (!server.bind_to_port(host, port)) {
    throw std::runtime_error("cannot listen on " + host + ":" + std::to_string(port));
  }
}

} // namespace

struct http_front::state {
  state(const daemon_settings& settings, hooks front_hooks) : callbacks(std::move(front_hooks)) {
    configure(call_server, settings.caller_connections);
    call_server.set_payload_max_length(protocol::max_body_bytes);
    const httplib::Server::Handler on_call = [this](const httplib::Request& request,
                                                    httplib::Response& response) {
      serve_call(request, response);
    };
    call_server.Get(".*", on_call).Post(".*", on_call).Put(".*", on_call).Patch(".*", on_call);
    call_server.Delete(".*", on_call);

    configure(operator_server, operator_connections);
    operator_server.Post("/operator",
                         [this](const httplib::Request& request, httplib::Response& response) {
                           serve_operator(request, response);
                         });
    operator_server.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
      response.set_content(callbacks.render_metrics(), "text/plain; version=0.0.4");
    });
    operator_server.Post("/stop", [this](const httplib::Request&, httplib::Response& response) {
      callbacks.on_event(engine::stop_requested{});
      response.set_content("stopping\n", "text/plain");
    });
    const std::string& host = settings.core.address.host;
    bind(call_server, host, settings.call_port);
    bind(operator_server, host, settings.operator_port);
    call_thread = std::thread([this] { call_server.listen_after_bind(); });
    operator_thread = std::thread([this] { operator_server.listen_after_bind(); });
  }

  ~state() {
    call_server.stop();
    operator_server.stop();
    call_thread.join();
    operator_thread.join();
  }

  void serve_call(const httplib::Request& request, httplib::Response& response) {
    engine::call_received call;
    call.token = ++last_token;
    call.content.method = request.method;
    call.content.path = request.target;
    call.content.content_type = request.get_header_value("Content-Type");
    call.content.body = request.body;
    call.content.key = request.get_header_value("Idempotency-Key");
    call.content.depth = static_cast<std::uint32_t>(header_number(request, "X-Call-Depth", 1000));
    call.time_left =
        std::chrono::milliseconds{header_number(request, "X-Deadline-Ms", max_deadline_ms)};
    std::future<engine::answer_caller> answer = pending_calls.add(call.token);
    const std::uint64_t token = call.token;
    const core::duration answer_timeout = call.time_left + answer_slack;
    callbacks.on_event(std::move(call));
    if (answer.wait_for(answer_timeout) != std::future_status::ready) {
      pending_calls.remove(token);
      callbacks.on_event(engine::caller_disconnected{token});
      response.status = status_gateway_timeout;
      response.set_header("X-Outcome", "unknown");
      return;
    }
    const engine::answer_caller result = answer.get();
    response.status = result.answer.status;
    response.set_header("X-Outcome", outcome_name(result.outcome));
    if (!result.reason.empty()) {
      response.set_header("X-Reason", result.reason);
    }
    if (result.outcome == protocol::call_outcome::answered) {
      response.set_content(result.answer.body, result.answer.content_type.empty()
                                                   ? "application/octet-stream"
                                                   : result.answer.content_type);
    } else {
      response.set_content(std::string(outcome_name(result.outcome)) + ": " + result.reason + "\n",
                           "text/plain");
    }
  }

  void serve_operator(const httplib::Request& request, httplib::Response& response) {
    engine::operator_command_received command;
    try {
      const core::json document = core::parse_json_with_comments(request.body);
      core::finding_list findings;
      core::object_reader reader(document, "", findings);
      command.text = reader.required_string("text");
      command.document = reader.optional_string("document", "");
      command.command_id = reader.optional_string("command_id", "");
      command.operator_name = reader.optional_string("operator", "");
      reader.finish();
      findings.throw_if_any();
    } catch (const core::findings_error& error) {
      response.status = status_bad_request;
      response.set_content(error.what(), "text/plain");
      return;
    }
    command.token = ++last_token;
    const std::uint64_t token = command.token;
    std::future<engine::answer_operator> answer = pending_commands.add(token);
    callbacks.on_event(std::move(command));
    if (answer.wait_for(operator_timeout) != std::future_status::ready) {
      pending_commands.remove(token);
      response.status = status_gateway_timeout;
      return;
    }
    response.set_content(answer.get().body, "application/json");
  }

  hooks callbacks;
  std::atomic<std::uint64_t> last_token{0};
  pending_answers<engine::answer_caller> pending_calls;
  pending_answers<engine::answer_operator> pending_commands;
  httplib::Server call_server;
  httplib::Server operator_server;
  std::thread call_thread;
  std::thread operator_thread;
};

http_front::http_front(const daemon_settings& settings, hooks front_hooks)
    : state_(std::make_unique<state>(settings, std::move(front_hooks))) {}

http_front::~http_front() = default;

void http_front::answer(const core::engine::answer_caller& action) {
  state_->pending_calls.complete(action.token, action);
}

void http_front::answer(const core::engine::answer_operator& action) {
  state_->pending_commands.complete(action.token, action);
}

} // namespace arbutuslb::runtime
