// Stand-ins for the review's scripts: the platform's store, endpoints, clients, and the processes
// of the project. Blocking sockets, one thread a connection; POSIX and the standard library only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline double now_s() {
  static const steady::time_point start = steady::now();
  return std::chrono::duration<double>(steady::now() - start).count();
}
inline void sleep_s(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}
inline long long epoch_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Thread-safe log of a run, one line an event.
class record {
public:
  explicit record(const std::string& path) : file_(path) {}
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    snprintf(time, sizeof(time), "%8.3f ", now_s());
    file_ << time << text << "\n" << std::flush;
  }
  // A line that is also printed.
  void say(const std::string& text) {
    line("%s", text.c_str());
    printf("%s\n", text.c_str());
    fflush(stdout);
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
};

// --- HTTP/1.1 ---

struct message {
  std::string start_line;
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
  bool has(const std::string& name) const {
    return std::any_of(headers.begin(), headers.end(), [&](const auto& item) {
      return strcasecmp(item.first.c_str(), name.c_str()) == 0;
    });
  }
  std::string word(int index) const {
    std::istringstream in(start_line);
    std::string text;
    for (int i = 0; i <= index; ++i) {
      in >> text;
    }
    return text;
  }
  int status() const { return atoi(word(1).c_str()); }
};

