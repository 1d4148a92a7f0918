// What the fuzzers share: a check that ends the process, and a daemon's core that takes what was
// decoded. Each fuzzer defines `LLVMFuzzerTestOneInput` and is a program of its own.
#pragma once

#include "arbutuslb/core/gateway/gateway_core.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace arbutuslb::fuzz {

// Ends the process, which the engine reports with the input.
inline void require(bool condition, const char* expectation) {
  if (!condition) {
    std::cerr << "expectation violated: " << expectation << std::endl;
    std::abort();
  }
}

inline std::string_view to_text(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// The HTTP parser refuses a message with a length and a field whose name begins like this.
inline bool has_refused_field(const core::header_list& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const auto& field) {
    constexpr std::string_view prefix = "Transfer-Encoding";
    return field.first.size() > prefix.size() &&
           core::equal_ignoring_case(std::string_view(field.first).substr(0, prefix.size()),
                                     prefix);
  });
}

// Splits off the first byte, which selects what the rest is decoded as.
inline std::pair<unsigned, std::string_view> split_selector(std::string_view bytes) {
  return bytes.empty() ? std::pair<unsigned, std::string_view>{0, bytes}
                       : std::pair<unsigned, std::string_view>{
                             static_cast<unsigned char>(bytes.front()), bytes.substr(1)};
}

// A daemon with a configuration, an upstream and a peer. Every event must be handled without an
// exception, and the daemon must go on afterwards.
class fuzzed_daemon {
public:
  fuzzed_daemon() : core_(settings(), 1, now_) {
    auto configuration = std::make_shared<core::gateway::mesh_configuration>();
    configuration->version = 1;
    configuration->services["menu"].name = "menu";
    core::gateway::route_policy route;
    route.name = "r-menu";
    route.host = "shop.example";
    route.path_prefix = "/menu/";
    route.is_idempotent = true;
    route.timeout = std::chrono::seconds{1};
    route.target_latency = std::chrono::milliseconds{300};
    route.max_upstreams = 2;
    route.split = {{"menu", 1.0}};
    configuration->routes["shop.example"]["/menu/"] = route;
    core::gateway::operator_records_received records;
    records.records.push_back({{0, 0}, "config", "", std::move(configuration)});
    records.end.offset = 1;
    feed(std::move(records));
    core::gateway::heartbeat beat;
    beat.instance_id = "i-1";
    beat.started_ms = 5;
    beat.sequence = 1;
    beat.service = "menu";
    beat.domain = "a";
    beat.version = "v1";
    beat.address = "10.0.0.1:80";
    beat.slots = 4;
    feed(core::gateway::heartbeat_received{1, beat});
    core::gateway::peer_report peer;
    peer.name = "two";
    peer.host = "10.0.0.2";
    peer.domain = "b";
    peer.process_epoch = 1;
    peer.sequence = 1;
    peer.service = "menu";
    peer.instance_id = "i-2";
    peer.is_usable = true;
    peer.limit = 4;
    feed(core::gateway::reports_received{"10.0.0.2", {{{peer, {}}}, {}}});
  }

  std::vector<core::gateway::action> feed(core::gateway::event value) {
    return core_.handle(std::move(value), now_);
  }

  // Lets time pass, with a request of a caller.
  void go_on() {
    core::gateway::call_received call;
    call.token = ++last_token_;
    call.content.attempt_id = "a-" + std::to_string(last_token_);
    call.content.host = "shop.example";
    call.content.message.method = "GET";
    call.content.message.target = "/menu/1";
    require(!feed(std::move(call)).empty(), "a request is answered or sent");
    for (int i = 0; i < ticks; ++i) {
      now_ += std::chrono::milliseconds{100};
      feed(core::gateway::tick{});
    }
  }

private:
  static constexpr int ticks = 15;
  static core::gateway::gateway_settings settings() {
    core::gateway::gateway_settings value;
    value.name = "one";
    value.host = "10.0.0.1";
    value.domain = "a";
    value.service = "menu";
    value.upstream_address = "10.0.0.1:80";
    return value;
  }

  core::time_point now_{std::chrono::hours{24 * 365 * 50}};
  std::uint64_t last_token_ = 0;
  core::gateway::gateway_core core_;
};

} // namespace arbutuslb::fuzz
