#include "arbutuslb/core/engine/operator_service.h"

#include <algorithm>
#include <cstdio>

namespace arbutuslb::core::engine {
namespace {

using operators::exit_code;
using operators::report;

report wrong_input(const std::vector<finding>& findings) {
  report value;
  value.code = exit_code::wrong_input;
  value.result = "nothing-done";
  value.findings = findings;
  return value;
}

std::string format_seconds(duration value) {
  return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(value).count()) + "s";
}

} // namespace

operator_service::operator_service(context& shared, distributor& distribution,
                                   command_writer& writer, move_conductor& conductor)
    : shared_(shared), distribution_(distribution), writer_(writer), conductor_(conductor) {}

void operator_service::answer(std::uint64_t token, report value) {
  const int code = static_cast<int>(value.code);
  shared_.add_action(answer_operator{token, code, operators::to_json_text(value)});
}

void operator_service::on_operator_command(const operator_command_received& request) {
  try {
    dispatch(request, operators::parse_statement(request.text, shared_.now));
  } catch (const findings_error& error) {
    answer(request.token, wrong_input(error.findings()));
  }
}

void operator_service::dispatch(const operator_command_received& request,
                                const operators::statement& parsed) {
  if (const operators::show_query* query = std::get_if<operators::show_query>(&parsed)) {
    show(request.token, *query);
  } else if (std::get_if<operators::in_force_query>(&parsed) != nullptr) {
    start_survey(request.token, shared_.configuration.version(), status_timeout);
  } else if (std::get_if<operators::publish_request>(&parsed) != nullptr) {
    command(request, config::parse_publish_document(request.document));
  } else if (const operators::command_request* change =
                 std::get_if<operators::command_request>(&parsed)) {
    command(request, change->body);
  } else if (const operators::wait_request* wait = std::get_if<operators::wait_request>(&parsed)) {
    start_survey(request.token, wait->version, wait->timeout);
  } else if (const operators::explain_request* explained =
                 std::get_if<operators::explain_request>(&parsed)) {
    explain(request.token, explained->service);
  } else {
    report value;
    value.result = "help";
    value.details.columns = {"command", "meaning"};
    for (const operators::verb_form& form : operators::verb_forms()) {
      value.details.rows.push_back({std::string(form.pattern), std::string(form.help)});
    }
    answer(request.token, value);
  }
}

// --- queries ---

void operator_service::show(std::uint64_t token, const operators::show_query& query) {
  report value;
  switch (query.subject) {
  case operators::show_subject::services:
    value = show_services();
    break;
  case operators::show_subject::routes:
    value = show_routes();
    break;
  case operators::show_subject::versions:
    value = show_versions();
    break;
  case operators::show_subject::moves:
    value = show_moves();
    break;
  case operators::show_subject::domains:
    value = show_domains();
    break;
  case operators::show_subject::members:
    value = show_members();
    break;
  case operators::show_subject::command:
    value = show_command(query.name);
    break;
  }
  value.facts.emplace_back("version", std::to_string(shared_.configuration.version()));
  answer(token, value);
}

report operator_service::show_services() const {
  report value;
  value.result = "services";
  value.details.columns = {"service", "active", "versions", "slots", "changed", "by"};
  for (const auto& [name, item] : shared_.configuration.services()) {
    std::string versions;
    for (const std::string& version : item.versions) {
      versions += (versions.empty() ? "" : ",") + version;
    }
    value.details.rows.push_back({name, item.active, versions, std::to_string(item.slots),
                                  std::to_string(item.last_change.version),
                                  item.last_change.operator_name});
  }
  return value;
}

report operator_service::show_routes() const {
  report value;
  value.result = "routes";
  value.details.columns = {"route", "path", "service", "idempotent", "class", "changed"};
  for (const auto& [name, item] : shared_.configuration.routes()) {
    value.details.rows.push_back({name, item.path_prefix, item.service,
                                  item.idempotent ? "yes" : "no", config::to_string(item.priority),
                                  std::to_string(item.last_change.version)});
  }
  return value;
}

report operator_service::show_versions() const {
  report value;
  value.result = "versions";
  value.details.columns = {"service", "version", "state", "upstreams"};
  for (const auto& [name, item] : shared_.configuration.services()) {
    const config::move* running = shared_.configuration.running_move(name);
    for (const std::string& version : item.versions) {
      std::size_t upstreams = 0;
      for (const member_id id : shared_.members.members_serving(name)) {
        upstreams += shared_.members.find(id)->version == version ? 1 : 0;
      }
      const bool is_new = running != nullptr && running->to == version;
      const std::string state = version == item.active ? "active" : is_new ? "on-trial" : "idle";
      value.details.rows.push_back({name, version, state, std::to_string(upstreams)});
    }
  }
  return value;
}

