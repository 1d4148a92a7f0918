#include "arbutuslb/core/engine/command_writer.h"

namespace arbutuslb::core::engine {

void command_writer::submit(const config::record& value, time_point deadline) {
  pending_command command;
  command.bytes = config::serialize(value);
  command.deadline = deadline;
  pending_.try_emplace(value.command_id, std::move(command));
  on_tick();
}

void command_writer::on_log_appended(const log_appended& result) {
  for (auto& [id, command] : pending_) {
    if (command.request != result.request) {
      continue;
    }
    command.request = 0;
    command.retry_at = shared_.now + append_retry_delay + shared_.random.jitter(append_retry_delay);
    command.is_appended = command.is_appended || result.result == append_result::appended;
    command.may_be_appended = command.may_be_appended || result.result != append_result::refused;
    shared_.log_read_requested = shared_.log_read_requested || command.is_appended;
  }
}

void command_writer::advance(const std::string& command_id, pending_command& command) {
  if (command.request != 0 && shared_.now - command.sent > append_timeout) {
    command.request = 0;
    command.may_be_appended = true;
  }
  if (command.request != 0 || command.is_appended || shared_.now < command.retry_at ||
      shared_.now >= command.deadline) {
    return;
  }
  if (command.may_be_appended) {
    shared_.write(severity::info, "append_repeated", {{"command", command_id}});
  }
  command.request = shared_.next_id();
  command.sent = shared_.now;
  ++shared_.totals.log_appends;
  shared_.add_action(append_log{command.request, config_stream, command.bytes});
}

void command_writer::on_tick() {
  std::vector<std::string> finished;
  for (auto& [id, command] : pending_) {
    const std::optional<config::command_outcome> outcome = shared_.configuration.outcome_of(id);
    if (outcome) {
      completed_.push_back(
          {id, outcome->accepted ? command_result::accepted : command_result::refused, *outcome});
      finished.push_back(id);
      continue;
    }
    if (shared_.now >= command.deadline) {
      const bool may_take_effect = command.may_be_appended || command.request != 0;
      completed_.push_back(
          {id, may_take_effect ? command_result::unknown : command_result::not_appended, {}});
      finished.push_back(id);
      continue;
    }
    advance(id, command);
  }
  for (const std::string& id : finished) {
    pending_.erase(id);
  }
}

} // namespace arbutuslb::core::engine