// A socket with the bytes that were read ahead.
class stream {
public:
  explicit stream(int descriptor) : descriptor_(descriptor) {}
  ~stream() { close(); }
  stream(const stream&) = delete;
  void close() {
    if (descriptor_ >= 0) {
      ::close(descriptor_);
    }
    descriptor_ = -1;
  }
  int descriptor() const { return descriptor_; }
  bool write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t sent =
          ::send(descriptor_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // Returns 1 after reading, 0 at the end of the stream, -1 on an error or after `until`.
  int fill(double until, std::size_t size = 65536) {
    const double left = until - now_s();
    pollfd ready{descriptor_, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      timed_out = true;
      return -1;
    }
    std::string chunk(size, 0);
    const ssize_t got = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
    if (got <= 0) {
      return got == 0 ? 0 : -1;
    }
    buffer.append(chunk.data(), static_cast<std::size_t>(got));
    return 1;
  }
  // Reads one message. Returns false if it is incomplete or malformed. `delay_per_read` makes the
  // reader slow.
  bool read(message& out, double until, bool is_response = false, double delay_per_read = 0) {
    out = {};
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (fill(until) <= 0) {
        return false;
      }
    }
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string text;
    std::getline(head, text);
    out.start_line = text.substr(0, text.find('\r'));
    while (std::getline(head, text)) {
      text = text.substr(0, text.find('\r'));
      const std::size_t colon = text.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      std::size_t begin = colon + 1;
      while (begin < text.size() && text[begin] == ' ') {
        ++begin;
      }
      out.headers.emplace_back(text.substr(0, colon), text.substr(begin));
    }
    if (is_response && out.start_line.rfind("HTTP/1.1 ", 0) != 0) {
      return false;
    }
    if (is_response && (out.status() == 204 || out.status() == 304)) {
      return true;
    }
    if (!out.has("Content-Length")) {
      return !is_response;
    }
    const std::size_t size = strtoull(out.header("Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < size) {
      if (fill(until) <= 0) {
        out.body = buffer;
        return false;
      }
      sleep_s(delay_per_read);
    }
    out.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
  }

  std::string buffer;
  bool timed_out = false;

private:
  int descriptor_;
};

inline sockaddr_in address_of(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

inline int connect_to(const std::string& host, int port, int receive_buffer = 0) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  if (receive_buffer > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  const sockaddr_in address = address_of(host, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

// Accepts connections and serves each on a thread of its own.
class listener {
public:
  using handler = std::function<void(stream&)>;
  listener(const std::string& host, int port, handler serve) : serve_(std::move(serve)) {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = address_of(host, port);
    if (bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(descriptor_, 512) != 0) {
      perror("listen");
      exit(2);
    }
    std::thread([this] { accept_all(); }).detach();
  }

private:
  void accept_all() {
    while (true) {
      const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int one = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([this, accepted] {
        stream connection(accepted);
        serve_(connection);
      }).detach();
    }
  }
  handler serve_;
  int descriptor_ = -1;
};

inline std::string response(int status, const std::vector<std::string>& header_lines,
                            const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const std::string& line : header_lines) {
    text += line + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// --- the platform's store ---

// Keyed topics with one partition, as the users' pages describe them.
class store {
public:
  store(const std::string& host, int port)
      : listener_(host, port, [this](stream& connection) { serve(connection); }) {}

  void append(const std::string& topic, const std::string& key, const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    std::string content(1, static_cast<char>(key.size()));
    topics_[topic].push_back({key, value, content + key + value});
    changed_.notify_all();
  }
  // The connections that are open now go silent for good; new ones work.
  void silence_open_connections() {
    std::lock_guard<std::mutex> lock(mutex_);
    silent_up_to_ = last_connection_;
  }

private:
  struct item {
    std::string key, value, content;
  };
  static std::map<std::string, std::string> parameters(const std::string& target) {
    std::map<std::string, std::string> values;
    std::istringstream query(
        target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1));
    std::string part;
    while (std::getline(query, part, '&')) {
      const std::size_t equals = part.find('=');
      values[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return values;
  }
  static std::string big_endian(std::uint64_t value, int size) {
    std::string bytes;
    for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) {
      bytes.push_back(static_cast<char>(value >> shift));
    }
    return bytes;
  }
  static std::string base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=');
      }
    }
    return text;
  }
  void serve(stream& connection) {
    std::uint64_t number = 0;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      number = ++last_connection_;
    }
    message request;
    while (connection.read(request, now_s() + 3600)) {
      const std::string answer = answer_to(request);
      sleep_s(0.004);
      bool is_silent = false;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        is_silent = number <= silent_up_to_;
      }
      if (is_silent) {
        while (connection.fill(now_s() + 3600) > 0) {
          connection.buffer.clear();
        }
        return;
      }
      if (!connection.write(answer)) {
        return;
      }
    }
  }
  std::string answer_to(const message& request) {
    const std::string target = request.word(1);
    std::map<std::string, std::string> query = parameters(target);
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = query["topic"];
    std::unique_lock<std::mutex> lock(mutex_);
    std::vector<item>& items = topics_[topic];
    const std::vector<std::string> era{"Store-Era: 1"};
    if (path == "/log-append") {
      if (topic == "keyed.op" || topic == "keyed.servers") {
        return response(403, era, "");
      }
      if (!query["at"].empty() && std::stoull(query["at"]) != items.size()) {
        return response(412, era, "{\"endOffset\":" + std::to_string(items.size()) + "}");
      }
      const std::size_t first = items.size();
      for (std::size_t at = 0; at + 4 <= request.body.size();) {
        std::uint32_t size = 0;
        for (int i = 0; i < 4; ++i) {
          size = size << 8 | static_cast<unsigned char>(request.body[at + i]);
        }
        const std::string content = request.body.substr(at + 4, size);
        const std::size_t key_size = static_cast<unsigned char>(content[0]);
        items.push_back({content.substr(1, key_size), content.substr(1 + key_size), content});
        at += 4 + size;
      }
      changed_.notify_all();
      return response(200, era,
                      "{\"offset\":" + std::to_string(first) +
                          ",\"endOffset\":" + std::to_string(items.size()) + "}");
    }
    if (path == "/log-read") {
      const std::size_t from = std::stoull(query["from"]);
      const long wait_ms = query["waitMs"].empty() ? 0 : std::stol(query["waitMs"]);
      const std::size_t limit =
          1024 * (query["maxKilobytes"].empty() ? 1024 : std::stoull(query["maxKilobytes"]));
      if (from > items.size()) {
        return response(410, era, "{\"firstOffset\":0}");
      }
      changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                        [&] { return topics_[topic].size() > from; });
      const std::vector<item>& current = topics_[topic];
      std::string body = big_endian(current.size(), 8) + big_endian(0, 8);
      std::size_t used = 0;
      for (std::size_t i = from; i < current.size(); ++i) {
        const std::size_t size = 4 + current[i].content.size();
        if (i > from && used + size > limit) {
          break;
        }
        used += size;
        body += big_endian(current[i].content.size(), 4) + current[i].content;
      }
      return response(200, era, body);
    }
    if (path == "/log-newest") {
      std::map<std::string, std::size_t> newest;
      for (std::size_t i = 0; i < items.size(); ++i) {
        newest[items[i].key] = i;
      }
      std::string list;
      std::size_t count = 0;
      bool has_more = false;
      for (const auto& [key, offset] : newest) {
        if (items[offset].value.empty() || (!query["after"].empty() && key <= query["after"])) {
          continue;
        }
        if (count >= 500 || (count > 0 && list.size() > 1024 * 1024)) {
          has_more = true;
          break;
        }
        list += std::string(count == 0 ? "" : ",") + "{\"key\":\"" + key + "\",\"value\":\"" +
                base64(items[offset].value) + "\",\"offset\":" + std::to_string(offset) + "}";
        ++count;
      }
      return response(200, era,
                      "{\"items\":[" + list + "],\"more\":" + (has_more ? "true" : "false") +
                          ",\"endOffset\":" + std::to_string(items.size()) + "}");
    }
    return response(404, era, "");
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<item>> topics_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t silent_up_to_ = 0;
  listener listener_;
};

