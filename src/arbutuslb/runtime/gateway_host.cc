#include "arbutuslb/runtime/gateway_host.h"

#include "arbutuslb/core/base/finding.h"
#include "arbutuslb/core/gateway/gateway_core.h"
#include "arbutuslb/platform/heartbeats.h"
#include "arbutuslb/platform/orders.h"
#include "arbutuslb/platform/requests.h"
#include "arbutuslb/platform/usage_reports.h"
#include "arbutuslb/runtime/clock.h"
#include "arbutuslb/runtime/gateway_metrics.h"
#include "arbutuslb/runtime/http/server.h"
#include "arbutuslb/runtime/log_writer.h"
#include "arbutuslb/runtime/member_registry.h"
#include "arbutuslb/runtime/operator_records.h"
#include "arbutuslb/runtime/order_follower.h"
#include "arbutuslb/runtime/settings.h"
#include "arbutuslb/runtime/wire/gateway_codec.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <bit>
#include <concepts>
#include <csignal>
#include <malloc.h>
#include <random>
#include <unistd.h>

namespace arbutuslb::runtime {
namespace {

namespace gateway = core::gateway;
using asio::ip::tcp;
using asio::ip::udp;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr const char* run_path = "/run";
constexpr const char* operator_records_path = "/orders";
// Time between two checks of the timeouts of connections.
constexpr std::chrono::milliseconds sweep_period{100};
constexpr std::chrono::milliseconds peer_connect_timeout{250};
// Part of the memory for what callers, peers and upstreams send and do not read. The rest is for
// the process itself, for the copies that are made on the way, and for free memory between blocks
// in use.
constexpr std::size_t message_memory_divisor = 4;
// One large message may use this part while nothing else is large.
constexpr double single_message_share = 0.6;
constexpr std::chrono::milliseconds upstream_connect_timeout{300};
// Requests that were interrupted are answered at the latest after this time.
constexpr std::chrono::milliseconds upstream_probe_timeout{100};
// A connection that was idle for longer may be about to be closed by its peer, so a request that
// may execute only once is sent on a new connection.
constexpr std::chrono::milliseconds non_idempotent_max_idle{1500};
constexpr std::chrono::seconds idempotent_max_idle{4};
constexpr std::chrono::milliseconds fetch_timeout{1000};
constexpr std::size_t max_datagram_size = 65507;

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

core::http_response plain_response(int status, std::string body = "") {
  core::http_response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

} // namespace

struct gateway_host::state {
  state(const gateway_host_settings& values, std::string path)
      : settings(values), settings_path(std::move(path)),
        core(values.core, random_seed(), clock.now()), log(STDOUT_FILENO),
        signals(loop, SIGTERM, SIGINT, SIGHUP), timer(loop),
        memory(std::make_shared<http::memory_budget>(http::memory_limits{
            values.memory_bytes / message_memory_divisor,
            static_cast<std::size_t>(single_message_share *
                                     static_cast<double>(values.memory_bytes))})),
        peer_client(loop, memory), upstream_client(loop, memory), store_connections(loop),
        usage_client(loop), store(store_connections, values.store),
        members(store, values.core.host, values.core.name,
                [this](const std::string& event, const std::string& reason) {
                  write_event(core::engine::severity::error, event, {{"reason", reason}});
                }),
        follower(
            loop, store, random_seed(),
            [this](platform::read_result records, bool is_complete) {
              guard([&] { take_operator_records(std::move(records), is_complete); });
            },
            [this](bool is_reachable, const std::string& reason) {
              write_event(is_reachable ? core::engine::severity::info
                                       : core::engine::severity::warning,
                          is_reachable ? "store_regained" : "store_lost", {{"reason", reason}});
              guard([&] { handle(gateway::store_reachability_changed{is_reachable}); });
            }),
        callers(loop, values.callers,
                {[this](std::uint64_t token, core::http_request request) {
                   handle(gateway::call_received{token, platform::decode_call(std::move(request))});
                 },
                 [this](std::uint64_t token) { handle(gateway::caller_disconnected{token}); },
                 [this](const std::string& reason) { log_accept_failure("callers", reason); },
                 [this](std::size_t bytes) { log_out_of_memory("callers", bytes); },
                 [this](const http::dropped_input& dropped) { log_dropped("callers", dropped); }},
                memory),
        peers(loop, values.peers,
              {[this](std::uint64_t token, const core::http_request& request) {
                 on_peer_request(token, request);
               },
               [this](std::uint64_t token) { handle(gateway::peer_disconnected{token}); },
               [this](const std::string& reason) { log_accept_failure("peers", reason); },
               [this](std::size_t bytes) { log_out_of_memory("peers", bytes); },
               [this](const http::dropped_input& dropped) { log_dropped("peers", dropped); }},
              memory),
        upstreams(loop, values.upstreams,
                  {[this](std::uint64_t token, const core::http_request& request) {
                     on_upstream_call(token, request);
                   },
                   [](std::uint64_t) {}},
                  memory),
        readiness(loop, values.readiness,
                  {[this](std::uint64_t token, const core::http_request& request) {
                     on_readiness(token, request);
                   },
                   [](std::uint64_t) {}},
                  memory),
        metrics(loop, values.metrics,
                {[this](std::uint64_t token, const core::http_request&) {
                   metrics.respond(token, plain_response(status_ok, render_metrics()));
                 },
                 [](std::uint64_t) {}},
                memory),
        reports(loop, udp::endpoint(values.peers.address(), values.report_port)) {
    reports.non_blocking(true);
    write_event(core::engine::severity::info, "started",
                {{"instance", settings.core.name}, {"domain", settings.core.domain}});
    wait_for_signal();
    wait_for_reports();
    schedule_tick();
    follower.start();
  }

