#include "arbutuslb/core/gateway/usage_service.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

constexpr const char* role = "usage";
constexpr std::size_t collector_count = 2;
constexpr std::chrono::milliseconds clock_update_period{500};
// What a daemon has counted within this time is lost if it dies.
constexpr std::chrono::milliseconds send_period{250};
// Counters in one datagram.
constexpr std::size_t max_counters = 200;
// The counters of a window no longer change this long after its end: an upstream would have refused
// the requests that were sent to it in the window.
constexpr std::chrono::milliseconds completion_delay{700};
// Counters are sent again in full this long after the end of a window, in case datagrams were lost.
constexpr std::chrono::milliseconds resend_delay{1200};
// Windows are kept for this multiple of the time in which they are due.
constexpr int retention_factor = 3;
// A report waits for daemons that were in contact within this time.
constexpr std::chrono::seconds contact_time{10};
// The estimate of the time is used once it is based on this many clocks, or after `solitary_time`.
constexpr std::size_t min_clocks = 3;
constexpr std::chrono::seconds solitary_time{4};
// A clock that is wrong by more is reported in the log.
constexpr std::chrono::seconds notable_clock_error{1};

} // namespace

usage_service::usage_service(gateway_context& shared)
    : shared_(shared), duty_(shared.settings.usage, shared.settings.name, shared.process_epoch) {}

void usage_service::on_tick() {
  if (!is_enabled() || !knows_time()) {
    return;
  }
  update_clock();
  count_starts();
  complete_windows();
  send_counters();
  advance_duty();
}

bool usage_service::knows_time() const {
  return clock_.size(shared_.now) >= min_clocks || shared_.now - shared_.started >= solitary_time;
}

void usage_service::count_starts() {
  for (const gateway_context::usage_start& item : std::exchange(shared_.usage_starts, {})) {
    const time_point started = true_time() - (shared_.now - item.started);
    counter_.add(duties::window_at(started, shared_.settings.usage.window), item.organisation);
  }
}

void usage_service::update_clock() {
  if (shared_.now < next_update_) {
    return;
  }
  next_update_ = shared_.now + clock_update_period;
  clock_.remove_old(shared_.now);
  const duration error = clock_.offset(shared_.now);
  const bool was_notable = std::chrono::abs(clock_error_) > notable_clock_error;
  const bool is_notable = std::chrono::abs(error) > notable_clock_error;
  clock_error_ = error;
  if (was_notable != is_notable) {
    shared_.write(engine::severity::warning, "clock_error_changed",
                  {{"error_ms", std::to_string(to_milliseconds(error))},
                   {"clocks", std::to_string(clock_.size(shared_.now))}});
  }
  std::vector<std::string> holders =
      shared_.directory.role_holders(role, "", collector_count, shared_.now);
  if (holders != collectors_) {
    collectors_ = std::move(holders);
    counter_.resend_all();
  }
  const duration window = shared_.settings.usage.window;
  const duties::window_number oldest =
      duties::window_at(true_time() - retention_factor * shared_.settings.usage.due, window);
  ledger_.remove_before(oldest);
  counter_.remove_before(oldest);
}

void usage_service::complete_windows() {
  const duration length = shared_.settings.usage.window;
  const duties::window_number ended = duties::window_at(true_time() - completion_delay, length) - 1;
  // The estimate of the time may have been corrected.
  const bool has_gone_back = next_complete_ && *next_complete_ > ended + 1;
  next_complete_ = next_complete_ && !has_gone_back ? *next_complete_ : ended + 1;
  for (; *next_complete_ <= ended; ++*next_complete_) {
    counter_.complete(*next_complete_);
    next_send_ = std::min(next_send_, shared_.now);
  }
  const time_point resent_at = duties::window_end(ended, length) + resend_delay;
  if (resent_window_ < ended && true_time() >= resent_at) {
    resent_window_ = ended;
    counter_.resend_all();
  }
}

void usage_service::send_counters() {
  if (shared_.now < next_send_ || !counter_.has_changes() || collectors_.empty()) {
    return;
  }
  next_send_ = shared_.now + send_period;
  for (duties::usage_report& report : counter_.take_changes(max_counters)) {
    report.host = shared_.settings.host;
    report.process_epoch = shared_.process_epoch;
    for (const std::string& host : collectors_) {
      if (host == shared_.settings.host) {
        ledger_.merge(report);
      } else {
        shared_.add_action(send_reports{host, {{}, {}, {report}}});
      }
    }
  }
}

std::optional<duties::usage_counts> usage_service::collect(duties::window_number window,
                                                           bool is_last_chance) const {
  const auto has_sent = [&](const auto& item) {
    return shared_.now - item.second.last_contact > contact_time ||
           ledger_.is_complete(window, item.first);
  };
  const bool is_complete =
      std::all_of(shared_.directory.peers().begin(), shared_.directory.peers().end(), has_sent);
  return is_complete || is_last_chance ? std::optional(ledger_.counts(window)) : std::nullopt;
}

void usage_service::advance_duty() {
  const bool is_first = !collectors_.empty() && collectors_.front() == shared_.settings.host;
  const bool is_candidate =
      is_first && !shared_.is_stopping && shared_.operator_records.configuration() != nullptr;
  const std::optional<duties::usage_action> next =
      duty_.on_tick(shared_.own_clock(), true_time(), is_candidate,
                    [this](duties::window_number window, bool is_last_chance) {
                      return collect(window, is_last_chance);
                    });
  if (next) {
    std::visit([this](const auto& value) { shared_.add_action(value); }, *next);
  }
  if (was_holder_ != duty_.is_holder()) {
    was_holder_ = duty_.is_holder();
    shared_.write(engine::severity::info, "usage_duty_changed",
                  {{"is_holder", was_holder_ ? "true" : "false"}});
  }
}

void usage_service::on_reports(const reports_received& value) {
  if (!is_enabled()) {
    return;
  }
  for (const duties::usage_report& item : value.content.usage) {
    ledger_.merge(item);
  }
  for (const aged_report& item : value.content.reports) {
    if (item.content.clock != time_point{} && item.content.host != shared_.settings.host) {
      const time_point clock = item.content.clock + item.age;
      clock_.on_sample(item.content.host, clock - shared_.own_clock(), shared_.now);
    }
  }
}

void usage_service::on_log_read(usage_log_read value) {
  shared_.suspended = value.suspended;
  duty_.on_log_read(std::move(value.state), shared_.own_clock(), true_time());
}

void usage_service::on_appended(const usage_appended& value) {
  shared_.suspended = value.suspended;
  duty_.on_appended(value.outcome, value.era, shared_.own_clock());
}

void usage_service::on_posted(const usage_posted& value) {
  duty_.on_posted(value.outcome, shared_.own_clock());
  ++(value.outcome == duties::post_outcome::accepted ? shared_.totals.usage_reports
                                                     : shared_.totals.usage_failures);
}

} // namespace arbutuslb::core::gateway
