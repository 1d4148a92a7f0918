// The configuration in force: a pure fold over the records of the log.
//
// Two daemons that have folded the same offset hold equal state and an equal `state_hash()`.
//
//   configuration state;
//   apply_result result = state.apply(offset, bytes);
//   std::string snapshot = state.snapshot();
//   configuration copy = configuration::from_snapshot(snapshot);
#pragma once

#include "arbutuslb/core/base/finding.h"
#include "arbutuslb/core/config/model.h"
#include "arbutuslb/core/config/records.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace arbutuslb::core::config {

enum class apply_status : std::uint8_t {
  accepted,
  refused,   // well formed, but in conflict with the state or an earlier command
  repeated,  // the command's id has been folded before
  malformed, // skipped by every daemon alike
  out_of_order
};

struct apply_result {
  apply_status status = apply_status::accepted;
  std::vector<finding> findings;
  std::string command_id;
};

// Not thread-safe. Copyable.
class configuration {
public:
  // Folds the record at `offset`. Offsets start at 1 and must rise by one; any other offset leaves
  // the state as it is and returns `out_of_order`. Never throws for the content of `bytes`.
  apply_result apply(config_version offset, std::string_view bytes);

  // Returns what `apply` would find in the command, without changing anything.
  std::vector<finding> check(const command& value) const;

  // The offset of the last folded record; 0 before the first.
  config_version version() const noexcept { return version_; }
  // O(1).
  std::uint64_t state_hash() const noexcept;
  std::uint64_t malformed_records() const noexcept { return malformed_records_; }

  const std::map<std::string, service>& services() const noexcept { return services_; }
  const std::map<std::string, route>& routes() const noexcept { return routes_; }
  const std::map<std::string, failure_domain>& domains() const noexcept { return domains_; }
  // The latest move of each service, running or ended.
  const std::map<std::string, move>& moves() const noexcept { return moves_; }

  const service* find_service(std::string_view name) const;
  const failure_domain* find_domain(std::string_view name) const;
  const move* find_move(config_version id) const;
  // Returns the route with the longest prefix of `path`, or null. A prefix matches whole segments.
  // O(segments of the path).
  const route* match_route(std::string_view path) const;
  const move* running_move(std::string_view service) const;
  std::optional<command_outcome> outcome_of(const std::string& command_id) const;

  // The version of the object's last change; 0 if it does not exist.
  config_version last_change_version(std::string_view key) const;

  // Returns the state as bytes; a pure function of the folded records.
  std::string snapshot() const;
  // Throws `findings_error` if the bytes are no snapshot.
  static configuration from_snapshot(std::string_view bytes);

private:
  struct applier;
  const change_info* stamp_of(std::string_view key) const;
  void check_against(const record& value, finding_list& findings) const;
  void check_command(const command& value, finding_list& findings) const;
  void check_publish(const publish_command& value, finding_list& findings) const;
  void check_services(const publish_command& value, finding_list& findings) const;
  bool has_service_after(const publish_command& value, const std::string& name) const;
  void check_routes(const publish_command& value, finding_list& findings) const;
  void check_move(const move_command& value, finding_list& findings) const;
  void check_judgement(config_version move_id, finding_list& findings) const;
  void check_domain(const std::string& name, bool withdraw, finding_list& findings) const;
  void apply_command(const record& value);
  void remember(const std::string& command_id, command_outcome outcome);
  template <typename Value>
  void replace(std::map<std::string, Value>& objects, const std::string& name, Value value);
  template <typename Value>
  void erase(std::map<std::string, Value>& objects, const std::string& name);

  config_version version_ = 0;
  std::uint64_t objects_hash_ = 0; // exclusive or of the objects' hashes
  std::uint64_t malformed_records_ = 0;
  std::map<std::string, service> services_;
  std::map<std::string, route> routes_;
  std::unordered_map<std::string, std::string> routes_by_prefix_; // names by path prefix
  std::map<std::string, failure_domain> domains_;
  std::map<std::string, move> moves_;
  std::unordered_map<std::string, command_outcome> outcomes_;
  std::deque<std::string> outcome_order_; // oldest first
};

} // namespace arbutuslb::core::config