  void write_event(core::engine::severity level, std::string name,
                   std::vector<std::pair<std::string, std::string>> fields) {
    log.write({level, std::move(name), std::move(fields)}, clock.now());
  }

  void log_accept_failure(const char* edge, const std::string& reason) {
    write_event(core::engine::severity::error, "accept_failed",
                {{"edge", edge}, {"reason", reason}});
  }

  // Runs a part of a loop that must go on whatever fails.
  template <std::invocable Work>
  void guard(Work work) {
    try {
      work();
    } catch (const std::exception& error) {
      log_failure(error);
    }
  }

  // The event that failed is lost. If it was a request, its connection has been closed.
  void log_failure(const std::exception& error) {
    ++events_failed;
    write_event(core::engine::severity::error, "event_failed", {{"reason", error.what()}});
  }

  void log_dropped(const char* edge, const http::dropped_input& dropped) {
    ++inputs_dropped;
    write_event(core::engine::severity::info, "input_dropped",
                {{"edge", edge},
                 {"bytes", std::to_string(dropped.bytes)},
                 {"begun", dropped.has_begun ? "true" : "false"},
                 {"unanswered", std::to_string(dropped.unanswered)},
                 {"ready", core.is_ready() ? "true" : "false"}});
  }

  // Callers decide how often this happens, so the log has one line for each doubling.
  void log_out_of_memory(const char* edge, std::size_t bytes) {
    ++out_of_memory;
    if (std::has_single_bit(out_of_memory)) {
      write_event(core::engine::severity::warning, "out_of_memory",
                  {{"edge", edge},
                   {"connection_bytes", std::to_string(bytes)},
                   {"used_bytes", std::to_string(memory->used())},
                   {"total", std::to_string(out_of_memory)}});
    }
  }

  void handle(gateway::event value) {
    for (gateway::action& item : core.handle(std::move(value), clock.now())) {
      std::visit(action_executor{*this}, item);
    }
  }

