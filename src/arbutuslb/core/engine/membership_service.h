// Keeps the member table: joins, probes the own domain, compares with other domains, leaves.
#pragma once

#include "arbutuslb/core/engine/context.h"
#include "arbutuslb/core/engine/events.h"
#include "arbutuslb/core/membership/failure_detector.h"

#include <optional>

namespace arbutuslb::core::engine {

// Members of a domain that exchange summaries with other domains.
inline constexpr std::size_t representatives_per_domain = 2;
inline constexpr std::chrono::milliseconds summary_period{1000};
inline constexpr std::chrono::milliseconds compare_period{2000};
inline constexpr std::chrono::milliseconds first_join_jitter{200};
inline constexpr std::chrono::milliseconds max_join_backoff{5000};
// Peers told directly that this daemon leaves, besides those reached by gossip.
inline constexpr std::size_t leave_fanout = 8;
// Members in one answer to a comparison; a large difference takes several comparisons.
inline constexpr std::size_t entries_per_answer = 32;
// Answers with members that one daemon gives a second, and at once. Others must ask elsewhere.
inline constexpr double answers_per_second = 1.0;
inline constexpr double answer_burst = 2.0;
// Members that a fresh process is told of, so that it can ask others.
inline constexpr std::size_t entries_for_joiner = 12;
inline constexpr std::size_t entries_when_busy = 3;
// Peers that a fresh process asks at once.
inline constexpr std::size_t peers_asked_to_join = 2;
inline constexpr std::size_t max_passed_on_entries = 16;
inline constexpr std::size_t max_announcements = 256;
// How often a member that holds the duty repeats its announcement in the log.
inline constexpr std::chrono::minutes announcement_interval{30};

// Not thread-safe.
class membership_service {
public:
  explicit membership_service(context& shared);

  void on_tick();
  // Call for every message, before it is handled.
  void on_message(const protocol::message& value);
  void handle(const protocol::message& from, const protocol::ping& value);
  void handle(const protocol::message& from, const protocol::ping_request& value);
  void handle(const protocol::message& from, const protocol::ack& value);
  void handle(const protocol::message& from, const protocol::membership_request& value);
  void handle(const protocol::message& from, const protocol::membership_compare& value);
  void handle(const protocol::message& from, const protocol::membership_entries& value);
  void handle(const protocol::message& from, const protocol::domain_summary& value);
  void on_log_read(const log_read& result);
  // Announces that this daemon leaves.
  void leave();

private:
  void refute_if_accused();
  void join_if_alone();
  void run_probes();
  void exchange_summaries();
  void compare_if_different();
  void announce();
  void read_announcements();
  bool take_answer_token();
  protocol::domain_summary summary_of_domains() const;
  void compare_with(const peer_address& to, const std::string& domain);

  context& shared_;
  membership::failure_detector detector_;
  time_point next_join_{};
  duration join_backoff_ = first_join_jitter;
  time_point next_summary_{};
  time_point next_compare_{};
  time_point next_forget_{};
  time_point next_announcement_{};
  std::uint64_t announcement_read_ = 0;
  std::vector<peer_address> announced_;
  std::optional<peer_address> differing_peer_;
  double answer_tokens_ = answer_burst;
  time_point tokens_at_;
};

// The form of a member in the announcement stream.
std::string serialize_announcement(const membership::member& value);
// Throws `findings_error`.
membership::member parse_announcement(std::string_view bytes);

} // namespace arbutuslb::core::engine
