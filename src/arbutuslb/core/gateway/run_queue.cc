#include "arbutuslb/core/gateway/run_queue.h"

#include <algorithm>

namespace arbutuslb::core::gateway {
namespace {

// Weight of the newest latency in the moving average.
constexpr double latency_weight = 0.1;
// Organisations without a waiting request of which a rank keeps state, at most. Forgetting one
// lets its next request start up to one request earlier.
constexpr std::size_t max_idle_flows = 256;

} // namespace

std::size_t run_queue::recent_starts(time_point now) const {
  const auto is_recent = [now](time_point start) { return now - start < rate_window; };
  return static_cast<std::size_t>(std::count_if(starts_.begin(), starts_.end(), is_recent));
}

bool run_queue::can_start(time_point now) const {
  if (in_flight_ >= limit_) {
    return false;
  }
  if (rate_ <= 0) {
    return true;
  }
  return static_cast<double>(recent_starts(now)) + 1.0 <= std::max(1.0, rate_);
}

void run_queue::record_start(time_point now) {
  ++in_flight_;
  while (!starts_.empty() && now - starts_.front() >= rate_window) {
    starts_.pop_front();
  }
  starts_.push_back(now);
}

admission_verdict run_queue::submit(const queued_run& request, time_point now) {
  rank_class& own = classes_[request.rank];
  const bool is_first = std::none_of(
      classes_.begin(), classes_.upper_bound(request.rank),
      [](const std::pair<const int, rank_class>& item) { return item.second.size > 0; });
  if (is_first && can_start(now)) {
    charge(own, request);
    record_start(now);
    return admission_verdict::run;
  }
  if (now + expected_wait(request.rank, request.organisation, now) > request.start_by) {
    return admission_verdict::refused;
  }
  own.flows[request.organisation].items.push_back(request);
  own.flows[request.organisation].items.back().arrival = ++last_arrival_;
  ++own.size;
  ++waiting_;
  return admission_verdict::queued;
}

void run_queue::charge(rank_class& served, const queued_run& request) {
  flow& payer = served.flows[request.organisation];
  served.virtual_time = std::max(served.virtual_time, payer.finish);
  payer.finish =
      served.virtual_time + static_cast<double>(std::max(request.cost, duration{1}).count());
  std::erase_if(served.flows, [&](const std::pair<const std::string, flow>& item) {
    return item.second.items.empty() && item.second.finish <= served.virtual_time;
  });
  while (served.flows.size() > served.size + max_idle_flows) {
    const auto idle = std::find_if(
        served.flows.begin(), served.flows.end(),
        [](const std::pair<const std::string, flow>& item) { return item.second.items.empty(); });
    if (idle == served.flows.end()) {
      break;
    }
    served.flows.erase(idle);
  }
}

std::size_t run_queue::ahead_of(int rank, const std::string& organisation, std::size_t own) const {
  std::size_t ahead = own;
  for (const auto& [other_rank, other] : classes_) {
    if (other_rank < rank) {
      ahead += other.size;
    } else if (other_rank == rank) {
      for (const auto& [name, item] : other.flows) {
        ahead += name == organisation ? 0 : std::min(item.items.size(), own + 1);
      }
    }
  }
  return ahead;
}

duration run_queue::wait_behind(std::size_t ahead) const {
  const double mean = static_cast<double>(mean_latency_.count());
  const double position = static_cast<double>(ahead) + 1.0;
  // Assumes that slots become free evenly over the mean latency.
  double wait = mean * position / static_cast<double>(std::max(1, limit_));
  if (rate_ > 0) {
    constexpr double microseconds = 1e6;
    wait = std::max(wait, microseconds * position / std::max(1.0, rate_));
  }
  return duration{static_cast<duration::rep>(wait)};
}

duration run_queue::expected_wait(int rank, const std::string& organisation, time_point now) const {
  std::size_t own = 0;
  const std::map<int, rank_class>::const_iterator found = classes_.find(rank);
  if (found != classes_.end()) {
    const auto item = found->second.flows.find(organisation);
    own = item == found->second.flows.end() ? 0 : item->second.items.size();
  }
  const std::size_t ahead = ahead_of(rank, organisation, own);
  return ahead == 0 && can_start(now) ? duration::zero() : wait_behind(ahead);
}

void run_queue::release(std::optional<duration> latency) {
  --in_flight_;
  if (latency) {
    const double sample = static_cast<double>(latency->count());
    const double mean = static_cast<double>(mean_latency_.count());
    mean_latency_ = duration{static_cast<duration::rep>(mean + latency_weight * (sample - mean))};
  }
}

std::optional<std::uint64_t> run_queue::next(time_point now) {
  if (waiting_ == 0 || !can_start(now)) {
    return std::nullopt;
  }
  const auto urgent = std::find_if(
      classes_.begin(), classes_.end(),
      [](const std::pair<const int, rank_class>& item) { return item.second.size > 0; });
  rank_class& served = urgent->second;
  flow* chosen = nullptr;
  double chosen_start = 0;
  for (auto& [name, item] : served.flows) {
    if (item.items.empty()) {
      continue;
    }
    const double start = std::max(served.virtual_time, item.finish);
    const bool is_earlier =
        chosen == nullptr || start < chosen_start ||
        (start == chosen_start && item.items.front().arrival < chosen->items.front().arrival);
    if (is_earlier) {
      chosen = &item;
      chosen_start = start;
    }
  }
  const queued_run request = std::move(chosen->items.front());
  chosen->items.pop_front();
  --served.size;
  --waiting_;
  charge(served, request);
  record_start(now);
  return request.token;
}

std::optional<std::uint64_t> run_queue::take_displaced(int rank, time_point now) {
  rank_class& own = classes_[rank];
  const auto longest =
      std::max_element(own.flows.begin(), own.flows.end(), [](const auto& one, const auto& other) {
        return one.second.items.size() < other.second.items.size();
      });
  if (longest == own.flows.end() || longest->second.items.size() < 2) {
    return std::nullopt;
  }
  const queued_run& last = longest->second.items.back();
  const std::size_t ahead = ahead_of(rank, longest->first, longest->second.items.size() - 1);
  if (now + wait_behind(ahead) <= last.start_by) {
    return std::nullopt;
  }
  const std::uint64_t token = last.token;
  longest->second.items.pop_back();
  --own.size;
  --waiting_;
  return token;
}

template <typename Predicate>
std::size_t run_queue::erase_matching(Predicate matches) {
  std::size_t removed = 0;
  for (auto& [rank, item] : classes_) {
    for (auto& [name, waiting] : item.flows) {
      const std::size_t count = std::erase_if(waiting.items, matches);
      item.size -= count;
      removed += count;
    }
  }
  waiting_ -= removed;
  return removed;
}

std::vector<std::uint64_t> run_queue::take_expired(time_point now) {
  std::vector<std::uint64_t> expired;
  if (waiting_ > 0) {
    erase_matching([&](const queued_run& item) {
      const bool is_expired = now > item.start_by;
      if (is_expired) {
        expired.push_back(item.token);
      }
      return is_expired;
    });
  }
  return expired;
}

std::vector<std::uint64_t> run_queue::take_all() {
  std::vector<std::uint64_t> tokens;
  erase_matching([&](const queued_run& item) {
    tokens.push_back(item.token);
    return true;
  });
  return tokens;
}

bool run_queue::remove(std::uint64_t token) {
  return waiting_ > 0 &&
         erase_matching([token](const queued_run& item) { return item.token == token; }) > 0;
}

std::size_t run_queue::flow_count() const {
  std::size_t count = 0;
  for (const auto& [rank, item] : classes_) {
    count += item.flows.size();
  }
  return count;
}

} // namespace arbutuslb::core::gateway
