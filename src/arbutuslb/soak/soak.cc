#include "arbutuslb/soak/soak.h"

#include "arbutuslb/fakes/platform_store.h"
#include "arbutuslb/platform/store_client.h"
#include "arbutuslb/soak/ledger.h"
#include "arbutuslb/soak/raw_caller.h"
#include "arbutuslb/soak/site.h"

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

namespace arbutuslb::soak {
namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;
using core::duration;
using core::time_point;
namespace http = runtime::http;

// Time bounds promised in the users' documentation.
constexpr std::chrono::milliseconds drain_bound{2000};
constexpr std::chrono::milliseconds propagation_bound{2000};
constexpr std::chrono::milliseconds grace_bound{6000};
constexpr std::chrono::milliseconds recovery_bound{15000};
// A daemon is considered undisturbed this long after the last fault at its instance.
constexpr std::chrono::milliseconds stability_window{3000};
// Required success ratio of the requests in the last `final_check_time` of the recovery.
constexpr double min_recovered_ratio = 0.95;

constexpr std::chrono::milliseconds startup_time{3000};
constexpr std::chrono::milliseconds call_period{25}; // of each daemon's caller
constexpr std::chrono::milliseconds call_timeout{2000};
// With planned work only: time limit of callers and routes, the share of slow executions, and how
// long callers use a daemon that stops.
constexpr std::chrono::milliseconds planned_call_timeout{8000};
constexpr double slow_ratio = 0.1;
constexpr std::chrono::milliseconds stop_notice_time{2000};
// Parts of the callers that send several requests before the first answer, that send a body in
// pieces, and that leave before the answer.
constexpr double early_ratio = 0.1;
constexpr double slow_body_ratio = 0.05;
constexpr double impatient_ratio = 0.05;
constexpr std::size_t early_requests = 3;
constexpr std::chrono::milliseconds max_early_gap{200};
constexpr std::chrono::milliseconds max_body_gap{400};
constexpr std::chrono::milliseconds max_patience{300};
// A request that ends without an answer may have crossed the close of its connection if that
// happened within this time.
constexpr std::chrono::milliseconds crossing_time{200};
// Beside a fault, the open connections of another link go silent for good.
constexpr double severed_ratio = 0.15;
constexpr std::chrono::milliseconds mean_fault_interval{350};
constexpr std::chrono::milliseconds max_fault_time{2500};
constexpr std::chrono::milliseconds publish_period{1500};
// Versions whose routes a configuration has: a version's route is probed after `propagation_bound`,
// when newer ones have been published.
constexpr std::uint64_t kept_versions = 4;
constexpr std::chrono::milliseconds departure_period{2500};
constexpr std::chrono::milliseconds crash_period{700};
// Executions of a request that crashes its upstreams, begun later than `stability_window` after the
// third crash by undisturbed daemons.
constexpr int max_late_crashes = 3;
constexpr std::size_t tolerated_crashes = 3;
constexpr std::chrono::milliseconds sweep_period{50};
constexpr std::chrono::seconds final_check_time{3};
constexpr std::size_t domains = 2;
constexpr const char* host_name = "soak.example";
constexpr const char* operator_topic = "keyed.op";
// Part of the outages after which the store comes back from a copy, and the age of the copy.
constexpr double restored_ratio = 0.5;
constexpr std::chrono::seconds max_restore_age{20};
constexpr int status_ok = 200;
constexpr int status_not_found = 404;

enum class fault_kind : std::uint8_t {
  delay,
  reset,
  one_way,
  silence,
  refuse,
  freeze,
  kill,
  terminate,
  reload,
  store_down,
  store_silent,
  store_slow,
  store_loses_answers,
  store_late,
  count
};

class soak {
public:
  explicit soak(const soak_options& options)
      : options_(options), random_(options.seed), restore_random_(~options.seed),
        crash_random_(options.seed + 1), caller_random_(options.seed + 2),
        ledger_([this](const std::string& promise, const std::string& id) { report(promise, id); }),
        store_(loop_, {address(true, 1), store_port}, random_.bits()), client_(loop_),
        operator_connections_(loop_),
        operator_(operator_connections_, {address(true, 1), store_port}) {
    for (std::size_t i = 0; i < options.instances; ++i) {
      add_site(i);
    }
  }

