// The configuration in force: a pure function of the records of the log.
//
// Two daemons that have applied the records up to the same offset have equal state and an equal
// `state_hash()`.
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
  refused,     // well-formed, but in conflict with the state or an earlier command
  repeated,    // a record with the same command id has been processed before
  malformed,   // not parseable; every daemon skips it
  out_of_order // the offset is not the next one; the state is unchanged
};

struct apply_result {
  apply_status status = apply_status::accepted;
  std::vector<finding> findings; // of a refused or malformed record
  std::string command_id;        // empty if the record is malformed or out of order
};

// Not thread-safe. Copyable.
class configuration {
public:
  // Applies the record at `offset`. Offsets start at 1 and must rise by one; any other offset
  // leaves the state unchanged and returns `out_of_order`. Does not throw, whatever `bytes`
  // contains.
  apply_result apply(config_version offset, std::string_view bytes);

  // Returns the findings that `apply` would report for a record of this command without expected
  // versions. Does not change the state.
  std::vector<finding> check(const command& value) const;

  // Returns the offset of the last applied record; 0 if there is none.
  config_version version() const noexcept { return version_; }
  // Returns a hash of the state and the version. O(1).
  std::uint64_t state_hash() const noexcept;
  std::uint64_t malformed_records() const noexcept { return malformed_records_; }

  const std::map<std::string, service>& services() const noexcept { return services_; }
  const std::map<std::string, route>& routes() const noexcept { return routes_; }
  const std::map<std::string, failure_domain>& domains() const noexcept { return domains_; }
  // Returns the latest move of each service, running or ended, by service name.
  const std::map<std::string, move>& moves() const noexcept { return moves_; }

  // The find functions return nullptr if there is no such object.
  const service* find_service(std::string_view name) const;
  const failure_domain* find_domain(std::string_view name) const;
  const move* find_move(config_version id) const;
  // Returns the route with the longest path prefix that matches `path`, or nullptr. A prefix
  // matches complete segments only. O(segments of the path).
  const route* match_route(std::string_view path) const;
  // Returns the running move of the service, or nullptr.
  const move* running_move(std::string_view service) const;
  // Returns the outcome of the command; nullopt if it is unknown or no longer retained.
  std::optional<command_outcome> outcome_of(const std::string& command_id) const;

  // Returns the version of the last change of the object; 0 if the object does not exist.
  config_version last_change_version(std::string_view key) const;

  // Returns the serialized state, which is a pure function of the applied records.
  std::string snapshot() const;
  // Restores the state from a snapshot. Throws `findings_error` if `bytes` is not a valid snapshot.
  static configuration from_snapshot(std::string_view bytes);

private:
  struct applier;
  const change_info* last_change_of(std::string_view key) const;
  void check_expected_versions(const record& value, finding_list& findings) const;
  void check_command(const command& value, finding_list& findings) const;
  void check_publish(const publish_command& value, finding_list& findings) const;
  void check_services(const publish_command& value, finding_list& findings) const;
  bool service_exists_after(const publish_command& value, const std::string& name) const;
  void check_routes(const publish_command& value, finding_list& findings) const;
  void check_move(const move_command& value, finding_list& findings) const;
  void check_move_is_running(config_version move_id, finding_list& findings) const;
  void check_domain(const std::string& name, bool withdraw, finding_list& findings) const;
  void apply_command(const record& value);
  void record_outcome(const std::string& command_id, command_outcome outcome);
  template <typename Value>
  void replace(std::map<std::string, Value>& objects, const std::string& name, Value value);
  template <typename Value>
  void erase(std::map<std::string, Value>& objects, const std::string& name);

  config_version version_ = 0;
  std::uint64_t objects_hash_ = 0; // exclusive or of the hashes of objects and outcomes
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