  struct action_executor {
    state& host;
    void operator()(const gateway::answer_caller& action) const {
      host.callers.respond(action.token, action.answer);
    }
    void operator()(const gateway::answer_peer& action) const {
      host.peers.respond(action.token, plain_response(status_ok, wire::encode(action.result)));
    }
    void operator()(const gateway::send_to_peer& action) const { host.send_to_peer(action); }
    void operator()(const gateway::send_to_upstream& action) const {
      host.send_to_upstream(action);
    }
    void operator()(const gateway::probe_upstream&) const { host.probe_upstream(); }
    void operator()(const gateway::cancel_attempt& action) const { host.cancel(action.attempt); }
    void operator()(const gateway::acknowledge_heartbeat& action) const {
      host.upstreams.respond(action.token, action.is_accepted
                                               ? plain_response(status_ok, "{}")
                                               : plain_response(status_bad_request, action.reason));
    }
    void operator()(const gateway::send_reports& action) const { host.send_reports(action); }
    void operator()(const gateway::follow_operator_log& action) const {
      host.follower.set_following(action.is_enabled, action.poll_wait);
    }
    void operator()(const gateway::fetch_operator_records& action) const {
      host.fetch_operator_records(action);
    }
    void operator()(const gateway::discover_peers& action) const {
      host.discover_peers(action.era);
    }
    void operator()(const gateway::record_departure& action) const {
      host.record_departure(action.departed);
    }
    void operator()(const gateway::record_suspicions& action) const {
      host.record_suspicions(action.suspicions);
    }
    void operator()(const gateway::read_outcomes&) const { host.read_outcomes(); }
    void operator()(const gateway::record_outcome& action) const { host.record_outcome(action); }
    void operator()(const core::duties::read_usage_log&) const { host.read_usage_log(); }
    void operator()(const core::duties::append_usage_record& action) const {
      host.append_usage_record(action);
    }
    void operator()(const core::duties::post_usage& action) const { host.post_usage(action); }
    void operator()(const core::engine::write_event& action) const {
      host.log.write(action, host.clock.now());
    }
    void operator()(const gateway::stop_reading_callers&) const {
      host.callers.stop_reading();
      host.are_callers_stopped = true;
    }
    void operator()(const gateway::exit_process& action) const {
      host.exits_by = action.exits_by;
      // What peers and the upstream have sent by now is still answered.
      host.peers.stop_reading();
      host.upstreams.stop_reading();
      host.exit_after_answers();
    }
  };

  // Ends the process once every answer has been written, or when its time is over.
  void exit_after_answers() {
    const bool has_unsent = callers.has_unsent_answers() || peers.has_unsent_answers() ||
                            upstreams.has_unsent_answers();
    if (clock.now() < *exits_by && has_unsent) {
      return;
    }
    follower.stop();
    log.flush();
    loop.stop();
  }

  // --- requests ---

  void send_to_peer(const gateway::send_to_peer& action) {
    core::http_request request;
    request.method = "POST";
    request.target = run_path;
    request.headers.emplace_back("Host", action.host);
    request.body = wire::encode(action.request);
    http::send_options options;
    options.connect_timeout = peer_connect_timeout;
    options.max_idle = action.request.is_idempotent ? core::duration{idempotent_max_idle}
                                                    : core::duration{non_idempotent_max_idle};
    const std::uint64_t attempt = action.attempt;
    const tcp::endpoint address(asio::ip::make_address_v4(action.host), settings.peer_port);
    const std::uint64_t exchange_id =
        peer_client.send(address, request, std::move(options),
                         [this, attempt](const http::exchange_result& exchange) {
                           exchanges.erase(attempt);
                           handle(decode_peer_answer(attempt, exchange));
                         });
    exchanges[attempt] = {&peer_client, exchange_id};
  }

  static gateway::attempt_completed decode_peer_answer(std::uint64_t attempt,
                                                       const http::exchange_result& exchange) {
    gateway::attempt_completed completed;
    completed.attempt = attempt;
    if (exchange.outcome == http::exchange_outcome::not_connected) {
      completed.is_unreachable = true;
      completed.result.outcome = gateway::run_outcome::not_executed;
      completed.result.reason = "peer is unreachable";
      return completed;
    }
    completed.result.outcome = gateway::run_outcome::unknown;
    completed.result.reached_upstream = true;
    if (exchange.outcome == http::exchange_outcome::broken) {
      completed.result.reason = "connection to the peer broke";
      return completed;
    }
    if (exchange.answer.status != status_ok) {
      // The peer's edge answers so only for a request that it has not passed on.
      completed.result.outcome = gateway::run_outcome::not_executed;
      completed.result.reached_upstream = false;
      completed.result.reason =
          "peer refused with status " + std::to_string(exchange.answer.status);
      return completed;
    }
    try {
      completed.result = wire::decode_run_result(exchange.answer.body);
    } catch (const wire::codec_error& error) {
      completed.result.reason = std::string("malformed answer from the peer: ") + error.what();
    }
    return completed;
  }

