// Addresses for servers in tests.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <unistd.h>

namespace arbutuslb::runtime {

// Returns an address at which nothing listens. Each test is a process of its own and uses its own
// loopback host: on a shared one, a test that ran at the same time was given the free port.
inline asio::ip::tcp::endpoint free_address() {
  constexpr std::uint32_t first_host = 0x7f400000; // 127.64.0.0
  constexpr std::uint32_t hosts = 0x3fffff;
  const asio::ip::address_v4 host(first_host + static_cast<std::uint32_t>(getpid()) % hosts);
  asio::io_context probe;
  const asio::ip::tcp::acceptor acceptor(probe, asio::ip::tcp::endpoint(host, 0));
  return acceptor.local_endpoint();
}

} // namespace arbutuslb::runtime
