// Stand-in for a server in trouble: it answers every request with the bytes of a file, whatever
// they are, and closes the connection.
//   --begin FILE   the answer
//   --repeat FILE  bytes that follow the answer without end
//   --end reset    resets the connection in place of an orderly end

#include "arbutuslb/fakes/commands.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <fstream>
#include <sstream>
#include <thread>

namespace arbutuslb::fakes {
namespace {

using asio::ip::tcp;

// Bounds the work of one answer that nobody gives up.
constexpr std::size_t max_answer_bytes = std::size_t{1024} * 1024 * 1024;

std::string read_whole(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

struct broken_answer {
  std::string begin;
  std::string repeated; // empty: nothing follows
  bool is_reset = false;
};

// Reads the head of a request and answers it. Ends when the other side has closed.
void serve(tcp::socket socket, const broken_answer& answer) {
  std::error_code error;
  std::string request;
  asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
  std::size_t sent = asio::write(socket, asio::buffer(answer.begin), error);
  while (!error && !answer.repeated.empty() && sent < max_answer_bytes) {
    sent += asio::write(socket, asio::buffer(answer.repeated), error);
  }
  if (answer.is_reset) {
    socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error); // the destructor would close it in order
  }
}

} // namespace

int run_broken(const options& arguments) {
  const std::string repeated = arguments.text("repeat", "");
  const broken_answer answer{read_whole(arguments.text("begin", "/dev/null")),
                             repeated.empty() ? "" : read_whole(repeated),
                             arguments.text("end", "") == "reset"};
  asio::io_context loop;
  tcp::acceptor acceptor(
      loop, tcp::endpoint(asio::ip::address_v4::loopback(),
                          static_cast<std::uint16_t>(arguments.integer("port", 7200))));
  while (true) {
    tcp::socket socket = acceptor.accept();
    std::thread([accepted = std::move(socket), &answer]() mutable {
      serve(std::move(accepted), answer);
    }).detach();
  }
}

} // namespace arbutuslb::fakes