// --- configurations ---

struct route {
  std::string name, prefix, kind, service;
  int attempts = 2;
  std::string timeout = "4s";
};

inline std::string configuration(int version, const std::vector<route>& routes,
                                 const std::set<std::string>& services,
                                 const std::string& host = "shop.example") {
  std::string text = "{\"version\":\"r" + std::to_string(version) + "\",\"routes\":{";
  bool is_first = true;
  for (const route& item : routes) {
    text += std::string(is_first ? "" : ",") + "\"" + item.name + "\":{\"host\":\"" + host +
            "\",\"pathPrefix\":\"" + item.prefix + "\",\"kind\":\"" + item.kind +
            "\",\"timeout\":\"" + item.timeout + "\",\"targetLatency\":\"500ms\",\"attempts\":" +
            std::to_string(item.attempts) + ",\"priority\":1,\"service\":\"" + item.service + "\"}";
    is_first = false;
  }
  text += "},\"services\":{";
  is_first = true;
  for (const std::string& item : services) {
    text += std::string(is_first ? "" : ",") + "\"" + item +
            "\":{\"healthCheckPath\":\"/health\",\"maxConnections\":120,\"coldStart\":\"3s\","
            "\"coldPerS\":18}";
    is_first = false;
  }
  return text + "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
                "\"headerTimeout\":\"3s\",\"idleTimeout\":\"10s\"}}";
}

// --- endpoints ---

constexpr int outbound_port = 8304;
constexpr int inbound_port = 8300;
constexpr int ready_port = 8302;
constexpr int control_port = 8306;
constexpr int application_port = 8301;
constexpr int report_port = 7620;
constexpr int metrics_port = 9464;

