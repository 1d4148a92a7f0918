#include "arbutuslb/fakes/platform_store.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

namespace arbutuslb::fakes {
namespace {

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_gone = 410;
constexpr int status_precondition_failed = 412;
constexpr int status_unavailable = 503;
constexpr std::size_t length_size = 4;

std::string to_base64(const std::string& bytes) {
  using namespace boost::archive::iterators;
  using encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(encoder(bytes.begin()), encoder(bytes.end()));
  constexpr std::size_t group = 3;
  text.append((group - bytes.size() % group) % group, '=');
  return text;
}

// Splits "/path?a=b&c=d". Percent-encoding is not decoded; the store's parameters do not need it.
std::pair<std::string, std::map<std::string, std::string>> split_target(const std::string& target) {
  std::map<std::string, std::string> parameters;
  const std::size_t question = std::min(target.find('?'), target.size());
  std::size_t at = question + 1;
  while (at < target.size()) {
    const std::size_t end = std::min(target.find('&', at), target.size());
    const std::string part = target.substr(at, end - at);
    const std::size_t equals = std::min(part.find('='), part.size());
    parameters[part.substr(0, equals)] = equals < part.size() ? part.substr(equals + 1) : "";
    at = end + 1;
  }
  return {target.substr(0, question), std::move(parameters)};
}

std::string value_of(const std::string& content) {
  return content.substr(1 + static_cast<unsigned char>(content.front()));
}

void append_number(std::string& bytes, std::uint64_t value) {
  std::array<unsigned char, sizeof(value)> encoded{};
  boost::endian::store_big_u64(encoded.data(), value);
  bytes.append(encoded.begin(), encoded.end());
}

} // namespace

platform_store::platform_store(asio::io_context& loop, const asio::ip::tcp::endpoint& address,
                               std::uint64_t seed)
    : loop_(loop), random_(seed),
      server_(loop, address,
              {[this](std::uint64_t token, const core::http_request& request) {
                 on_request(token, request);
               },
               [this](std::uint64_t token) {
                 std::erase_if(pending_reads_,
                               [token](const pending_read& item) { return item.token == token; });
               }}) {}

platform_store::~platform_store() {
  *is_alive_ = false;
}

void platform_store::after(core::duration delay, std::function<void()> callback) {
  const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(loop_, delay);
  timer->async_wait(
      [timer, is_alive = is_alive_, callback = std::move(callback)](std::error_code error) {
        if (!error && *is_alive) {
          callback();
        }
      });
}

void platform_store::respond(std::uint64_t token, int status, std::string body) {
  core::http_response answer;
  answer.status = status;
  answer.body = std::move(body);
  answer.headers.emplace_back("Store-Era", std::to_string(era_));
  if (faults_.delay == core::duration::zero()) {
    server_.respond(token, answer);
    return;
  }
  after(faults_.delay, [this, token, answer] { server_.respond(token, answer); });
}

void platform_store::on_request(std::uint64_t token, const core::http_request& request) {
  ++calls_;
  if (faults_.is_silent) {
    return;
  }
  if (faults_.is_down) {
    respond(token, status_unavailable, "");
    return;
  }
  const auto [path, query] = split_target(request.target);
  const auto topic = query.find("topic");
  if (topic == query.end()) {
    respond(token, status_bad_request, "");
  } else if (path == "/log-append") {
    append(token, query, request.body);
  } else if (path == "/log-read") {
    read(token, query);
  } else {
    read_newest(token, topic->second);
  }
}

void platform_store::append(std::uint64_t token, const parameters& query, const std::string& body) {
  if (random_.fraction() < faults_.late_append_ratio) {
    const core::duration delay = random_.jitter(faults_.max_append_delay);
    after(delay, [this, query, body] { apply(query, body); });
    return; // not answered
  }
  const int status = apply(query, body);
  if (random_.fraction() < faults_.lost_answer_ratio) {
    return;
  }
  const json answer{{"endOffset", topics_[query.at("topic")].size()}};
  respond(token, status, answer.dump());
}

int platform_store::apply(const parameters& query, const std::string& body) {
  std::vector<record>& records = topics_[query.at("topic")];
  const auto at = query.find("at");
  if (at != query.end() && std::stoull(at->second) != records.size()) {
    return status_precondition_failed;
  }
  for (std::size_t position = 0; position + length_size < body.size();) {
    const std::size_t size =
        boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(body.data() + position));
    std::string content = body.substr(position + length_size, size);
    position += length_size + size;
    std::string key = content.substr(1, static_cast<unsigned char>(content.front()));
    records.push_back({std::move(key), std::move(content), std::chrono::steady_clock::now()});
  }
  answer_pending_reads(query.at("topic"));
  return status_ok;
}

