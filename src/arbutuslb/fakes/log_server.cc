// Stand-in for the platform's log over HTTP. Faults are set through its control interface:
//   POST /control {"down":true,"delay_ms":50,"lose_answers":2,"reorder":true,"retention":100}

#include "arbutuslb/fakes/commands.h"
#include "arbutuslb/fakes/log_store.h"
#include "arbutuslb/fakes/server.h"

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace arbutuslb::fakes {
namespace {

using json = nlohmann::json;

constexpr std::size_t server_threads = 256;
constexpr std::size_t max_records_per_read = 500;
constexpr int status_unavailable = 503;
constexpr std::chrono::milliseconds lost_answer_delay{2500};

class log_server {
public:
  explicit log_server(const options& arguments) {
    store_.set_retention(static_cast<std::size_t>(arguments.integer("retention", 1'000'000)));
    prepare_server(server_, server_threads);
    server_.Get(R"(/streams/([a-z0-9-]+)/records)",
                [this](const httplib::Request& request, httplib::Response& response) {
                  read(request, response);
                });
    server_.Post(R"(/streams/([a-z0-9-]+)/records)",
                 [this](const httplib::Request& request, httplib::Response& response) {
                   append(request, response);
                 });
    server_.Post("/control", [this](const httplib::Request& request, httplib::Response&) {
      const std::lock_guard<std::mutex> lock(mutex_);
      faults_.update(json::parse(request.body));
      store_.set_retention(faults_.value("retention", std::size_t{1'000'000}));
    });
    server_.Get("/stats", [this](const httplib::Request&, httplib::Response& response) {
      const std::lock_guard<std::mutex> lock(mutex_);
      response.set_content(json{{"reads", reads_}, {"appends", appends_}}.dump(),
                           "application/json");
    });
  }

  void run(const std::string& host, int port) { server_.listen(host, port); }

private:
  // Applies the configured delay. If the log is configured to be down, sets status 503 and returns
  // false.
  bool apply_faults(httplib::Response& response) {
    std::chrono::milliseconds delay{0};
    bool down = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      delay = std::chrono::milliseconds{faults_.value("delay_ms", 0)};
      down = faults_.value("down", false);
    }
    std::this_thread::sleep_for(delay);
    response.status = down ? status_unavailable : response.status;
    return !down;
  }

  void read(const httplib::Request& request, httplib::Response& response) {
    if (!apply_faults(response)) {
      return;
    }
    const std::string stream = request.matches[1];
    const std::string from = request.get_param_value("from");
    const std::chrono::milliseconds wait{std::atoi(request.get_param_value("wait_ms").c_str())};
    std::unique_lock<std::mutex> lock(mutex_);
    ++reads_;
    log_store::slice found;
    const auto has_records = [&] {
      found = from == "latest" ? store_.read_latest(stream)
                               : store_.read(stream, std::stoull(from), max_records_per_read);
      return !found.records.empty() || found.oldest > found.first;
    };
    appended_.wait_for(lock, wait, has_records);
    has_records();
    json records = json::array();
    for (std::size_t i = 0; i < found.records.size(); ++i) {
      records.push_back({{"offset", found.first + i}, {"data", found.records[i]}});
    }
    if (faults_.value("reorder", false) && records.size() > 1) {
      std::swap(records.front(), records.back());
    }
    const json answer = {{"oldest", found.oldest}, {"next", found.next}, {"records", records}};
    response.set_content(answer.dump(), "application/json");
  }

  void append(const httplib::Request& request, httplib::Response& response) {
    if (!apply_faults(response)) {
      return;
    }
    std::uint64_t offset = 0;
    bool loses_answer = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++appends_;
      offset = store_.append(request.matches[1], request.body);
      const int answers_to_lose = faults_.value("lose_answers", 0);
      loses_answer = answers_to_lose > 0 && request.matches[1] == "config";
      faults_["lose_answers"] = loses_answer ? answers_to_lose - 1 : answers_to_lose;
    }
    appended_.notify_all();
    if (loses_answer) {
      std::this_thread::sleep_for(lost_answer_delay);
    }
    response.set_content(json{{"offset", offset}}.dump(), "application/json");
  }

  httplib::Server server_;
  std::mutex mutex_;
  std::condition_variable appended_;
  log_store store_;
  json faults_ = json::object();
  std::uint64_t reads_ = 0;
  std::uint64_t appends_ = 0;
};

} // namespace

int run_log(const options& arguments) {
  log_server server(arguments);
  server.run(arguments.text("host", "127.0.0.1"), arguments.integer("port", 7100));
  return 0;
}

} // namespace arbutuslb::fakes
