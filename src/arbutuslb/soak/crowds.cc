// Tests a daemon against crowds of clients that stay inside the limits of single requests and use
// up its memory together: many header lines, large bodies that stop short of their end, chunks, and
// answers that are not read; and against an upstream that answers a crowd without end. Prints TAP
// lines.
//
// Each crowd meets a daemon process of its own with a lowered memory limit. Checked is what does
// not depend on the machine's speed: the process lives, its peak of memory and its open descriptors
// stay under their bounds, and an ordinary request is answered afterwards.
//
//   arbutuslb_crowds --program FILE --directory DIR [--only NAME]

#include "arbutuslb/fakes/options.h"
#include "arbutuslb/fakes/platform_store.h"
#include "arbutuslb/platform/store_client.h"
#include "arbutuslb/soak/child_process.h"
#include "arbutuslb/soak/faulty_upstream.h"
#include "arbutuslb/soak/upstream_stand_in.h"

#include <asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace arbutuslb::soak {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;
using json = nlohmann::json;
namespace http = runtime::http;

constexpr std::size_t crowd_size = 300;
constexpr std::size_t memory_limit_mb = 64;
constexpr std::size_t max_descriptors = 500;
constexpr std::size_t max_header_bytes = 16384;
constexpr std::size_t max_body_bytes = 1'000'000;
constexpr std::size_t pieces = 64;
constexpr std::size_t large_body_bytes = 8'000'000; // of an answer
constexpr std::chrono::seconds crowd_time{6};
// A crowd whose answers have no end shows its effect sooner.
constexpr std::chrono::seconds trouble_time{3};
constexpr std::chrono::seconds answer_time{20};
constexpr std::chrono::milliseconds sample_period{20};
constexpr int status_ok = 200;

constexpr std::uint16_t callers_port = 8100;
constexpr std::uint16_t peers_port = 8200;
constexpr std::uint16_t upstream_port = 8300;
constexpr std::uint16_t spare_upstream_port = 8310; // of a stand-in that only sends heartbeats
constexpr std::uint16_t store_port = 8400;
constexpr std::uint16_t heartbeats_port = 8500;
constexpr std::uint16_t readiness_port = 8600;
constexpr std::uint16_t metrics_port = 8700;
constexpr std::uint16_t reports_port = 8800;

struct crowd {
  std::string name;
  std::vector<std::string> writes;                      // of each client, in order
  std::chrono::milliseconds gap{};                      // between two writes
  bool reads = true;                                    // the answers
  std::optional<endless_answer> trouble = std::nullopt; // of the upstream
};

std::string head(const std::string& method, const std::string& target, const std::string& fields) {
  return method + " " + target +
         " HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Identifier: c-1\r\n" +
         "X-Deadline-Remaining: 20000\r\n" + fields;
}