void platform_store::restore(core::duration age, const std::string& rewritten_topic) {
  const std::chrono::steady_clock::time_point copied = std::chrono::steady_clock::now() - age;
  for (auto& [topic, records] : topics_) {
    std::map<std::string, record> dropped; // newest, by key
    for (const record& item : records) {
      if (item.appended_at > copied) {
        dropped[item.key] = item;
      }
    }
    std::erase_if(records, [&](const record& item) { return item.appended_at > copied; });
    if (topic == rewritten_topic) {
      for (const auto& [key, item] : dropped) {
        records.push_back(item);
      }
    }
  }
  ++era_;
  for (const pending_read& item : std::exchange(pending_reads_, {})) {
    respond(item.token, status_unavailable, "");
  }
}

void platform_store::read(std::uint64_t token, const parameters& query) {
  const pending_read pending{token, query.at("topic"), std::stoull(query.at("from"))};
  if (pending.from > topics_[pending.topic].size()) {
    respond(token, status_gone, json{{"firstOffset", 0}}.dump());
    return;
  }
  if (pending.from < topics_[pending.topic].size()) {
    answer_read(pending);
    return;
  }
  pending_reads_.push_back(pending);
  after(std::chrono::milliseconds{std::stoll(query.at("waitMs"))}, [this, pending] {
    const auto is_same = [&](const pending_read& item) { return item.token == pending.token; };
    if (std::erase_if(pending_reads_, is_same) > 0) {
      answer_read(pending);
    }
  });
}

void platform_store::answer_pending_reads(const std::string& topic) {
  for (const pending_read& item : std::exchange(pending_reads_, {})) {
    if (item.topic == topic && item.from < topics_[topic].size()) {
      answer_read(item);
    } else {
      pending_reads_.push_back(item);
    }
  }
}

void platform_store::answer_read(const pending_read& read) {
  const std::vector<record>& records = topics_[read.topic];
  std::string bytes;
  append_number(bytes, records.size());
  append_number(bytes, 0);
  for (std::size_t i = read.from; i < records.size(); ++i) {
    if (i > read.from && bytes.size() + records[i].content.size() > max_read_bytes) {
      break;
    }
    std::array<unsigned char, length_size> length{};
    boost::endian::store_big_u32(length.data(),
                                 static_cast<std::uint32_t>(records[i].content.size()));
    bytes.append(length.begin(), length.end());
    bytes += records[i].content;
  }
  respond(read.token, status_ok, std::move(bytes));
}

void platform_store::read_newest(std::uint64_t token, const std::string& topic) {
  const std::vector<record>& records = topics_[topic];
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < records.size(); ++i) {
    newest[records[i].key] = i;
  }
  json items = json::array();
  for (const auto& [key, offset] : newest) {
    const std::string value = value_of(records[offset].content);
    if (!value.empty()) {
      items.push_back({{"key", key}, {"value", to_base64(value)}, {"offset", offset}});
    }
  }
  const json page{{"items", std::move(items)}, {"more", false}, {"endOffset", records.size()}};
  respond(token, status_ok, page.dump());
}

} // namespace arbutuslb::fakes
