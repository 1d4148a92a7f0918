// Several data-path daemons in one thread on a paused clock, with upstreams, a store and a network
// of their own. A run is a pure function of its seed.
//
//   gateway_fleet fleet(seed);
//   std::size_t one = fleet.add("a", "shop");
//   fleet.publish(configuration);
//   fleet.run_for(2s);
//   std::uint64_t token = fleet.call(one, "shop.example", "/orders/1", true);
#pragma once

#include "arbutuslb/core/gateway/gateway_core.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace arbutuslb::fakes {

// An upstream's behaviour, changed by tests at any time.
struct upstream_behaviour {
  core::duration work = std::chrono::milliseconds{20};
  std::string version = "v1";
  int slots = 8;
  double error_share = 0;     // of its answers
  bool is_down = false;       // refuses connections
  bool loses_answers = false; // runs, and breaks the connection
  bool sheds = false;         // refuses unread
  core::duration cold_for{};  // said in its next heartbeats
  bool is_draining = false;
};

class gateway_fleet {
public:
  explicit gateway_fleet(std::uint64_t seed);

  // Adds a daemon with its upstream. Returns its number.
  std::size_t add(const std::string& domain, const std::string& service);
  // Writes to the operators' log.
  void publish(std::shared_ptr<const core::gateway::mesh_configuration> configuration);
  void order(const std::string& key, core::gateway::record_value value);

  void run_for(core::duration time);
  // A caller beside daemon `at` sends a request; its answer is in `answers` once it came.
  std::uint64_t call(std::size_t at, const std::string& host, const std::string& target,
                     bool is_get = true,
                     core::duration time_left = std::chrono::milliseconds{2000});
  void leave(std::size_t at, std::uint64_t token);
  // What the upstream beside a daemon said last; to be sent again, late or changed.
  core::gateway::heartbeat next_heartbeat(std::size_t at) const;
  // Returns the token that is in `acknowledged` once it was.
  std::uint64_t send_heartbeat(std::size_t at, const core::gateway::heartbeat& content);
  void stop(std::size_t at);
  // Ends the process and starts a new one that knows nothing.
  void restart(std::size_t at);

  core::gateway::gateway_core& daemon(std::size_t at) { return *nodes_[at].core; }
  upstream_behaviour& upstream(std::size_t at) { return nodes_[at].upstream; }
  core::time_point now() const { return now_; }

  std::map<std::uint64_t, core::http_response> answers; // by token
  std::set<std::uint64_t> acknowledged;                 // tokens of heartbeats
  std::map<std::string, int> runs;                      // of each attempt, at all upstreams
  std::map<std::string, std::string> run_versions;      // the version that ran each attempt
  std::vector<std::size_t> running_now;                 // by daemon
  std::vector<std::size_t> most_running;                // by daemon
  std::vector<std::vector<core::time_point>> starts;    // by daemon
  std::set<std::size_t> exited;
  std::map<std::string, core::gateway::rollout_phase> outcomes; // by service
  std::set<std::pair<std::size_t, std::size_t>> cuts; // pairs that cannot reach each other
  bool is_store_down = false;
  double cold_load_factor = 1.0; // of daemons added later
  std::vector<core::engine::write_event> log;
  std::uint64_t datagrams_between_domains = 0;

private:
  struct node {
    std::unique_ptr<core::gateway::gateway_core> core;
    core::gateway::gateway_settings settings;
    upstream_behaviour upstream;
    std::uint64_t sequence = 0;
    std::uint64_t process = 0; // rises with each restart
    bool follows = false;
    std::size_t log_position = 0;
    core::time_point next_heartbeat{};
  };
  struct performer;

  void handle(std::size_t at, core::gateway::event value);
  void after(core::duration delay, std::function<void()> what);
  std::size_t number_of(const std::string& host) const;
  bool is_cut(std::size_t one, std::size_t other) const;
  void run_at_upstream(std::size_t at, const core::gateway::send_to_upstream& action);
  void start_core(std::size_t at);
  void beat(std::size_t at);
  void feed_log(std::size_t at);

  core::time_point now_;
  core::random_source random_;
  std::vector<node> nodes_;
  std::vector<core::gateway::operator_record> log_;
  std::multimap<core::time_point, std::function<void()>> agenda_;
  std::set<std::pair<std::size_t, std::uint64_t>> cancelled_; // daemon and sending
  std::map<std::pair<std::size_t, std::uint64_t>, std::pair<std::size_t, std::uint64_t>>
      peer_tokens_; // of a gate's token: the daemon and the sending that wait for it
  std::uint64_t last_token_ = 0;
  std::map<std::size_t, core::gateway::upstream_incarnation> departures_; // in the store
};

} // namespace arbutuslb::fakes