  void send_to_upstream(const gateway::send_to_upstream& action) {
    http::send_options options;
    options.connect_timeout = upstream_connect_timeout;
    options.max_idle = action.request.is_idempotent ? core::duration{idempotent_max_idle}
                                                    : core::duration{non_idempotent_max_idle};
    options.answer_timeout = action.request.time_left + std::chrono::milliseconds{20};
    const std::string attempt_id = action.request.content.attempt_id;
    options.owner_of = [attempt_id](const core::http_response& answer) {
      return platform::owner_of(answer, attempt_id);
    };
    const std::uint64_t attempt = action.attempt;
    options.on_written = [this, attempt] { handle(gateway::attempt_written{attempt}); };
    const std::uint64_t exchange_id =
        upstream_client.send(settings.upstream, platform::encode_run_request(action.request),
                             std::move(options), [this, attempt](http::exchange_result exchange) {
                               exchanges.erase(attempt);
                               handle(decode_upstream_answer(attempt, std::move(exchange)));
                             });
    exchanges[attempt] = {&upstream_client, exchange_id};
  }

  static gateway::attempt_completed decode_upstream_answer(std::uint64_t attempt,
                                                           http::exchange_result exchange) {
    gateway::attempt_completed completed;
    completed.attempt = attempt;
    switch (exchange.outcome) {
    case http::exchange_outcome::not_connected:
      completed.is_unreachable = true;
      completed.result.outcome = gateway::run_outcome::not_executed;
      completed.result.reason = "upstream is unreachable";
      break;
    case http::exchange_outcome::broken:
      completed.result.outcome = gateway::run_outcome::unknown;
      completed.result.reached_upstream = true;
      completed.result.reason = exchange.is_timeout ? "upstream sent no answer in time"
                                                    : "connection to the upstream broke";
      completed.is_silent = exchange.is_timeout;
      completed.is_broken = !exchange.is_timeout;
      break;
    case http::exchange_outcome::answered:
      completed.result = platform::decode_answer(std::move(exchange.answer));
      break;
    }
    return completed;
  }

  void probe_upstream() {
    upstream_client.connect(
        settings.upstream, upstream_probe_timeout, [this](http::connect_outcome outcome) {
          handle(gateway::upstream_probed{
              outcome == http::connect_outcome::connected ? gateway::probe_outcome::reachable
              : outcome == http::connect_outcome::refused ? gateway::probe_outcome::refused
                                                          : gateway::probe_outcome::unknown});
        });
  }

  void cancel(std::uint64_t attempt) {
    const auto found = exchanges.find(attempt);
    if (found != exchanges.end()) {
      found->second.first->cancel(found->second.second);
      exchanges.erase(found);
    }
  }

  void on_peer_request(std::uint64_t token, const core::http_request& request) {
    try {
      if (request.target == run_path) {
        handle(gateway::run_requested{token, wire::decode_run_request(request.body)});
      } else if (request.target == operator_records_path) {
        peers.respond(
            token, plain_response(status_ok, answer_fetch(request.body, core.operator_records())));
      } else {
        peers.respond(token, plain_response(status_not_found));
      }
    } catch (const wire::codec_error& error) {
      write_event(core::engine::severity::warning, "peer_message_malformed",
                  {{"reason", error.what()}});
      peers.respond(token, plain_response(status_bad_request));
    }
  }

  void on_upstream_call(std::uint64_t token, const core::http_request& request) {
    std::variant<gateway::heartbeat, platform::deregistration, platform::rejected_call> call =
        platform::decode_upstream_call(request);
    if (gateway::heartbeat* received_heartbeat = std::get_if<gateway::heartbeat>(&call)) {
      handle(gateway::heartbeat_received{token, std::move(*received_heartbeat)});
    } else if (platform::deregistration* deregistering =
                   std::get_if<platform::deregistration>(&call)) {
      handle(gateway::deregistration_received{token, deregistering->instance_id});
    } else {
      const platform::rejected_call& rejected = std::get<platform::rejected_call>(call);
      write_event(core::engine::severity::warning, "heartbeat_malformed",
                  {{"target", request.target}, {"reason", rejected.reason}});
      upstreams.respond(token, plain_response(rejected.status, rejected.reason));
    }
  }