report operator_service::show_moves() const {
  report value;
  value.result = "moves";
  value.details.columns = {"move", "service", "from", "to", "by", "state", "share", "reason"};
  for (const auto& [name, item] : shared_.configuration.moves()) {
    const bool is_running = item.state == config::move_state::running;
    value.details.rows.push_back(
        {std::to_string(item.id), name, item.from, item.to, operators::format_time(item.deadline),
         config::to_string(item.state), std::to_string(item.share_permille) + "/1000",
         is_running ? conductor_.explain(item.id) : item.reason});
  }
  return value;
}

std::string operator_service::last_contact_text(const std::string& domain) const {
  if (domain == shared_.settings.domain) {
    return "here";
  }
  const std::optional<time_point> contact = shared_.last_contact_time(domain);
  return contact ? format_seconds(shared_.now - *contact) + " ago" : "never";
}

report operator_service::show_domains() const {
  report value;
  value.result = "domains";
  value.details.columns = {"domain", "region", "state", "daemons", "heard"};
  for (const auto& [name, item] : shared_.configuration.domains()) {
    value.details.rows.push_back({name, item.region, item.withdrawn ? "withdrawn" : "in-use",
                                  std::to_string(shared_.members.present_members_of(name).size()),
                                  last_contact_text(name)});
  }
  return value;
}

report operator_service::show_members() const {
  report value;
  value.result = "members";
  value.details.columns = {"member", "domain", "service", "version", "status", "address"};
  for (const member_id id : shared_.members.present()) {
    const membership::member& item = *shared_.members.find(id);
    value.details.rows.push_back(
        {item.name, item.domain, item.service, item.version, membership::to_string(item.status),
         item.address.host + ":" + std::to_string(item.address.stream_port)});
  }
  std::sort(value.details.rows.begin(), value.details.rows.end());
  return value;
}

report operator_service::show_command(const std::string& id) const {
  report value;
  const std::optional<config::command_outcome> outcome = shared_.configuration.outcome_of(id);
  if (!outcome) {
    value.code = exit_code::unknown;
    value.result = "not-seen";
    value.notes.push_back("no outcome is recorded at this version for this command id; only recent "
                          "outcomes are kept");
    return value;
  }
  value.result = outcome->accepted ? "accepted" : "refused";
  value.facts.emplace_back("at", std::to_string(outcome->version));
  if (!outcome->text.empty()) {
    value.findings.push_back({"", outcome->text});
  }
  return value;
}

// --- commands ---

void operator_service::command(const operator_command_received& request, config::command body) {
  config::record value;
  value.command_id = request.command_id;
  if (value.command_id.empty()) {
    value.command_id = "c-" + std::to_string(shared_.random.bits());
  }
  const std::optional<config::command_outcome> recorded =
      shared_.configuration.outcome_of(value.command_id);
  if (!recorded) {
    const std::vector<finding> findings = shared_.configuration.check(body);
    if (!findings.empty()) {
      report refusal = wrong_input(findings);
      refusal.code = exit_code::refused;
      refusal.result = "refused";
      answer(request.token, refusal);
      return;
    }
  }
  value.operator_name = request.operator_name.empty() ? "unnamed" : request.operator_name;
  value.issued_at = shared_.now;
  for (const std::string& key : config::affected_object_keys(body)) {
    value.expected_versions[key] = shared_.configuration.last_change_version(key);
  }
  pending_commands_[value.command_id].push_back({request.token, capacity_notes(body)});
  value.body = std::move(body);
  writer_.submit(value, shared_.now + command_timeout);
}

// Returns a note for each service that loses capacity if the command withdraws a failure domain.
std::vector<std::string> operator_service::capacity_notes(const config::command& body) const {
  std::vector<std::string> notes;
  const config::withdraw_command* withdrawn = std::get_if<config::withdraw_command>(&body);
  if (withdrawn == nullptr) {
    return notes;
  }
  for (const auto& [name, item] : shared_.configuration.services()) {
    int current_slots = 0;
    int remaining_slots = 0;
    for (const member_id id : shared_.members.members_serving(name)) {
      const membership::member& value = *shared_.members.find(id);
      const config::failure_domain* domain = shared_.configuration.find_domain(value.domain);
      const bool usable = value.version == item.active && (domain == nullptr || !domain->withdrawn);
      current_slots += usable ? item.slots : 0;
      remaining_slots += usable && value.domain != withdrawn->domain ? item.slots : 0;
    }
    if (remaining_slots < current_slots) {
      notes.push_back(name + ": " + std::to_string(remaining_slots) + " of " +
                      std::to_string(current_slots) + " warm slots remain" +
                      (remaining_slots == 0 ? "; its calls will be refused" : ""));
    }
  }
  return notes;
}

