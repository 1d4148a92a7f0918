// The stand-in for the platform's log, by HTTP, with faults on demand:
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
constexpr std::chrono::milliseconds lost_answer_time{2500};

class log_server {
public:
  explicit log_server(const options& given) {
    store_.set_retention(static_cast<std::size_t>(given.whole("retention", 1'000'000)));
    prepare_server(server_, server_threads);
    server_.Get(R"(/streams/([a-z0-9-]+)/records)",
                [this](const httplib::Request& in, httplib::Response& out) { read(in, out); });
    server_.Post(R"(/streams/([a-z0-9-]+)/records)",
                 [this](const httplib::Request& in, httplib::Response& out) { append(in, out); });
    server_.Post("/control", [this](const httplib::Request& in, httplib::Response&) {
      const std::lock_guard<std::mutex> lock(mutex_);
      faults_.update(json::parse(in.body));
      store_.set_retention(faults_.value("retention", std::size_t{1'000'000}));
    });
    server_.Get("/stats", [this](const httplib::Request&, httplib::Response& out) {
      const std::lock_guard<std::mutex> lock(mutex_);
      out.set_content(json{{"reads", reads_}, {"appends", appends_}}.dump(), "application/json");
    });
  }

  void run(const std::string& host, int port) { server_.listen(host, port); }

private:
  // Waits the set delay; returns false if the log is set to be down.
  bool is_up(httplib::Response& out) {
    std::chrono::milliseconds delay{0};
    bool down = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      delay = std::chrono::milliseconds{faults_.value("delay_ms", 0)};
      down = faults_.value("down", false);
    }
    std::this_thread::sleep_for(delay);
    out.status = down ? status_unavailable : out.status;
    return !down;
  }

  void read(const httplib::Request& in, httplib::Response& out) {
    if (!is_up(out)) {
      return;
    }
    const std::string stream = in.matches[1];
    const std::string from = in.get_param_value("from");
    const std::chrono::milliseconds wait{std::atoi(in.get_param_value("wait_ms").c_str())};
    std::unique_lock<std::mutex> lock(mutex_);
    ++reads_;
    log_store::slice found;
    const auto has_records = [&] {
      found = from == "latest" ? store_.read_latest(stream)
                               : store_.read(stream, std::stoull(from), max_records_per_read);
      return !found.records.empty() || found.oldest > found.first;
    };
    grown_.wait_for(lock, wait, has_records);
    has_records();
    json records = json::array();
    for (std::size_t i = 0; i < found.records.size(); ++i) {
      records.push_back({{"offset", found.first + i}, {"data", found.records[i]}});
    }
    if (faults_.value("reorder", false) && records.size() > 1) {
      std::swap(records.front(), records.back());
    }
    const json answer = {{"oldest", found.oldest}, {"next", found.next}, {"records", records}};
    out.set_content(answer.dump(), "application/json");
  }

  void append(const httplib::Request& in, httplib::Response& out) {
    if (!is_up(out)) {
      return;
    }
    std::uint64_t offset = 0;
    bool lost = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++appends_;
      offset = store_.append(in.matches[1], in.body);
      const int lose = faults_.value("lose_answers", 0);
      lost = lose > 0 && in.matches[1] == "config";
      faults_["lose_answers"] = lost ? lose - 1 : lose;
    }
    grown_.notify_all();
    if (lost) {
      std::this_thread::sleep_for(lost_answer_time);
    }
    out.set_content(json{{"offset", offset}}.dump(), "application/json");
  }

  httplib::Server server_;
  std::mutex mutex_;
  std::condition_variable grown_;
  log_store store_;
  json faults_ = json::object();
  std::uint64_t reads_ = 0;
  std::uint64_t appends_ = 0;
};

} // namespace

int run_log(const options& given) {
  log_server server(given);
  server.run(given.text("host", "127.0.0.1"), given.whole("port", 7100));
  return 0;
}

} // namespace arbutuslb::fakes
