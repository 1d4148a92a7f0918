// Stand-in for an upstream in trouble: it answers `trouble_target` with bytes that have no end, and
// all else properly. It sends no heartbeats.
#pragma once

#include "arbutuslb/runtime/http/message_reader.h"

#include <asio/ip/tcp.hpp>
#include <string>

namespace arbutuslb::soak {

inline constexpr const char* trouble_target = "/menu/trouble";
// Stands in `endless_answer::begin` for the fields that name the request and sign the answer.
inline constexpr const char* answer_fields = "{fields}";

struct endless_answer {
  std::string begin;
  std::string piece; // repeated until the other side closes
};

// Not thread-safe.
class faulty_upstream {
public:
  faulty_upstream(asio::io_context& loop, const asio::ip::tcp::endpoint& address,
                  endless_answer answer);

private:
  class connection;
  void accept();

  asio::ip::tcp::acceptor acceptor_;
  endless_answer answer_;
};

} // namespace arbutuslb::soak