void operator_service::on_command_completed(const completed_command& settled) {
  const std::map<std::string, std::vector<pending_command>>::iterator found =
      pending_commands_.find(settled.command_id);
  if (found == pending_commands_.end()) {
    return;
  }
  report value;
  value.facts.emplace_back("command", settled.command_id);
  switch (settled.how) {
  case command_result::accepted:
    value.result = "accepted";
    value.facts.emplace_back("version", std::to_string(settled.outcome.version));
    break;
  case command_result::refused:
    value.code = exit_code::refused;
    value.result = "refused";
    value.facts.emplace_back("version", std::to_string(settled.outcome.version));
    value.findings.push_back({"", settled.outcome.text});
    break;
  case command_result::not_appended:
    value.code = exit_code::not_accepted;
    value.result = "not-accepted";
    value.notes.push_back("the log did not accept the record; the command has no effect");
    break;
  case command_result::unknown:
    value.code = exit_code::unknown;
    value.result = "unknown";
    value.notes.push_back("the command may still take effect; to check, run: show command " +
                          settled.command_id);
    break;
  }
  for (const pending_command& pending : found->second) {
    report copy = value;
    copy.notes.insert(copy.notes.end(), pending.notes.begin(), pending.notes.end());
    answer(pending.token, copy);
  }
  pending_commands_.erase(found);
}

// --- versions in force by failure domain ---

void operator_service::start_survey(std::uint64_t token, config_version version, duration timeout) {
  survey value;
  value.token = token;
  value.version = version;
  value.deadline = shared_.now + timeout;
  value.next_query = shared_.now;
  surveys_.emplace(shared_.next_id(), std::move(value));
  on_tick();
}

protocol::status_reply operator_service::local_domain_status(config_version version) {
  protocol::status_reply reply;
  reply.domain = shared_.settings.domain;
  reply.lowest_version = shared_.configuration.version();
  for (const member_id id : shared_.members.present_members_of(shared_.settings.domain)) {
    const membership::member& value = *shared_.members.find(id);
    const std::map<member_id, distributor::member_report>::const_iterator report =
        distribution_.version_reports().find(id);
    const bool has_report = report != distribution_.version_reports().end() &&
                            report->second.process_epoch == value.process_epoch;
    const config_version member_version = id == shared_.self.id ? shared_.configuration.version()
                                          : has_report          ? report->second.version
                                                                : 0;
    ++reply.members;
    reply.members_at_version += member_version >= version ? 1 : 0;
    reply.lowest_version = std::min(reply.lowest_version, member_version);
    if (member_version < version && reply.lagging_members.size() < max_lagging_names) {
      reply.lagging_members.push_back(value.name);
    }
  }
  return reply;
}

void operator_service::on_status_query(const protocol::message& from,
                                       const protocol::status_query& query) {
  protocol::status_reply reply = local_domain_status(query.version);
  reply.token = query.token;
  shared_.send_to(from.sender.address, reply, channel::datagram);
}

void operator_service::on_status_reply(const protocol::status_reply& reply) {
  const std::map<std::uint64_t, survey>::iterator found = surveys_.find(reply.token);
  if (found == surveys_.end()) {
    return;
  }
  protocol::status_reply& recorded = found->second.replies[reply.domain];
  if (recorded.domain.empty() || reply.members_at_version >= recorded.members_at_version) {
    recorded = reply;
  }
}

bool operator_service::is_complete(const survey& value) const {
  for (const std::string& domain : shared_.members.domains()) {
    const std::size_t present = shared_.members.present_members_of(domain).size();
    const std::map<std::string, protocol::status_reply>::const_iterator reply =
        value.replies.find(domain);
    if (present > 0 && (reply == value.replies.end() ||
                        reply->second.members_at_version < reply->second.members)) {
      return false;
    }
  }
  return true;
}

void operator_service::advance_survey(std::uint64_t number, survey& value,
                                      std::vector<std::uint64_t>& finished) {
  // Version reports can be lost, so one collector may lack a report that the other has. The domain
  // is queried again while its reply is incomplete.
  if (is_complete(value) || shared_.now >= value.deadline) {
    answer(value.token, report_of(value));
    finished.push_back(number);
    return;
  }
  if (shared_.now < value.next_query) {
    return;
  }
  value.next_query = shared_.now + status_query_period;
  for (const std::string& domain : shared_.members.domains()) {
    const std::vector<member_id> report_collectors =
        membership::highest_ranked(context::role_hash("reader", domain),
                                   shared_.members.present_members_of(domain), readers_per_domain);
    for (const member_id id : report_collectors) {
      if (id == shared_.self.id) {
        protocol::status_reply local_status = local_domain_status(value.version);
        local_status.token = number;
        on_status_reply(local_status);
      } else {
        shared_.send(id, protocol::status_query{number, value.version}, channel::datagram);
      }
    }
  }
}

