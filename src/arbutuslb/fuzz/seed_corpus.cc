// Writes the seed corpora of the fuzzers with the encoders of the product: seed_corpus DIRECTORY

#include "arbutuslb/platform/requests.h"
#include "arbutuslb/runtime/http/message_reader.h"
#include "arbutuslb/runtime/wire/gateway_codec.h"

#include <boost/endian/conversion.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

namespace {

namespace core = arbutuslb::core;
namespace gateway = core::gateway;
namespace http = arbutuslb::runtime::http;
namespace wire = arbutuslb::runtime::wire;

class corpus {
public:
  explicit corpus(std::filesystem::path directory) : directory_(std::move(directory)) {}

  void add(const std::string& fuzzer, const std::string& bytes) {
    std::filesystem::create_directories(directory_ / fuzzer);
    std::ofstream file(directory_ / fuzzer / ("seed-" + std::to_string(counts_[fuzzer]++)),
                       std::ios::binary);
    file << bytes;
    if (!file.flush()) {
      throw std::runtime_error("cannot write below " + directory_.string());
    }
  }

private:
  std::filesystem::path directory_;
  std::map<std::string, int> counts_;
};

core::http_request request(const std::string& method, const std::string& body) {
  core::http_request value;
  value.method = method;
  value.target = "/menu/1?a=b";
  value.headers = {
      {"Host", "shop.example"}, {"X-Attempt-Identifier", "mine"}, {"X-Deadline-Remaining", "2000"}};
  value.body = body;
  return value;
}

void add_http(corpus& out) {
  const std::string get = http::serialize(request("GET", ""));
  const std::string post = http::serialize(request("POST", "order 1"));
  const std::string chunked = "POST /menu/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (const std::string& bytes : {get, post, get + get, post + get, chunked, chunked + get}) {
    out.add("http_request", bytes);
  }
  core::http_response answer;
  answer.status = 200;
  answer.headers = {{"X-Attempt-Identifier", "mine"},
                    {"X-Response-Signature", "1"},
                    {"Server-Limit", "12.5"},
                    {"Server-Leaving", "1"},
                    {"Keep-Alive", "timeout=5"}};
  answer.body = "done";
  out.add("http_answer", http::serialize(answer, false));
  out.add("http_answer", http::serialize(answer, false) + http::serialize(answer, true));
  answer.status = 503;
  answer.headers.emplace_back("X-Not-Executed", "1");
  out.add("http_answer", http::serialize(answer, true));
  out.add("http_answer", "HTTP/1.1 200 OK\r\nX-Attempt-Identifier: other\r\n\r\nto the end");
  out.add("http_answer",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
}

void add_store(corpus& out) {
  const auto number = [](std::uint64_t value, std::size_t size) {
    std::string bytes(8, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()), value);
    return bytes.substr(8 - size);
  };
  const std::string record = std::string("\x06") + "config{}";
  const std::string two = number(9, 8) + number(0, 8) + number(record.size(), 4) + record +
                          number(record.size(), 4) + record;
  out.add("store_answer", std::string(1, '\0') + two);
  out.add("store_answer", "\x01"
                          R"({"items":[{"key":"config","value":"e30=","offset":3}],)"
                          R"("more":false,"endOffset":4})");
}

void add_records(corpus& out) {
  out.add("heartbeat", std::string(1, '\0') +
                           R"({"address":"10.0.0.1:80","born":17,"information":{"service":"menu",)"
                           R"("version":"v1","zone":"a","capacitySlots":18},"status":{"state":)"
                           R"("draining","sequence":4,"coldRemaining":"1500ms"}})");
  out.add("heartbeat", std::string(1, '\x01'));
  out.add("operator_record",
          std::string(1, '\0') +
              R"({"version":"r7","routes":{"r-b":{"host":"shop.example","pathPrefix":"/menu/",)"
              R"("kind":"safe","timeout":"1s","targetLatency":"300ms","attempts":2,"priority":1,)"
              R"("trafficSplit":[{"service":"menu","weight":9},{"service":"till","weight":1}]}},)"
              R"("services":{"menu":{"coldStart":"3s","coldPerS":17.0},"till":{}},)"
              R"("limits":{"maxHeaderBytes":100,"idleTimeout":"15000ms"}})");
  out.add("operator_record", "\x01"
                             R"({"service":"menu","targetVersion":"v2","duration":"12s"})");
  out.add("operator_record", "\x03{}");
  out.add("operator_record", "\x81"
                             R"({"state":"completed","targetVersion":"v2"})");
  out.add("settings",
          R"({"instance": "one", "failure_domain": "a", "listen": {"callers":)"
          R"("127.0.0.1:81", "peers": "127.0.0.1:82", "upstreams": "127.0.0.1:83",)"
          R"("readiness": "127.0.0.1:84", "metrics": "127.0.0.1:85", "report_port": 86},)"
          R"("upstream": {"address": "127.0.0.1:87", "service": "menu"},)"
          R"("store": "127.0.0.1:88", "grace_period": "6s"})");
}

void add_peer_messages(corpus& out) {
  const auto add = [&out](char selector, const std::string& bytes) {
    out.add("peer_message", std::string(1, selector) + bytes);
  };
  gateway::run_request run;
  run.content.attempt_id = "a-1";
  run.content.host = "shop.example";
  run.content.message = request("GET", "");
  run.instance_id = "i-1";
  run.caller_service = "menu";
  run.route = "r-menu";
  run.time_left = std::chrono::seconds{1};
  add('\0', wire::encode(run));
  gateway::run_result result;
  result.outcome = gateway::run_outcome::answered;
  result.answer.status = 200;
  result.answer.body = "done";
  add('\x01', wire::encode(result));
  gateway::peer_report report;
  report.name = "two";
  report.host = "10.0.0.2";
  report.domain = "b";
  report.process_epoch = 1;
  report.sequence = 2;
  report.service = "menu";
  report.instance_id = "i-2";
  report.is_usable = true;
  report.limit = 4;
  report.routes = {{1, std::chrono::milliseconds{20}}};
  add('\x02', wire::encode(gateway::report_bundle{{{report, {}}}, {}}));
  wire::operator_records_reply reply;
  reply.operator_records.push_back({{0, 1}, "evacuate/a", "{}"});
  reply.end = {0, 2};
  add('\x03', wire::encode(reply));
  add('\x04', wire::encode_operator_records_request({0, 1}));
  add('\x05', wire::encode_suspicions({{42, 1, 2, core::time_point{std::chrono::hours{24}}}}));
  add('\x06', wire::encode_departure({"i-1", 5}));
}

} // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: seed_corpus DIRECTORY\n";
    return 2;
  }
  try {
    corpus out(argv[1]);
    add_http(out);
    add_store(out);
    add_records(out);
    add_peer_messages(out);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
