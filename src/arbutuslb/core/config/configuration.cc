#include "arbutuslb/core/config/configuration.h"

#include "arbutuslb/core/base/hash.h"
#include "arbutuslb/core/config/internal_json.h"
#include "arbutuslb/core/config/object_hash.h"

#include <algorithm>
#include <limits>
#include <set>

namespace arbutuslb::core::config {
namespace {

// The number of latest commands whose outcomes are retained, so that a repeat has no second effect.
constexpr std::size_t max_recorded_outcomes = 2048;
constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();
constexpr int snapshot_format = 1;

template <typename Value>
json objects_of(const std::map<std::string, Value>& values) {
  json array = json::array();
  for (const auto& [name, value] : values) {
    array.push_back(internal::to_json(value));
  }
  return array;
}

template <typename Map>
std::string with_suggestion(const std::string& text, const std::string& name, const Map& known) {
  std::vector<std::string> names;
  for (const auto& [key, ignored] : known) {
    names.push_back(key);
  }
  const std::string nearest = nearest_word(name, names);
  return text + " \"" + name + "\"" +
         (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?");
}

} // namespace

// Applies the body of an accepted command to `state`.
struct configuration::applier {
  configuration& state;
  const record& source;
  change_info change;

  void operator()(const publish_command& value) const {
    for (failure_domain item : value.domains) {
      const failure_domain* known = state.find_domain(item.name);
      item.withdrawn = known != nullptr && known->withdrawn;
      item.last_change = change;
      state.replace(state.domains_, item.name, item);
    }
    for (const std::string& name : value.removed_routes) {
      state.erase(state.routes_, name);
    }
    for (service item : value.services) {
      item.last_change = change;
      state.replace(state.services_, item.name, item);
    }
    // Erases all changed routes before any is added again, so that two routes may swap prefixes.
    for (const route& item : value.routes) {
      state.erase(state.routes_, item.name);
    }
    for (route item : value.routes) {
      item.last_change = change;
      state.replace(state.routes_, item.name, item);
    }
    for (const std::string& name : value.removed_services) {
      state.erase(state.services_, name);
      state.erase(state.moves_, name);
    }
  }

  void operator()(const move_command& value) const {
    move started;
    started.id = change.version;
    started.service = value.service;
    started.from = value.from;
    started.to = value.to;
    started.started = source.issued_at;
    started.deadline = value.deadline;
    started.limits = value.limits;
    started.last_change = change;
    state.replace(state.moves_, value.service, started);
  }

  void operator()(const stop_move_command& value) const {
    end_move(value.service, move_state::stopped, "stopped by " + source.operator_name);
  }

  void operator()(const move_step_command& value) const {
    move updated = *state.find_move(value.move_id);
    updated.share_permille = value.share_permille;
    updated.last_change = change;
    state.replace(state.moves_, updated.service, updated);
  }

  void operator()(const move_verdict_command& value) const {
    const move judged = *state.find_move(value.move_id);
    end_move(judged.service, value.done ? move_state::done : move_state::rolled_back, value.reason);
    if (!value.done) {
      return;
    }
    service updated = state.services_.at(judged.service);
    updated.active = judged.to;
    updated.last_change = change;
    state.replace(state.services_, updated.name, updated);
  }

  void operator()(const withdraw_command& value) const { set_withdrawn(value.domain, true); }
  void operator()(const return_command& value) const { set_withdrawn(value.domain, false); }

private:
  void end_move(const std::string& service_name, move_state end, std::string reason) const {
    move ended = state.moves_.at(service_name);
    ended.state = end;
    ended.reason = std::move(reason);
    ended.share_permille = end == move_state::done ? 1000 : 0;
    ended.last_change = change;
    state.replace(state.moves_, service_name, ended);
  }