report operator_service::report_of(const survey& value) const {
  report result;
  std::size_t members = 0;
  std::size_t members_at_version = 0;
  bool all_answered = true;
  result.details.columns = {"domain", "daemons", "in_force", "lowest", "lacking", "heard"};
  for (const std::string& domain : shared_.members.domains()) {
    const std::map<std::string, protocol::status_reply>::const_iterator found =
        value.replies.find(domain);
    const std::size_t present = shared_.members.present_members_of(domain).size();
    if (found == value.replies.end()) {
      all_answered = all_answered && present == 0;
      members += present;
      result.details.rows.push_back(
          {domain, std::to_string(present), "not heard", "?", "?", last_contact_text(domain)});
      continue;
    }
    const protocol::status_reply& reply = found->second;
    members += reply.members;
    members_at_version += reply.members_at_version;
    std::string lacking;
    for (const std::string& name : reply.lagging_members) {
      lacking += (lacking.empty() ? "" : ",") + name;
    }
    result.details.rows.push_back({domain, std::to_string(reply.members),
                                   std::to_string(reply.members_at_version),
                                   std::to_string(reply.lowest_version),
                                   lacking.empty() ? "-" : lacking, last_contact_text(domain)});
  }
  const bool is_in_force_everywhere = all_answered && members_at_version == members;
  result.code = is_in_force_everywhere ? exit_code::ok : exit_code::refused;
  result.result = is_in_force_everywhere ? "in-force" : "not-in-force-everywhere";
  result.facts = {{"version", std::to_string(value.version)},
                  {"daemons", std::to_string(members)},
                  {"in_force", std::to_string(members_at_version)}};
  const duration age = shared_.now - shared_.log_confirmed_at;
  result.facts.emplace_back(
      "knowledge_age", shared_.log_confirmed_at == time_point{} ? "unknown" : format_seconds(age));
  return result;
}

// --- explain ---

report operator_service::report_of_move(const config::move& value, const std::string& text) const {
  report result;
  result.result = config::to_string(value.state);
  result.facts = {{"move", std::to_string(value.id)},
                  {"service", value.service},
                  {"from", value.from},
                  {"to", value.to},
                  {"by", operators::format_time(value.deadline)},
                  {"share", std::to_string(value.share_permille) + "/1000"}};
  result.notes.push_back(text);
  return result;
}

void operator_service::explain(std::uint64_t token, const std::string& service) {
  const std::map<std::string, config::move>::const_iterator found =
      shared_.configuration.moves().find(service);
  if (found == shared_.configuration.moves().end()) {
    report value = wrong_input({{"SERVICE", "no move of service \"" + service + "\" is recorded"}});
    answer(token, value);
    return;
  }
  const config::move& value = found->second;
  const std::vector<member_id> judges = conductor_.judges_of(value.id);
  const bool is_judge = std::find(judges.begin(), judges.end(), shared_.self.id) != judges.end();
  if (value.state != config::move_state::running || is_judge) {
    answer(token, report_of_move(value, conductor_.explain(value.id)));
    return;
  }
  const std::uint64_t number = shared_.next_id();
  pending_explains_.emplace(number,
                            pending_explain{token, value.id, shared_.now + explain_timeout});
  for (const member_id id : judges) {
    shared_.send(id, protocol::explain_query{number, value.id}, channel::datagram);
  }
}

void operator_service::on_explain_reply(const protocol::explain_reply& reply) {
  const std::map<std::uint64_t, pending_explain>::iterator found =
      pending_explains_.find(reply.token);
  if (found == pending_explains_.end()) {
    return;
  }
  const config::move* value = shared_.configuration.find_move(found->second.move_id);
  if (value != nullptr) {
    answer(found->second.token, report_of_move(*value, reply.text));
  } else {
    answer(found->second.token,
           wrong_input({{"SERVICE", "the move is no longer in the configuration"}}));
  }
  pending_explains_.erase(found);
}

void operator_service::on_tick() {
  std::vector<std::uint64_t> finished;
  for (auto& [number, value] : surveys_) {
    advance_survey(number, value, finished);
  }
  for (const std::uint64_t number : finished) {
    surveys_.erase(number);
  }
  std::vector<std::uint64_t> expired;
  for (const auto& [number, value] : pending_explains_) {
    if (shared_.now >= value.deadline) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    const config_version move_id = pending_explains_.at(number).move_id;
    on_explain_reply({number, conductor_.explain(move_id) + "; no judge answered in time"});
  }
}

} // namespace arbutuslb::core::engine
