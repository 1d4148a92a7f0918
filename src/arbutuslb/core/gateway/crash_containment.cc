#include "arbutuslb/core/gateway/crash_containment.h"

#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/gateway/request_fingerprint.h"

#include <algorithm>
#include <tuple>

namespace arbutuslb::core::gateway {
namespace {

constexpr std::chrono::hours containment_time{24};
constexpr std::uint32_t deaths_before_isolation = 2;
constexpr std::uint32_t deaths_before_refusal = 3;
constexpr std::size_t max_suspects = 4096;
// A change is repeated in reports for this long, since datagrams may be lost.
constexpr std::chrono::seconds change_report_time{3};
// Bounds the size of a report.
constexpr std::size_t max_reported = 24;
// Bounds the record of a daemon in the store.
constexpr std::size_t max_recorded = 32;

bool is_more_important(const calls::suspicion& left, const calls::suspicion& right) {
  return std::tuple(left.deaths(), left.last_death, left.fingerprint) >
         std::tuple(right.deaths(), right.last_death, right.fingerprint);
}

calls::poison_policy containment_policy() {
  calls::poison_policy policy;
  policy.deaths_before_isolation = deaths_before_isolation;
  policy.deaths_before_refusal = deaths_before_refusal;
  policy.base_refusal_time = containment_time;
  policy.max_doublings = 0;
  policy.suspicion_retention = containment_time;
  policy.max_suspects = max_suspects;
  return policy;
}

} // namespace

crash_containment::crash_containment() : registry_(containment_policy()) {}

calls::suspicion crash_containment::find(const call& request, time_point now) const {
  if (tags_.empty() || !tags_.contains(target_tag(request))) {
    return {};
  }
  return registry_.find(fingerprint_of(request), now);
}

crash_verdict crash_containment::judge(const calls::suspicion& known) const {
  if (known.deaths() >= deaths_before_refusal) {
    return crash_verdict::refuse;
  }
  if (known.deaths() >= deaths_before_isolation) {
    return crash_verdict::isolate;
  }
  return known.deaths() > 0 ? crash_verdict::run_one_copy : crash_verdict::run;
}

std::vector<calls::suspicion>
crash_containment::on_death(const std::vector<calls::suspicion>& running,
                            const upstream_incarnation& died, time_point now) {
  const auto incarnation = static_cast<std::uint64_t>(died.started_ms);
  std::vector<calls::suspicion> attributed =
      registry_.on_death(running, hash_bytes(died.instance_id, incarnation), now);
  for (const calls::suspicion& suspect : attributed) {
    index(suspect);
    note_change(suspect.fingerprint, now);
  }
  return attributed;
}

std::optional<calls::suspicion> crash_containment::on_answer(const call& request, time_point now) {
  const calls::suspicion known = find(request, now);
  if (known.deaths() == 0 || !registry_.clear(known.fingerprint, now)) {
    return std::nullopt;
  }
  note_change(known.fingerprint, now);
  return known;
}

bool crash_containment::merge(calls::suspicion value, time_point now) {
  value.last_death = std::min(value.last_death, now);
  const bool says_nothing = value.generation == 0 && value.deaths() == 0;
  if (value.fingerprint == 0 || says_nothing || !registry_.merge(value, now)) {
    return false;
  }
  index(registry_.find(value.fingerprint, now));
  return true;
}

void crash_containment::index(const calls::suspicion& value) {
  tags_.insert(tag_of(value.fingerprint));
  if (is_isolated(value)) {
    isolated_.insert(value.fingerprint);
  }
}

void crash_containment::evict(time_point now) {
  if (registry_.empty()) {
    return;
  }
  registry_.evict(now);
  tags_.clear();
  isolated_.clear();
  for (const auto& [fingerprint, entry] : registry_.entries()) {
    index(entry);
  }
}

void crash_containment::note_change(std::uint64_t fingerprint, time_point now) {
  while (!changes_.empty() && now - changes_.front().at >= change_report_time) {
    changes_.pop_front();
  }
  changes_.push_back({fingerprint, now});
}

std::vector<calls::suspicion> crash_containment::to_report(time_point now) {
  std::vector<calls::suspicion> reported;
  for (const std::uint64_t fingerprint : isolated_) {
    const calls::suspicion known = registry_.find(fingerprint, now);
    if (is_isolated(known)) {
      reported.push_back(known);
    }
  }
  for (const change& item : changes_) {
    const calls::suspicion known = registry_.find(item.fingerprint, now);
    const bool says_something = known.generation > 0 || known.deaths() > 0;
    if (says_something && now - item.at < change_report_time) {
      reported.push_back(known);
    }
  }
  std::sort(reported.begin(), reported.end(), is_more_important);
  reported.erase(std::unique(reported.begin(), reported.end()), reported.end());
  if (reported.size() > max_reported) {
    omitted_ += reported.size() - max_reported;
    reported.resize(max_reported);
  }
  return reported;
}

std::vector<calls::suspicion> crash_containment::to_record(time_point now) const {
  std::vector<calls::suspicion> recorded;
  for (const auto& [fingerprint, entry] : registry_.entries()) {
    if (registry_.is_suspect(fingerprint, now)) {
      recorded.push_back(entry);
    }
  }
  std::sort(recorded.begin(), recorded.end(), is_more_important);
  recorded.resize(std::min(recorded.size(), max_recorded));
  return recorded;
}

} // namespace arbutuslb::core::gateway