  void set_withdrawn(const std::string& name, bool withdrawn) const {
    failure_domain updated = state.domains_.at(name);
    updated.withdrawn = withdrawn;
    updated.last_change = change;
    state.replace(state.domains_, name, updated);
  }
};

template <typename Value>
void configuration::replace(std::map<std::string, Value>& objects, const std::string& name,
                            Value value) {
  erase(objects, name);
  objects_hash_ ^= hash_of(value);
  if constexpr (std::is_same_v<Value, route>) {
    routes_by_prefix_[value.path_prefix] = name;
  }
  objects.emplace(name, std::move(value));
}

template <typename Value>
void configuration::erase(std::map<std::string, Value>& objects, const std::string& name) {
  const typename std::map<std::string, Value>::iterator found = objects.find(name);
  if (found != objects.end()) {
    objects_hash_ ^= hash_of(found->second);
    if constexpr (std::is_same_v<Value, route>) {
      routes_by_prefix_.erase(found->second.path_prefix);
    }
    objects.erase(found);
  }
}

apply_result configuration::apply(config_version offset, std::string_view bytes) {
  if (offset != version_ + 1) {
    return {apply_status::out_of_order, {}, {}};
  }
  record parsed;
  try {
    parsed = parse_record(bytes);
  } catch (const findings_error& error) {
    version_ = offset;
    ++malformed_records_;
    return {apply_status::malformed, error.findings(), {}};
  }
  if (outcomes_.contains(parsed.command_id)) {
    version_ = offset;
    return {apply_status::repeated, {}, parsed.command_id};
  }
  finding_list findings;
  check_expected_versions(parsed, findings);
  if (findings.empty()) {
    check_command(parsed.body, findings);
  }
  version_ = offset;
  if (findings.empty()) {
    apply_command(parsed);
  }
  record_outcome(parsed.command_id,
                 {offset, findings.empty(), findings_error::describe(findings.items())});
  return {findings.empty() ? apply_status::accepted : apply_status::refused, findings.items(),
          parsed.command_id};
}

std::vector<finding> configuration::check(const command& value) const {
  finding_list findings;
  check_command(value, findings);
  return findings.items();
}

std::uint64_t configuration::state_hash() const noexcept {
  return objects_hash_ ^ rendezvous_weight(version_, malformed_records_);
}

void configuration::apply_command(const record& value) {
  const change_info change{version_, value.command_id, value.operator_name};
  std::visit(applier{*this, value, change}, value.body);
}

void configuration::record_outcome(const std::string& command_id, command_outcome outcome) {
  objects_hash_ ^= hash_of(command_id, outcome);
  outcomes_.emplace(command_id, std::move(outcome));
  outcome_order_.push_back(command_id);
  if (outcome_order_.size() <= max_recorded_outcomes) {
    return;
  }
  const std::string oldest = outcome_order_.front();
  outcome_order_.pop_front();
  objects_hash_ ^= hash_of(oldest, outcomes_.at(oldest));
  outcomes_.erase(oldest);
}

const change_info* configuration::last_change_of(std::string_view key) const {
  const std::size_t slash = key.find('/');
  const std::string kind(key.substr(0, slash));
  const std::string name(slash == std::string_view::npos ? "" : key.substr(slash + 1));
  const auto look_up = [&name](const auto& objects) -> const change_info* {
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second.last_change;
  };
  if (kind == "service") {
    return look_up(services_);
  }
  if (kind == "route") {
    return look_up(routes_);
  }
  if (kind == "domain") {
    return look_up(domains_);
  }
  return kind == "move" ? look_up(moves_) : nullptr;
}

config_version configuration::last_change_version(std::string_view key) const {
  const change_info* change = last_change_of(key);
  return change == nullptr ? 0 : change->version;
}

void configuration::check_expected_versions(const record& value, finding_list& findings) const {
  for (const auto& [key, expected] : value.expected_versions) {
    const change_info* change = last_change_of(key);
    if (change == nullptr && expected != 0) {
      findings.add(key, "was removed after version " + std::to_string(expected));
    } else if (change != nullptr && change->version != expected) {
      findings.add(key, "written against version " + std::to_string(expected) + ", but " +
                            change->operator_name + " changed it at version " +
                            std::to_string(change->version) + " by command " + change->command_id);
    }
  }
}

void configuration::check_command(const command& value, finding_list& findings) const {
  if (const publish_command* publish = std::get_if<publish_command>(&value)) {
    check_publish(*publish, findings);
  } else if (const move_command* started = std::get_if<move_command>(&value)) {
    check_move(*started, findings);
  } else if (const stop_move_command* stop = std::get_if<stop_move_command>(&value)) {
    if (running_move(stop->service) == nullptr) {
      findings.add("service", "no move of \"" + stop->service + "\" is running");
    }
  } else if (const move_step_command* step = std::get_if<move_step_command>(&value)) {
    check_move_is_running(step->move_id, findings);
    const move* stepped = find_move(step->move_id);
    if (stepped != nullptr && step->share_permille <= stepped->share_permille) {
      findings.add("share_permille", "the move is at " + std::to_string(stepped->share_permille));
    }
  } else if (const move_verdict_command* verdict = std::get_if<move_verdict_command>(&value)) {
    check_move_is_running(verdict->move_id, findings);
  } else if (const withdraw_command* withdrawn = std::get_if<withdraw_command>(&value)) {
    check_domain(withdrawn->domain, true, findings);
  } else if (const return_command* returned = std::get_if<return_command>(&value)) {
    check_domain(returned->domain, false, findings);
  }
}

void configuration::check_publish(const publish_command& value, finding_list& findings) const {
  check_services(value, findings);
  check_routes(value, findings);
}

void configuration::check_services(const publish_command& value, finding_list& findings) const {
  for (std::size_t i = 0; i < value.services.size(); ++i) {
    const service& item = value.services[i];
    const std::string place = "services[" + std::to_string(i) + "]";
    const auto has_version = [&item](const std::string& name) {
      return std::find(item.versions.begin(), item.versions.end(), name) != item.versions.end();
    };
    if (!has_version(item.active)) {
      findings.add(place + ".active", "unknown version \"" + item.active + "\"");
    }
    const service* known = find_service(item.name);
    if (known != nullptr && known->active != item.active) {
      findings.add(place + ".active", "\"" + known->active + "\" is active; use move to change it");
    }
    const move* running = running_move(item.name);
    if (running != nullptr && !(has_version(running->from) && has_version(running->to))) {
      findings.add(place + ".versions", "a running move needs versions \"" + running->from +
                                            "\" and \"" + running->to + "\"");
    }
  }
  for (std::size_t i = 0; i < value.removed_services.size(); ++i) {
    const std::string& name = value.removed_services[i];
    const std::string place = "remove_services[" + std::to_string(i) + "]";
    if (find_service(name) == nullptr) {
      findings.add(place, with_suggestion("unknown service", name, services_));
    }
    if (running_move(name) != nullptr) {
      findings.add(place, "a move of \"" + name + "\" is running");
    }
  }
}

// Returns true if the service will exist once the command has been applied.
bool configuration::service_exists_after(const publish_command& value,
                                         const std::string& name) const {
  const auto is_published = [&name](const service& item) { return item.name == name; };
  if (std::any_of(value.services.begin(), value.services.end(), is_published)) {
    return true;
  }
  const bool is_removed = std::find(value.removed_services.begin(), value.removed_services.end(),
                                    name) != value.removed_services.end();
  return !is_removed && services_.contains(name);
}

void configuration::check_routes(const publish_command& value, finding_list& findings) const {
  std::set<std::string> affected_routes;
  for (const std::string& name : value.removed_routes) {
    if (!routes_.contains(name)) {
      findings.add("remove_routes", with_suggestion("unknown route", name, routes_));
    }
    affected_routes.insert(name);
  }
  for (const route& item : value.routes) {
    affected_routes.insert(item.name);
  }
  std::set<std::string> prefixes;
  for (std::size_t i = 0; i < value.routes.size(); ++i) {
    const route& item = value.routes[i];
    const std::string place = "routes[" + std::to_string(i) + "]";
    if (!service_exists_after(value, item.service)) {
      findings.add(place + ".service", with_suggestion("unknown service", item.service, services_));
    }
    if (!prefixes.insert(item.path_prefix).second) {
      findings.add(place + ".path_prefix", "stands twice in this document");
    }
    const std::unordered_map<std::string, std::string>::const_iterator existing =
        routes_by_prefix_.find(item.path_prefix);
    if (existing != routes_by_prefix_.end() && !affected_routes.contains(existing->second)) {
      findings.add(place + ".path_prefix", "is that of route \"" + existing->second + "\"");
    }
  }
  if (value.removed_services.empty()) {
    return;
  }
  for (const auto& [name, item] : routes_) {
    if (!affected_routes.contains(name) && !service_exists_after(value, item.service)) {
      findings.add("remove_services", "route \"" + name + "\" needs \"" + item.service + "\"");
    }
  }
}

void configuration::check_move(const move_command& value, finding_list& findings) const {
  const service* known = find_service(value.service);
  if (known == nullptr) {
    findings.add("service", with_suggestion("unknown service", value.service, services_));
    return;
  }
  if (known->active != value.from) {
    findings.add("from", "\"" + known->active + "\" is active, not \"" + value.from + "\"");
  }
  if (std::find(known->versions.begin(), known->versions.end(), value.to) ==
      known->versions.end()) {
    findings.add("to", "unknown version \"" + value.to + "\" of \"" + value.service + "\"");
  }
  if (value.from == value.to) {
    findings.add("to", "is the version that the move starts from");
  }
  const move* running = running_move(value.service);
  if (running != nullptr) {
    findings.add("service", "move " + std::to_string(running->id) + " to \"" + running->to +
                                "\" is running, commanded by " +
                                running->last_change.operator_name);
  }
}

void configuration::check_move_is_running(config_version move_id, finding_list& findings) const {
  const move* judged = find_move(move_id);
  if (judged == nullptr) {
    findings.add("move", "unknown move " + std::to_string(move_id));
  } else if (judged->state != move_state::running) {
    findings.add("move",
                 "move " + std::to_string(move_id) + " has ended: " + to_string(judged->state));
  }
}

void configuration::check_domain(const std::string& name, bool withdraw,
                                 finding_list& findings) const {
  const failure_domain* known = find_domain(name);
  if (known == nullptr) {
    findings.add("domain", with_suggestion("unknown failure domain", name, domains_));
    return;
  }
  if (known->withdrawn == withdraw) {
    findings.add("domain", "\"" + name + "\" is " + (withdraw ? "already" : "not") + " withdrawn");
    return;
  }
  const auto in_use = [&name](const auto& item) {
    return item.first != name && !item.second.withdrawn;
  };
  if (withdraw && std::none_of(domains_.begin(), domains_.end(), in_use)) {
    findings.add("domain", "\"" + name + "\" is the last failure domain in use");
  }
}

const service* configuration::find_service(std::string_view name) const {
  const std::map<std::string, service>::const_iterator found = services_.find(std::string(name));
  return found == services_.end() ? nullptr : &found->second;
}

const failure_domain* configuration::find_domain(std::string_view name) const {
  const std::map<std::string, failure_domain>::const_iterator found =
      domains_.find(std::string(name));
  return found == domains_.end() ? nullptr : &found->second;
}

const move* configuration::find_move(config_version id) const {
  for (const auto& [service_name, value] : moves_) {
    if (value.id == id) {
      return &value;
    }
  }
  return nullptr;
}

const move* configuration::running_move(std::string_view service) const {
  const std::map<std::string, move>::const_iterator found = moves_.find(std::string(service));
  if (found == moves_.end() || found->second.state != move_state::running) {
    return nullptr;
  }
  return &found->second;
}

const route* configuration::match_route(std::string_view path) const {
  for (std::size_t length = path.size(); length > 0; --length) {
    const bool is_whole_segment = length == path.size() || path[length - 1] == '/' ||
                                  path[length] == '/' || path[length] == '?';
    if (!is_whole_segment) {
      continue;
    }
    const std::unordered_map<std::string, std::string>::const_iterator found =
        routes_by_prefix_.find(std::string(path.substr(0, length)));
    if (found != routes_by_prefix_.end()) {
      return &routes_.at(found->second);
    }
  }
  return nullptr;
}

std::optional<command_outcome> configuration::outcome_of(const std::string& command_id) const {
  const std::unordered_map<std::string, command_outcome>::const_iterator found =
      outcomes_.find(command_id);
  if (found == outcomes_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::string configuration::snapshot() const {
  json outcomes = json::array();
  for (const std::string& id : outcome_order_) {
    const command_outcome& outcome = outcomes_.at(id);
    outcomes.push_back({id, outcome.version, outcome.accepted, outcome.text});
  }
  const json document = {{"format", snapshot_format},
                         {"version", version_},
                         {"malformed_records", malformed_records_},
                         {"domains", objects_of(domains_)},
                         {"services", objects_of(services_)},
                         {"routes", objects_of(routes_)},
                         {"moves", objects_of(moves_)},
                         {"outcomes", outcomes}};
  return document.dump();
}

configuration configuration::from_snapshot(std::string_view bytes) {
  const json document = parse_json_with_comments(bytes);
  finding_list findings;
  object_reader reader(document, "", findings);
  configuration state;
  reader.required_integer("format", snapshot_format, snapshot_format);
  state.version_ = static_cast<config_version>(reader.required_integer("version", 0, max_integer));
  state.malformed_records_ =
      static_cast<std::uint64_t>(reader.required_integer("malformed_records", 0, max_integer));
  for (const failure_domain& item :
       internal::read_all(reader, "domains", findings, internal::read_domain)) {
    state.replace(state.domains_, item.name, item);
  }
  for (const service& item :
       internal::read_all(reader, "services", findings, internal::read_service)) {
    state.replace(state.services_, item.name, item);
  }
  for (const route& item : internal::read_all(reader, "routes", findings, internal::read_route)) {
    state.replace(state.routes_, item.name, item);
  }
  for (const move& item : internal::read_all(reader, "moves", findings, internal::read_move)) {
    state.replace(state.moves_, item.service, item);
  }
  findings.throw_if_any();
  try {
    for (const json& item : document.at("outcomes")) {
      state.record_outcome(item.at(0).get<std::string>(),
                           {item.at(1).get<config_version>(), item.at(2).get<bool>(),
                            item.at(3).get<std::string>()});
    }
  } catch (const json::exception&) {
    throw findings_error(std::vector<finding>{{"outcomes", "malformed"}});
  }
  return state;
}

} // namespace arbutuslb::core::config
