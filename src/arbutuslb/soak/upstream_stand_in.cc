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
// The daemon acknowledges within a second, or another is asked.
constexpr std::chrono::seconds acknowledgement_time{1};
constexpr std::chrono::milliseconds shortest_work{2};
constexpr std::chrono::milliseconds work_spread{30};
// It serves this long after its departure was said, and is then away for a while.
constexpr std::chrono::milliseconds leaving_time{3500};
constexpr std::chrono::milliseconds away_time{300};

std::string text_of(const asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

std::string header(const core::http_request& request, const char* name) {
  const std::string* value = core::find_header(request.headers, name);
  return value == nullptr ? "" : *value;
}

} // namespace

std::string signature_of(const std::string& attempt_id) {
  return std::to_string(core::hash_bytes(attempt_id));
}

upstream_stand_in::upstream_stand_in(
    asio::io_context& loop, upstream_settings settings, std::uint64_t seed,
    std::function<void(const std::string&)> on_run,
    std::function<void(const std::string&, core::duration)> on_late_run)
    : loop_(loop), settings_(std::move(settings)), random_(seed), on_run_(std::move(on_run)),
      on_late_run_(std::move(on_late_run)), heartbeats_(loop),
      server_(loop, settings_.listen,
              {[this](std::uint64_t token, const core::http_request& request) {
                 on_request(token, request);
               },
               [](std::uint64_t) {}}),
      heartbeat_timer_(loop) {
  begin_instance(false);
}

void upstream_stand_in::after(core::duration delay, std::function<void()> what) {
  const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(loop_, delay);
  timer->async_wait([timer, what = std::move(what)](std::error_code error) {
    if (!error) {
      what();
    }
  });
}

void upstream_stand_in::sweep(core::time_point now) {
  server_.sweep(now);
  heartbeats_.sweep(now);
}

void upstream_stand_in::begin_instance(bool keeps_id) {
  ++starts_;
  if (!keeps_id) {
    instance_id_ = "i-" + settings_.listen.address().to_string() + "-" + std::to_string(starts_);
  }
  started_ms_ = core::to_milliseconds(clock_.now().time_since_epoch());
  sequence_ = 0;
  acknowledged_at_ = {};
  phase_ = phase::ready;
  schedule_heartbeat(core::duration::zero());
}

void upstream_stand_in::leave(bool keeps_id) {
  if (phase_ != phase::ready) {
    return;
  }
  phase_ = phase::draining;
  schedule_heartbeat(core::duration::zero());
  after(leaving_time, [this, keeps_id] {
    phase_ = phase::gone;
    after(away_time, [this, keeps_id] { begin_instance(keeps_id); });
  });
}

void upstream_stand_in::schedule_heartbeat(core::duration delay) {
  heartbeat_timer_.expires_after(delay);
  heartbeat_timer_.async_wait([this](std::error_code error) {
    if (!error && phase_ != phase::gone) {
      schedule_heartbeat(heartbeat_period);
      send_heartbeat(phase_, ++sequence_);
    }
  });
}

void upstream_stand_in::send_heartbeat(phase said, std::uint64_t sequence) {
  const json beat{{"address", text_of(settings_.advertised)},
                  {"born", started_ms_},
                  {"information",
                   {{"service", settings_.service},
                    {"version", "v1"},
                    {"zone", settings_.domain},
                    {"capacitySlots", 16}}},
                  {"status",
                   {{"state", said == phase::ready ? "ready" : "draining"},
                    {"sequence", sequence},
                    {"coldRemaining", "0ms"}}}};
  core::http_request request;
  request.method = "PUT";
  request.target = "/instances/" + instance_id_;
  request.headers = {{"Host", text_of(settings_.daemon)}};
  request.body = beat.dump();
  http::send_options options;
  options.answer_timeout = acknowledgement_time;
  const std::int64_t started_ms = started_ms_;
  heartbeats_.send(settings_.daemon, request, options,
                   [this, said, started_ms](const http::exchange_end& end) {
                     if (started_ms != started_ms_) {
                       return; // of an earlier start
                     }
                     if (end.outcome != http::exchange_outcome::answered) {
                       schedule_heartbeat(heartbeat_retry);
                       return;
                     }
                     const bool is_first = acknowledged_at_ == core::time_point{};
                     if (said == phase::draining && end.answer.status == status_ok && is_first) {
                       acknowledged_at_ = clock_.now();
                       // One from before arrives late.
                       after(random_.jitter(1500ms), [this, started_ms] {
                         if (started_ms == started_ms_ && sequence_ > 2) {
                           send_heartbeat(phase::ready, 1);
                         }
                       });
                     }
                   });
}

void upstream_stand_in::on_request(std::uint64_t token, const core::http_request& request) {
  const std::string attempt_id = header(request, "X-Attempt-Identifier");
  if (phase_ == phase::gone || header(request, "X-Expected-Instance") != instance_id_) {
    core::http_response answer;
    answer.status = status_misdirected;
    answer.headers = {{"X-Attempt-Identifier", attempt_id}, {"X-Not-Executed", "1"}};
    server_.respond(token, answer);
    return;
  }
  on_run_(attempt_id);
  if (acknowledged_at_ != core::time_point{}) {
    on_late_run_(attempt_id, clock_.now() - acknowledged_at_);
  }
  after(shortest_work + random_.jitter(work_spread),
        [this, token, attempt_id, body = request.body] { run(token, attempt_id, body); });
}

void upstream_stand_in::run(std::uint64_t token, const std::string& attempt_id,
                            const std::string& body) {
  core::http_response answer;
  answer.status = status_ok;
  answer.headers = {{"X-Attempt-Identifier", attempt_id},
                    {"X-Response-Signature", signature_of(attempt_id)}};
  answer.body = attempt_id + ":" + body;
  server_.respond(token, answer);
}

} // namespace arbutuslb::soak
