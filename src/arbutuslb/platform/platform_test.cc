// Tests of the platform's formats: valid input becomes typed values, and invalid input is rejected
// with the place of each finding.

#include "arbutuslb/core/base/object_reader.h"
#include "arbutuslb/platform/heartbeats.h"
#include "arbutuslb/platform/orders.h"
#include "arbutuslb/platform/requests.h"
#include "arbutuslb/platform/store_client.h"
#include "arbutuslb/runtime/gateway_settings.h"
#include "arbutuslb/runtime/http/server.h"
#include "arbutuslb/runtime/settings.h"
#include "arbutuslb/runtime/test_address.h"
#include "arbutuslb/runtime/wire/gateway_codec.h"

#include <asio/io_context.hpp>
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace arbutuslb::platform;
namespace core = arbutuslb::core;
namespace gateway = core::gateway;
namespace http = arbutuslb::runtime::http;

constexpr const char* configuration_text = R"({
  "version": "r7",
  "routes": {
    "r-a": {"host": "x.example", "pathPrefix": "/a/", "kind": "unsafe", "timeout": "1200ms",
            "targetLatency": "0.4s", "priority": 1, "service": "menu", "attempts": 2},
    "r-b": {"host": "x.example", "pathPrefix": "/b/", "kind": "safe", "timeout": "1s",
            "targetLatency": "300ms", "trafficSplit": [{"service": "menu", "weight": 90},
                                                        {"service": "till", "weight": 10}]}},
  "services": {"menu": {"coldStart": "3s", "coldPerS": 17.0, "maxConnections": 120}, "till": {}},
  "limits": {"maxHeaderBytes": 100, "idleTimeout": "15000ms"}, "new_field": 1})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

std::string reason_of(const std::string& text) {
  const gateway::operator_record record = decode_operator_record({1, 3}, "config", text);
  const gateway::unreadable_record* malformed =
      std::get_if<gateway::unreadable_record>(&record.value);
  return malformed == nullptr ? "" : malformed->reason;
}

core::http_request heartbeat_request(const std::string& body) {
  core::http_request request;
  request.method = "PUT";
  request.target = "/instances/i-1";
  request.body = body;
  return request;
}

bool is_rejected(const core::json& heartbeat) {
  return std::holds_alternative<rejected_call>(
      decode_upstream_call(heartbeat_request(heartbeat.dump())));
}

constexpr const char* heartbeat_text =
    R"({"address":"10.0.0.9:80","born":17,"information":{"service":"menu","version":"v1",
        "zone":"a","capacitySlots":18},
        "status":{"state":"ready","sequence":4,"coldRemaining":"1500ms"}})";

} // namespace

Test(orders, a_configuration_becomes_typed_values) {
  const gateway::mesh_configuration value = decode_configuration(configuration_text);
  cr_assert_eq(value.version, 7);
  const gateway::route_policy* safe = value.match("x.example", "/b/1");
  cr_assert(safe->is_idempotent);
  cr_assert_eq(safe->split.size(), 2);
  const gateway::route_policy* unsafe = value.match("x.example", "/a/1");
  cr_assert_not(unsafe->is_idempotent);
  cr_assert(unsafe->target_latency == 400ms);
  cr_assert(value.find_service("menu")->cold_time == 3s);
  cr_assert_eq(value.limits.max_header_bytes, 100);
}

Test(orders, a_bad_configuration_is_refused_whole_with_its_places) {
  cr_assert(
      reason_of(replaced(configuration_text, "\"service\": \"menu\"", "\"service\": \"none\""))
          .find("routes.r-a: unknown service") != std::string::npos);
  cr_assert(reason_of(replaced(configuration_text, "/a/", "/a")).find("routes.r-a.pathPrefix") !=
            std::string::npos);
  cr_assert(reason_of(replaced(configuration_text, "\"weight\": 10", "\"weight\": \"x\""))
                .find("weight") != std::string::npos);
  cr_assert(reason_of(replaced(configuration_text, "1200ms", "soon")).find("timeout") !=
            std::string::npos);
  cr_assert(reason_of(replaced(configuration_text, "r7", "7")).find("version") !=
            std::string::npos);
  cr_assert(reason_of(std::string(configuration_text).substr(0, 100)).find("line") !=
            std::string::npos);
}