// Sends a heartbeat and returns the status of the answer; 0 if there is none.
inline int send_heartbeat(const std::string& host, const std::string& instance,
                          const std::string& service, const std::string& zone, long long born,
                          int sequence, const std::string& state = "ready", int slots = 18) {
  stream connection(connect_to(host, control_port));
  const std::string body =
      "{\"address\":\"" + host + ":" + std::to_string(application_port) +
      "\",\"born\":" + std::to_string(born) + ",\"information\":{\"service\":\"" + service +
      "\",\"version\":\"v1\",\"zone\":\"" + zone +
      "\",\"capacitySlots\":" + std::to_string(slots) + "},\"status\":{\"state\":\"" + state +
      "\",\"sequence\":" + std::to_string(sequence) + ",\"coldRemaining\":\"0ms\"}}";
  message answer;
  if (connection.descriptor() < 0 ||
      !connection.write("PUT /instances/" + instance + " HTTP/1.1\r\nHost: " + host +
                        "\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body) ||
      !connection.read(answer, now_s() + 1, true)) {
    return 0;
  }
  return answer.status();
}

class endpoint {
public:
  // Runs a request and answers it on the connection. Returns false to close the connection.
  using runner = std::function<bool(endpoint&, stream&, const message&)>;

  endpoint(std::string host, std::string zone, std::string service, record& log, runner run)
      : host(std::move(host)), zone(std::move(zone)), service(std::move(service)), log(log),
        run_(std::move(run)), instance("i-" + std::to_string(epoch_ms() % 1000000) + "-" +
                                       this->host.substr(this->host.rfind('.') + 1)),
        born(epoch_ms()), listener_(this->host, application_port, [this](stream& connection) {
          message request;
          while (connection.read(request, now_s() + 3600)) {
            if (!serve(connection, request)) {
              return;
            }
          }
        }) {
    std::thread([this] {
      while (true) {
        if (beats) {
          send_heartbeat(this->host, instance, this->service, this->zone, born, ++sequence);
        }
        sleep_s(1.5);
      }
    }).detach();
  }

  const std::string host, zone, service;
  record& log;

private:
  bool serve(stream& connection, const message& request) {
    const std::string id = request.header("X-Attempt-Identifier");
    if (request.word(1) == "/health") {
      return connection.write(response(200, {"X-Instance-Identifier: " + instance}, ""));
    }
    if (request.has("X-Expected-Instance") && request.header("X-Expected-Instance") != instance) {
      return connection.write(
          response(421, {"X-Attempt-Identifier: " + id, "X-Not-Executed: 1"}, ""));
    }
    return run_(*this, connection, request);
  }
  runner run_;

public:
  const std::string instance;
  const long long born;
  std::atomic<int> sequence{0};
  std::atomic<bool> beats{true};

private:
  listener listener_;
};

// The answer of a sound endpoint.
inline std::string good_answer(const message& request, const std::string& body) {
  const std::string id = request.header("X-Attempt-Identifier");
  return response(200, {"X-Attempt-Identifier: " + id, "X-Response-Signature: s." + id}, body);
}

// --- the processes of the project ---

class daemon_process {
public:
  daemon_process(std::string program, std::string directory, std::string host, std::string zone,
                 std::string service, std::string store_address)
      : program_(std::move(program)), base_(directory + "/" + host), host(std::move(host)) {
    const auto at = [&](int port) { return this->host + ":" + std::to_string(port); };
    std::ofstream(base_ + ".json")
        << "{\n  \"instance\": \"sidecar-" << this->host << "\",\n  \"failure_domain\": \"" << zone
        << "\",\n  \"listen\": {\"callers\": \"" << at(outbound_port) << "\", \"peers\": \""
        << at(inbound_port) << "\", \"upstreams\": \"" << at(control_port)
        << "\", \"readiness\": \"" << at(ready_port) << "\", \"metrics\": \"" << at(metrics_port)
        << "\", \"report_port\": " << report_port << "},\n  \"upstream\": {\"address\": \""
        << at(application_port) << "\", \"service\": \"" << service
        << "\", \"cold_load_factor\": 1.5, \"cold_load_extra\": 5},\n"
        << "  \"instance_limits\": {\"cores\": 0.2, \"link_mbps\": 1000.0},\n  \"store\": \""
        << store_address << "\",\n  \"retries\": {\"ratio\": 0.2, \"extra\": 60},\n"
        << "  \"grace_period\": \"6s\"\n}\n";
    start();
  }
  ~daemon_process() { kill_now(); }

  void start() {
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is killed
      const int output =
          open((base_ + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(output, 1);
      dup2(output, 2);
      const std::string settings = base_ + ".json";
      execl(program_.c_str(), program_.c_str(), "gateway", settings.c_str(), nullptr);
      _exit(127);
    }
  }
  void send_signal(int number) const {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  // Returns true if the process has ended.
  bool has_ended() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      exit_status = status;
    }
    return pid_ <= 0;
  }
  void kill_now() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  pid_t pid() const { return pid_; }
  // Resident memory and its peak, in megabytes.
  double memory_mb(const char* field) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string text;
    while (std::getline(file, text)) {
      if (text.rfind(field, 0) == 0) {
        return atof(text.c_str() + strlen(field) + 1) / 1024.0;
      }
    }
    return 0;
  }
  bool is_ready() const {
    stream connection(connect_to(host, ready_port));
    message answer;
    return connection.descriptor() >= 0 &&
           connection.write("GET /readiness HTTP/1.1\r\nHost: " + host + "\r\n\r\n") &&
           connection.read(answer, now_s() + 1, true) && answer.status() == 200;
  }

private:
  std::string program_, base_;
  pid_t pid_ = -1;

public:
  const std::string host;
  int exit_status = 0;
};

