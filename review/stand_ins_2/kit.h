// Stand-ins for the cases 6 to 10: the platform's store, an endpoint, clients and processes of the
// system, on loopback addresses and the real clock. Plain POSIX; no dependency.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

constexpr int callers_port = 8304, peers_port = 8300, ready_port = 8302, control_port = 8306,
              metrics_port = 9464, app_port = 8301, store_port = 8309, report_port = 7620;

inline double now_s() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline long long epoch_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleep_s(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleep_until_s(double at) {
  if (at > now_s()) {
    sleep_s(at - now_s());
  }
}

// record.txt: one line for each thing that was sent, answered or run.
class record_file {
public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f ", now_s());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

private:
  std::FILE* file_ = nullptr;
  std::mutex mutex_;
};
inline record_file record;

// --- sockets and HTTP ---

inline sockaddr_in address_of(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

inline int listen_at(const std::string& host, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = address_of(host, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 1024) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// Returns -1 if the connection is not established in time.
inline int connect_to(const std::string& host, int port, double timeout) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const sockaddr_in address = address_of(host, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || ::poll(&wait, 1, static_cast<int>(timeout * 1000)) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(n);
  }
  return true;
}

struct message {
  std::string start; // request line or status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const std::size_t a = start.find(' ') + 1;
    return start.substr(a, start.find(' ', a) - a);
  }
};

enum class read_outcome { message, closed, reset, timeout };

// Reads messages from one connection; keeps what follows a message.
class reader {
public:
  explicit reader(int fd) : fd_(fd) {}
  // `until`: moment on the clock of now_s.
  read_outcome read(message& out, double until) {
    while (true) {
      if (parse(out)) {
        return read_outcome::message;
      }
      const double left = until - now_s();
      pollfd wait{fd_, POLLIN, 0};
      if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left * 1000) + 1) == 0) {
        return read_outcome::timeout;
      }
      char buffer[65536];
      const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
      if (n == 0) {
        return read_outcome::closed;
      }
      if (n < 0) {
        return read_outcome::reset;
      }
      bytes_.append(buffer, static_cast<std::size_t>(n));
    }
  }
  bool has_begun() const { return !bytes_.empty(); }
  std::size_t buffered() const { return bytes_.size(); }

private:
  bool parse(message& out) {
    const std::size_t end = bytes_.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    message value;
    std::size_t at = bytes_.find("\r\n");
    value.start = bytes_.substr(0, at);
    while (at < end) {
      const std::size_t begin = at + 2;
      at = bytes_.find("\r\n", begin);
      const std::string line = bytes_.substr(begin, at - begin);
      const std::size_t colon = line.find(':');
      std::string text = colon == std::string::npos ? "" : line.substr(colon + 1);
      text.erase(0, std::min(text.find_first_not_of(' '), text.size()));
      value.headers.emplace_back(line.substr(0, colon), text);
    }
    const std::size_t length =
        static_cast<std::size_t>(std::atoll(value.header("Content-Length").c_str()));
    if (bytes_.size() < end + 4 + length) {
      return false;
    }
    value.body = bytes_.substr(end + 4, length);
    bytes_.erase(0, end + 4 + length);
    out = std::move(value);
    return true;
  }
  int fd_;
  std::string bytes_;
};

inline std::string reply(const std::string& status, const std::string& headers,
                         const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A thread for each connection; the threads end with the process.
inline bool serve(const std::string& host, int port, std::function<void(int)> on_connection) {
  const int fd = listen_at(host, port);
  if (fd < 0) {
    return false;
  }
  std::thread([fd, on_connection] {
    while (true) {
      const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        sleep_s(0.01);
        continue;
      }
      const int one = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([accepted, on_connection] {
        on_connection(accepted);
        ::close(accepted);
      }).detach();
    }
  }).detach();
  return true;
}

// --- the platform's store: a log with partition 0 of each topic ---