  int run() {
    publish();
    every(sweep_period, [this] { sweep(); });
    after(500ms, [this] {
      for (const std::unique_ptr<site>& item : sites_) {
        item->start_daemon();
      }
    });
    after(startup_time, [this] { start_load(); });
    loop_.run();
    const ledger_totals& totals = ledger_.totals();
    std::cout << "event=soak_result seed=" << options_.seed << " sent=" << totals.sent
              << " answered=" << totals.answered << " refused=" << totals.refused
              << " unknown=" << totals.unknown << " runs=" << totals.executions
              << " faults=" << fault_count_ << " restores=" << restore_count_
              << " crashes=" << crashes_.size() << " versions=" << version_
              << " broken=" << broken_count_ << " result=" << (broken_count_ == 0 ? "ok" : "failed")
              << std::endl;
    return broken_count_;
  }

private:
  // --- set-up ---

  // Derives addresses from the seed, so that runs with different seeds can execute concurrently.
  asio::ip::address_v4 address(bool is_store, unsigned host_octet) const {
    constexpr unsigned loopback = 127;
    constexpr unsigned first_network = 64;
    constexpr unsigned networks = 128;
    const std::uint64_t third = options_.seed / networks % networks * 2 + (is_store ? 1 : 0);
    return asio::ip::address_v4(
        {loopback, static_cast<unsigned char>(first_network + options_.seed % networks),
         static_cast<unsigned char>(third), static_cast<unsigned char>(host_octet)});
  }

  void add_site(std::size_t i) {
    site_settings settings;
    settings.program = options_.program;
    settings.directory = options_.directory;
    settings.host = address(false, static_cast<unsigned>(i) + 1).to_string();
    settings.domain = "district-" + std::to_string(i % domains + 1);
    settings.service = (i / domains) % 2 == 0 ? "shop" : "desk";
    settings.store = {address(true, 1), store_port};
    sites_.push_back(std::make_unique<site>(loop_, settings));
    const std::string service = settings.service;
    upstreams_.push_back(std::make_unique<upstream_stand_in>(
        loop_, sites_.back()->make_upstream_settings(), random_.bits(),
        upstream_handlers{[this, i](const std::string& id) {
                            ledger_.on_execution(id);
                            check_crash(i, id);
                          },
                          [this](const std::string& id, duration late) {
                            if (options_.checks_times && late > drain_bound) {
                              report("executed " + std::to_string(core::to_milliseconds(late)) +
                                         " ms after the departure was acknowledged",
                                     id);
                            }
                          },
                          [this, i](bool is_running) {
                            sites_[i]->upstream_link.set_listening(is_running);
                            if (!is_running) {
                              crashes_.push_back(clock_.now());
                            }
                          },
                          [this](const std::string& id) { ledger_.on_sent(id, false, ""); },
                          [this](const std::string& id) {
                            report("a call of an execution found no listener or no answer", id);
                          }}));
  }

  void start_load() {
    for (std::size_t i = 0; i < sites_.size(); ++i) {
      every(call_period, [this, i] { call(*sites_[i], random_.fraction() < 0.5); });
    }
    every(publish_period, [this] { publish(); });
    if (!options_.is_planned) {
      every(departure_period, [this] {
        upstreams_[random_.below(upstreams_.size())]->depart(random_.fraction() < 0.3);
      });
      every(crash_period, [this] { call_crashing(); });
    }
    schedule_fault();
    after(options_.fault_time, [this] { stop_faults(); });
  }

  void stop_faults() {
    is_recovering_ = true;
    for (const std::unique_ptr<site>& item : sites_) {
      for (link_proxy* link : links_of(*item)) {
        link->set_fault({});
      }
    }
    store_.faults() = {};
    after(recovery_bound - final_check_time, [this] { is_final_check_ = true; });
    after(recovery_bound, [this] { finish(); });
  }

  void finish() {
    const double ratio = final_sent_ == 0 ? 0
                                          : static_cast<double>(final_successful_) /
                                                static_cast<double>(final_sent_);
    if (options_.checks_times && ratio < min_recovered_ratio) {
      report("success ratio " + std::to_string(ratio) +
                 " of the requests after the faults is too low",
             "-");
    }
    loop_.stop();
  }

