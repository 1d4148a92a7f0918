#include "arbutuslb/core/membership/failure_detector.h"

#include <algorithm>
#include <cmath>

namespace arbutuslb::core::membership {
namespace {

constexpr std::chrono::milliseconds base_suspicion_timeout{2000};

} // namespace

duration failure_detector::suspicion_timeout(std::size_t size) {
  const double factor = std::max(1.0, std::log10(static_cast<double>(size) + 1.0));
  return duration{static_cast<duration::rep>(
      factor * static_cast<double>(duration{base_suspicion_timeout}.count()))};
}

std::vector<probe_step> failure_detector::advance(const member_table& table,
                                                  const std::vector<member_id>& peers,
                                                  time_point now, random_source& random) {
  std::vector<probe_step> steps;
  check_outstanding_probe(table, peers, now, random, steps);
  if (!outstanding_probe_ && now >= next_probe_) {
    start_probe(peers, now, random, steps);
  }
  expire_suspects(table, peers, now, steps);
  return steps;
}

void failure_detector::start_probe(const std::vector<member_id>& peers, time_point now,
                                   random_source& random, std::vector<probe_step>& steps) {
  if (next_probe_ == time_point{}) {
    next_probe_ = now + random.jitter(probe_interval);
    return;
  }
  next_probe_ = now + probe_interval;
  while (!unprobed_in_round_.empty() &&
         !std::binary_search(peers.begin(), peers.end(), unprobed_in_round_.back())) {
    unprobed_in_round_.pop_back();
  }
  if (unprobed_in_round_.empty()) {
    unprobed_in_round_ = peers;
    random.shuffle(unprobed_in_round_);
  }
  if (unprobed_in_round_.empty()) {
    return;
  }
  outstanding_probe_ = probe{unprobed_in_round_.back(), next_sequence_++, now, false};
  unprobed_in_round_.pop_back();
  steps.emplace_back(direct_probe{outstanding_probe_->target, outstanding_probe_->sequence});
}

void failure_detector::check_outstanding_probe(const member_table& table,
                                               const std::vector<member_id>& peers, time_point now,
                                               random_source& random,
                                               std::vector<probe_step>& steps) {
  if (!outstanding_probe_) {
    return;
  }
  if (!outstanding_probe_->indirect_probes_sent &&
      now - outstanding_probe_->sent >= direct_ack_timeout) {
    outstanding_probe_->indirect_probes_sent = true;
    std::vector<member_id> helpers = peers;
    std::erase(helpers, outstanding_probe_->target);
    for (const member_id helper : random.sample(std::move(helpers), indirect_probe_count)) {
      steps.emplace_back(
          indirect_probe{helper, outstanding_probe_->target, outstanding_probe_->sequence});
    }
  }
  if (now - outstanding_probe_->sent < probe_timeout) {
    return;
  }
  ++consecutive_missed_probes_;
  const member* target = table.find(outstanding_probe_->target);
  const bool can_declare_failure = peers.size() < 2 || !is_isolated();
  if (target != nullptr && can_declare_failure && target->status == member_status::alive) {
    steps.emplace_back(status_change{target->id, member_status::suspect});
  } else if (target != nullptr && can_declare_failure && target->status == member_status::leaving) {
    steps.emplace_back(status_change{target->id, member_status::dead});
  }
  outstanding_probe_.reset();
}

void failure_detector::expire_suspects(const member_table& table,
                                       const std::vector<member_id>& peers, time_point now,
                                       std::vector<probe_step>& steps) {
  const auto is_suspect = [&table](member_id id) {
    const member* found = table.find(id);
    return found != nullptr && found->status == member_status::suspect;
  };
  std::erase_if(suspect_since_, [&](const auto& item) { return !is_suspect(item.first); });
  for (const member_id id : peers) {
    if (is_suspect(id)) {
      suspect_since_.try_emplace(id, now);
    }
  }
  if (is_isolated() && peers.size() >= 2) {
    return;
  }
  for (const auto& [id, since] : suspect_since_) {
    if (now - since >= suspicion_timeout(peers.size())) {
      steps.emplace_back(status_change{id, member_status::dead});
    }
  }
}

void failure_detector::on_ack(std::uint64_t sequence) {
  if (outstanding_probe_ && outstanding_probe_->sequence == sequence) {
    outstanding_probe_.reset();
    consecutive_missed_probes_ = 0;
  }
}

} // namespace arbutuslb::core::membership