Test(orders, rollouts_withdrawals_and_their_removal) {
  const gateway::operator_record rollout = decode_operator_record(
      {1, 1}, "rollout/menu", R"({"service":"menu","targetVersion":"v2","duration":"12s"})");
  cr_assert(std::get<gateway::rollout_spec>(rollout.value).time_allowed == 12s);
  const gateway::operator_record withdrawal = decode_operator_record({1, 2}, "evacuate/a", "{}");
  cr_assert_eq(std::get<gateway::domain_withdrawal>(withdrawal.value).domain, "a");
  cr_assert(std::holds_alternative<gateway::record_removed>(
      decode_operator_record({1, 3}, "evacuate/a", "").value));
  const gateway::record_outcome outcome{"menu", "v2", gateway::rollout_phase::rolled_back, {}};
  const auto copy = decode_outcome(outcome_key("menu"), encode_outcome(outcome));
  cr_assert(copy->phase == gateway::rollout_phase::rolled_back);
  cr_assert_eq(copy->target_version, "v2");
}

Test(heartbeats, valid_ones_are_decoded_and_malformed_ones_are_rejected) {
  const auto valid = decode_upstream_call(heartbeat_request(heartbeat_text));
  const gateway::heartbeat& decoded = std::get<gateway::heartbeat>(valid);
  cr_assert_eq(decoded.started_ms, 17);
  cr_assert(decoded.cold_for == 1500ms);
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{{"\"born\":17", "\"born\":\"x\""},
                                                        {"\"ready\"", "\"fine\""},
                                                        {"18", "-1"},
                                                        {"\"sequence\":4", "\"sequence\":4.5"},
                                                        {"\"address\":\"10.0.0.9:80\",", ""},
                                                        {"{\"address\"", "{{"}}) {
    const auto malformed =
        decode_upstream_call(heartbeat_request(replaced(heartbeat_text, from, to)));
    cr_assert(std::holds_alternative<rejected_call>(malformed), "%s", to.c_str());
  }
}

// Guards against a heartbeat of another writer that is taken for the upstream's (UNASKED): one
// without zone and cold time replaced the upstream.
Test(heartbeats, one_with_a_field_missing_or_of_another_type_is_rejected) {
  const core::json complete = core::json::parse(heartbeat_text);
  for (const char* place :
       {"/address", "/born", "/information", "/information/service", "/information/version",
        "/information/zone", "/information/capacitySlots", "/status", "/status/state",
        "/status/sequence", "/status/coldRemaining"}) {
    const core::json::json_pointer field(place);
    core::json without = complete;
    without.at(field.parent_pointer()).erase(field.back());
    cr_assert(is_rejected(without), "without %s", place);
    for (const core::json& other :
         {core::json(), core::json(true), core::json(1.5), core::json(-1), core::json(""),
          core::json("other"), core::json::array({7}), core::json{{"a", 1}}}) {
      // Another string is another name; only the state and the cold time have a form.
      const bool is_of_same_type = other == "other" && complete.at(field).is_string() &&
                                   field.back() != "state" && field.back() != "coldRemaining";
      core::json changed = complete;
      changed.at(field) = other;
      cr_assert(is_rejected(changed) != is_of_same_type, "%s is %s", place, other.dump().c_str());
    }
  }
}

// Guards against an upstream, or a departure, without an id: no request could name it.
Test(heartbeats, a_call_without_an_instance_is_rejected) {
  for (const char* method : {"PUT", "DELETE"}) {
    core::http_request request = heartbeat_request(heartbeat_text);
    request.method = method;
    request.target = "/instances/";
    cr_assert(std::holds_alternative<rejected_call>(decode_upstream_call(request)), "%s", method);
  }
}

Test(requests, headers_that_the_daemons_set_are_not_taken_from_the_caller) {
  core::http_request request;
  request.method = "GET";
  request.target = "/a/1?b=c";
  request.headers = {{"Host", "x.example"},
                     {"x-attempt-identifier", "id-1"},
                     {"X-Deadline-Remaining", "250.5"},
                     {"X-Calling-Service", "forged"},
                     {"X-Expected-Instance", "forged"},
                     {"X-Other", "kept"}};
  gateway::run_request run;
  run.content = decode_call(request);
  cr_assert_eq(run.content.attempt_id, "id-1");
  cr_assert(run.content.time_left == 250500us);
  run.instance_id = "i-1";
  run.caller_service = "menu";
  run.time_left = 100ms;
  const core::http_request sent = encode_run_request(run);
  cr_assert_eq(*core::find_header(sent.headers, "X-Calling-Service"), "menu");
  cr_assert_eq(*core::find_header(sent.headers, "X-Expected-Instance"), "i-1");
  cr_assert_eq(*core::find_header(sent.headers, "X-Deadline-Remaining"), "100");
  cr_assert_eq(*core::find_header(sent.headers, "X-Other"), "kept");
  cr_assert_eq(sent.target, "/a/1?b=c");
}