class store {
public:
  bool start(const std::string& host) {
    return serve(host, store_port, [this](int fd) { on_connection(fd); });
  }
  // What the operator writes.
  void write(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back(static_cast<char>(key.size()) + key + value);
    changed_.notify_all();
  }

private:
  static std::string parameter(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
      return "";
    }
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  static std::string base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      unsigned value = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text += i + j <= bytes.size() ? digits[value >> (18 - 6 * j) & 63] : '=';
      }
    }
    return text;
  }
  static std::string big_endian(std::uint64_t value, int size) {
    std::string text;
    for (int i = size - 1; i >= 0; --i) {
      text += static_cast<char>(value >> (8 * i) & 255);
    }
    return text;
  }
  void on_connection(int fd) {
    reader input(fd);
    message request;
    while (input.read(request, now_s() + 120) == read_outcome::message) {
      sleep_s(0.004); // the platform's latency of an answer
      if (!send_all(fd, answer(request))) {
        return;
      }
    }
  }
  std::string answer(const message& request) {
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string json = "Content-Type: application/json\r\nStore-Era: 1\r\n";
    std::unique_lock lock(mutex_);
    std::vector<std::string>& records = topics_[parameter(target, "topic")];
    if (path == "/log-append") {
      const std::string at = parameter(target, "at");
      const std::size_t offset = records.size();
      if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != offset) {
        return reply("412 Precondition Failed", json,
                     "{\"endOffset\":" + std::to_string(offset) + "}");
      }
      for (std::size_t i = 0; i + 4 <= request.body.size();) {
        std::size_t size = 0;
        for (int j = 0; j < 4; ++j) {
          size = size << 8 | static_cast<unsigned char>(request.body[i++]);
        }
        records.push_back(request.body.substr(i, size));
        i += size;
      }
      changed_.notify_all();
      return reply("200 OK", json,
                   "{\"offset\":" + std::to_string(offset) +
                       ",\"endOffset\":" + std::to_string(records.size()) + "}");
    }
    if (path == "/log-read") {
      const std::size_t from = std::strtoull(parameter(target, "from").c_str(), nullptr, 10);
      const double wait = std::atof(parameter(target, "waitMs").c_str()) / 1000;
      if (from > records.size()) {
        return reply("410 Gone", json, "{\"firstOffset\":0}");
      }
      changed_.wait_for(lock, std::chrono::duration<double>(wait),
                        [&] { return records.size() > from; });
      std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
      for (std::size_t i = from; i < records.size(); ++i) {
        body += big_endian(records[i].size(), 4) + records[i];
      }
      return reply("200 OK", "Store-Era: 1\r\n", body);
    }
    if (path == "/log-newest") {
      std::map<std::string, std::pair<std::size_t, std::string>> newest;
      for (std::size_t i = 0; i < records.size(); ++i) {
        const std::size_t size = static_cast<unsigned char>(records[i].front());
        newest[records[i].substr(1, size)] = {i, records[i].substr(1 + size)};
      }
      std::string items;
      for (const auto& [key, item] : newest) {
        if (!item.second.empty()) {
          items += (items.empty() ? "" : ",");
          items += "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.second) +
                   "\",\"offset\":" + std::to_string(item.first) + "}";
        }
      }
      return reply("200 OK", json,
                   "{\"items\":[" + items +
                       "],\"more\":false,\"endOffset\":" + std::to_string(records.size()) + "}");
    }
    return reply("404 Not Found", json, "{}");
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<std::string>> topics_;
};

// --- an endpoint beside a machine of the system ---

struct run {
  std::string id, path, caller, endpoint;
  double at = 0;
  double ended = 0; // 0: the connection was closed while it worked
};

class endpoint {
public:
  // Returns how long the request works and the size of its answer.
  struct job {
    double work = 0.05;
    std::size_t answer_size = 1500;
    // An endpoint in trouble: bytes without end behind this head, until the caller closes.
    std::string endless_head = "";
    std::string endless_bytes = "";
    double endless_pause = 0; // seconds behind each piece of it
  };
  std::string host, service, zone, instance;
  long long born = 0;
  std::function<job(const message&)> plan = [](const message&) { return job{}; };