std::string repeated(const std::string& text, std::size_t count) {
  std::string result;
  for (std::size_t i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

std::vector<std::string> split(const std::string& text, std::size_t count) {
  std::vector<std::string> parts;
  const std::size_t size = text.size() / count + 1;
  for (std::size_t at = 0; at < text.size(); at += size) {
    parts.push_back(text.substr(at, size));
  }
  return parts;
}

// Lines without the blank line that ends the header, up to its limit.
std::string unfinished_head(const std::string& line) {
  const std::string begin = head("GET", "/menu/1", "");
  return begin + repeated(line, (max_header_bytes - begin.size()) / line.size());
}

std::vector<crowd> make_crowds() {
  const std::string large_body =
      head("POST", "/menu/1", "Content-Length: " + std::to_string(max_body_bytes) + "\r\n\r\n") +
      std::string(max_body_bytes - 1, 'x');
  const std::string chunked = head("POST", "/menu/1", "Transfer-Encoding: chunked\r\n\r\n");
  const std::string chunk_of_64k = "10000\r\n" + std::string(65536, 'x') + "\r\n";
  const std::string body_of_30k =
      head("POST", "/menu/1", "Content-Length: 30000\r\n\r\n") + std::string(30000, 'x');
  const std::string large_read = head("GET", large_target, "\r\n");
  return {{"bodies_that_stop_short_of_their_end", {large_body}},
          {"bodies_in_pieces_that_stop_short_of_their_end", split(large_body, pieces), 10ms},
          {"large_chunks_without_an_end", {chunked + repeated(chunk_of_64k, 15)}},
          {"chunks_of_one_byte_without_an_end", {chunked + repeated("1\r\nx\r\n", 200'000)}},
          {"heads_of_empty_lines", {unfinished_head("a:\r\n")}},
          {"heads_of_short_odd_lines", {unfinished_head("~!: ,;=\r\n")}},
          {"many_bodies_on_each_connection", {repeated(body_of_30k, 32)}},
          {"whole_bodies_at_once", {large_body + "x"}},
          {"answers_that_are_not_read", {repeated(large_read, 8)}, 0ms, false}};
}

// Crowds whose requests an upstream in trouble answers.
std::vector<crowd> make_troubles() {
  const std::string begin = std::string("HTTP/1.1 200 OK\r\n") + answer_fields;
  const std::string body(65536, 'x');
  const auto with_length = [&](std::size_t size) {
    return endless_answer{begin + "Content-Length: " + std::to_string(size) + "\r\n\r\n", body};
  };
  const std::vector<std::pair<std::string, endless_answer>> answers{
      {"of_a_length_over_the_limit", with_length(1'000'000'000'000)},
      {"of_a_large_length", with_length(large_body_bytes)},
      {"of_half_a_large_length", with_length(large_body_bytes / 2)},
      {"without_a_length", {begin + "\r\n", body}},
      {"in_chunks", {begin + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + body + "\r\n"}},
      {"in_a_trailer",
       {begin + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        "A: " + std::string(1000, 'x') + "\r\n"}},
      {"in_one_field", {begin + "A: ", body}},
      {"in_short_fields", {begin, repeated("a:\r\n", 10'000)}},
      {"in_interim_responses", {"", repeated("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 1000)}},
      {"in_line_breaks", {"", repeated("\r\n", 10'000)}}};
  std::vector<crowd> crowds;
  for (const auto& [name, answer] : answers) {
    crowd value{"answers_without_end_" + name, {repeated(head("GET", trouble_target, "\r\n"), 8)}};
    value.trouble = answer;
    crowds.push_back(std::move(value));
  }
  return crowds;
}

// One client of a crowd: writes what it has to write, and stays.
class client : public std::enable_shared_from_this<client> {
public:
  client(asio::io_context& loop, const crowd& kind) : kind_(kind), socket_(loop), timer_(loop) {}

  void start(const tcp::endpoint& address) {
    socket_.async_connect(address, [self = shared_from_this()](std::error_code error) {
      if (!error) {
        self->write_next();
        self->read();
      }
    });
  }
  void close() {
    std::error_code ignored; // the daemon may have closed it
    socket_.close(ignored);
    timer_.cancel();
  }

private:
  void write_next() {
    if (next_ >= kind_.writes.size()) {
      return;
    }
    asio::async_write(socket_, asio::buffer(kind_.writes[next_++]),
                      [self = shared_from_this()](std::error_code error, std::size_t) {
                        if (error) {
                          return;
                        }
                        self->timer_.expires_after(self->kind_.gap);
                        self->timer_.async_wait([self](std::error_code cancelled) {
                          if (!cancelled) {
                            self->write_next();
                          }
                        });
                      });
  }
  void read() {
    if (!kind_.reads) {
      return;
    }
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](std::error_code error, std::size_t) {
                              if (!error) {
                                self->read();
                              }
                            });
  }

  const crowd& kind_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::size_t next_ = 0;
  std::array<char, 4096> buffer_{};
};

// The largest figures of a process so far.
struct process_figures {
  std::size_t memory_kb = 0;
  std::size_t descriptors = 0;
};

class crowd_test {
public:
  crowd_test(std::string program, const std::string& directory, const crowd& kind, int number)
      : program_(std::move(program)), directory_(directory + "/" + kind.name), kind_(kind),
        host_("127.62.0." + std::to_string(number)), store_(loop_, endpoint(store_port), 1),
        operator_connections_(loop_), operator_(operator_connections_, endpoint(store_port)),
        caller_(loop_),
        upstream_(loop_,
                  {"shop", "district-1",
                   endpoint(kind.trouble ? spare_upstream_port : upstream_port),
                   endpoint(upstream_port), endpoint(heartbeats_port), endpoint(callers_port)},
                  1,
                  {[](const std::string&) {}, [](const std::string&, core::duration) {},
                   [](bool) {}, [](const std::string&) {}, [](const std::string&) {}}) {
    if (kind.trouble) {
      faulty_upstream_.emplace(loop_, endpoint(upstream_port), *kind.trouble);
    }
    std::filesystem::create_directories(directory_);
  }

  // Returns what was wrong; empty if nothing was.
  std::string run() {
    publish();
    write_settings();
    daemon_ = std::make_unique<child_process>(
        std::vector<std::string>{program_, "gateway", directory_ + "/daemon.json"},
        directory_ + "/daemon.log");
    if (!is_ordinary_request_answered()) {
      return "no request is answered before the crowd comes";
    }
    play();
    const bool is_answered = is_ordinary_request_answered();
    figures_line_ = "peak_mb=" + std::to_string(peak_.memory_kb / 1024) +
                    " descriptors=" + std::to_string(peak_.descriptors);
    if (daemon_->poll()) {
      return "the daemon exited";
    }
    if (peak_.memory_kb > memory_limit_mb * 1024) {
      return "memory over " + std::to_string(memory_limit_mb) + " MB";
    }
    if (peak_.descriptors > max_descriptors) {
      return "more than " + std::to_string(max_descriptors) + " descriptors";
    }
    return is_answered ? "" : "an ordinary request is not answered after the crowd has left";
  }

  const std::string& figures() const { return figures_line_; }

private:
  tcp::endpoint endpoint(std::uint16_t port) const {
    return {asio::ip::make_address_v4(host_), port};
  }

  void write_settings() const {
    const auto at = [this](int port) { return host_ + ":" + std::to_string(port); };
    const json value{{"instance", host_},
                     {"failure_domain", "district-1"},
                     {"listen",
                      {{"callers", at(callers_port)},
                       {"peers", at(peers_port)},
                       {"upstreams", at(heartbeats_port)},
                       {"readiness", at(readiness_port)},
                       {"metrics", at(metrics_port)},
                       {"report_port", reports_port}}},
                     {"upstream", {{"address", at(upstream_port)}, {"service", "shop"}}},
                     {"instance_limits", {{"memory_mb", memory_limit_mb}}},
                     {"store", at(store_port)}};
    std::ofstream(directory_ + "/daemon.json") << value.dump(2) << "\n";
  }

  void publish() {
    const json route{{"host", "soak.example"}, {"pathPrefix", "/menu/"},   {"kind", "safe"},
                     {"timeout", "20s"},       {"targetLatency", "300ms"}, {"service", "shop"},
                     {"attempts", 2}};
    const json value{
        {"version", "r1"},
        {"routes", {{"menu", route}}},
        {"services", {{"shop", json::object()}}},
        {"limits", {{"maxHeaderBytes", max_header_bytes}, {"maxBodyBytes", max_body_bytes}}}};
    operator_.append("keyed.op", "config", value.dump(), std::nullopt,
                     [](const platform::append_result&) {});
  }

  // Runs the loop, and takes samples of the daemon.
  void run_for(core::duration time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      loop_.run_for(sample_period);
      loop_.restart();
      const core::time_point now = clock_.now();
      upstream_.sweep(now);
      store_.sweep(now);
      caller_.sweep(now);
      operator_connections_.sweep(now);
      sample();
    }
  }

  void sample() {
    const std::string process = "/proc/" + std::to_string(daemon_ ? daemon_->id() : 0);
    std::ifstream status(process + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) {
        std::istringstream words(line.substr(6));
        std::size_t kilobytes = 0;
        words >> kilobytes;
        peak_.memory_kb = std::max(peak_.memory_kb, kilobytes);
      }
    }
    std::error_code ignored; // the process may have exited
    const auto files = std::filesystem::directory_iterator(process + "/fd", ignored);
    peak_.descriptors = std::max(peak_.descriptors,
                                 static_cast<std::size_t>(std::distance(begin(files), end(files))));
  }

  void play() {
    std::vector<std::shared_ptr<client>> clients;
    for (std::size_t i = 0; i < crowd_size; ++i) {
      clients.push_back(std::make_shared<client>(loop_, kind_));
      clients.back()->start(endpoint(callers_port));
    }
    run_for(kind_.trouble ? trouble_time : crowd_time);
    for (const std::shared_ptr<client>& item : clients) {
      item->close();
    }
    run_for(1s);
  }

  bool is_ordinary_request_answered() {
    const auto end = std::chrono::steady_clock::now() + answer_time;
    while (std::chrono::steady_clock::now() < end && !daemon_->poll()) {
      int status = 0;
      core::http_request request;
      request.method = "GET";
      request.target = "/menu/1";
      request.headers = {{"Host", "soak.example"},
                         {"X-Attempt-Identifier", "a-" + std::to_string(++last_call_)},
                         {"X-Deadline-Remaining", "2000"}};
      http::send_options options;
      options.answer_timeout = 2s;
      options.max_idle = core::duration::zero();
      const std::uint64_t exchange = caller_.send(
          endpoint(callers_port), request, std::move(options),
          [&status](const http::exchange_result& end_of) { status = end_of.answer.status; });
      run_for(300ms);
      caller_.cancel(exchange);
      if (status == status_ok) {
        return true;
      }
    }
    return false;
  }

  std::string program_;
  std::string directory_;
  const crowd& kind_;
  std::string host_;
  asio::io_context loop_{1};
  runtime::anchored_clock clock_;
  fakes::platform_store store_;
  http::client operator_connections_;
  platform::store_client operator_;
  http::client caller_;
  upstream_stand_in upstream_;
  std::optional<faulty_upstream> faulty_upstream_;
  std::unique_ptr<child_process> daemon_;
  process_figures peak_;
  std::string figures_line_;
  int last_call_ = 0;
};

int run_crowds(const fakes::options& arguments) {
  int failed = 0;
  int number = 0;
  std::vector<crowd> crowds = make_crowds();
  std::ranges::move(make_troubles(), std::back_inserter(crowds));
  const std::string only = arguments.text("only", "");
  for (const crowd& kind : crowds) {
    ++number;
    if (!only.empty() && only != kind.name) {
      continue;
    }
    crowd_test test(arguments.text("program", "build/arbutuslb"),
                    arguments.text("directory", "/tmp"), kind, number);
    const std::string fault = test.run();
    failed += fault.empty() ? 0 : 1;
    std::cout << (fault.empty() ? "ok" : "not ok") << " - crowds::" << kind.name << "\n"
              << "# " << test.figures() << " " << fault << std::endl;
  }
  return failed;
}

} // namespace
} // namespace arbutuslb::soak

int main(int argc, char** argv) {
  try {
    return arbutuslb::soak::run_crowds(arbutuslb::fakes::options(argc - 1, argv + 1)) == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