Test(requests, only_a_marked_refusal_is_not_executed_and_only_a_signed_success_is_answered) {
  const auto outcome_of = [](int status, core::header_list headers) {
    return decode_answer({status, std::move(headers), ""}).outcome;
  };
  cr_assert(outcome_of(200, {{"X-Response-Signature", "s"}}) == gateway::run_outcome::answered);
  cr_assert(outcome_of(200, {}) == gateway::run_outcome::unknown);
  cr_assert(outcome_of(503, {{"X-Not-Executed", "1"}}) == gateway::run_outcome::not_executed);
  cr_assert(outcome_of(421, {}) == gateway::run_outcome::not_executed);
  cr_assert(outcome_of(503, {}) == gateway::run_outcome::answered);
  using arbutuslb::runtime::http::answer_owner;
  cr_assert(owner_of({200, {{"X-Attempt-Identifier", "a"}}, ""}, "a") ==
            answer_owner::this_request);
  cr_assert(owner_of({200, {{"X-Attempt-Identifier", "b"}}, ""}, "a") ==
            answer_owner::another_request);
  cr_assert(owner_of({503, {{"X-Not-Executed", "1"}}, ""}, "a") == answer_owner::unidentified);
}

Test(requests, limit_and_departure_that_an_upstream_states_are_decoded) {
  const auto notice_of = [](int status, core::header_list headers) {
    return decode_answer({status, std::move(headers), ""}).notice;
  };
  const gateway::upstream_notice both =
      notice_of(500, {{"Server-Limit", "27.5"}, {"Server-Leaving", "1"}}).value();
  cr_assert(both.rate_limit == 27.5 && both.is_leaving);
  cr_assert(notice_of(503, {{"X-Not-Executed", "1"}, {"server-limit", "0"}})->rate_limit == 0.0);
  for (const char* text : {"", "-1", "many", "1e999", "nan", "inf", "5 "}) {
    cr_assert(notice_of(200, {{"Server-Limit", text}}) == gateway::upstream_notice{}, "%s", text);
  }
  cr_assert_not(notice_of(421, {{"Server-Leaving", "1"}}).has_value());
}

// A peer's message without content decodes to an answer with status 0.
Test(gateway_codec, an_answer_with_an_invalid_status_is_malformed) {
  namespace wire = arbutuslb::runtime::wire;
  for (const int status : {0, 99, 600, 999}) {
    gateway::run_result result;
    result.outcome = gateway::run_outcome::answered;
    result.answer.status = status;
    cr_assert_throw(wire::decode_run_result(wire::encode(result)), wire::codec_error);
  }
  cr_assert_throw(wire::decode_run_result(""), wire::codec_error);
}

Test(gateway_codec, requests_results_and_reports_survive_a_round_trip) {
  namespace wire = arbutuslb::runtime::wire;
  gateway::run_request request;
  request.content.attempt_id = "id";
  request.content.message.body = std::string("\0\xff", 2);
  request.rollout_share_permille = -1;
  request.time_left = 5ms;
  const gateway::run_request copy = wire::decode_run_request(wire::encode(request));
  cr_assert_eq(copy.content.message.body, request.content.message.body);
  cr_assert_eq(copy.rollout_share_permille, -1);
  cr_assert_not(copy.stated_rate_limit.has_value());
  request.stated_rate_limit = 0.0;
  cr_assert(wire::decode_run_request(wire::encode(request)).stated_rate_limit == 0.0);
  gateway::run_result result;
  cr_assert_not(wire::decode_run_result(wire::encode(result)).notice.has_value());
  result.notice.emplace();
  cr_assert(wire::decode_run_result(wire::encode(result)).notice == result.notice);
  result.notice->is_leaving = true;
  cr_assert(wire::decode_run_result(wire::encode(result)).notice == result.notice);
  result.notice->rate_limit = 2.5;
  cr_assert(wire::decode_run_result(wire::encode(result)).notice == result.notice);
  result.notice->rate_limit = -1.0;
  cr_assert_throw(wire::decode_run_result(wire::encode(result)), wire::codec_error);
  gateway::peer_report report;
  report.host = "10.0.0.7";
  report.process_epoch = 9;
  const auto direct =
      wire::decode_reports(wire::encode(gateway::report_bundle{{{report, {}}}, {}}), "10.0.0.8")
          .reports;
  cr_assert_eq(direct[0].content.host, "10.0.0.8");
  const auto relayed =
      wire::decode_reports(wire::encode(gateway::report_bundle{{{report, 1ms}}, {}}), "10.0.0.8")
          .reports;
  cr_assert_eq(relayed[0].content.host, "10.0.0.7");
  const gateway::report_bundle mentioned = wire::decode_reports(
      wire::encode(gateway::report_bundle{{}, {{"10.0.0.9", 7ms}}}), "10.0.0.8");
  cr_assert_eq(mentioned.presences.at(0).host, "10.0.0.9");
  cr_assert(mentioned.presences.at(0).age == 7ms);
  const std::string from_the_future =
      wire::encode(gateway::report_bundle{{}, {{"10.0.0.9", -7ms}}});
  for (const std::string& bytes : {std::string("\xff\xff\xff"), std::string(), from_the_future}) {
    cr_assert_throw(wire::decode_reports(bytes, "10.0.0.8"), wire::codec_error);
  }
}