  void on_readiness(std::uint64_t token, const core::http_request& request) {
    const bool is_readiness_path = request.target == platform::readiness_path;
    const int status = !is_readiness_path ? status_not_found
                       : core.is_ready()  ? status_ok
                                          : status_unavailable;
    readiness.respond(token, plain_response(status));
  }

  // --- the store and the operator records ---

  void take_operator_records(platform::read_result read, bool is_complete) {
    if (is_complete || !read.records.empty()) {
      write_event(core::engine::severity::info, "orders_read",
                  {{"era", std::to_string(read.era)},
                   {"complete", is_complete ? "true" : "false"},
                   {"records", std::to_string(read.records.size())},
                   {"end", std::to_string(read.end_offset)}});
    }
    apply_operator_records(decode_read(std::move(read), is_complete));
  }

  void apply_operator_records(gateway::operator_records_received operator_records) {
    handle(std::move(operator_records));
    const std::shared_ptr<const gateway::mesh_configuration>& configuration =
        core.operator_records().configuration();
    if (configuration && configuration->version != configured_version) {
      configured_version = configuration->version;
      http::server_options options;
      options.limits.max_header_bytes = configuration->limits.max_header_bytes;
      options.limits.max_body_bytes = configuration->limits.max_body_bytes;
      options.header_timeout = configuration->limits.header_timeout;
      options.idle_timeout = configuration->limits.idle_timeout;
      callers.set_options(options);
      // Decoding takes many times the memory that the decoded configuration occupies.
      malloc_trim(0);
    }
  }

  void fetch_operator_records(const gateway::fetch_operator_records& action) {
    follower.restart();
    core::http_request request;
    request.method = "POST";
    request.target = operator_records_path;
    request.headers.emplace_back("Host", action.host);
    request.body = wire::encode_operator_records_request(action.from);
    http::send_options options;
    options.connect_timeout = peer_connect_timeout;
    options.answer_timeout = fetch_timeout;
    const tcp::endpoint address(asio::ip::make_address_v4(action.host), settings.peer_port);
    peer_client.send(address, request, std::move(options),
                     [this](const http::exchange_result& exchange) {
                       if (exchange.outcome == http::exchange_outcome::answered) {
                         take_fetched_records(exchange.answer.body);
                       }
                     });
  }

  void take_fetched_records(const std::string& bytes) {
    gateway::operator_records_received operator_records;
    try {
      operator_records = decode_fetched(bytes);
    } catch (const std::runtime_error& error) {
      write_event(core::engine::severity::warning, "peer_message_malformed",
                  {{"reason", error.what()}});
      return;
    }
    follower.skip_to(operator_records.end);
    apply_operator_records(std::move(operator_records));
  }

  void discover_peers(std::uint64_t era) {
    members.discover(
        era, [this](gateway::peers_discovered discovered) { handle(std::move(discovered)); });
  }

  void record_departure(const gateway::upstream_incarnation& departed) {
    members.record_departure(departed, [this, departed](bool is_recorded, std::uint64_t era) {
      handle(gateway::departure_recorded{departed, is_recorded, era});
    });
  }

  void record_suspicions(const std::vector<core::calls::suspicion>& suspicions) {
    members.record_suspicions(suspicions, [this](bool is_recorded, std::uint64_t era) {
      handle(gateway::suspicions_recorded{is_recorded, era});
    });
  }

  void read_outcomes() {
    store.read_newest(platform::outcomes_topic, [this](const platform::read_result& result) {
      if (result.status != platform::read_status::ok) {
        return; // the core requests the outcomes again
      }
      gateway::outcomes_read read;
      read.end = {result.era, result.end_offset};
      for (const platform::store_record& record : result.records) {
        if (std::optional<gateway::outcomes_read::outcome> outcome =
                platform::decode_outcome(record.key, record.value)) {
          read.outcomes.push_back(std::move(*outcome));
        }
      }
      handle(std::move(read));
    });
  }