// --- clients ---

struct outcome {
  int status = 0; // 0: the connection ended without a complete answer
  message answer;
  bool timed_out = false;
};

inline std::string next_id() {
  static std::atomic<int> last{0};
  static const int base = static_cast<int>(epoch_ms() % 100000);
  char text[32];
  snprintf(text, sizeof(text), "a%05d%08d", base, ++last);
  return text;
}

inline std::string request_bytes(const std::string& method, const std::string& path,
                                 const std::string& id, int budget_ms, const std::string& body = "",
                                 const std::string& host = "shop.example") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Attempt-Identifier: " + id +
                     "\r\nX-Deadline-Remaining: " + std::to_string(budget_ms) + "\r\n";
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// Sends one request on the connection and reads its answer.
inline outcome exchange(stream& connection, const std::string& bytes, int budget_ms,
                        double delay_per_read = 0) {
  outcome result;
  if (connection.descriptor() < 0 || !connection.write(bytes)) {
    return result;
  }
  if (connection.read(result.answer, now_s() + budget_ms / 1000.0 + 1, true, delay_per_read)) {
    result.status = result.answer.status();
  }
  result.timed_out = connection.timed_out;
  return result;
}

inline outcome call(const std::string& host, const std::string& bytes, int budget_ms) {
  stream connection(connect_to(host, outbound_port));
  return exchange(connection, bytes, budget_ms);
}

// --- a small deployment ---

// Addresses of the loopback network that no other process uses on these ports.
inline std::string free_network() {
  std::random_device random;
  for (int i = 0; i < 200; ++i) {
    const std::string network = "127." + std::to_string(64 + random() % 128) + "." +
                                std::to_string(random() % 250) + ".";
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(network + "1", outbound_port);
    const bool is_free =
        bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(probe);
    if (is_free) {
      return network;
    }
  }
  exit(2);
}

struct machine {
  std::string host, zone, service;
  std::unique_ptr<daemon_process> process;
  std::unique_ptr<endpoint> server;
};

class deployment {
public:
  deployment(record& log, const std::string& program)
      : log(log), program_(program), network(free_network()),
        platform(network + "250", 8309) {
    char name[] = "/tmp/arbutuslb-review-XXXXXX";
    directory = mkdtemp(name);
    signal(SIGPIPE, SIG_IGN);
    alarm(115); // the processes of the deployment end with this program
  }
  // Ends all processes and this program; the threads of the stand-ins end with it.
  [[noreturn]] void finish(int result) {
    for (machine& item : machines) {
      item.process.reset();
    }
    for (const machine& item : machines) {
      unlink((directory + "/" + item.host + ".json").c_str());
      unlink((directory + "/" + item.host + ".log").c_str());
    }
    rmdir(directory.c_str());
    fflush(stdout);
    _exit(result);
  }
  void add(const std::string& zone, const std::string& service, endpoint::runner run) {
    machine item{network + std::to_string(machines.size() + 1), zone, service, nullptr, nullptr};
    item.server = std::make_unique<endpoint>(item.host, zone, service, log, std::move(run));
    machines.push_back(std::move(item));
  }
  void start() {
    for (machine& item : machines) {
      item.process = std::make_unique<daemon_process>(program_, directory, item.host, item.zone,
                                                      item.service, network + "250:8309");
    }
  }
  // Waits until all daemons are ready and a request on each path succeeds at each of them.
  bool wait_until_serving(const std::vector<std::string>& paths, double limit_s = 15) {
    const double until = now_s() + limit_s;
    for (machine& item : machines) {
      for (const std::string& path : paths) {
        while (!item.process->is_ready() ||
               call(item.host, request_bytes("GET", path, next_id(), 2000), 2000).status != 200) {
          if (now_s() > until) {
            log.line("not serving: %s %s", item.host.c_str(), path.c_str());
            return false;
          }
          sleep_s(0.1);
        }
      }
    }
    return true;
  }

  record& log;

private:
  std::string program_;

public:
  std::string network;
  std::string directory;
  store platform;
  std::vector<machine> machines;
};

inline bool has_trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review