Test(gateway_codec, positions_survive_a_round_trip_with_their_era) {
  namespace wire = arbutuslb::runtime::wire;
  const gateway::log_position position{3, 17};
  gateway::peer_report report;
  report.operator_log_end = position;
  const std::string bytes = wire::encode(gateway::report_bundle{{{report, {}}}, {}});
  cr_assert(wire::decode_reports(bytes, "10.0.0.8").reports[0].content.operator_log_end ==
            position);
  cr_assert(wire::decode_operator_records_request(
                wire::encode_operator_records_request(position)) == position);
  const wire::operator_records_reply reply = wire::decode_operator_records_reply(
      wire::encode(wire::operator_records_reply{{{{2, 5}, "config", "x"}}, position}));
  cr_assert(reply.end == position);
  const gateway::log_position earlier{2, 5};
  cr_assert(reply.operator_records.at(0).position == earlier);
}

Test(gateway_codec, suspicions_survive_a_round_trip) {
  namespace wire = arbutuslb::runtime::wire;
  const core::calls::suspicion suspect{
      0xfeedU, 2, 3, core::time_point{1'790'000'000'123ms}, {7, 8, 9}};
  gateway::run_request request;
  request.suspicion = suspect;
  cr_assert(wire::decode_run_request(wire::encode(request)).suspicion == suspect);
  gateway::run_result result;
  result.suspicion = suspect;
  result.is_behind_suspect = true;
  cr_assert(wire::decode_run_result(wire::encode(result)).suspicion == suspect);
  cr_assert(wire::decode_run_result(wire::encode(result)).is_behind_suspect);
  gateway::report_bundle bundle;
  bundle.reports.emplace_back();
  bundle.reports[0].content.suspicions = {suspect};
  const gateway::report_bundle decoded = wire::decode_reports(wire::encode(bundle), "10.0.0.1");
  cr_assert(decoded.reports[0].content.suspicions == bundle.reports[0].content.suspicions);
  cr_assert(wire::decode_suspicions(wire::encode_suspicions({suspect, suspect})) ==
            std::vector<core::calls::suspicion>({suspect, suspect}));
  cr_assert_eq(wire::decode_run_request(wire::encode(gateway::run_request{})).suspicion.fingerprint,
               0);
}

Test(gateway_codec, the_progress_of_rollouts_survives_a_round_trip) {
  namespace wire = arbutuslb::runtime::wire;
  gateway::report_bundle bundle;
  bundle.reports.emplace_back();
  bundle.reports[0].content.rollouts = {{7, 400, gateway::rollout_phase::running, std::nullopt},
                                        {8, 1000, gateway::rollout_phase::completed, 0},
                                        {9, 150, gateway::rollout_phase::rolled_back, 3}};
  const gateway::report_bundle decoded = wire::decode_reports(wire::encode(bundle), "10.0.0.1");
  cr_assert(decoded.reports[0].content.rollouts == bundle.reports[0].content.rollouts);
}