  // --- callers ---

  void call(site& instance, bool is_unsafe) {
    if (options_.is_planned && instance.is_unavailable &&
        clock_.now() - instance.stopping_since > stop_notice_time) {
      return;
    }
    const bool is_slow = options_.is_planned && random_.fraction() < slow_ratio;
    if (call_raw(instance, is_slow)) {
      return;
    }
    const std::string id = next_id();
    core::http_request request;
    request.method = is_unsafe ? "POST" : "GET";
    request.target = (is_unsafe ? std::string("/orders") : std::string("/menu")) +
                     (is_slow ? slow_suffix : "/1");
    request.body = is_unsafe ? "order " + id : "";
    ledger_.on_sent(id, is_unsafe, request.body);
    const bool is_final = is_final_check_;
    final_sent_ += is_final ? 1 : 0;
    const auto on_end = [this, id, is_final, is_slow](const http::exchange_result& end) {
      if (end.outcome == http::exchange_outcome::answered) {
        ledger_.on_answer(id, end.answer);
        final_successful_ += is_final && end.answer.status == status_ok ? 1 : 0;
      } else {
        ledger_.on_no_answer(id);
      }
      check_planned(id, end, is_slow);
    };
    send(instance, std::move(request), id, on_end);
  }

  std::string next_id() { return "a-" + std::to_string(++last_call_); }

  // Lets one of the callers that keep no order send its requests. Returns false if the draw is an
  // ordinary call.
  bool call_raw(site& instance, bool is_slow) {
    const double draw = caller_random_.fraction();
    std::vector<caller_write> writes;
    duration time_limit = caller_time() + 500ms;
    if (draw < early_ratio) {
      const duration gap =
          caller_random_.fraction() < 0.5 ? duration::zero() : caller_random_.jitter(max_early_gap);
      for (std::size_t i = 0; i < early_requests; ++i) {
        const std::string id = next_id();
        ledger_.on_sent(id, false, "");
        const std::string bytes = http::serialize(raw_request(id, "GET", is_slow && i == 0, ""));
        if (gap == duration::zero() && i > 0) {
          writes.front().bytes += bytes;
          writes.front().completed.push_back(id);
        } else {
          writes.push_back({gap, bytes, {id}});
        }
      }
    } else if (draw < early_ratio + slow_body_ratio) {
      const std::string id = next_id();
      const std::string body = "order " + id;
      ledger_.on_sent(id, true, body);
      const std::string bytes = http::serialize(raw_request(id, "POST", false, body));
      const std::size_t half = bytes.size() - body.size() / 2;
      writes.push_back({duration::zero(), bytes.substr(0, half), {}});
      writes.push_back({caller_random_.jitter(max_body_gap), bytes.substr(half), {id}});
    } else if (draw < early_ratio + slow_body_ratio + impatient_ratio) {
      const std::string id = next_id();
      ledger_.on_sent(id, false, "");
      writes.push_back(
          {duration::zero(), http::serialize(raw_request(id, "GET", is_slow, "")), {id}});
      time_limit = caller_random_.jitter(max_patience);
    } else {
      return false;
    }
    const bool is_impatient = time_limit < caller_time();
    raw_caller::start(loop_, instance.callers(), std::move(writes), time_limit,
                      [this, is_slow, is_impatient](const caller_result& result) {
                        on_raw_end(result, is_slow, is_impatient);
                      });
    return true;
  }

  core::http_request raw_request(const std::string& id, const std::string& method, bool is_slow,
                                 const std::string& body) const {
    core::http_request request;
    request.method = method;
    request.target = method == "GET" ? std::string("/menu") : std::string("/orders");
    request.target += is_slow ? slow_suffix : "/1";
    request.headers = caller_headers(id);
    request.body = body;
    return request;
  }

  void on_raw_end(const caller_result& result, bool is_slow, bool is_impatient) {
    if (result.answer) {
      ledger_.on_answer(result.id, *result.answer);
      check_executed_answer(result.id, result.answer->status, is_slow);
      return;
    }
    ledger_.on_no_answer(result.id);
    const bool is_owed = options_.is_planned && !is_impatient;
    if (is_owed && (ledger_.was_executed(result.id) || result.waited > crossing_time)) {
      report("a request got no answer " + std::to_string(core::to_milliseconds(result.waited)) +
                 " ms after it was sent",
             result.id);
    }
  }