  void record_outcome(const gateway::record_outcome& action) {
    const std::string service = action.service;
    store.append(platform::outcomes_topic, platform::outcome_key(service),
                 platform::encode_outcome(action), action.expected_end.offset,
                 [this, service](const platform::append_result& result) {
                   write_event(core::engine::severity::info, "outcome_recorded",
                               {{"service", service}, {"reason", result.reason}});
                   handle(gateway::outcome_recorded{
                       service, result.status == platform::append_status::appended, result.era});
                 });
  }

  // --- usage ---

  void read_usage_log() {
    store.read_newest(platform::usage_topic, [this](const platform::read_result& result) {
      handle(gateway::usage_log_read{decode_usage_log(result), clock.suspended()});
    });
  }

  std::optional<core::duties::usage_log_state>
  decode_usage_log(const platform::read_result& result) {
    if (result.status != platform::read_status::ok) {
      return std::nullopt;
    }
    core::duties::usage_log_state log_state{result.era, result.end_offset, std::nullopt};
    for (const platform::store_record& record : result.records) {
      if (record.key != platform::usage_key) {
        continue;
      }
      try {
        log_state.last = wire::decode_usage_record(record.value);
      } catch (const wire::codec_error& error) {
        write_event(core::engine::severity::error, "usage_record_malformed",
                    {{"reason", error.what()}});
        return std::nullopt; // what was reported is not known
      }
    }
    return log_state;
  }

  void append_usage_record(const core::duties::append_usage_record& action) {
    store.append(
        platform::usage_topic, platform::usage_key, wire::encode(action.record),
        action.expected_end, [this](const platform::append_result& result) {
          handle(gateway::usage_appended{outcome_of(result.status), result.era, clock.suspended()});
        });
  }

  static core::duties::append_outcome outcome_of(platform::append_status status) {
    switch (status) {
    case platform::append_status::appended:
      return core::duties::append_outcome::appended;
    case platform::append_status::conflict:
      return core::duties::append_outcome::conflict;
    case platform::append_status::refused:
      return core::duties::append_outcome::refused;
    case platform::append_status::unknown:
      break;
    }
    return core::duties::append_outcome::unknown;
  }

  void post_usage(const core::duties::post_usage& action) {
    core::http_request request = platform::encode_usage_report(action.record);
    request.headers.emplace_back("Host", settings.usage_collector.address().to_string());
    http::send_options options;
    options.connect_timeout = action.timeout / 2;
    options.max_idle = core::duration::zero();
    options.answer_timeout = action.timeout;
    options.resets_when_overdue = true;
    usage_client.send(settings.usage_collector, request, std::move(options),
                      [this, action](const http::exchange_result& exchange) {
                        const std::string status =
                            exchange.outcome == http::exchange_outcome::answered
                                ? std::to_string(exchange.answer.status)
                                : "none";
                        write_event(core::engine::severity::info, "usage_reported",
                                    {{"window", std::to_string(action.record.window)},
                                     {"token", std::to_string(action.record.fencing_token)},
                                     {"organisations", std::to_string(action.record.counts.size())},
                                     {"status", status}});
                        handle(gateway::usage_posted{platform::decode_usage_answer(exchange)});
                      });
  }

  // --- reports ---

  void send_reports(const gateway::send_reports& action) {
    const std::string bytes = wire::encode(action.content);
    const udp::endpoint to(asio::ip::make_address_v4(action.host), settings.report_port);
    std::error_code ignored; // a report may be lost; the next one replaces it
    reports.send_to(asio::buffer(bytes), to, 0, ignored);
  }

  void wait_for_reports() {
    reports.async_wait(udp::socket::wait_read, [this](std::error_code error) {
      if (error) {
        return;
      }
      guard([this] { receive_reports(); });
      wait_for_reports();
    });
  }