Test(gateway_codec, a_suspicion_with_too_many_upstreams_is_rejected) {
  namespace wire = arbutuslb::runtime::wire;
  const core::calls::suspicion impossible{1, 0, 1, core::time_point{}, {1, 2, 3, 4}};
  try {
    wire::decode_suspicions(wire::encode_suspicions({impossible}));
    cr_assert_fail("not rejected");
  } catch (const wire::codec_error& error) {
    cr_assert_neq(std::string(error.what()), "");
  }
}

Test(gateway_codec, a_suspicion_with_an_impossible_time_is_rejected) {
  namespace wire = arbutuslb::runtime::wire;
  const core::calls::suspicion impossible{1, 0, 1, core::time_point::min()};
  try {
    wire::decode_suspicions(wire::encode_suspicions({impossible}));
    cr_assert_fail("not rejected");
  } catch (const wire::codec_error& error) {
    cr_assert_neq(std::string(error.what()), "");
  }
}

Test(gateway_settings, every_fault_is_named_with_its_place) {
  try {
    arbutuslb::runtime::parse_gateway_settings(
        R"({"instance": "a", "listen": {"callers": "here", "report_port": 0}, "stor": "x"})");
    cr_assert(false);
  } catch (const core::findings_error& error) {
    const std::string text = error.what();
    for (const char* place : {"failure_domain", "listen.callers", "listen.report_port", "store",
                              "upstream.service", "stor:"}) {
      cr_assert(text.find(place) != std::string::npos, "%s", place);
    }
  }
}

// The server gives each request the answer that is set in `next`.
Test(store_client, append_statuses_and_records_are_decoded) {
  asio::io_context loop;
  const asio::ip::tcp::endpoint address = arbutuslb::runtime::free_address();
  core::http_response next;
  http::server* store = nullptr;
  http::server served(
      loop, address,
      {[&](std::uint64_t token, const core::http_request&) { store->respond(token, next); },
       [](std::uint64_t) {}});
  store = &served;
  http::client connections(loop);
  store_client client(connections, address);
  const auto run_until = [&](const bool& done) {
    while (!done) {
      loop.run_one();
      loop.restart();
    }
  };
  const auto append = [&](int status) {
    next.status = status;
    bool done = false;
    append_status result{};
    client.append("keyed.t", "k", "v", 4, [&](const append_result& end) {
      result = end.status;
      done = true;
    });
    run_until(done);
    return result;
  };
  cr_assert(append(200) == append_status::appended);
  cr_assert(append(412) == append_status::conflict);
  cr_assert(append(429) == append_status::refused);
  cr_assert(append(503) == append_status::refused);
  cr_assert(append(500) == append_status::unknown);
  next.status = 200;
  next.body = R"({"items":[{"key":"k","value":"aGVsbG8=","offset":4}],"more":false,"endOffset":6})";
  bool done = false;
  read_result newest;
  client.read_newest("keyed.t", [&](read_result result) {
    newest = std::move(result);
    done = true;
  });
  run_until(done);
  cr_assert_eq(newest.records.at(0).value, "hello");
  cr_assert_eq(newest.end_offset, 6);
  next.body = std::string("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02\0\0\0\x03\x01kv", 23);
  done = false;
  read_result tail;
  client.read_from("keyed.t", 8, 0ms, [&](read_result result) {
    tail = std::move(result);
    done = true;
  });
  run_until(done);
  cr_assert(tail.status == read_status::ok);
  cr_assert_eq(tail.records.at(0).key, "k");
  cr_assert_eq(tail.records.at(0).offset, 8);
  cr_assert_eq(tail.end_offset, 9);
}

namespace {

// A store on loopback that gives the answers of a list, in order, and a client of it.
struct scripted_store {
  explicit scripted_store(std::vector<core::http_response> script)
      : address(arbutuslb::runtime::free_address()), answers(std::move(script)),
        server(loop, address,
               {[this](std::uint64_t token, const core::http_request& request) {
                  targets.push_back(request.target);
                  server.respond(token, answers.at(targets.size() - 1));
                },
                [](std::uint64_t) {}}),
        connections(loop), client(connections, address) {}

  read_result read_newest() {
    std::optional<read_result> read;
    client.read_newest("keyed.t", [&](read_result result) { read = std::move(result); });
    while (!read) {
      loop.run_one();
      loop.restart();
    }
    return std::move(*read);
  }

