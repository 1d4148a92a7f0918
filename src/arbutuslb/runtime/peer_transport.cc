#include "arbutuslb/runtime/peer_transport.h"

#include "arbutuslb/runtime/logging.h"
#include "arbutuslb/runtime/wire/codec.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <map>
#include <zmq.hpp>

namespace arbutuslb::runtime {
namespace {

namespace protocol = core::protocol;
using asio::ip::udp;

constexpr int reconnect_first_ms = 100;
constexpr int reconnect_max_ms = 200;
constexpr std::size_t receive_buffer_bytes = 65536;

bool is_call(const protocol::message_body& body) {
  return std::holds_alternative<protocol::call_request>(body) ||
         std::holds_alternative<protocol::call_reply>(body) ||
         std::holds_alternative<protocol::call_cancel>(body) ||
         std::holds_alternative<protocol::keyed_request>(body) ||
         std::holds_alternative<protocol::keyed_reply>(body);
}

std::string tcp_address(const std::string& host, std::uint16_t port) {
  return "tcp://" + host + ":" + std::to_string(port);
}

} // namespace

struct peer_transport::state {
  struct connection {
    zmq::socket_t socket;
    bool was_used = true;
  };

  state(asio::io_context& loop, const core::peer_address& local, metrics& shared_counters,
        receiver receive)
      : counters(shared_counters), on_message(std::move(receive)),
        datagrams(loop, udp::endpoint(asio::ip::make_address_v4(local.host), local.datagram_port)),
        inbound(zmq, zmq::socket_type::router), inbound_ready(loop) {
    inbound.set(zmq::sockopt::linger, 0);
    inbound.set(zmq::sockopt::maxmsgsize,
                static_cast<std::int64_t>(protocol::max_stream_message_bytes));
    inbound.bind(tcp_address(local.host, local.stream_port));
    inbound_ready.assign(inbound.get(zmq::sockopt::fd));
  }

  // ZeroMQ owns the descriptor and closes it.
  ~state() { inbound_ready.release(); }

  void receive_datagram() {
    const auto on_received = [this](std::error_code error, std::size_t size) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (!error) {
        deliver({buffer.data(), size}, protocol::max_datagram_message_bytes);
      }
      receive_datagram();
    };
    datagrams.async_receive_from(asio::buffer(buffer), sender, on_received);
  }

  void wait_for_stream() {
    const auto on_ready = [this](std::error_code error) {
      if (!error) {
        receive_stream();
        wait_for_stream();
      }
    };
    inbound_ready.async_wait(asio::posix::stream_descriptor::wait_read, on_ready);
  }

  // Receives all queued messages, because the descriptor signals only once for them.
  void receive_stream() {
    zmq::message_t frame;
    while (inbound.recv(frame, zmq::recv_flags::dontwait)) {
      if (frame.more()) {
        continue; // the identity of the connection
      }
      deliver({static_cast<const char*>(frame.data()), frame.size()},
              protocol::max_stream_message_bytes);
    }
  }

  void deliver(std::string_view bytes, std::size_t max_bytes) {
    try {
      protocol::message value = wire::decode(bytes, max_bytes);
      counters.on_received(bytes.size(), is_call(value.body));
      on_message(std::move(value));
    } catch (const wire::codec_error& error) {
      log_event({core::engine::severity::warning,
                 "message_rejected",
                 {{"reason", error.what()}, {"bytes", std::to_string(bytes.size())}}});
    }
  }

  connection& connection_to(const core::peer_address& to) {
    const std::string address = tcp_address(to.host, to.stream_port);
    const std::map<std::string, connection>::iterator found = connections.find(address);
    if (found != connections.end()) {
      return found->second;
    }
    zmq::socket_t socket(zmq, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, max_queued_messages);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_first_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
    socket.connect(address);
    return connections.emplace(address, connection{std::move(socket), true}).first->second;
  }

  metrics& counters;
  receiver on_message;
  udp::socket datagrams;
  udp::endpoint sender;
  std::array<char, receive_buffer_bytes> buffer{};
  zmq::context_t zmq;
  zmq::socket_t inbound;
  asio::posix::stream_descriptor inbound_ready;
  std::map<std::string, connection> connections;
  core::time_point next_idle_check{};
};

peer_transport::peer_transport(asio::io_context& loop, const core::peer_address& local,
                               metrics& counters, receiver on_message)
    : state_(std::make_unique<state>(loop, local, counters, std::move(on_message))) {
  state_->receive_datagram();
  state_->wait_for_stream();
}

peer_transport::~peer_transport() = default;

void peer_transport::send(const core::engine::send_message& action) {
  const std::string bytes = wire::encode(action.value);
  state_->counters.on_sent(bytes.size(), is_call(action.value.body));
  const bool fits_datagram = bytes.size() <= protocol::max_datagram_message_bytes;
  if (action.via == core::engine::channel::datagram && fits_datagram) {
    std::error_code error;
    const asio::ip::address_v4 host = asio::ip::make_address_v4(action.to.host, error);
    if (!error) {
      state_->datagrams.send_to(asio::buffer(bytes), udp::endpoint(host, action.to.datagram_port),
                                0, error);
    }
    return;
  }
  try {
    state::connection& to = state_->connection_to(action.to);
    to.was_used = true;
    to.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  } catch (const zmq::error_t& error) {
    log_event({core::engine::severity::warning,
               "message_not_sent",
               {{"to", action.to.host}, {"reason", error.what()}}});
  }
}

void peer_transport::receive_pending() {
  state_->receive_stream();
}

void peer_transport::close_idle(core::time_point now) {
  if (now < state_->next_idle_check) {
    return;
  }
  state_->next_idle_check = now + connection_idle_timeout;
  std::erase_if(state_->connections, [](const auto& item) { return !item.second.was_used; });
  for (auto& [address, item] : state_->connections) {
    item.was_used = false;
  }
}

} // namespace arbutuslb::runtime
