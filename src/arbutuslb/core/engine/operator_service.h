// Answers operators' requests. Commands are written to the log. Queries are answered from this
// daemon's state, except that the versions in force are requested from all failure domains, and the
// status of a running move from its judges.
#pragma once

#include "arbutuslb/core/engine/command_writer.h"
#include "arbutuslb/core/engine/distributor.h"
#include "arbutuslb/core/engine/move_conductor.h"
#include "arbutuslb/core/operators/language.h"
#include "arbutuslb/core/operators/report.h"

namespace arbutuslb::core::engine {

inline constexpr std::chrono::seconds command_timeout{8};
inline constexpr std::chrono::milliseconds status_query_period{200};
inline constexpr std::chrono::milliseconds status_timeout{1000};
inline constexpr std::chrono::milliseconds explain_timeout{600};
// Maximum number of lagging members that one status reply names.
inline constexpr std::size_t max_lagging_names = 16;

// Not thread-safe.
class operator_service {
public:
  operator_service(context& shared, distributor& distribution, command_writer& writer,
                   move_conductor& conductor);

  void on_operator_command(const operator_command_received& request);
  void on_command_completed(const completed_command& settled);
  void on_status_query(const protocol::message& from, const protocol::status_query& query);
  void on_status_reply(const protocol::status_reply& reply);
  void on_explain_reply(const protocol::explain_reply& reply);
  void on_tick();

private:
  struct pending_command {
    std::uint64_t token;
    std::vector<std::string> notes;
  };
  // A query to all failure domains for the members that have applied a version.
  struct survey {
    std::uint64_t token = 0;
    config_version version = 0;
    time_point deadline;
    time_point next_query;
    std::map<std::string, protocol::status_reply> replies; // by domain
  };
  struct pending_explain {
    std::uint64_t token = 0;
    config_version move_id = 0;
    time_point deadline;
  };

  void dispatch(const operator_command_received& request, const operators::statement& parsed);
  void show(std::uint64_t token, const operators::show_query& query);
  operators::report show_services() const;
  operators::report show_routes() const;
  operators::report show_versions() const;
  operators::report show_moves() const;
  operators::report show_domains() const;
  operators::report show_members() const;
  operators::report show_command(const std::string& id) const;
  void command(const operator_command_received& request, config::command body);
  std::vector<std::string> capacity_notes(const config::command& body) const;
  void start_survey(std::uint64_t token, config_version version, duration timeout);
  void advance_survey(std::uint64_t number, survey& value, std::vector<std::uint64_t>& finished);
  bool is_complete(const survey& value) const;
  operators::report report_of(const survey& value) const;
  protocol::status_reply local_domain_status(config_version version);
  void explain(std::uint64_t token, const std::string& service);
  operators::report report_of_move(const config::move& value, const std::string& text) const;
  void answer(std::uint64_t token, operators::report value);
  std::string last_contact_text(const std::string& domain) const;

  context& shared_;
  distributor& distribution_;
  command_writer& writer_;
  move_conductor& conductor_;
  std::map<std::string, std::vector<pending_command>> pending_commands_; // by command id
  std::map<std::uint64_t, survey> surveys_;
  std::map<std::uint64_t, pending_explain> pending_explains_;
};

} // namespace arbutuslb::core::engine
