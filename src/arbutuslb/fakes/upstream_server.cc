// Stand-in for an upstream with slots, cold start, slow or failing versions, and a crash on a
// request whose path contains "crash". It counts the executions of each idempotency key.
//   POST /control {"error_rate":0.5,"latency_ms":5,"cold":true}
//   GET  /stats

#include "arbutuslb/fakes/commands.h"
#include "arbutuslb/fakes/server.h"

#include <cmath>
#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace arbutuslb::fakes {
namespace {

using json = nlohmann::json;

constexpr int status_error = 500;
constexpr int crash_exit_code = 3;

class upstream_server {
public:
  explicit upstream_server(const options& arguments)
      : version_(arguments.text("version", "v1")), slots_(arguments.integer("slots", 10)),
        cold_slots_(arguments.integer("cold_slots", slots_)),
        warm_up_calls_(arguments.integer("warm_up_calls", 200)) {
    state_ = {{"latency_ms", arguments.number("latency_ms", 1.0)},
              {"error_rate", arguments.number("error_rate", 0.0)}};
    prepare_server(server_, static_cast<std::size_t>(arguments.integer("connections", 120)));
    server_.Get("/health", [](const httplib::Request&, httplib::Response& response) {
      response.set_content("ok\n", "text/plain");
    });
    server_.Get("/stats", [this](const httplib::Request&, httplib::Response& response) {
      response.set_content(stats().dump(), "application/json");
    });
    server_.Post("/control", [this](const httplib::Request& request, httplib::Response&) {
      const std::lock_guard<std::mutex> lock(mutex_);
      state_.update(json::parse(request.body));
      if (state_.value("cold", false)) {
        served_since_cold_ = 0;
        state_["cold"] = false;
      }
    });
    const httplib::Server::Handler run = [this](const httplib::Request& request,
                                                httplib::Response& response) {
      serve(request, response);
    };
    server_.Get(".*", run).Post(".*", run).Put(".*", run);
  }

  void run(const std::string& host, int port) { server_.listen(host, port); }

private:
  // Returns the number of concurrent requests that the upstream currently sustains.
  double capacity() const {
    const double warm_fraction =
        std::min(1.0, static_cast<double>(served_since_cold_) / std::max(1, warm_up_calls_));
    return cold_slots_ + (slots_ - cold_slots_) * warm_fraction;
  }

  void serve(const httplib::Request& request, httplib::Response& response) {
    if (request.path.find("crash") != std::string::npos) {
      std::_Exit(crash_exit_code);
    }
    double latency_ms = 0;
    bool fails = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++executions_;
      ++in_flight_;
      const std::string key = request.get_header_value("Idempotency-Key");
      if (!key.empty() && ++executions_by_key_[key] == 2) {
        ++keys_executed_twice_;
      }
      const double load = in_flight_ / capacity();
      latency_ms = state_.value("latency_ms", 1.0) * std::max(1.0, load * load);
      fails = std::uniform_real_distribution<double>(0.0, 1.0)(random_) <
              state_.value("error_rate", 0.0);
    }
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(latency_ms));
    const std::lock_guard<std::mutex> lock(mutex_);
    --in_flight_;
    ++served_since_cold_;
    response.status = fails ? status_error : 200;
    response.set_content("version=" + version_ + " path=" + request.path + " body=" + request.body +
                             "\n",
                         "text/plain");
  }

  json stats() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return {{"runs", executions_},
            {"keys", executions_by_key_.size()},
            {"ran_twice", keys_executed_twice_},
            {"version", version_}};
  }

  httplib::Server server_;
  std::mutex mutex_;
  std::string version_;
  int slots_;
  int cold_slots_;
  int warm_up_calls_;
  json state_;
  int in_flight_ = 0;
  std::uint64_t served_since_cold_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t keys_executed_twice_ = 0;
  std::map<std::string, int> executions_by_key_;
  std::mt19937 random_{1};
};

} // namespace

int run_upstream(const options& arguments) {
  upstream_server server(arguments);
  server.run(arguments.text("host", "127.0.0.1"), arguments.integer("port", 7200));
  return 0;
}

} // namespace arbutuslb::fakes
