// A request on its way through the daemons, as plain values.
#pragma once

#include "arbutuslb/core/base/http_message.h"
#include "arbutuslb/core/base/time.h"

#include <cstdint>
#include <string>

namespace arbutuslb::core::gateway {

// A request as a caller sent it. `message` holds what is passed on unchanged; the fields that
// concern one hop only, or that the daemons set themselves, are not among its headers.
struct call {
  std::string attempt_id; // unique for each sending of a caller
  std::string host;
  http_request message;
  duration time_left{}; // that the caller still waits; zero if it did not say
};

// What the daemon beside an upstream needs to know of a request.
struct run_request {
  call content;
  std::string instance_id;    // the upstream that it is meant for
  std::string caller_service; // of the instance on which the request began
  std::string route;
  int rank = 0;
  bool is_idempotent = false;
  duration time_left{};            // until the final answer is due
  duration target_time_left{};     // until the answer loses value
  int rollout_share_permille = -1; // of the rollout that the version was chosen under; -1: none
  bool is_retry = false;           // an earlier sending of it reached an upstream
};

enum class run_outcome : std::uint8_t {
  answered,     // the upstream's own whole answer
  not_executed, // provably given to no upstream, or refused by it unread
  unknown       // may have run
};

struct run_result {
  run_outcome outcome = run_outcome::unknown;
  http_response answer;          // of `answered`
  std::string reason;            // of the other outcomes
  bool reached_upstream = false; // it arrived at an upstream, which may have refused it
  duration retry_after{};        // of `not_executed`: when there may be room again
  int in_flight = -1;            // the gate's load; -1 if unknown
  int waiting = 0;
};

} // namespace arbutuslb::core::gateway
