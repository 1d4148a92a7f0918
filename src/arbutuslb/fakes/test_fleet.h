// Runs several daemon cores in one thread on a manual clock, with a simulated network, log and
// upstreams.
//
// A run is a pure function of its seed. After every event the fleet checks the invariants and
// collects the violations; see `violations()`.
//
//   test_fleet fleet(seed);
//   fleet.add("a", "d1", "menu", "v1");
//   fleet.run_for(std::chrono::seconds{2});
//   fleet.ask("a", "publish", document);
#pragma once

#include "arbutuslb/core/engine/daemon_core.h"
#include "arbutuslb/core/operators/report.h"
#include "arbutuslb/fakes/log_store.h"
#include "arbutuslb/fakes/model_upstream.h"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>

namespace arbutuslb::fakes {

struct link_settings {
  core::duration min_delay = std::chrono::microseconds{300};
  core::duration max_delay = std::chrono::milliseconds{2};
  // Fractions of the messages.
  double datagram_loss = 0.0;
  double stream_loss = 0.0; // models broken connections
  double repeat = 0.0;      // delivered twice
};

struct log_faults {
  bool is_down = false;
  // This many of the next appends to the configuration stream succeed, but their outcome is unknown
  // to the daemon.
  int lose_answers = 0;
  core::duration delay = std::chrono::milliseconds{3};
};

// A call and its outcome.
struct call_record {
  std::string body;
  std::string path;
  core::time_point began;
  std::optional<core::engine::answer_caller> answer; // empty until the call is answered
  core::time_point ended;
};

class test_fleet {
public:
  explicit test_fleet(std::uint64_t seed);

  // --- the fleet ---
  void add(const std::string& name, const std::string& domain, const std::string& service,
           const std::string& version, model_upstream_settings upstream = {});
  // Ends the daemon's process without notice; its upstream continues.
  void kill(const std::string& name);
  // Kills the daemon, if it runs, and starts a new process with the same settings.
  void restart(const std::string& name);
  // Suspends the process. Its events are delivered, in order, by `thaw`.
  void freeze(const std::string& name);
  void thaw(const std::string& name);
  // Starts a planned stop.
  void stop(const std::string& name);
  // Starts the upstream again after its death; it is cold.
  void restart_upstream(const std::string& name);
  bool is_running(const std::string& name) const;
  core::engine::daemon_core& daemon(const std::string& name);
  model_upstream& upstream(const std::string& name);
  std::vector<std::string> names() const;

  // The first `seed_count` daemons, in the order of `add`, are the membership seeds of all daemons.
  std::uint16_t seed_count = 2;

  // --- faults ---
  link_settings link;
  // Returns the encoded size of a message. If empty, bytes are not counted.
  std::function<std::size_t(const core::protocol::message&)> size_of;
  log_faults log;
  log_store store;
  // Partitions two failure domains from each other, in both directions.
  void cut(const std::string& domain, const std::string& other);
  // Makes the log unreachable from a failure domain.
  void cut_log(const std::string& domain);
  // Ends all partitions.
  void heal();

  // --- time ---
  core::time_point now() const noexcept { return now_; }
  void run_for(core::duration time);
  // Runs until `condition` is true. Returns false if it was not true within `limit`.
  bool run_until(const std::function<bool()>& condition, core::duration limit);
  // Schedules `callback`. Callbacks for the same time run in the order of their scheduling.
  void at(core::time_point time, std::function<void()> callback);

