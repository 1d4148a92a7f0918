// Clients that the users don't control send large bodies of legal size, stop short of their end and
// stay open. There are as many as the process has descriptors.
// Checked: a machine in touch that says it is ready takes new connections (RECOVER, over
// stabilityWindow while seven clients or more try), and ordinary callers still get answers.

#include "../stand_ins_2/kit.h"

#include <sys/prctl.h>

using namespace kit;

namespace {

constexpr int descriptors = 4100;        // fileDescriptors of the machine
constexpr double stability_window = 3.0; // seconds
constexpr int time_budget_ms = 2500;
constexpr int crowd_processes = 10;

} // namespace

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  const int crowd_size = argc > 2 ? std::atoi(argv[2]) : descriptors;
  allow_descriptors();
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < descriptors) {
    record.line("this machine allows a process fewer descriptors than the deployment's");
    return could_not_run;
  }
  deployment site;
  site.add("amman-a", "checkout", descriptors);
  site.add("amman-b", "checkout", descriptors);
  if (!site.start(
          configuration(route("pay", "unsafe", "checkout", "1200ms", 0), service_entry("checkout")),
          {"/pay/1"})) {
    record.line("could not start");
    finish(site, could_not_run);
  }
  machine& met = site.machines[0];
  // The platform's readiness check keeps its connection, as clients may.
  const int ready_fd = connect_to(met.host, ready_port, 1);
  reader ready_input(ready_fd);
  const double begin = now_s();
  const double end = begin + 25;
  std::atomic<int> ready = 0;
  std::atomic<int> not_ready = 0;
  std::thread readiness([&] {
    while (now_s() < end) {
      message answer;
      send_all(ready_fd, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
      const bool is_ready =
          ready_input.read(answer, now_s() + 1) == read_outcome::message && answer.status() == 200;
      (is_ready ? ready : not_ready) += 1;
      record.line("readiness: %d", is_ready ? 200 : 0);
      sleep_s(1);
    }
  });
  std::mutex mutex;
  std::vector<attempt> attempts;
  std::vector<std::thread> threads;
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
  sleep_until_s(begin + 4);
  const double crowd_at = now_s();
  std::vector<pid_t> crowd;
  if (has_trouble()) {
    const std::string bytes = "POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\n"
                              "X-Attempt-Identifier: odd\r\nContent-Length: 24000\r\n\r\n" +
                              std::string(4000, 'x');
    const sockaddr_in address = address_of(met.host, callers_port);
    int ready_pipe[2] = {-1, -1};
    if (::pipe(ready_pipe) != 0) {
      finish(site, could_not_run);
    }
    // Processes of their own, which need fewer descriptors each.
    for (int i = 0; i < crowd_processes; ++i) {
      const pid_t child = ::fork();
      if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        // Nothing of the parent's connections stays open here.
        ::dup2(ready_pipe[1], 3);
        for (int fd = 4; fd < 70000; ++fd) {
          ::close(fd);
        }
        int open = 0;
        for (int k = 0; k < crowd_size / crowd_processes; ++k) {
          const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
          if (fd >= 0 &&
              ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            ++open;
          }
        }
        const ssize_t written = ::write(3, &open, sizeof open);
        while (written > 0) {
          ::pause();
        }
        ::_exit(1);
      }
      crowd.push_back(child);
    }
    ::close(ready_pipe[1]);
    std::thread([fd = ready_pipe[0], crowd_at] {
      int open = 0;
      while (::read(fd, &open, sizeof open) == sizeof open) {
        record.line(
            "crowd: %d more connections, each has sent 4000 bytes of a body of 24000, %.1f s "
            "after it began",
            open, now_s() - crowd_at);
      }
    }).detach();
  }
  ordinary.join();
  for (std::thread& item : threads) {
    item.join();
  }
  readiness.join();
  for (const pid_t child : crowd) {
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
  }
  std::sort(attempts.begin(), attempts.end(),
            [](const attempt& one, const attempt& other) { return one.sent < other.sent; });
  // The longest span in which clients tried and none got an answer on a new connection.
  double last_served = begin;
  double longest = 0;
  int tried = 0;
  int tried_in_longest = 0;
  int before = 0;
  for (const attempt& value : attempts) {
    before += value.sent < crowd_at - 0.5 && value.status == 200 ? 1 : 0;
    if (value.status == 0) {
      ++tried;
    } else {
      last_served = value.sent;
      tried = 0;
    }
    if (value.sent - last_served > longest) {
      longest = value.sent - last_served;
      tried_in_longest = tried;
    }
  }
  record.line("longest time without an answer to any of the ordinary clients: %.1f s, %d tried",
              longest, tried_in_longest);
  record.line("readiness checks with 200: %d, others: %d", ready.load(), not_ready.load());
  const bool has_ended = met.has_ended();
  record.line("the process has %s", has_ended ? "ended" : "not ended");
  if (before < 40) {
    finish(site, could_not_run);
  }
  finish(site, has_ended || (longest >= stability_window && tried_in_longest >= 7) ? broken : held);
}
