#include "arbutuslb/soak/soak.h"

#include "arbutuslb/fakes/platform_store.h"
#include "arbutuslb/platform/store_client.h"
#include "arbutuslb/soak/ledger.h"
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

// Promised times, from the users' pages.
constexpr std::chrono::milliseconds drain_bound{2000};
constexpr std::chrono::milliseconds propagation_bound{2000};
constexpr std::chrono::milliseconds grace_bound{6000};
constexpr std::chrono::milliseconds recovery_bound{15000};
// A daemon counts as undisturbed this long after a fault near it.
constexpr std::chrono::milliseconds stability_window{3000};
constexpr double recovered_share = 0.95;

constexpr std::chrono::milliseconds start_time{3000};
constexpr std::chrono::milliseconds call_period{25}; // at each daemon
constexpr std::chrono::milliseconds call_time{2000};
constexpr std::chrono::milliseconds fault_gap{350}; // mean
constexpr std::chrono::milliseconds longest_fault{2500};
constexpr std::chrono::milliseconds publish_period{1500};
constexpr std::chrono::milliseconds leave_period{2500};
constexpr std::chrono::milliseconds sweep_period{50};
constexpr std::chrono::seconds final_check_time{3};
constexpr std::size_t domains = 2;
constexpr const char* host_name = "soak.example";
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
      : options_(options), random_(options.seed),
        seen_([this](const std::string& promise, const std::string& id) { report(promise, id); }),
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
    after(start_time, [this] { begin(); });
    loop_.run();
    const ledger_totals& totals = seen_.totals();
    std::cout << "event=soak_result seed=" << options_.seed << " sent=" << totals.sent
              << " answered=" << totals.answered << " refused=" << totals.refused
              << " unknown=" << totals.unknown << " runs=" << totals.runs << " faults=" << faults_
              << " versions=" << version_ << " broken=" << broken_
              << " result=" << (broken_ == 0 ? "ok" : "failed") << std::endl;
    return broken_;
  }

