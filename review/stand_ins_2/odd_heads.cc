// Clients that the users don't control send requests of legal size with many short header lines,
// beside ordinary callers.
// Checked: of the ordinary requests that are unanswered at their route's timeout, most have an
// answer half a second later (CONFIG); and what the news page asks: no process hangs, ordinary
// callers still get answers.

#include "kit.h"

using namespace kit;

namespace {

constexpr std::size_t max_header_bytes = 16384; // maxHeaderBytes of the configuration
constexpr double route_timeout = 1.2;
constexpr int time_budget_ms = 2500;

// Half of the head names one-letter connection options, the other half has one-letter fields.
std::string odd_head(int number) {
  std::string head = "GET /none/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Identifier: odd-" +
                     std::to_string(number) + "\r\nX-Deadline-Remaining: 2000\r\n";
  std::string options = "Connection: ";
  while (options.size() < max_header_bytes / 2) {
    options += "a,";
  }
  head += options + "b\r\n";
  while (head.size() + 6 < max_header_bytes) {
    head += "c:\r\n";
  }
  return head + "\r\n";
}

} // namespace

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  const int crowd_size = argc > 2 ? std::atoi(argv[2]) : 200;
  deployment site;
  site.add("amman-a", "checkout");
  site.add("amman-b", "checkout");
  if (!site.start(
          configuration(route("pay", "unsafe", "checkout", "1200ms", 0), service_entry("checkout")),
          {"/pay/1"})) {
    record.line("could not start");
    finish(site, could_not_run);
  }
  machine& met = site.machines[0];
  const double begin = now_s();
  const double crowd_at = begin + 5;
  const double end = begin + 25;
  std::mutex mutex;
  std::vector<attempt> attempts;
  std::vector<std::thread> threads;
  // Twenty ordinary requests a second, each on a connection of its own.
  std::thread ordinary([&] {
    for (int i = 0; now_s() < end; ++i) {
      threads.emplace_back([&, i] {
        const attempt value =
            call(met.host, "POST", "/pay/1", "q-" + std::to_string(i), time_budget_ms, "amount");
        record.line("client sent=%s at=%.3f status=%d %s after_ms=%.0f", value.id.c_str(),
                    value.sent, value.status, value.outcome.c_str(),
                    1000 * (value.ended - value.sent));
        const std::lock_guard lock(mutex);
        attempts.push_back(value);
      });
      sleep_until_s(begin + 0.05 * (i + 1));
    }
  });
  std::atomic<int> ready = 0;
  std::atomic<int> not_ready = 0;
  std::thread readiness([&] {
    while (now_s() < end + 3) {
      (met.readiness(1.0) == 200 ? ready : not_ready) += 1;
      sleep_s(0.5);
    }
  });
  std::atomic<int> refused_or_answered = 0;
  std::vector<std::thread> crowd;
  sleep_until_s(crowd_at);
  if (has_trouble()) {
    record.line("crowd: %d clients, one request each, head of %zu bytes", crowd_size,
                odd_head(0).size());
    for (int i = 0; i < crowd_size; ++i) {
      crowd.emplace_back([&, i] {
        const int fd = connect_to(met.host, callers_port, 5);
        if (fd < 0) {
          return;
        }
        reader input(fd);
        message answer;
        send_all(fd, odd_head(i));
        if (input.read(answer, end) == read_outcome::message) {
          ++refused_or_answered;
          record.line("crowd %d: %s", i, answer.start.c_str());
        }
        ::close(fd);
      });
    }
  }
  ordinary.join();
  for (std::thread& item : threads) {
    item.join();
  }
  readiness.join();
  for (std::thread& item : crowd) {
    item.join();
  }
  int at_timeout = 0;
  int much_later = 0;
  int unanswered = 0;
  int before = 0;
  for (const attempt& value : attempts) {
    const double took = value.status > 0 ? value.ended - value.sent : 1e9;
    before += value.sent < crowd_at - 0.5 && value.status == 200 ? 1 : 0;
    at_timeout += took > route_timeout ? 1 : 0;
    much_later += took > route_timeout + 0.5 ? 1 : 0;
    unanswered += value.status == 0 ? 1 : 0;
  }
  record.line("ordinary requests: %zu, %d without an answer", attempts.size(), unanswered);
  record.line("CONFIG: unanswered at the route's timeout %d, of these half a second later %d",
              at_timeout, much_later);
  record.line("readiness checks with 200: %d, others: %d; crowd answered: %d", ready.load(),
              not_ready.load(), refused_or_answered.load());
  const bool has_ended = met.has_ended();
  record.line("the process has %s", has_ended ? "ended" : "not ended");
  if (before < 50) {
    finish(site, could_not_run);
  }
  finish(site, has_ended || (much_later >= 8 && 2 * much_later > at_timeout) ? broken : held);
}
