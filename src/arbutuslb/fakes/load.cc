// Stand-in for callers. Sends calls at a constant rate over persistent connections and prints one
// line of results.
//   load --target 127.0.0.1:7003 [--target ...] --path /menu --rate 200 --seconds 5
//        [--keyed 1] [--repeat 0.2] [--threads 8] [--deadline_ms 1000] [--body_bytes 500]
// Keyed calls request an idempotency key from their target. The fraction `repeat` of them is sent
// again with the same key to a randomly chosen target.

#include "arbutuslb/fakes/commands.h"

#include <algorithm>
#include <atomic>
#include <httplib.h>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace arbutuslb::fakes {
namespace {

constexpr int status_ok = 200;

struct load_results {
  std::mutex mutex;
  std::vector<double> latency_ms;
  std::uint64_t ok = 0;
  std::uint64_t failed = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t unknown = 0;
};

class load_worker {
public:
  load_worker(const options& arguments, int number)
      : random_(static_cast<unsigned>(number)), path_(arguments.text("path", "/")),
        is_keyed_(arguments.integer("keyed", 0) != 0), repeat_(arguments.number("repeat", 0.0)),
        body_(static_cast<std::size_t>(arguments.integer("body_bytes", 100)), 'x') {
    for (const std::string& target : arguments.all("target")) {
      const std::size_t colon = target.rfind(':');
      clients_.push_back(std::make_unique<httplib::Client>(target.substr(0, colon),
                                                           std::stoi(target.substr(colon + 1))));
      clients_.back()->set_keep_alive(true);
      clients_.back()->set_tcp_nodelay(true);
    }
    headers_ = {{"X-Deadline-Ms", arguments.text("deadline_ms", "1000")}};
  }

  void call(load_results& results) {
    httplib::Client& client = *clients_[random_() % clients_.size()];
    const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    httplib::Headers headers = headers_;
    if (is_keyed_) {
      const httplib::Result key = client.Post("/-/key", headers_, "", "text/plain");
      if (!key || key->status != status_ok) {
        record_result(results, key, began);
        return;
      }
      headers.emplace("Idempotency-Key", key->body);
    }
    record_result(results, send(client, headers), began);
    if (is_keyed_ && std::uniform_real_distribution<double>(0.0, 1.0)(random_) < repeat_) {
      send(*clients_[random_() % clients_.size()], headers);
    }
  }

private:
  httplib::Result send(httplib::Client& client, const httplib::Headers& headers) {
    return is_keyed_ ? client.Post(path_, headers, body_, "text/plain")
                     : client.Get(path_, headers);
  }

  static void record_result(load_results& results, const httplib::Result& result,
                            std::chrono::steady_clock::time_point began) {
    const std::chrono::duration<double, std::milli> latency =
        std::chrono::steady_clock::now() - began;
    const std::lock_guard<std::mutex> lock(results.mutex);
    const std::string outcome = result ? result->get_header_value("X-Outcome") : "";
    results.latency_ms.push_back(latency.count());
    results.not_executed += outcome == "not-run" ? 1 : 0;
    results.unknown += outcome == "unknown" ? 1 : 0;
    const bool is_ok = result && result->status == status_ok;
    (is_ok ? results.ok : results.failed) += 1;
  }

  std::mt19937 random_;
  std::string path_;
  bool is_keyed_;
  double repeat_;
  std::string body_;
  httplib::Headers headers_;
  std::vector<std::unique_ptr<httplib::Client>> clients_;
};

double quantile(const std::vector<double>& sorted, double fraction) {
  const std::size_t index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
  return sorted.empty() ? 0.0 : sorted[std::min(index, sorted.size() - 1)];
}

} // namespace

int run_load(const options& arguments) {
  const int threads = arguments.integer("threads", 8);
  const double seconds = arguments.number("seconds", 5.0);
  const std::chrono::duration<double> call_interval{threads / arguments.number("rate", 100.0)};
  load_results results;
  std::vector<std::thread> workers;
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&, i] {
      load_worker worker(arguments, i + 1);
      const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
      const std::chrono::duration<double> offset = call_interval * i / threads;
      for (int k = 0;; ++k) {
        const std::chrono::duration<double> due = offset + call_interval * k;
        if (due.count() >= seconds) {
          return;
        }
        std::this_thread::sleep_until(
            start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(due));
        worker.call(results);
      }
    });
  }
  for (std::thread& thread : workers) {
    thread.join();
  }
  std::sort(results.latency_ms.begin(), results.latency_ms.end());
  std::cout << "event=load_result calls=" << results.latency_ms.size() << " ok=" << results.ok
            << " failed=" << results.failed << " not_run=" << results.not_executed
            << " unknown=" << results.unknown << " p50_ms=" << quantile(results.latency_ms, 0.5)
            << " p99_ms=" << quantile(results.latency_ms, 0.99)
            << " max_ms=" << quantile(results.latency_ms, 1.0) << "\n";
  return results.failed == 0 ? 0 : 1;
}

} // namespace arbutuslb::fakes
