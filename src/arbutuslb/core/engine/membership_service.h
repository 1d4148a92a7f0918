// Maintains the member table: joins, probes the members of the local domain, compares the table
// with peers, and announces when this daemon leaves.
#pragma once

#include "arbutuslb/core/engine/context.h"
#include "arbutuslb/core/engine/events.h"
#include "arbutuslb/core/membership/failure_detector.h"

#include <optional>

namespace arbutuslb::core::engine {

// Number of members of a domain that send summaries to other domains, and of those that have the
// announcer role.
inline constexpr std::size_t representatives_per_domain = 2;
inline constexpr std::chrono::milliseconds summary_period{1000};
inline constexpr std::chrono::milliseconds compare_period{2000};
inline constexpr std::chrono::milliseconds first_join_jitter{200};
inline constexpr std::chrono::milliseconds max_join_backoff{5000};
// Number of random members of the local domain, and of all domains, that a leaving daemon notifies
// directly. Gossip informs the others.
inline constexpr std::size_t leave_fanout = 8;
// Maximum number of members in one answer to a comparison; a large difference takes several
// comparisons.
inline constexpr std::size_t entries_per_answer = 32;
// Token bucket for the answers of one daemon that list members: refill rate and burst size. Without
// a token, a comparison is not answered and a joining daemon gets a shorter list.
inline constexpr double answers_per_second = 1.0;
inline constexpr double answer_burst = 2.0;
// Number of members sent to a joining daemon, which can ask them in turn; the second limit applies
// when no answer token is left.
inline constexpr std::size_t entries_per_join_answer = 12;
inline constexpr std::size_t entries_per_limited_join_answer = 3;
// Number of peers that a joining daemon asks in one attempt.
inline constexpr std::size_t join_request_fanout = 2;
// The members of a list longer than this are merged without being passed on by gossip.
inline constexpr std::size_t max_gossiped_entries = 16;
// Number of newest announcements in the log whose addresses a joining daemon uses.
inline constexpr std::size_t max_announcements = 256;
// How often a member with the announcer role repeats its announcement in the log.
inline constexpr std::chrono::minutes announcement_interval{30};

// Not thread-safe.
class membership_service {
public:
  explicit membership_service(context& shared);

  void on_tick();
  // Must be called for every message before its body is handled.
  void on_message(const protocol::message& value);
  void handle(const protocol::message& from, const protocol::ping& value);
  void handle(const protocol::message& from, const protocol::ping_request& value);
  void handle(const protocol::message& from, const protocol::ack& value);
  void handle(const protocol::message& from, const protocol::membership_request& value);
  void handle(const protocol::message& from, const protocol::membership_compare& value);
  void handle(const protocol::message& from, const protocol::membership_entries& value);
  void handle(const protocol::message& from, const protocol::domain_summary& value);
  void on_log_read(const log_read& result);
  // Announces to peers that this daemon leaves.
  void leave();

private:
  void refute_if_misreported();
  void join_if_no_peers();
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
  time_point next_dead_removal_{};
  time_point next_announcement_{};
  std::uint64_t announcement_read_request_ = 0;
  std::vector<peer_address> announced_addresses_;
  std::optional<peer_address> differing_peer_;
  double answer_tokens_ = answer_burst;
  time_point tokens_refilled_at_;
};

// Returns the record that announces a member in the log's announcement stream.
std::string serialize_announcement(const membership::member& value);
// Throws `findings_error` if the record is malformed.
membership::member parse_announcement(std::string_view bytes);

} // namespace arbutuslb::core::engine