  void receive_reports() {
    constexpr int max_datagrams_per_wake = 64;
    for (int i = 0; i < max_datagrams_per_wake; ++i) {
      udp::endpoint from;
      std::error_code error;
      const std::size_t size = reports.receive_from(asio::buffer(datagram), from, 0, error);
      if (error) {
        return;
      }
      try {
        const std::string host = from.address().to_string();
        handle(gateway::reports_received{
            host, wire::decode_reports(std::string_view(datagram.data(), size), host)});
      } catch (const wire::codec_error& decode_error) {
        write_event(core::engine::severity::warning, "peer_message_malformed",
                    {{"reason", decode_error.what()}});
      }
    }
  }

  // --- time and signals ---

  void schedule_tick() {
    timer.expires_after(gateway::tick_period);
    timer.async_wait([this](std::error_code error) {
      if (error) {
        return;
      }
      guard([this] { on_tick(); });
      schedule_tick();
    });
  }

  void on_tick() {
    const core::time_point now = clock.now();
    if (now - last_sweep_at >= sweep_period) {
      last_sweep_at = now;
      for (http::server* item : {&callers, &peers, &upstreams, &readiness, &metrics}) {
        item->sweep(now);
      }
      for (http::client* item :
           {&peer_client, &upstream_client, &store_connections, &usage_client}) {
        item->sweep(now);
      }
    }
    if (are_callers_stopped && !callers.is_reading()) {
      are_callers_stopped = false;
      handle(gateway::callers_drained{});
    }
    handle(gateway::tick{clock.suspended()});
    if (exits_by) {
      exit_after_answers();
    }
    log.flush();
  }

  void wait_for_signal() {
    signals.async_wait([this](std::error_code error, int number) {
      if (error) {
        return;
      }
      guard([this, number] {
        if (number == SIGHUP) {
          reload();
        } else {
          callers.close_after_answers();
          handle(gateway::stop_requested{});
        }
      });
      wait_for_signal();
    });
  }

  // Addresses and identity are fixed while the process runs, so a changed file is only checked.
  void reload() {
    try {
      parse_gateway_settings(read_file(settings_path));
      write_event(core::engine::severity::info, "settings_checked", {{"result", "ok"}});
    } catch (const core::findings_error& error) {
      write_event(core::engine::severity::error, "settings_checked", {{"result", error.what()}});
    }
  }

  std::string render_metrics() const {
    return runtime::render_metrics(core.totals(), core.containment(), store.calls(), log.dropped(),
                                   inputs_dropped, events_failed, {memory->used(), out_of_memory});
  }

  gateway_host_settings settings;
  std::string settings_path;
  asio::io_context loop{1};
  anchored_clock clock;
  gateway::gateway_core core;
  log_writer log;
  asio::signal_set signals;
  asio::steady_timer timer;
  std::shared_ptr<http::memory_budget> memory; // for messages
  http::client peer_client;
  http::client upstream_client;
  http::client store_connections;
  http::client usage_client;
  platform::store_client store;
  member_registry members;
  order_follower follower;
  http::server callers;
  http::server peers;
  http::server upstreams;
  http::server readiness;
  http::server metrics;
  udp::socket reports;
  std::array<char, max_datagram_size> datagram{};
  std::map<std::uint64_t, std::pair<http::client*, std::uint64_t>> exchanges; // by attempt
  std::uint64_t events_failed = 0;                                            // by an exception
  std::uint64_t out_of_memory = 0;  // requests refused and connections closed for want of memory
  std::uint64_t inputs_dropped = 0; // connections closed over input that was not passed on
  std::uint64_t configured_version = 0;
  core::time_point last_sweep_at{};
  bool are_callers_stopped = false; // and the core does not know yet that all have been read
  // Set once all requests have been answered; the answers may still be being written.
  std::optional<core::time_point> exits_by;
};

gateway_host::gateway_host(const gateway_host_settings& settings, std::string settings_path)
    : state_(std::make_unique<state>(settings, std::move(settings_path))) {}

gateway_host::~gateway_host() = default;

void gateway_host::run() {
  while (!state_->loop.stopped()) {
    try {
      state_->loop.run();
    } catch (const std::exception& error) {
      state_->log_failure(error);
    }
  }
}

} // namespace arbutuslb::runtime