  asio::io_context loop;
  asio::ip::tcp::endpoint address;
  std::vector<core::http_response> answers;
  std::vector<std::string> targets; // requested so far
  http::server server;
  http::client connections;
  store_client client;
};

core::http_response page(const std::string& era, const std::string& key, bool has_more) {
  return {200,
          {{"Store-Era", era}},
          R"({"items":[{"key":")" + key + R"(","value":"aGVsbG8=","offset":4}],"more":)" +
              (has_more ? "true" : "false") + R"(,"endOffset":6})"};
}

} // namespace

Test(store_client, pages_of_two_eras_do_not_become_one_result) {
  scripted_store store(
      {page("1", "a", true), page("2", "b", false), page("2", "c", true), page("2", "d", false)});
  const read_result read = store.read_newest();
  cr_assert(read.status == read_status::ok);
  cr_assert_eq(read.era, 2);
  cr_assert_eq(read.records.size(), 2);
  cr_assert_eq(read.records.at(0).key, "c");
  cr_assert_eq(read.records.at(1).key, "d");
}

Test(store_client, a_malformed_page_fails_the_read) {
  for (const char* body :
       {R"({"items":[7]})", R"({"items":[{"value":"aGVsbG8="}]})", R"({"items":[{"key":7}]})",
        R"({"items":[{"key":"a","value":"aGVsbG8=","offset":"4"}]})",
        R"({"items":[],"endOffset":"many"})", R"({"items":[],"endOffset":6,"more":"yes"})",
        R"({"items":{}})", "[", "", R"({"items":[],"endOffset":6,"more":true})",
        R"({"items":[{"key":"a","value":"!!!!","offset":4}],"endOffset":6,"more":false})"}) {
    scripted_store store({{200, {{"Store-Era", "many"}}, body}});
    const read_result read = store.read_newest();
    cr_assert(read.status == read_status::failed, "%s", body);
    cr_assert_not(read.reason.empty());
  }
}

Test(orders, an_outcome_with_fields_of_another_type_is_no_outcome) {
  for (const char* text : {R"({"targetVersion":7})", R"({"targetVersion":"v2","state":[]})", "[]",
                           R"({"state":"completed"})"}) {
    cr_assert_not(decode_outcome("rollout/menu", text).has_value(), "%s", text);
  }
  cr_assert(
      decode_outcome("rollout/menu", R"({"targetVersion":"v2","state":"running"})").has_value());
}

namespace {

// Entries that another writer may leave.
std::vector<std::string> odd_entries() {
  std::vector<std::string> entries{"",
                                   "{",
                                   "null",
                                   "[]",
                                   "1e999",
                                   "{\"a\": 1e999}",
                                   "{\"born\": 1e999, \"address\": 7, \"status\": []}",
                                   "{\"born\": 18446744073709551616}",
                                   "{\"born\": 99999999999999999999999999}",
                                   "{\"version\": \"r99999999999999999999999\", \"routes\": 1}",
                                   "{\"service\": \"a\", \"service\": 2, \"duration\": \"nans\"}",
                                   "{\"address\": \"10.0.0.1:65536\"}",
                                   "{\"address\": \"10.0.0.1:-1\"}",
                                   std::string("{\"a\": \"\xff\xfe\"}"),
                                   "{\"targetVersion\": \"v2\", \"state\": 1e999}"};
  constexpr int depth = 100'000;
  std::string nested;
  for (int i = 0; i < depth; ++i) {
    nested += "{\"a\":[";
  }
  entries.push_back(nested);
  entries.push_back(std::string(depth, '['));
  entries.push_back(std::string(std::size_t{256} * 1024, '7'));
  return entries;
}

} // namespace

Test(orders, an_odd_entry_of_another_writer_is_unreadable_and_ends_nothing) {
  const std::string long_key = "rollout/" + std::string(300, 'x');
  for (const std::string& entry : odd_entries()) {
    for (const std::string& key : {std::string("config"), std::string("rollout/menu"), long_key}) {
      const gateway::operator_record record = decode_operator_record({1, 0}, key, entry);
      cr_assert(entry.empty() || std::holds_alternative<gateway::unreadable_record>(record.value));
      cr_assert_not(decode_outcome(key, entry).has_value());
    }
  }
}

Test(heartbeats, an_odd_entry_of_another_writer_is_rejected) {
  for (const std::string& entry : odd_entries()) {
    arbutuslb::core::http_request request;
    request.method = "PUT";
    request.target = "/instances/i-1";
    request.body = entry;
    cr_assert(std::holds_alternative<rejected_call>(decode_upstream_call(request)));
  }
}