  // --- callers and operators ---
  // Submits a call to daemon `via` and returns its token, which is the key in `calls()`.
  std::uint64_t call(const std::string& via, const std::string& path, const std::string& body,
                     core::duration deadline, const std::string& key = {});
  const call_record& call_of(std::uint64_t token) const { return calls_.at(token); }
  const std::map<std::uint64_t, call_record>& calls() const noexcept { return calls_; }
  // Submits a call and runs until it is answered. Returns a default answer if there is none within
  // two seconds after the deadline.
  core::engine::answer_caller call_and_wait(const std::string& via, const std::string& path,
                                            const std::string& body, core::duration deadline,
                                            const std::string& key = {});
  // Requests a new idempotency key from daemon `via`.
  std::string mint_key(const std::string& via);
  // Sends an operator's command and returns its token, for `answer_to`.
  std::uint64_t send_command(const std::string& via, const std::string& text,
                             const std::string& document = {}, const std::string& id = {},
                             const std::string& operator_name = "test");
  // Returns the answer to a command, or nothing if the command is not answered yet.
  std::optional<core::operators::report> answer_to(std::uint64_t token) const;
  // Sends a command and runs until it is answered. Throws `std::runtime_error` if that takes more
  // than 30 seconds.
  core::operators::report ask(const std::string& via, const std::string& text,
                              const std::string& document = {}, const std::string& id = {},
                              const std::string& operator_name = "test");

  // --- results ---
  // Returns the invariants violated so far. Also checks that a body was not executed if all its
  // calls were answered as not executed.
  std::vector<std::string> violations() const;
  const std::vector<std::string>& events() const noexcept { return events_; }
  // Returns whether any log line of any daemon contains `part`.
  bool has_event(const std::string& part) const;
  // Returns whether every running daemon has applied `version` or a later one.
  bool all_at_version(core::config_version version) const;
  int total_executions_of_body(const std::string& body) const;
  // Returns the highest number of executions of any idempotency key, summed over all upstreams.
  int most_executions_of_a_key() const;
  int upstream_deaths() const noexcept { return upstream_deaths_; }
  // Returns the bytes sent and received by the daemon's current and earlier processes.
  std::uint64_t bytes_of(const std::string& name) const;
  core::random_source& random() noexcept { return random_; }

private:
  struct process {
    core::engine::core_settings settings;
    std::unique_ptr<core::engine::daemon_core> core;
    model_upstream upstream;
    // Counts the processes of this daemon; timers and answers of earlier ones are ignored.
    std::uint64_t generation = 0;
    bool is_frozen = false;
    std::vector<core::engine::event> deferred_events; // events received while frozen
    core::config_version highest_version = 0;         // of the current process
    std::map<std::uint64_t, std::string> running;     // request bodies by execution id
    std::uint64_t bytes = 0;
  };
  struct scheduled {
    core::time_point time;
    std::uint64_t order = 0; // sequence number; orders callbacks of the same time
    std::function<void()> callback;
    // Reversed: `std::priority_queue` has its greatest item on top, and the earliest must be there.
    bool operator<(const scheduled& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void start(process& target);
  void schedule_tick(const std::string& name, std::uint64_t generation);
  void deliver(const std::string& name, core::engine::event value);
  void deliver_later(const std::string& name, std::uint64_t generation, core::duration delay,
                     core::engine::event value);
  void perform(const std::string& name, const core::engine::action& action);
  void send(const std::string& from, const core::engine::send_message& action);
  void read_log(const std::string& name, const core::engine::read_log& action, bool has_waited);
  void append_log(const std::string& name, const core::engine::append_log& action);
  void execute_request(const std::string& name, const core::engine::execute_request& action);
  void kill_upstream(const std::string& name);
  void record_answer(const core::engine::answer_caller& answer);
  void check_invariants(const std::string& name);
  void record_violation(const std::string& text);
  bool is_cut(const std::string& domain, const std::string& other) const;

  core::time_point now_;
  core::random_source random_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_token_ = 1;
  std::priority_queue<scheduled> queue_;
  std::map<std::string, process> processes_;
  std::map<core::peer_address, std::string> names_by_address_;
  std::set<std::pair<std::string, std::string>> partitions_;
  std::set<std::string> log_partitions_;
  std::map<std::uint64_t, call_record> calls_;
  std::map<std::uint64_t, core::operators::report> answers_;
  std::map<core::config_version, std::uint64_t> hash_by_version_;
  std::vector<std::string> violations_;
  std::vector<std::string> events_;
  int upstream_deaths_ = 0;
  static constexpr int first_port = 10001;
  int next_port_ = first_port;
};

} // namespace arbutuslb::fakes