  void check_planned(const std::string& id, const http::exchange_result& end, bool is_slow) {
    if (!options_.is_planned || !ledger_.was_executed(id)) {
      return;
    }
    if (end.outcome != http::exchange_outcome::answered) {
      report("a request that was executed got no answer", id);
    } else {
      check_executed_answer(id, end.answer.status, is_slow);
    }
  }

  void check_executed_answer(const std::string& id, int status, bool is_slow) {
    if (options_.is_planned && ledger_.was_executed(id) && status != status_ok && !is_slow) {
      report("a request that was executed was answered with " + std::to_string(status), id);
    }
  }

  // Sends the same crashing request to some daemon.
  void call_crashing() {
    const std::size_t index = crash_random_.below(sites_.size());
    const std::string id = "c-" + std::to_string(++last_crash_);
    crash_senders_[id] = index;
    core::http_request request;
    request.method = "GET";
    request.target = crashing_target;
    ledger_.on_sent(id, false, "");
    send(*sites_[index], std::move(request), id, [this, id](const http::exchange_result& end) {
      if (end.outcome == http::exchange_outcome::answered) {
        ledger_.on_answer(id, end.answer);
      } else {
        ledger_.on_no_answer(id);
      }
    });
  }

  bool is_undisturbed(std::size_t index) const {
    return clock_.now() - sites_[index]->disturbed_until > stability_window &&
           clock_.now() - store_disturbed_until_ > stability_window;
  }

  void check_crash(std::size_t executor, const std::string& id) {
    const auto sender = crash_senders_.find(id);
    if (sender == crash_senders_.end() || crashes_.size() < tolerated_crashes ||
        clock_.now() - crashes_[tolerated_crashes - 1] < stability_window) {
      return;
    }
    if (is_undisturbed(executor) && is_undisturbed(sender->second) &&
        ++late_crash_count_ > max_late_crashes) {
      report("a request that has crashed three upstreams was executed again", id);
    }
  }

  void send(site& instance, core::http_request request, const std::string& id,
            http::client::completion_handler on_end) {
    request.headers = caller_headers(id);
    http::send_options send_options;
    send_options.answer_timeout = caller_time() + 500ms;
    client_.send(instance.callers(), request, send_options, std::move(on_end));
  }

  core::header_list caller_headers(const std::string& id) const {
    return {{"Host", host_name},
            {"X-Attempt-Identifier", id},
            {"X-Deadline-Remaining", std::to_string(caller_time().count())}};
  }

  std::chrono::milliseconds caller_time() const {
    return options_.is_planned ? planned_call_timeout : call_timeout;
  }

  // --- operators ---

  // Publishes a version with a route that only this version has, and sends a request to that route
  // when the version must be in force.
  void publish() {
    const std::uint64_t version = ++version_;
    json routes;
    routes["menu"] = route("/menu/", "safe", "shop");
    routes["orders"] = route("/orders/", "unsafe", "desk");
    const std::uint64_t oldest = version < kept_versions ? 1 : version - kept_versions + 1;
    for (std::uint64_t kept = oldest; kept <= version; ++kept) {
      routes["version-" + std::to_string(kept)] = route(version_path(kept), "safe", "shop");
    }
    const json value{{"version", "r" + std::to_string(version)},
                     {"routes", routes},
                     {"services",
                      {{"shop", {{"coldStart", "3s"}, {"coldPerS", 17.0}}},
                       {"desk", {{"coldStart", "3s"}, {"coldPerS", 17.0}}}}}};
    operator_.append(operator_topic, "config", value.dump(), std::nullopt,
                     [this, version](const platform::append_result& result) {
                       if (result.status == platform::append_status::appended) {
                         const time_point since = clock_.now();
                         after(propagation_bound,
                               [this, version, since] { probe(version, since); });
                       }
                     });
  }

  // Returns true if the newest configuration still has the route of this version.
  bool has_route(std::uint64_t version) const { return version + kept_versions > version_; }

  static std::string version_path(std::uint64_t version) {
    return "/v" + std::to_string(version) + "/";
  }

