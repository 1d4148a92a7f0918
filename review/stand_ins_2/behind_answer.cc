// A machine gets SIGTERM. Clients on it keep their connections, read slowly, and send a further
// safe request before the answer to the one before it has arrived. Checked: no request that the
// process has read and passed on to an endpoint ends with a closed connection and no answer (LOST,
// planned work).

#include "kit.h"

using namespace kit;

namespace {

// Client number i has this many answers on their way to it, of `page` bytes each, when the first of
// the two requests is sent. How much the kernel holds for a connection differs by machine, so the
// clients try many amounts.
constexpr int clients = 40;
constexpr int least_pages = 4;
constexpr std::size_t page = 125'000;
constexpr std::size_t first_answer = 250'000;
constexpr int window_bytes = 65536;
constexpr double reads_from = 1.5; // seconds after the SIGTERM
constexpr int time_budget_ms = 8000;
constexpr double grace_period = 6;

struct sent_request {
  std::string id;
  double sent = 0;
  double answered = 0; // 0: never
  int status = 0;
};

struct client {
  int number = 0;
  std::vector<sent_request> requests;
  std::string end; // how the connection ended
  double ended = 0;
};

// Reads no faster than the client's link.
void play(const machine& origin, client& self, double stop_at) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof window_bytes);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const sockaddr_in address = address_of(origin.host, callers_port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    self.end = "not_connected";
    return;
  }
  std::deque<std::string> expected; // requests without an answer
  const auto send_request = [&](const std::string& kind) {
    sent_request request;
    request.id = kind + "-" + std::to_string(self.number);
    request.sent = now_s();
    self.requests.push_back(request);
    expected.push_back(request.id);
    record.line("client %d sends %s", self.number, request.id.c_str());
    send_all(fd, request_bytes("GET", "/view/" + kind, request.id, time_budget_ms));
  };
  std::string bytes;
  const auto take_answers = [&] {
    while (true) {
      const std::size_t end = bytes.find("\r\n\r\n");
      if (end == std::string::npos) {
        return;
      }
      const std::size_t field = bytes.find("Content-Length: ");
      const std::size_t size =
          field < end ? static_cast<std::size_t>(std::atoll(bytes.c_str() + field + 16)) : 0;
      if (bytes.size() < end + 4 + size) {
        return;
      }
      // Answers come in the order of the requests.
      const std::string id = expected.empty() ? "" : expected.front();
      if (!expected.empty()) {
        expected.pop_front();
      }
      for (sent_request& item : self.requests) {
        if (item.id == id) {
          item.answered = now_s();
          item.status = std::atoi(bytes.c_str() + 9);
          record.line(
              "client %d gets %s status=%d closes=%s", self.number, item.id.c_str(), item.status,
              bytes.substr(0, end).find("Connection: close") == std::string::npos ? "no" : "yes");
        }
      }
      bytes.erase(0, end + 4 + size);
    }
  };
  sleep_until_s(stop_at - 3);
  for (int i = 0; i < least_pages + self.number; ++i) {
    expected.push_back("page-" + std::to_string(self.number) + "-" + std::to_string(i));
    send_all(fd, request_bytes("GET", "/view/page", expected.back(), time_budget_ms));
    sleep_s(0.05);
  }
  sleep_until_s(stop_at - 0.2);
  send_request("first");
  sleep_until_s(stop_at + 0.7);
  send_request("second");
  sleep_until_s(stop_at + reads_from);
  const double limit = stop_at + grace_period + 1;
  self.end = "open";
  while (now_s() < limit && self.end == "open") {
    char buffer[65536];
    pollfd wait{fd, POLLIN, 0};
    ::poll(&wait, 1, 100);
    const ssize_t n = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (n > 0) {
      bytes.append(buffer, static_cast<std::size_t>(n));
      take_answers();
    } else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
      self.end = n == 0 ? "closed by the machine" : "reset";
    }
    if (self.requests[0].answered > 0 && self.requests[1].answered > 0) {
      self.end = "all answered";
    }
  }
  self.ended = now_s();
  record.line("client %d: %s", self.number, self.end.c_str());
  ::close(fd);
}

} // namespace

int main(int argc, char** argv) {
  record.open(argc > 1 ? argv[1] : "record.txt");
  deployment site;
  site.add("amman-a", "checkout");
  site.add("amman-a", "preview");
  site.add("amman-b", "preview");
  for (endpoint& item : site.endpoints) {
    item.plan = [](const message& request) {
      const std::string target = request.target();
      return target == "/view/first"    ? endpoint::job{0.4, first_answer}
             : target == "/view/page"   ? endpoint::job{0.01, page}
             : target == "/view/second" ? endpoint::job{1.2, 1500}
                                        : endpoint::job{};
    };
  }
  if (!site.start(configuration(route("view", "safe", "preview", "8000ms", 2) + "," +
                                    route("pay", "unsafe", "checkout", "1200ms", 0),
                                service_entry("preview") + "," + service_entry("checkout")),
                  {"/view/1", "/pay/1"})) {
    record.line("could not start");
    finish(site, could_not_run);
  }
  machine& origin = site.machines[0];
  const double stop_at = now_s() + 4;
  std::vector<client> all(clients);
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i) {
    all[i].number = i;
    threads.emplace_back([&, i] { play(origin, all[i], stop_at); });
  }
  sleep_until_s(stop_at);
  if (has_trouble()) {
    origin.send_signal(SIGTERM);
  }
  for (std::thread& item : threads) {
    item.join();
  }
  sleep_s(0.3);
  std::map<std::string, run> runs;
  for (endpoint& item : site.endpoints) {
    for (const run& value : item.runs()) {
      runs[value.id] = value;
    }
  }
  int lost = 0;
  int answered = 0;
  for (const client& item : all) {
    for (const sent_request& request : item.requests) {
      const bool has_run = runs.contains(request.id);
      answered += request.answered > 0 ? 1 : 0;
      // Passed on, and its connection ended without an answer.
      if (has_run && request.answered == 0 && item.end != "all answered") {
        ++lost;
        record.line("LOST: %s, sent %.3f s after the SIGTERM, reached %s %.3f s after it, got no "
                    "answer; its connection: %s at %.3f s",
                    request.id.c_str(), request.sent - stop_at, runs[request.id].endpoint.c_str(),
                    runs[request.id].at - stop_at, item.end.c_str(), item.ended - stop_at);
      }
    }
  }
  record.line("%d requests lost, %d answered, of %d", lost, answered, 2 * clients);
  if (answered == 0) {
    finish(site, could_not_run);
  }
  finish(site, lost > 0 ? broken : held);
}
