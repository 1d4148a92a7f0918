#include "arbutuslb/runtime/daemon_host.h"

#include "arbutuslb/core/engine/daemon_core.h"
#include "arbutuslb/runtime/clock.h"
#include "arbutuslb/runtime/http_front.h"
#include "arbutuslb/runtime/log_client.h"
#include "arbutuslb/runtime/logging.h"
#include "arbutuslb/runtime/peer_transport.h"
#include "arbutuslb/runtime/upstream_client.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <random>

namespace arbutuslb::runtime {
namespace {

namespace engine = core::engine;

constexpr std::chrono::seconds metrics_timeout{1};

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace

struct daemon_host::state {
  explicit state(const daemon_settings& settings)
      : core(settings.core, random_seed(), clock.now()), signals(loop, SIGTERM, SIGINT),
        timer(loop), peers(loop, settings.core.address, counters,
                           [this](core::protocol::message value) {
                             handle(engine::peer_message{std::move(value)});
                           }),
        log(settings.log, event_poster()),
        upstream(loop, clock, settings.upstream, settings.upstream_connections, event_poster()),
        front(settings, {event_poster(), [this] { return render_metrics(); }}) {
    wait_for_signal();
    schedule_tick();
  }

  // Returns a function that posts an event to the loop and can be called on any thread.
  std::function<void(engine::event)> event_poster() {
    return [this](engine::event value) {
      asio::post(loop, [this, moved = std::move(value)] { handle(moved); });
    };
  }

  void handle(const engine::event& value) {
    const core::time_point start_time = clock.now();
    for (const engine::action& item : core.handle(value, start_time)) {
      std::visit(action_executor{*this}, item);
    }
    counters.on_event_handled(clock.now() - start_time);
  }

  struct action_executor {
    state& host;
    void operator()(const engine::send_message& action) const { host.peers.send(action); }
    void operator()(const engine::read_log& action) const { host.log.read(action); }
    void operator()(const engine::append_log& action) const { host.log.append(action); }
    void operator()(const engine::answer_caller& action) const {
      host.counters.on_answer(action);
      host.front.answer(action);
    }
    void operator()(const engine::execute_request& action) const { host.upstream.execute(action); }
    void operator()(const engine::cancel_execution& action) const {
      host.upstream.cancel(action.execution);
    }
    void operator()(const engine::answer_operator& action) const { host.front.answer(action); }
    void operator()(const engine::write_event& action) const { log_event(action); }
    void operator()(const engine::exit_process&) const { host.loop.stop(); }
  };

  void schedule_tick() {
    timer.expires_after(engine::tick_period);
    timer.async_wait([this](std::error_code error) {
      if (error) {
        return;
      }
      handle(engine::tick{});
      peers.receive_pending();
      peers.close_idle(clock.now());
      upstream.sweep();
      schedule_tick();
    });
  }

  void wait_for_signal() {
    signals.async_wait([this](std::error_code error, int) {
      if (!error) {
        handle(engine::stop_requested{});
        wait_for_signal();
      }
    });
  }

  // Called on a server thread.
  std::string render_metrics() {
    const std::shared_ptr<std::promise<std::string>> rendered =
        std::make_shared<std::promise<std::string>>();
    std::future<std::string> result = rendered->get_future();
    asio::post(loop, [this, rendered] { rendered->set_value(counters.render(core)); });
    // The loop may have stopped and never render them.
    const bool is_ready = result.wait_for(metrics_timeout) == std::future_status::ready;
    return is_ready ? result.get() : "";
  }

  asio::io_context loop;
  anchored_clock clock;
  metrics counters;
  engine::daemon_core core;
  asio::signal_set signals;
  asio::steady_timer timer;
  peer_transport peers;
  http_log_client log;
  upstream_client upstream;
  http_front front;
};

daemon_host::daemon_host(const daemon_settings& settings)
    : state_(std::make_unique<state>(settings)) {}

daemon_host::~daemon_host() = default;

void daemon_host::run() {
  state_->loop.run();
}

} // namespace arbutuslb::runtime