  bool start() {
    born = epoch_ms();
    if (!serve(host, app_port, [this](int fd) { on_connection(fd); })) {
      return false;
    }
    std::thread([this] { beat(); }).detach();
    return true;
  }
  std::vector<run> runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

private:
  void beat() {
    while (true) {
      const std::string body =
          "{\"address\":\"" + host + ":" + std::to_string(app_port) +
          "\",\"born\":" + std::to_string(born) + ",\"information\":{\"service\":\"" + service +
          "\",\"version\":\"v1\",\"zone\":\"" + zone +
          "\",\"capacitySlots\":18},\"status\":{\"state\":\"ready\",\"sequence\":" +
          std::to_string(++sequence_) + ",\"coldRemaining\":\"0ms\"}}";
      const int fd = connect_to(host, control_port, 0.3);
      bool is_acknowledged = false;
      if (fd >= 0) {
        reader input(fd);
        message answer;
        send_all(fd, "PUT /instances/" + instance +
                         " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                         "Connection: close\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
        is_acknowledged =
            input.read(answer, now_s() + 1) == read_outcome::message && answer.status() / 100 == 2;
        ::close(fd);
      }
      sleep_s(is_acknowledged ? 1.5 : 0.2);
    }
  }
  void on_connection(int fd) {
    reader input(fd);
    message request;
    while (input.read(request, now_s() + 10) == read_outcome::message) {
      const std::string id = request.header("X-Attempt-Identifier");
      const std::string common = "X-Attempt-Identifier: " + id + "\r\n";
      if (request.header("X-Expected-Instance") != instance) {
        send_all(fd, reply("421 Misdirected Request", common, ""));
        continue;
      }
      const job work = plan(request);
      std::size_t index = 0;
      {
        const std::lock_guard lock(mutex_);
        index = runs_.size();
        runs_.push_back(
            {id, request.target(), request.header("X-Calling-Service"), instance, now_s(), 0});
      }
      record.line("run id=%s at=%s path=%s calling_service=%s remaining_ms=%s", id.c_str(),
                  instance.c_str(), request.target().c_str(),
                  request.header("X-Calling-Service").c_str(),
                  request.header("X-Deadline-Remaining").c_str());
      // Drops the request when its connection is closed.
      pollfd wait{fd, POLLIN, 0};
      if (::poll(&wait, 1, static_cast<int>(work.work * 1000)) != 0) {
        record.line("run_dropped id=%s at=%s: its connection was closed", id.c_str(),
                    instance.c_str());
        return;
      }
      {
        const std::lock_guard lock(mutex_);
        runs_[index].ended = now_s();
      }
      record.line("run_ended id=%s at=%s", id.c_str(), instance.c_str());
      if (!work.endless_head.empty()) {
        send_all(fd, "HTTP/1.1 200 OK\r\n" + common + work.endless_head + "\r\n");
        const double begin = now_s();
        std::size_t sent = 0;
        while (send_all(fd, work.endless_bytes)) {
          sent += work.endless_bytes.size();
          sleep_until_s(begin + work.endless_pause * static_cast<double>(sent) /
                                    static_cast<double>(work.endless_bytes.size()));
        }
        record.line("endless id=%s at=%s: the caller closed after %zu bytes", id.c_str(),
                    instance.c_str(), sent);
        return;
      }
      if (!send_all(fd, reply("200 OK", common + "X-Response-Signature: s." + id + "\r\n",
                              std::string(work.answer_size, 'x')))) {
        return;
      }
    }
  }
  std::mutex mutex_;
  std::vector<run> runs_;
  std::uint64_t sequence_ = 0;
};

// --- a process of the system ---

class machine {
public:
  std::string host, zone, service, name;
  int descriptors = 0; // of the process; 0: as they are
  int memory_mb = 110;

