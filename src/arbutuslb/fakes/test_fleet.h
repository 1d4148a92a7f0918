// A handful of daemon cores in one thread on a paused clock, with a fake link, log and upstreams.
//
// A run is a pure function of its seed. After every event the fleet checks what must always hold
// and collects what does not; see `violations()`.
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
  double datagram_loss = 0.0;
  double stream_loss = 0.0; // as when a connection breaks
  double repeat = 0.0;      // messages that arrive twice
};

struct log_faults {
  bool is_down = false;
  int lose_answers = 0; // appends that take effect without an answer
  core::duration delay = std::chrono::milliseconds{3};
};

// What became of one call.
struct call_record {
  std::string body;
  std::string path;
  core::time_point began;
  std::optional<core::engine::answer_caller> answer;
  core::time_point ended;
};

class test_fleet {
public:
  explicit test_fleet(std::uint64_t seed);

  // --- the fleet ---
  void add(const std::string& name, const std::string& domain, const std::string& service,
           const std::string& version, model_upstream_settings upstream = {});
  void kill(const std::string& name);    // the daemon only
  void restart(const std::string& name); // with a fresh process
  void freeze(const std::string& name);  // the process stands still, its messages wait
  void thaw(const std::string& name);
  void stop(const std::string& name); // planned
  void restart_upstream(const std::string& name);
  bool is_running(const std::string& name) const;
  core::engine::daemon_core& daemon(const std::string& name);
  model_upstream& upstream(const std::string& name);
  std::vector<std::string> names() const;

  // The daemons added first are the seeds of those added later.
  std::uint16_t seed_count = 2;

  // --- faults ---
  link_settings link;
  // Returns the size of a message on the wire; set it to count bytes.
  std::function<std::size_t(const core::protocol::message&)> size_of;
  log_faults log;
  log_store store;
  void cut(const std::string& domain, const std::string& other);
  void cut_log(const std::string& domain);
  void heal();

  // --- time ---
  core::time_point now() const noexcept { return now_; }
  void run_for(core::duration time);
  // Returns false if `holds` did not come true within `limit`.
  bool run_until(const std::function<bool()>& holds, core::duration limit);
  void at(core::time_point time, std::function<void()> what);

  // --- callers and operators ---
  std::uint64_t call(const std::string& via, const std::string& path, const std::string& body,
                     core::duration deadline, const std::string& key = {});
  const call_record& call_of(std::uint64_t token) const { return calls_.at(token); }
  const std::map<std::uint64_t, call_record>& calls() const noexcept { return calls_; }
  // Calls and runs until the answer.
  core::engine::answer_caller call_and_wait(const std::string& via, const std::string& path,
                                            const std::string& body, core::duration deadline,
                                            const std::string& key = {});
  std::string mint_key(const std::string& via);
  // Sends an operator's command; the answer comes with `answer_to`.
  std::uint64_t send_command(const std::string& via, const std::string& text,
                             const std::string& document = {}, const std::string& id = {},
                             const std::string& operator_name = "test");
  std::optional<core::operators::report> answer_to(std::uint64_t token) const;
  // Sends a command and runs until its answer.
  core::operators::report ask(const std::string& via, const std::string& text,
                              const std::string& document = {}, const std::string& id = {},
                              const std::string& operator_name = "test");

  // --- what was seen ---
  // What did not hold so far. Calls that were all told "not run" are checked once more.
  std::vector<std::string> violations() const;
  const std::vector<std::string>& events() const noexcept { return events_; }
  bool has_event(const std::string& part) const;
  bool all_at_version(core::config_version version) const;
  int total_executions_of_body(const std::string& body) const;
  // The most runs of any key over all upstreams.
  int most_executions_of_a_key() const;
  int upstream_deaths() const noexcept { return upstream_deaths_; }
  // Bytes sent and received by the daemon's present and earlier processes.
  std::uint64_t bytes_of(const std::string& name) const;
  core::random_source& random() noexcept { return random_; }

private:
  struct process {
    core::engine::core_settings settings;
    std::unique_ptr<core::engine::daemon_core> core;
    model_upstream upstream;
    std::uint64_t generation = 0; // of the process; old timers and answers do not count
    bool is_frozen = false;
    std::vector<core::engine::event> waiting;     // while frozen
    core::config_version highest_version = 0;     // of the present process
    std::map<std::uint64_t, std::string> running; // bodies by execution
    std::uint64_t bytes = 0;
  };
  struct scheduled {
    core::time_point time;
    std::uint64_t order = 0;
    std::function<void()> what;
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
  void read_log(const std::string& name, const core::engine::read_log& action, bool waited);
  void append_log(const std::string& name, const core::engine::append_log& action);
  void execute_request(const std::string& name, const core::engine::execute_request& action);
  void kill_upstream(const std::string& name);
  void note_answer(const core::engine::answer_caller& answer);
  void check(const std::string& name);
  void violate(const std::string& text);
  bool is_cut(const std::string& domain, const std::string& other) const;

  core::time_point now_;
  core::random_source random_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_token_ = 1;
  std::priority_queue<scheduled> queue_;
  std::map<std::string, process> processes_;
  std::map<core::peer_address, std::string> names_by_address_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> log_cuts_;
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
