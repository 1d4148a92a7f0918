#include "arbutuslb/soak/upstream_stand_in.h"

#include "arbutuslb/core/base/hash.h"

#include <nlohmann/json.hpp>

namespace arbutuslb::soak {
namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;
namespace http = runtime::http;

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr std::chrono::milliseconds heartbeat_period{500};
constexpr std::chrono::milliseconds heartbeat_retry{100};
// If the daemon does not acknowledge a heartbeat within this time, the next one is sent
// after `heartbeat_retry`.
constexpr std::chrono::seconds acknowledgement_timeout{1};
constexpr std::chrono::milliseconds min_execution_time{2};
constexpr std::chrono::milliseconds execution_time_spread{30};
// It serves requests for `draining_time` after announcing its departure, and starts again
// `restart_delay` later.
constexpr std::chrono::milliseconds draining_time{3500};
constexpr std::chrono::milliseconds restart_delay{300};
constexpr std::chrono::milliseconds crash_down_time{1000};
// A slow execution sends a request of its own after `call_delay`; its time limit is `call_time`.
constexpr std::chrono::milliseconds call_delay{3000};
constexpr std::chrono::milliseconds call_time{300};

std::string to_text(const asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

std::string header_value(const core::http_request& request, const char* name) {
  const std::string* value = core::find_header(request.headers, name);
  return value == nullptr ? "" : *value;
}

} // namespace

std::string signature_of(const std::string& attempt_id) {
  return std::to_string(core::hash_bytes(attempt_id));
}

upstream_stand_in::upstream_stand_in(asio::io_context& loop, upstream_settings settings,
                                     std::uint64_t seed, upstream_handlers handlers)
    : loop_(loop), settings_(std::move(settings)), random_(seed), handlers_(std::move(handlers)),
      heartbeats_(loop), calls_(loop),
      server_(loop, settings_.listen,
              {[this](std::uint64_t token, const core::http_request& request) {
                 on_request(token, request);
               },
               [this](std::uint64_t token) { running_.erase(token); }}),
      heartbeat_timer_(loop) {
  start_instance(false);
}

void upstream_stand_in::after(core::duration delay, std::function<void()> callback) {
  const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(loop_, delay);
  timer->async_wait([timer, callback = std::move(callback)](std::error_code error) {
    if (!error) {
      callback();
    }
  });
}

void upstream_stand_in::sweep(core::time_point now) {
  server_.sweep(now);
  heartbeats_.sweep(now);
  calls_.sweep(now);
}

void upstream_stand_in::start_instance(bool keeps_id) {
  ++start_count_;
  if (!keeps_id) {
    instance_id_ =
        "i-" + settings_.listen.address().to_string() + "-" + std::to_string(start_count_);
  }
  started_ms_ = core::to_milliseconds(clock_.now().time_since_epoch());
  sequence_ = 0;
  departure_acknowledged_at_ = {};
  phase_ = phase::ready;
  schedule_heartbeat(core::duration::zero());
}

void upstream_stand_in::depart(bool keeps_id) {
  if (phase_ != phase::ready) {
    return;
  }
  phase_ = phase::draining;
  schedule_heartbeat(core::duration::zero());
  after(draining_time, [this, keeps_id] {
    phase_ = phase::offline;
    after(restart_delay, [this, keeps_id] { start_instance(keeps_id); });
  });
}

void upstream_stand_in::crash() {
  phase_ = phase::offline;
  handlers_.on_crash(false);
  after(crash_down_time, [this] {
    handlers_.on_crash(true);
    start_instance(false);
  });
}

void upstream_stand_in::schedule_heartbeat(core::duration delay) {
  heartbeat_timer_.expires_after(delay);
  heartbeat_timer_.async_wait([this](std::error_code error) {
    if (!error && phase_ != phase::offline) {
      schedule_heartbeat(heartbeat_period);
      send_heartbeat(phase_, ++sequence_);
    }
  });
}

void upstream_stand_in::send_heartbeat(phase reported, std::uint64_t sequence) {
  const json content{{"address", to_text(settings_.advertised)},
                     {"born", started_ms_},
                     {"information",
                      {{"service", settings_.service},
                       {"version", "v1"},
                       {"zone", settings_.domain},
                       {"capacitySlots", 16}}},
                     {"status",
                      {{"state", reported == phase::ready ? "ready" : "draining"},
                       {"sequence", sequence},
                       {"coldRemaining", "0ms"}}}};
  core::http_request request;
  request.method = "PUT";
  request.target = "/instances/" + instance_id_;
  request.headers = {{"Host", to_text(settings_.daemon)}};
  request.body = content.dump();
  http::send_options options;
  options.answer_timeout = acknowledgement_timeout;
  const std::int64_t started_ms = started_ms_;
  heartbeats_.send(settings_.daemon, request, options,
                   [this, reported, started_ms](const http::exchange_result& end) {
                     if (started_ms != started_ms_) {
                       return; // the heartbeat of an earlier start
                     }
                     if (end.outcome != http::exchange_outcome::answered) {
                       schedule_heartbeat(heartbeat_retry);
                       return;
                     }
                     const bool is_first = departure_acknowledged_at_ == core::time_point{};
                     if (reported == phase::draining && end.answer.status == status_ok &&
                         is_first) {
                       departure_acknowledged_at_ = clock_.now();
                       // Simulates a delayed heartbeat from before the departure.
                       after(random_.jitter(1500ms), [this, started_ms] {
                         if (started_ms == started_ms_ && sequence_ > 2) {
                           send_heartbeat(phase::ready, 1);
                         }
                       });
                     }
                   });
}

void upstream_stand_in::on_request(std::uint64_t token, const core::http_request& request) {
  const std::string attempt_id = header_value(request, "X-Attempt-Identifier");
  if (phase_ == phase::offline || header_value(request, "X-Expected-Instance") != instance_id_) {
    core::http_response answer;
    answer.status = status_misdirected;
    answer.headers = {{"X-Attempt-Identifier", attempt_id}, {"X-Not-Executed", "1"}};
    server_.respond(token, answer);
    return;
  }
  handlers_.on_execution(attempt_id);
  if (departure_acknowledged_at_ != core::time_point{}) {
    handlers_.on_late_execution(attempt_id, clock_.now() - departure_acknowledged_at_);
  }
  if (request.target == crashing_target) {
    after(min_execution_time, [this, instance = instance_id_] {
      if (instance == instance_id_ && phase_ == phase::ready) {
        crash();
      }
    });
    return;
  }
  const bool is_slow = request.target.ends_with(slow_suffix);
  if (is_slow) {
    running_.insert(token);
    after(call_delay, [this, token, attempt_id] { call_for(token, attempt_id); });
  }
  after(is_slow ? slow_execution_time : min_execution_time + random_.jitter(execution_time_spread),
        [this, token, attempt_id,
         body = request.target == large_target
                    ? std::string(large_answer_size, 'x')
                    : request.body] { answer_request(token, attempt_id, body); });
}

void upstream_stand_in::call_for(std::uint64_t token, const std::string& attempt_id) {
  if (!running_.contains(token)) {
    return; // cancelled
  }
  const std::string id = "n-" + attempt_id + "-" + instance_id_;
  handlers_.on_call(id);
  core::http_request request;
  request.method = "GET";
  request.target = "/menu/1";
  request.headers = {{"Host", "soak.example"},
                     {"X-Attempt-Identifier", id},
                     {"X-Deadline-Remaining", std::to_string(call_time.count())}};
  http::send_options options;
  options.answer_timeout = call_time + std::chrono::milliseconds{500};
  calls_.send(settings_.callers, request, options, [this, token, id](const auto& end) {
    if (end.outcome != http::exchange_outcome::answered && running_.contains(token)) {
      handlers_.on_call_lost(id);
    }
  });
}

void upstream_stand_in::answer_request(std::uint64_t token, const std::string& attempt_id,
                                       const std::string& body) {
  running_.erase(token);
  core::http_response answer;
  answer.status = status_ok;
  answer.headers = {{"X-Attempt-Identifier", attempt_id},
                    {"X-Response-Signature", signature_of(attempt_id)}};
  answer.body = attempt_id + ":" + body;
  server_.respond(token, answer);
}

} // namespace arbutuslb::soak