  json route(const std::string& prefix, const char* kind, const char* service) const {
    return {{"host", host_name},
            {"pathPrefix", prefix},
            {"kind", kind},
            {"timeout", options_.is_planned ? "8s" : "1500ms"},
            {"targetLatency", "300ms"},
            {"service", service},
            {"attempts", 2}};
  }

  void probe(std::uint64_t version, time_point acknowledged_at) {
    site& instance = *sites_[random_.below(sites_.size())];
    if (instance.is_unavailable || !has_route(version)) {
      return;
    }
    const std::uint64_t generation = instance.generation;
    const std::string id = "p-" + std::to_string(version);
    core::http_request request;
    request.method = "GET";
    request.target = version_path(version) + "1";
    ledger_.on_sent(id, false, "");
    send(instance, std::move(request), id,
         [this, &instance, version, generation, id,
          acknowledged_at](const http::exchange_result& end) {
           if (end.outcome != http::exchange_outcome::answered ||
               generation != instance.generation) {
             return;
           }
           const bool is_undisturbed =
               instance.disturbed_until < acknowledged_at - stability_window &&
               store_disturbed_until_ < acknowledged_at - stability_window;
           if (end.answer.status == status_not_found && has_route(version) && is_undisturbed &&
               options_.checks_times) {
             report("a configuration version was not in force in time", id);
           }
         });
  }

  // --- faults ---

  std::vector<link_proxy*> links_of(site& instance) {
    return {&instance.caller_link, &instance.peer_link, &instance.upstream_link,
            &instance.store_link};
  }

  void schedule_fault() {
    after(random_.jitter(mean_fault_interval * 2), [this] {
      if (!is_recovering_) {
        if (!options_.is_planned && caller_random_.fraction() < severed_ratio) {
          sever();
        }
        inject(options_.is_planned
                   ? (random_.fraction() < 0.7 ? fault_kind::terminate : fault_kind::reload)
                   : static_cast<fault_kind>(
                         random_.below(static_cast<std::size_t>(fault_kind::count))));
        schedule_fault();
      }
    });
  }

  void inject(fault_kind kind) {
    ++fault_count_;
    site& instance = *sites_[random_.below(sites_.size())];
    const duration time = random_.jitter(max_fault_time);
    if (kind < fault_kind::freeze) {
      inject_link_fault(instance, kind, time);
    } else if (kind < fault_kind::store_down) {
      inject_process_fault(instance, kind, time);
    } else {
      inject_store_fault(kind, time);
    }
  }

  // Open connections of a link go silent for good.
  void sever() {
    site& instance = *sites_[caller_random_.below(sites_.size())];
    instance.disturbed_until = std::max<time_point>(instance.disturbed_until, clock_.now());
    links_of(instance)[caller_random_.below(links_of(instance).size())]->silence_open();
    ++fault_count_;
  }

  void inject_link_fault(site& instance, fault_kind kind, duration time) {
    link_proxy* link = links_of(instance)[random_.below(links_of(instance).size())];
    link_fault fault;
    fault.delay = kind == fault_kind::delay ? 10ms + random_.jitter(150ms) : duration::zero();
    fault.drops_to_target = kind == fault_kind::silence || kind == fault_kind::one_way;
    fault.drops_to_caller = kind == fault_kind::silence;
    fault.refuses = kind == fault_kind::refuse;
    instance.disturbed_until = clock_.now() + time;
    if (kind == fault_kind::reset) {
      link->reset_all();
      return;
    }
    link->set_fault(fault);
    after(time, [link] { link->set_fault({}); });
  }

  void inject_process_fault(site& instance, fault_kind kind, duration time) {
    if (instance.is_unavailable) {
      return;
    }
    instance.disturbed_until = clock_.now() + time + stability_window;
    switch (kind) {
    case fault_kind::freeze:
      instance.is_unavailable = true;
      instance.daemon->signal(SIGSTOP);
      after(time, [&instance] {
        instance.daemon->signal(SIGCONT);
        instance.is_unavailable = false;
      });
      return;
    case fault_kind::kill:
      stop_daemon(instance, SIGKILL);
      return;
    case fault_kind::terminate:
      stop_daemon(instance, SIGTERM);
      return;
    default:
      instance.write_settings();
      instance.daemon->signal(SIGHUP);
      return;
    }
  }

