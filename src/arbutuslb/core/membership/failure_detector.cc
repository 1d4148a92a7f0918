#include "arbutuslb/core/membership/failure_detector.h"

#include <algorithm>
#include <cmath>

namespace arbutuslb::core::membership {
namespace {

constexpr std::chrono::milliseconds base_suspicion_time{2000};

} // namespace

duration failure_detector::suspicion_time(std::size_t size) {
  const double factor = std::max(1.0, std::log10(static_cast<double>(size) + 1.0));
  return duration{static_cast<duration::rep>(
      factor * static_cast<double>(duration{base_suspicion_time}.count()))};
}

std::vector<probe_step> failure_detector::advance(const member_table& table,
                                                  const std::vector<member_id>& peers,
                                                  time_point now, random_source& random) {
  std::vector<probe_step> steps;
  follow_probe(table, peers, now, random, steps);
  if (!current_ && now >= next_probe_) {
    start_probe(peers, now, random, steps);
  }
  expire_suspects(table, peers, now, steps);
  return steps;
}

void failure_detector::start_probe(const std::vector<member_id>& peers, time_point now,
                                   random_source& random, std::vector<probe_step>& steps) {
  if (next_probe_ == time_point{}) {
    next_probe_ = now + random.jitter(probe_period);
    return;
  }
  next_probe_ = now + probe_period;
  while (!round_.empty() && !std::binary_search(peers.begin(), peers.end(), round_.back())) {
    round_.pop_back();
  }
  if (round_.empty()) {
    round_ = peers;
    random.shuffle(round_);
  }
  if (round_.empty()) {
    return;
  }
  current_ = probe{round_.back(), next_sequence_++, now, false};
  round_.pop_back();
  steps.emplace_back(direct_probe{current_->target, current_->sequence});
}

void failure_detector::follow_probe(const member_table& table, const std::vector<member_id>& peers,
                                    time_point now, random_source& random,
                                    std::vector<probe_step>& steps) {
  if (!current_) {
    return;
  }
  if (!current_->widened && now - current_->sent >= direct_ack_timeout) {
    current_->widened = true;
    std::vector<member_id> helpers = peers;
    std::erase(helpers, current_->target);
    for (const member_id helper : random.sample(std::move(helpers), indirect_probes)) {
      steps.emplace_back(indirect_probe{helper, current_->target, current_->sequence});
    }
  }
  if (now - current_->sent < probe_timeout) {
    return;
  }
  ++missed_in_a_row_;
  const member* target = table.find(current_->target);
  const bool can_accuse = peers.size() < 2 || !is_isolated();
  if (target != nullptr && can_accuse && target->status == member_status::alive) {
    steps.emplace_back(status_change{target->id, member_status::suspect});
  } else if (target != nullptr && can_accuse && target->status == member_status::leaving) {
    steps.emplace_back(status_change{target->id, member_status::dead});
  }
  current_.reset();
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
    if (now - since >= suspicion_time(peers.size())) {
      steps.emplace_back(status_change{id, member_status::dead});
    }
  }
}

void failure_detector::on_ack(std::uint64_t sequence) {
  if (current_ && current_->sequence == sequence) {
    current_.reset();
    missed_in_a_row_ = 0;
  }
}

} // namespace arbutuslb::core::membership