private:
  // --- the scene ---

  // Runs with other seeds may go on beside this one, so each has networks of its own.
  asio::ip::address_v4 address(bool is_store, unsigned last) const {
    constexpr unsigned loopback = 127;
    constexpr unsigned first_network = 64;
    constexpr unsigned networks = 128;
    const std::uint64_t third = options_.seed / networks % networks * 2 + (is_store ? 1 : 0);
    return asio::ip::address_v4(
        {loopback, static_cast<unsigned char>(first_network + options_.seed % networks),
         static_cast<unsigned char>(third), static_cast<unsigned char>(last)});
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
        loop_, sites_.back()->for_upstream(), random_.bits(),
        [this](const std::string& id) { seen_.on_run(id); },
        [this](const std::string& id, duration late) {
          if (options_.checks_times && late > drain_bound) {
            report("ran " + std::to_string(core::to_milliseconds(late)) +
                       " ms after the departure was acknowledged",
                   id);
          }
        }));
  }

  void begin() {
    for (std::size_t i = 0; i < sites_.size(); ++i) {
      every(call_period, [this, i] { call(*sites_[i], random_.fraction() < 0.5); });
    }
    every(publish_period, [this] { publish(); });
    every(leave_period, [this] {
      upstreams_[random_.below(upstreams_.size())]->leave(random_.fraction() < 0.3);
    });
    schedule_fault();
    after(options_.fault_time, [this] { end_faults(); });
  }

  void end_faults() {
    is_ending_ = true;
    for (const std::unique_ptr<site>& item : sites_) {
      for (link_proxy* link : links_of(*item)) {
        link->set_fault({});
      }
    }
    store_.trouble() = {};
    after(recovery_bound - final_check_time, [this] { counts_final_ = true; });
    after(recovery_bound, [this] { finish(); });
  }

  void finish() {
    const double share =
        final_sent_ == 0 ? 0 : static_cast<double>(final_good_) / static_cast<double>(final_sent_);
    if (options_.checks_times && share < recovered_share) {
      report("served " + std::to_string(share) + " of the requests after the faults", "-");
    }
    loop_.stop();
  }

  // --- callers ---

  void call(site& at, bool is_unsafe) {
    const std::string id = "a-" + std::to_string(++last_call_);
    core::http_request request;
    request.method = is_unsafe ? "POST" : "GET";
    request.target = is_unsafe ? "/orders/1" : "/menu/1";
    request.body = is_unsafe ? "order " + id : "";
    seen_.on_sent(id, is_unsafe, request.body);
    const bool counts = counts_final_;
    final_sent_ += counts ? 1 : 0;
    send(at, std::move(request), id, [this, id, counts](const http::exchange_end& end) {
      if (end.outcome == http::exchange_outcome::answered) {
        seen_.on_answer(id, end.answer);
        final_good_ += counts && end.answer.status == status_ok ? 1 : 0;
      } else {
        seen_.on_no_answer(id);
      }
    });
  }

  void send(site& at, core::http_request request, const std::string& id,
            http::client::end_handler on_end) {
    request.headers = {{"Host", host_name},
                       {"X-Attempt-Identifier", id},
                       {"X-Deadline-Remaining", std::to_string(call_time.count())}};
    http::send_options send_options;
    send_options.answer_timeout = call_time + 500ms;
    client_.send(at.callers(), request, send_options, std::move(on_end));
  }

  // --- operators ---

  // Publishes a version with a route of its own, and asks for it once it must be in force.
  void publish() {
    const std::uint64_t version = ++version_;
    json routes;
    routes["menu"] = route("/menu/", "safe", "shop");
    routes["orders"] = route("/orders/", "unsafe", "desk");
    routes["version"] = route(path_of(version), "safe", "shop");
    const json value{{"version", "r" + std::to_string(version)},
                     {"routes", routes},
                     {"services",
                      {{"shop", {{"coldStart", "3s"}, {"coldPerS", 17.0}}},
                       {"desk", {{"coldStart", "3s"}, {"coldPerS", 17.0}}}}}};
    operator_.append("keyed.op", "config", value.dump(), std::nullopt,
                     [this, version](const platform::append_result& result) {
                       if (result.status == platform::append_status::appended) {
                         const time_point since = clock_.now();
                         after(propagation_bound,
                               [this, version, since] { probe(version, since); });
                       }
                     });
  }

  static std::string path_of(std::uint64_t version) { return "/v" + std::to_string(version) + "/"; }

  static json route(const std::string& prefix, const char* kind, const char* service) {
    return {{"host", host_name},   {"pathPrefix", prefix},     {"kind", kind},
            {"timeout", "1500ms"}, {"targetLatency", "300ms"}, {"service", service},
            {"attempts", 2}};
  }

  void probe(std::uint64_t version, time_point acknowledged_at) {
    site& at = *sites_[random_.below(sites_.size())];
    if (at.is_away || version != version_) {
      return; // the route of an older version is gone by now
    }
    const std::uint64_t process = at.process;
    const std::string id = "p-" + std::to_string(version);
    core::http_request request;
    request.method = "GET";
    request.target = path_of(version) + "1";
    seen_.on_sent(id, false, "");
    send(at, std::move(request), id,
         [this, &at, version, process, id, acknowledged_at](const http::exchange_end& end) {
           if (end.outcome != http::exchange_outcome::answered || process != at.process) {
             return;
           }
           const bool is_undisturbed = at.disturbed_at < acknowledged_at - stability_window &&
                                       store_disturbed_at_ < acknowledged_at - stability_window;
           if (end.answer.status == status_not_found && version == version_ && is_undisturbed &&
               options_.checks_times) {
             report("a version is not in force in time", id);
           }
         });
  }

  // --- faults ---

  std::vector<link_proxy*> links_of(site& at) {
    return {&at.caller_link, &at.peer_link, &at.upstream_link, &at.store_link};
  }

  void schedule_fault() {
    after(random_.jitter(fault_gap * 2), [this] {
      if (!is_ending_) {
        inject(static_cast<fault_kind>(random_.below(static_cast<std::size_t>(fault_kind::count))));
        schedule_fault();
      }
    });
  }

  void inject(fault_kind kind) {
    ++faults_;
    site& at = *sites_[random_.below(sites_.size())];
    const duration time = random_.jitter(longest_fault);
    if (kind < fault_kind::freeze) {
      break_link(at, kind, time);
    } else if (kind < fault_kind::store_down) {
      disturb_process(at, kind, time);
    } else {
      trouble_store(kind, time);
    }
  }

  void break_link(site& at, fault_kind kind, duration time) {
    link_proxy* link = links_of(at)[random_.below(links_of(at).size())];
    link_fault fault;
    fault.delay = kind == fault_kind::delay ? 10ms + random_.jitter(150ms) : duration::zero();
    fault.drops_to_target = kind == fault_kind::silence || kind == fault_kind::one_way;
    fault.drops_to_caller = kind == fault_kind::silence;
    fault.refuses = kind == fault_kind::refuse;
    at.disturbed_at = clock_.now() + time;
    if (kind == fault_kind::reset) {
      link->reset_all();
      return;
    }
    link->set_fault(fault);
    after(time, [link] { link->set_fault({}); });
  }

  void disturb_process(site& at, fault_kind kind, duration time) {
    if (at.is_away) {
      return;
    }
    at.disturbed_at = clock_.now() + time + stability_window;
    switch (kind) {
    case fault_kind::freeze:
      at.is_away = true;
      at.daemon->signal(SIGSTOP);
      after(time, [&at] {
        at.daemon->signal(SIGCONT);
        at.is_away = false;
      });
      return;
    case fault_kind::kill:
      end_daemon(at, SIGKILL);
      return;
    case fault_kind::terminate:
      end_daemon(at, SIGTERM);
      return;
    default:
      at.write_settings();
      at.daemon->signal(SIGHUP);
      return;
    }
  }

  void end_daemon(site& at, int number) {
    at.is_away = true;
    at.is_expected_to_end = true;
    at.daemon->signal(number);
    await_end(at, clock_.now(), random_.jitter(1500ms));
  }

  void await_end(site& at, time_point since, duration pause) {
    if (at.daemon->poll()) {
      after(pause, [this, &at] {
        at.start_daemon();
        at.disturbed_at = clock_.now() + stability_window;
      });
      return;
    }
    if (options_.checks_times && clock_.now() - since > grace_bound) {
      report("a planned stop took too long", at.settings.host);
      at.daemon->signal(SIGKILL);
    }
    after(sweep_period, [this, &at, since, pause] { await_end(at, since, pause); });
  }

  void trouble_store(fault_kind kind, duration time) {
    fakes::store_trouble trouble;
    trouble.is_down = kind == fault_kind::store_down;
    trouble.is_silent = kind == fault_kind::store_silent;
    trouble.delay = kind == fault_kind::store_slow ? duration{200ms} : duration::zero();
    trouble.lost_answer_share = kind == fault_kind::store_loses_answers ? 0.3 : 0.0;
    trouble.late_append_share = kind == fault_kind::store_late ? 0.3 : 0.0;
    store_.trouble() = trouble;
    store_disturbed_at_ = clock_.now() + time;
    after(time, [this] { store_.trouble() = {}; });
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
      if (item->daemon && !item->is_expected_to_end && item->daemon->poll()) {
        report("a daemon ended by itself", item->settings.host);
        item->start_daemon();
      }
    }
  }

  void after(duration delay, std::function<void()> what) {
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(loop_, delay);
    timer->async_wait([timer, what = std::move(what)](std::error_code error) {
      if (!error) {
        what();
      }
    });
  }

  void every(duration period, std::function<void()> what) {
    after(period, [this, period, what = std::move(what)]() mutable {
      what();
      every(period, std::move(what));
    });
  }

  void report(const std::string& promise, const std::string& id) {
    ++broken_;
    std::cout << "event=promise_broken seed=" << options_.seed
              << " time_ms=" << core::to_milliseconds(clock_.now().time_since_epoch())
              << " promise=\"" << promise << "\" id=" << id << std::endl;
  }

  soak_options options_;
  core::random_source random_;
  asio::io_context loop_{1};
  runtime::anchored_clock clock_;
  ledger seen_;
  fakes::platform_store store_;
  http::client client_;
  http::client operator_connections_;
  platform::store_client operator_;
  std::vector<std::unique_ptr<site>> sites_;
  std::vector<std::unique_ptr<upstream_stand_in>> upstreams_;
  time_point store_disturbed_at_{};
  std::uint64_t last_call_ = 0;
  std::uint64_t version_ = 0;
  int faults_ = 0;
  int broken_ = 0;
  bool is_ending_ = false;
  bool counts_final_ = false;
  std::uint64_t final_sent_ = 0;
  std::uint64_t final_good_ = 0;
};

} // namespace

int run_soak(const soak_options& options) {
  soak value(options);
  return value.run();
}

} // namespace arbutuslb::soak