  void stop_daemon(site& instance, int number) {
    instance.is_unavailable = true;
    instance.is_exit_expected = true;
    instance.stopping_since = clock_.now();
    instance.daemon->signal(number);
    await_exit(instance, clock_.now(), random_.jitter(1500ms));
  }

  void await_exit(site& instance, time_point since, duration pause) {
    if (instance.daemon->poll()) {
      after(pause, [this, &instance] {
        instance.start_daemon();
        instance.disturbed_until = clock_.now() + stability_window;
      });
      return;
    }
    if (options_.checks_times && clock_.now() - since > grace_bound) {
      report("the daemon did not exit within its grace period", instance.settings.host);
      instance.daemon->signal(SIGKILL);
    }
    after(sweep_period, [this, &instance, since, pause] { await_exit(instance, since, pause); });
  }

  void inject_store_fault(fault_kind kind, duration time) {
    fakes::store_faults faults;
    faults.is_down = kind == fault_kind::store_down;
    faults.is_silent = kind == fault_kind::store_silent;
    faults.delay = kind == fault_kind::store_slow ? duration{200ms} : duration::zero();
    faults.lost_answer_ratio = kind == fault_kind::store_loses_answers ? 0.3 : 0.0;
    faults.late_append_ratio = kind == fault_kind::store_late ? 0.3 : 0.0;
    store_.faults() = faults;
    store_disturbed_until_ = clock_.now() + time;
    const bool is_restored = faults.is_down && restore_random_.fraction() < restored_ratio;
    restore_count_ += is_restored ? 1 : 0;
    after(time, [this, is_restored] {
      if (is_restored) {
        store_.restore(restore_random_.jitter(max_restore_age), operator_topic);
      }
      store_.faults() = {};
    });
  }

  // --- time ---

  void sweep() {
    const time_point now = clock_.now();
    client_.sweep(now);
    operator_connections_.sweep(now);
    store_.sweep(now);
    for (const std::unique_ptr<upstream_stand_in>& item : upstreams_) {
      item->sweep(now);
    }
    for (const std::unique_ptr<site>& item : sites_) {
      if (item->daemon && !item->is_exit_expected && item->daemon->poll()) {
        report("the daemon exited unexpectedly", item->settings.host);
        item->start_daemon();
      }
    }
  }

  void after(duration delay, std::function<void()> callback) {
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(loop_, delay);
    timer->async_wait([timer, callback = std::move(callback)](std::error_code error) {
      if (!error) {
        callback();
      }
    });
  }

  void every(duration period, std::function<void()> callback) {
    after(period, [this, period, callback = std::move(callback)]() mutable {
      callback();
      every(period, std::move(callback));
    });
  }

  void report(const std::string& promise, const std::string& id) {
    ++broken_count_;
    std::cout << "event=promise_broken seed=" << options_.seed
              << " time_ms=" << core::to_milliseconds(clock_.now().time_since_epoch())
              << " promise=\"" << promise << "\" id=" << id << std::endl;
  }

  soak_options options_;
  core::random_source random_;
  // Its own source, so that the other faults of a seed do not depend on restores.
  core::random_source restore_random_;
  core::random_source crash_random_;  // likewise
  core::random_source caller_random_; // likewise
  asio::io_context loop_{1};
  runtime::anchored_clock clock_;
  ledger ledger_;
  fakes::platform_store store_;
  http::client client_;
  http::client operator_connections_;
  platform::store_client operator_;
  std::vector<std::unique_ptr<site>> sites_;
  std::vector<std::unique_ptr<upstream_stand_in>> upstreams_;
  time_point store_disturbed_until_{};
  std::uint64_t last_call_ = 0;
  std::uint64_t last_crash_ = 0;
  std::map<std::string, std::size_t> crash_senders_; // by attempt
  std::vector<time_point> crashes_;
  int late_crash_count_ = 0;
  std::uint64_t version_ = 0;
  int fault_count_ = 0;
  int restore_count_ = 0;
  int broken_count_ = 0;
  bool is_recovering_ = false;
  bool is_final_check_ = false;
  std::uint64_t final_sent_ = 0;
  std::uint64_t final_successful_ = 0;
};

} // namespace

int run_soak(const soak_options& options) {
  soak value(options);
  return value.run();
}

} // namespace arbutuslb::soak