  void write_settings(const std::string& folder, const std::string& store_host) {
    path_ = folder + "/" + name + ".json";
    log_ = folder + "/" + name + ".log";
    std::FILE* file = std::fopen(path_.c_str(), "w");
    const char* h = host.c_str();
    std::fprintf(
        file,
        "{\"instance\": \"%s\", \"failure_domain\": \"%s\",\n"
        " \"listen\": {\"callers\": \"%s:%d\", \"peers\": \"%s:%d\", \"upstreams\": "
        "\"%s:%d\", \"readiness\": \"%s:%d\", \"metrics\": \"%s:%d\", \"report_port\": %d},\n"
        " \"upstream\": {\"address\": \"%s:%d\", \"service\": \"%s\", "
        "\"cold_load_factor\": 1.5, \"cold_load_extra\": 5},\n"
        " \"instance_limits\": {\"cores\": 0.2, \"link_mbps\": 1000, \"memory_mb\": %d},\n"
        " \"store\": \"%s:%d\", \"retries\": {\"ratio\": 0.2, \"extra\": 60},\n"
        " \"rollouts\": {\"exposure_share\": 0.1, \"exposure_extra\": 50},\n"
        " \"grace_period\": \"6s\"}\n",
        name.c_str(), zone.c_str(), h, callers_port, h, peers_port, h, control_port, h, ready_port,
        h, metrics_port, report_port, h, app_port, service.c_str(), memory_mb, store_host.c_str(),
        store_port);
    std::fclose(file);
  }
  void start() {
    pid_ = ::fork();
    if (pid_ == 0) {
      const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      if (descriptors > 0) {
        const rlimit limit{static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
        ::setrlimit(RLIMIT_NOFILE, &limit);
      }
      ::execl("target/arbutuslb", "target/arbutuslb", "gateway", path_.c_str(), nullptr);
      _exit(127);
    }
    record.line("process %s started, pid %d", name.c_str(), pid_);
  }
  void send_signal(int number) {
    record.line("process %s gets signal %d", name.c_str(), number);
    ::kill(pid_, number);
  }
  int pid() const { return pid_; }
  // Returns true if the process has ended by itself.
  bool has_ended() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
      record.line("process %s ended, status %d", name.c_str(), status_);
      pid_ = 0;
    }
    return pid_ == 0;
  }
  void kill() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, &status_, 0);
      pid_ = 0;
    }
  }
  // The status of the readiness check; 0 without an answer in time.
  int readiness(double timeout = 1.0) const {
    const int fd = connect_to(host, ready_port, timeout);
    if (fd < 0) {
      return 0;
    }
    reader input(fd);
    message answer;
    send_all(fd, "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    const bool is_read = input.read(answer, now_s() + timeout) == read_outcome::message;
    ::close(fd);
    return is_read ? answer.status() : 0;
  }

private:
  std::string path_, log_;
  int pid_ = 0;
  int status_ = 0;
};

// --- a client's requests ---

struct attempt {
  std::string id;
  double sent = 0;
  double ended = 0;
  int status = 0; // 0: no answer
  std::string outcome;
  message answer;
};

