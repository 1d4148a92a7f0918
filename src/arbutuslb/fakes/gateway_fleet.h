// Runs several gateway cores in one thread on a manual clock, with simulated upstreams, a platform
// store and a network. A run is a pure function of its seed.
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

// The behaviour of an upstream. Tests may change it at any time.
struct upstream_behaviour {
  core::duration work = std::chrono::milliseconds{20}; // execution time of a request
  std::string version = "v1";
  int slots = 8;                // reported in heartbeats; not enforced
  double error_share = 0;       // fraction of the answers with status 500
  std::size_t errors_above = 0; // only while more than this many requests are running
  bool is_down = false;         // refuses connections and sends no heartbeats
  bool loses_answers = false;   // executes requests, but the answer is lost
  bool sheds = false;           // refuses requests without executing them
  int mute_above = 0;           // never answers a request beyond this many in flight; 0: no limit
  core::duration cold_for{};    // remaining cold time, reported in heartbeats
  bool is_draining = false;
  core::gateway::upstream_notice notice; // in every answer
};

// A death of an upstream.
struct upstream_death {
  core::time_point at{};
  std::size_t index = 0; // of its daemon
  std::string target;    // of the request that caused it; empty if none did
};

// A usage report that the platform has received.
struct received_usage {
  std::size_t index = 0; // of the daemon
  core::duties::usage_record record;
};

class gateway_fleet {
public:
  explicit gateway_fleet(std::uint64_t seed);

  // Adds a daemon with its upstream. Returns the daemon's index.
  std::size_t add(const std::string& domain, const std::string& service);
  // Both append a record to the operator log; that of `publish` is a configuration.
  void publish(std::shared_ptr<const core::gateway::mesh_configuration> configuration);
  void order(const std::string& key, core::gateway::record_value value);
  // Appends a record that readers see only as part of the newest of each key, as if older records
  // had been deleted before they could read them.
  void order_unseen(const std::string& key, core::gateway::record_value value);
  // Another daemon has recorded this outcome of a rollout in the store.
  void record_outcome(const std::string& service, const std::string& version,
                      core::gateway::rollout_phase phase);
  // The store comes back from a copy with the first `kept` records of the operator log and without
  // outcomes and departures.
  void restore_store(std::size_t kept);

  void run_for(core::duration time);
  // Sends a request of a local caller to daemon `index`. Returns its token; the answer appears in
  // `answers`.
  std::uint64_t call(std::size_t index, const std::string& host, const std::string& target,
                     bool is_get = true, core::duration time_left = std::chrono::milliseconds{2000},
                     const std::string& credential = "");
  // Disconnects the caller of a request.
  void leave(std::size_t index, std::uint64_t token);
  // Returns the latest heartbeat of the daemon's upstream, for tests that send it again, late or
  // modified.
  core::gateway::heartbeat next_heartbeat(std::size_t index) const;
  // Returns a token, which appears in `acknowledged` if the daemon accepts the heartbeat.
  std::uint64_t send_heartbeat(std::size_t index, const core::gateway::heartbeat& content);
  // Starts a planned stop.
  void stop(std::size_t index);
  // Replaces the process by a new one with empty state.
  void restart(std::size_t index);
  // The upstream dies: it breaks all its connections and refuses new ones. After `down_time` it
  // starts again as a new instance, cold for `restart_cold_time`.
  void kill_upstream(std::size_t index, const std::string& target = "");

  core::gateway::gateway_core& daemon(std::size_t index) { return *nodes_[index].core; }
  // Returns the number of requests at the daemon's upstream that have not been cancelled.
  int in_flight_of(std::size_t index);
  upstream_behaviour& upstream(std::size_t index) { return nodes_[index].upstream; }
  core::time_point now() const { return now_; }

