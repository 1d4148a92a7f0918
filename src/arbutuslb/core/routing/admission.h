// Final admission control of an upstream, applied by its daemon: each request is executed, queued
// for a short time, or refused as not executed.
//
// Queued requests are ordered by class and then by arrival time. If the queue is full, a new
// request displaces the newest one of the lowest class, provided that this class is lower than its
// own. Requests whose deadline passes in the queue are dropped before execution.
//
//   admission<adaptive_limit> gate(slots);
//   switch (gate.submit({token, request_class::normal, deadline}, now).verdict) { ... }
#pragma once

#include "arbutuslb/core/base/time.h"
#include "arbutuslb/core/config/model.h"
#include "arbutuslb/core/routing/adaptive_limit.h"

#include <deque>
#include <optional>
#include <vector>

namespace arbutuslb::core::routing {

// Time after which a queued request is refused, so that its caller can try another upstream.
inline constexpr std::chrono::milliseconds max_queue_wait{100};

struct waiting_request {
  std::uint64_t token = 0;
  config::request_class priority = config::request_class::normal;
  time_point deadline;
};

enum class admission_verdict : std::uint8_t { run, queued, refused };

// `Limit` is `adaptive_limit` or a type with the same operations. Not thread-safe.
template <typename Limit>
class admission {
public:
  explicit admission(int slots) : limit_(slots) {}

  struct submit_result {
    admission_verdict verdict = admission_verdict::refused;
    // The queued request of a lower class that was removed to make room, if any.
    std::optional<waiting_request> shed;
  };

  // Admits, queues or refuses `request`. O(queue).
  submit_result submit(const waiting_request& request, time_point now) {
    if (in_flight_ < limit_.max_in_flight() && queued() == 0) {
      ++in_flight_;
      return {admission_verdict::run, std::nullopt};
    }
    std::optional<waiting_request> shed;
    if (queued() >= queue_capacity()) {
      shed = pop_lower_class(request.priority);
      if (!shed) {
        return {admission_verdict::refused, std::nullopt};
      }
    }
    queue_of(request.priority).push_back(entry{request, now});
    return {admission_verdict::queued, shed};
  }

  // Frees the slot of an admitted request that has ended.
  void release() { --in_flight_; }

  void on_answer(std::uint64_t route, duration latency, answer_kind kind) {
    limit_.on_answer(route, latency, kind, in_flight_);
  }

  // Removes and returns the next queued request if a slot is free, and counts it as in flight. A
  // class whose first request has expired is skipped until `take_expired` removes that request.
  std::optional<waiting_request> next(time_point now) {
    if (in_flight_ >= limit_.max_in_flight()) {
      return std::nullopt;
    }
    for (std::deque<entry>& queue : queues_) {
      while (!queue.empty()) {
        const entry head = queue.front();
        if (is_expired(head, now)) {
          break;
        }
        queue.pop_front();
        ++in_flight_;
        return head.request;
      }
    }
    return std::nullopt;
  }

  // Removes and returns the queued requests that have waited for `max_queue_wait` or whose deadline
  // has passed.
  std::vector<waiting_request> take_expired(time_point now) {
    std::vector<waiting_request> expired;
    for (std::deque<entry>& queue : queues_) {
      const auto collect = [&](const entry& item) {
        if (!is_expired(item, now)) {
          return false;
        }
        expired.push_back(item.request);
        return true;
      };
      std::erase_if(queue, collect);
    }
    return expired;
  }

  // Removes the queued request with this token. Returns false if none is queued.
  bool withdraw(std::uint64_t token) {
    for (std::deque<entry>& queue : queues_) {
      const auto has_token = [token](const entry& item) { return item.request.token == token; };
      if (std::erase_if(queue, has_token) > 0) {
        return true;
      }
    }
    return false;
  }

  int in_flight() const noexcept { return in_flight_; }
  std::size_t queued() const noexcept {
    return queues_[0].size() + queues_[1].size() + queues_[2].size();
  }
  Limit& limit() noexcept { return limit_; }
  const Limit& limit() const noexcept { return limit_; }

private:
  struct entry {
    waiting_request request;
    time_point queued_at;
  };

  std::size_t queue_capacity() const { return static_cast<std::size_t>(limit_.max_in_flight()); }

  std::deque<entry>& queue_of(config::request_class priority) {
    return queues_[static_cast<std::size_t>(priority)];
  }

  static bool is_expired(const entry& item, time_point now) {
    return now >= item.request.deadline || now - item.queued_at >= max_queue_wait;
  }

  // Removes and returns the newest request of the lowest class, if it is lower than `priority`.
  std::optional<waiting_request> pop_lower_class(config::request_class priority) {
    for (std::size_t i = queues_.size(); i-- > static_cast<std::size_t>(priority) + 1;) {
      if (!queues_[i].empty()) {
        const waiting_request shed = queues_[i].back().request;
        queues_[i].pop_back();
        return shed;
      }
    }
    return std::nullopt;
  }

  Limit limit_;
  int in_flight_ = 0;
  std::array<std::deque<entry>, config::request_class_count> queues_;
};

} // namespace arbutuslb::core::routing