inline std::string request_bytes(const std::string& method, const std::string& path,
                                 const std::string& id, int budget_ms,
                                 const std::string& body = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Identifier: " + id +
         "\r\nX-Deadline-Remaining: " + std::to_string(budget_ms) + "\r\n" +
         (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

// Sends a request on a new connection and waits for its answer until its time budget ends.
inline attempt call(const std::string& host, const std::string& method, const std::string& path,
                    const std::string& id, int budget_ms, const std::string& body = "") {
  attempt value;
  value.id = id;
  value.sent = now_s();
  const int fd = connect_to(host, callers_port, 1.0);
  if (fd < 0) {
    value.ended = now_s();
    value.outcome = "not_connected";
    return value;
  }
  reader input(fd);
  send_all(fd, request_bytes(method, path, id, budget_ms, body));
  const read_outcome end = input.read(value.answer, value.sent + budget_ms / 1000.0);
  value.ended = now_s();
  value.status = end == read_outcome::message ? value.answer.status() : 0;
  value.outcome = end == read_outcome::message   ? "answered"
                  : end == read_outcome::timeout ? "no_answer_in_time"
                                                 : "closed";
  ::close(fd);
  return value;
}

// --- a deployment ---

inline std::string route(const std::string& name, const std::string& kind,
                         const std::string& service, const std::string& timeout, int priority) {
  return "\"r-" + name + "\":{\"host\":\"shop.example\",\"pathPrefix\":\"/" + name +
         "/\",\"kind\":\"" + kind + "\",\"timeout\":\"" + timeout +
         "\",\"targetLatency\":\"500ms\",\"priority\":" + std::to_string(priority) +
         ",\"service\":\"" + service + "\",\"attempts\":2}";
}

inline std::string service_entry(const std::string& name) {
  return "\"" + name +
         "\":{\"healthCheckPath\":\"/health\",\"maxConnections\":120,\"protocol\":\"h1\",\"tls\":"
         "false,\"coldStart\":\"3s\",\"coldPerS\":18.0}";
}

inline std::string configuration(const std::string& routes, const std::string& services) {
  return "{\"version\":\"r7\",\"routes\":{" + routes + "},\"services\":{" + services +
         "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":"
         "\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
}

class deployment {
public:
  store log;
  std::deque<machine> machines;
  std::deque<endpoint> endpoints;
  std::string prefix; // of the addresses
  std::string folder; // temporary

  // Chooses addresses that are free.
  deployment() {
    char path[] = "/tmp/arbutuslb-review-XXXXXX";
    folder = ::mkdtemp(path);
    for (int i = 0; i < 50 && prefix.empty(); ++i) {
      const int seed = static_cast<int>(::getpid()) + 7919 * i;
      const std::string candidate =
          "127." + std::to_string(64 + seed % 100) + "." + std::to_string(seed / 100 % 250) + ".";
      const int fd = listen_at(candidate + "7", store_port);
      if (fd >= 0) {
        ::close(fd);
        prefix = candidate;
      }
    }
  }
  void stop() {
    for (machine& item : machines) {
      item.kill();
    }
    if (std::getenv("KEEP") == nullptr) {
      for (const machine& item : machines) {
        std::remove((folder + "/" + item.name + ".json").c_str());
        std::remove((folder + "/" + item.name + ".log").c_str());
      }
      ::rmdir(folder.c_str());
    } else {
      std::fprintf(stderr, "logs: %s\n", folder.c_str());
    }
  }
  std::string store_host() const { return prefix + "7"; }
  void add(const std::string& zone, const std::string& service, int descriptors = 0) {
    const std::string host = prefix + std::to_string(10 + machines.size());
    machine& added = machines.emplace_back();
    added.host = host;
    added.zone = zone;
    added.service = service;
    added.name = "sidecar-" + std::to_string(machines.size());
    added.descriptors = descriptors;
    endpoint& beside = endpoints.emplace_back();
    beside.host = host;
    beside.service = service;
    beside.zone = zone;
    beside.instance = "i-" + std::to_string(machines.size());
  }
  // Starts everything; returns false if a machine is not ready, or a path not served, within 10 s.
  bool start(const std::string& config, const std::vector<std::string>& paths) {
    if (prefix.empty() || !log.start(store_host())) {
      return false;
    }
    log.write("keyed.op", "config", config);
    for (machine& item : machines) {
      item.write_settings(folder, store_host());
      item.start();
    }
    for (endpoint& item : endpoints) {
      if (!item.start()) {
        return false;
      }
    }
    const double limit = now_s() + 10;
    for (const machine& item : machines) {
      while (item.readiness() != 200) {
        if (now_s() > limit) {
          return false;
        }
        sleep_s(0.1);
      }
      for (const std::string& path : paths) {
        int number = 0;
        while (call(item.host, "GET", path, "warm-" + std::to_string(++number), 1000).status !=
               200) {
          if (now_s() > limit) {
            return false;
          }
          sleep_s(0.1);
        }
      }
    }
    sleep_s(4); // longer than the stability window: all machines are in touch
    return true;
  }
};

// Ends the processes of the system and this one, whose threads may still be at work.
[[noreturn]] inline void finish(deployment& site, int code) {
  record.line("exit code %d", code);
  site.stop();
  ::_exit(code);
}

inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline void allow_descriptors() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

constexpr int held = 0, broken = 1, could_not_run = 2;

} // namespace kit