  std::map<std::uint64_t, core::http_response> answers; // by token
  std::set<std::uint64_t> acknowledged;                 // tokens of heartbeats
  std::set<std::string> unanswered;                     // attempt ids that an upstream ignored
  std::map<std::string, int> runs;                 // executions by attempt id, at all upstreams
  std::map<std::string, std::string> run_versions; // executing version, by attempt id
  // Requests as they were sent to an upstream, by attempt id; without their bodies.
  std::map<std::string, core::gateway::run_request> run_requests;
  std::vector<std::size_t> running_now;              // current executions, by daemon
  std::vector<std::size_t> most_running;             // highest concurrency so far, by daemon
  std::vector<std::vector<core::time_point>> starts; // start times of executions, by daemon
  std::set<std::size_t> exited;
  std::set<std::size_t> not_reading;  // daemons that read no more requests of callers
  std::set<std::size_t> slow_callers; // daemons whose callers never complete a request
  std::map<std::string, core::gateway::rollout_phase> outcomes; // recorded in the store, by service
  std::set<std::pair<std::size_t, std::size_t>> cuts; // partitioned pairs, lower index first
  // Requests that kill each upstream that executes them, by target: after this time.
  std::map<std::string, core::duration> crashing_targets;
  std::vector<upstream_death> deaths;
  core::duration down_time = std::chrono::seconds{2};
  core::duration restart_cold_time{};
  double datagram_loss = 0;               // fraction of the reports that are lost
  std::set<std::size_t> silent_reporters; // daemons whose reports, and bundles with them, are lost
  bool is_store_down = false;
  bool is_collector_down = false;               // answers no usage report, but receives it
  core::duties::usage_settings usage;           // for daemons that are added later
  core::routing::hedge_settings hedging;        // for daemons that are added later
  std::vector<received_usage> usage_reports;    // that the platform has received
  std::map<std::size_t, core::duration> clocks; // error of the daemon's time of day, by daemon
  double cold_load_factor = 1.0;                // for daemons that are added later
  double cold_load_extra = 0.0;                 // for daemons that are added later
  std::vector<core::engine::write_event> log;
  std::uint64_t datagrams_between_domains = 0;

private:
  struct node {
    std::unique_ptr<core::gateway::gateway_core> core;
    core::gateway::gateway_settings settings;
    upstream_behaviour upstream;
    std::uint64_t sequence = 0;
    std::uint64_t generation = 0; // incremented by each restart
    bool follows_log = false;
    std::size_t log_position = 0; // number of records delivered to the process
    core::time_point next_heartbeat{};
    std::uint64_t upstream_generation = 0; // incremented by each death of the upstream
    std::int64_t upstream_started_ms = 0;  // since the Unix epoch
    std::string reported_version;          // in the newest heartbeat
    std::set<std::uint64_t> executing;     // attempts at the upstream
  };
  struct performer;

  void run_timers(core::time_point end);
  void handle(std::size_t index, core::gateway::event value);
  void after(core::duration delay, std::function<void()> callback);
  std::size_t index_of(const std::string& host) const;
  bool is_cut(std::size_t one, std::size_t other) const;
  void run_at_upstream(std::size_t index, const core::gateway::send_to_upstream& action);
  void start_upstream(std::size_t index);
  void start_core(std::size_t index);
  void emit_heartbeat(std::size_t index);
  void deliver_log(std::size_t index);
  void append(const std::string& key, core::gateway::record_value value);
  void deliver_newest_to_readers();
  // Delivers the newest record of each key.
  void deliver_newest(std::size_t index);

  core::time_point now_;
  core::time_point next_tick_; // of all daemons
  core::random_source random_;
  std::vector<node> nodes_;
  std::vector<core::gateway::operator_record> log_;
  std::vector<core::duties::usage_record> usage_log_;
  std::uint64_t era_ = 1;                               // of the store
  std::map<std::string, std::string> outcome_versions_; // in `outcomes`, by service
  std::multimap<core::time_point, std::function<void()>> timers_;
  // Cancelled attempts, as the calling daemon's index and the attempt's number.
  std::set<std::pair<std::size_t, std::uint64_t>> cancelled_;
  // The executing daemon's index and token, mapped to the calling daemon's index and attempt.
  std::map<std::pair<std::size_t, std::uint64_t>, std::pair<std::size_t, std::uint64_t>>
      peer_attempts_;
  std::uint64_t last_token_ = 0;
  // Departures recorded in the store, by daemon.
  std::map<std::size_t, core::gateway::upstream_incarnation> departures_;
  // Suspicions recorded in the store, by daemon.
  std::map<std::size_t, std::vector<core::calls::suspicion>> suspicions_;
};

} // namespace arbutuslb::fakes
