#include "arbutuslb/runtime/log_client.h"

#include "arbutuslb/core/base/object_reader.h"
#include "arbutuslb/runtime/http_client_pool.h"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <optional>

namespace arbutuslb::runtime {
namespace {

using core::engine::append_log;
using core::engine::append_result;
using core::engine::latest_record;
using core::engine::log_appended;
using core::engine::log_read;
using core::engine::read_log;

constexpr std::size_t thread_count = 3;
constexpr std::chrono::milliseconds request_timeout{1500};
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

std::string read_path(const read_log& action) {
  const std::string from =
      action.from_offset == latest_record ? "latest" : std::to_string(action.from_offset);
  return "/streams/" + action.stream + "/records?from=" + from +
         "&wait_ms=" + std::to_string(core::to_milliseconds(action.wait));
}

log_read parse_read(const read_log& action, const std::string& body) {
  log_read result{action.request, action.stream, false, 0, {}, 1, 1};
  try {
    const core::json document = core::json::parse(body);
    result.oldest_offset = document.at("oldest").get<std::uint64_t>();
    result.next_offset = document.at("next").get<std::uint64_t>();
    for (const core::json& item : document.at("records")) {
      const std::uint64_t offset = item.at("offset").get<std::uint64_t>();
      if (result.records.empty()) {
        result.first_offset = offset;
      }
      if (offset != result.first_offset + result.records.size()) {
        break; // offsets are not consecutive: the remaining records are read again
      }
      result.records.push_back(item.at("data").get<std::string>());
    }
  } catch (const core::json::exception&) {
    result.failed = true;
  }
  return result;
}

// Returns the offset of the record that was appended; empty if the answer does not tell it.
std::optional<std::uint64_t> parse_append(const std::string& body) {
  const core::json document = core::json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("offset") ||
      !document["offset"].is_number_unsigned()) {
    return std::nullopt;
  }
  return document["offset"].get<std::uint64_t>();
}

} // namespace

struct http_log_client::state {
  state(const endpoint& server, receiver receive)
      : clients(server), on_event(std::move(receive)), threads(thread_count) {}

  void read(const read_log& action) {
    std::unique_ptr<httplib::Client> client = clients.acquire();
    set_timeouts(*client, action.wait + request_timeout);
    const httplib::Result result = client->Get(read_path(action));
    if (!result || result->status != status_ok) {
      on_event(log_read{action.request, action.stream, true, 0, {}, 1, 1});
      return;
    }
    clients.release(std::move(client));
    on_event(parse_read(action, result->body));
  }

  void append(const append_log& action) {
    std::unique_ptr<httplib::Client> client = clients.acquire();
    set_timeouts(*client, request_timeout);
    const httplib::Result result =
        client->Post("/streams/" + action.stream + "/records", action.record, "application/json");
    log_appended appended{action.request, append_result::unknown, 0};
    const bool is_refused = result.error() == httplib::Error::Connection ||
                            (result && result->status == status_unavailable);
    if (is_refused) {
      appended.result = append_result::refused;
    } else if (result && result->status == status_ok) {
      if (const std::optional<std::uint64_t> offset = parse_append(result->body)) {
        appended.result = append_result::appended;
        appended.offset = *offset;
        clients.release(std::move(client));
      }
    }
    on_event(appended);
  }

  http_client_pool clients;
  receiver on_event;
  asio::thread_pool threads;
};

http_log_client::http_log_client(const endpoint& server, receiver on_event)
    : state_(std::make_unique<state>(server, std::move(on_event))) {}

http_log_client::~http_log_client() {
  state_->threads.join();
}

void http_log_client::read(const read_log& action) {
  asio::post(state_->threads, [this, action] { state_->read(action); });
}

void http_log_client::append(const append_log& action) {
  asio::post(state_->threads, [this, action] { state_->append(action); });
}

} // namespace arbutuslb::runtime
