// Tests of the HTTP client with servers in trouble: answers that break off, and bytes that are no
// answer. Sockets are on loopback; no test depends on timing.

#include "arbutuslb/runtime/http/http_test_fixture.h"

#include <array>
#include <criterion/criterion.h>

namespace {

using namespace arbutuslb::runtime::http;
using namespace std::chrono_literals;
namespace core = arbutuslb::core;
using asio::ip::tcp;

// More than the kernel buffers on a connection to `closing_server`.
constexpr std::size_t upload_size = std::size_t{8} * 1024 * 1024;

enum class connection_end : std::uint8_t {
  reset,        // at once
  late_reset,   // some time after the answer
  close_unread, // close with unread input, which the kernel turns into a reset
  half_close    // an orderly end; the request is not read further
};

// Accepts one connection, reads at least `read_bytes` of the request, answers, and ends the
// connection.
class closing_server {
public:
  closing_server(asio::io_context& loop, std::size_t read_bytes, std::string answer,
                 connection_end end)
      : acceptor_(loop), timer_(loop), unread_bytes_(read_bytes), answer_(std::move(answer)),
        end_(end) {
    const tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);
    acceptor_.open(any_port.protocol());
    acceptor_.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
    acceptor_.bind(any_port);
    acceptor_.listen();
    acceptor_.async_accept([this](std::error_code, tcp::socket accepted) {
      socket_ = std::move(accepted);
      read();
    });
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
  void read() {
    socket_->async_read_some(asio::buffer(request_), [this](std::error_code, std::size_t size) {
      unread_bytes_ -= std::min(unread_bytes_, size);
      if (unread_bytes_ > 0) {
        read();
      } else {
        respond();
      }
    });
  }
  void respond() {
    asio::write(*socket_, asio::buffer(answer_));
    if (end_ == connection_end::half_close) {
      socket_->shutdown(tcp::socket::shutdown_send);
      return;
    }
    if (end_ != connection_end::late_reset) {
      end_connection();
      return;
    }
    timer_.expires_after(50ms);
    timer_.async_wait([this](std::error_code) { end_connection(); });
  }
  void end_connection() {
    if (end_ != connection_end::close_unread) {
      socket_->set_option(asio::socket_base::linger(true, 0));
    }
    socket_->close();
  }

  tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  std::optional<tcp::socket> socket_;
  std::array<char, 4096> request_{};
  std::size_t unread_bytes_; // of the request, before the answer
  std::string answer_;
  connection_end end_;
};

// Sends a request to a server that reads at least `read_bytes` of it. Returns how the exchange
// ends.
exchange_result exchange_with(const core::http_request& request, std::size_t read_bytes,
                              const std::string& answer, connection_end end) {
  server_fixture fixture;
  closing_server server(fixture.loop, read_bytes, answer, end);
  client sender(fixture.loop);
  std::optional<exchange_result> result;
  sender.send(server.address(), request, {},
              [&](exchange_result value) { result = std::move(value); });
  fixture.run_until([&] { return result.has_value(); });
  return std::move(*result);
}

core::http_request upload_request() {
  core::http_request request = get_request("/upload");
  request.method = "POST";
  request.body.assign(upload_size, 'x');
  return request;
}

// The server answers when the upload has just begun.
exchange_result upload_to(const std::string& answer, connection_end end) {
  return exchange_with(upload_request(), 1, answer, end);
}

// Returns whether the client accepts the answer of a server that ends the connection in order.
bool is_accepted(const std::string& answer) {
  const core::http_request request = get_request("/1");
  const exchange_result result =
      exchange_with(request, serialize(request).size(), answer, connection_end::half_close);
  return result.outcome == exchange_outcome::answered;
}

} // namespace

// Guards against a part of an answer that is passed on as a whole one: the failed write of the
// request took the error of the socket, so that the reset looked like the end of the answer.
Test(broken_answer, one_without_length_is_incomplete_if_its_request_was_not_written) {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\npart",
        "HTTP/1.1 500 Internal Server Error\r\n\r\npart"}) {
    for (const connection_end end : {connection_end::reset, connection_end::late_reset,
                                     connection_end::close_unread, connection_end::half_close}) {
      const exchange_result result = upload_to(head, end);
      cr_expect(result.outcome == exchange_outcome::broken, "%s, end %d", head,
                static_cast<int>(end));
      cr_expect(result.answer.body.empty());
    }
  }
}

Test(broken_answer, one_without_length_is_whole_if_its_request_was_read) {
  const core::http_request request = upload_request();
  const exchange_result result =
      exchange_with(request, serialize(request).size(), "HTTP/1.1 200 OK\r\n\r\nwhole",
                    connection_end::half_close);
  cr_expect(result.outcome == exchange_outcome::answered);
  cr_expect_eq(result.answer.body, "whole");
}

Test(broken_answer, a_whole_early_one_with_a_length_is_passed_on) {
  for (const connection_end end : {connection_end::late_reset, connection_end::half_close}) {
    const exchange_result result =
        upload_to("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge", end);
    cr_expect(result.outcome == exchange_outcome::answered, "end %d", static_cast<int>(end));
    cr_expect_eq(result.answer.body, "large");
  }
}

Test(broken_answer, one_that_breaks_off_during_its_upload_is_incomplete) {
  for (const char* head : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
                           "HTTP/1.1 200 OK\r\nContent-Len", ""}) {
    for (const connection_end end : {connection_end::reset, connection_end::late_reset,
                                     connection_end::close_unread, connection_end::half_close}) {
      cr_expect(upload_to(head, end).outcome == exchange_outcome::broken, "%s, end %d", head,
                static_cast<int>(end));
    }
  }
}

Test(broken_answer, one_with_an_invalid_status_is_no_answer) {
  const std::string fields = " Odd\r\nContent-Length: 2\r\n\r\nok";
  for (const char* status : {"000", "001", "099", "600", "999", "20", "2000", "", "2x0", "-20"}) {
    cr_expect_not(is_accepted("HTTP/1.1 " + std::string(status) + fields), "%s", status);
  }
  cr_expect(is_accepted("HTTP/1.1 200" + fields));
  cr_expect(is_accepted("HTTP/1.1 599" + fields));
}

// Guards against a line that changes the field before it: one that begins with a blank was appended
// to the value of that field.
Test(broken_answer, one_with_a_malformed_field_is_no_answer) {
  using namespace std::string_literals;
  const std::string before = "HTTP/1.1 200 OK\r\nA: b\r\n";
  const std::string after = "\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string& line :
       {"X Y: z"s, "X\tY: z"s, "X\0Y: z"s, "X\x01Y: z"s, "X\x0bY: z"s, "X\x1bY: z"s, "X\x7fY: z"s,
        "X\x80Y: z"s, "X : z"s, ": z"s, "X"s, " X: z"s, "\tX: z"s, " "s, "X: a\rb"s, "X: a\0b"s,
        "X: y\r\n z"s, "Content-Length : 5"s, "Content\x0b-Length: 5"s}) {
    cr_expect_not(is_accepted(before + line + after), "%s", line.c_str());
    cr_expect_not(
        is_accepted("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + before + after.substr(2)),
        "interim: %s", line.c_str());
  }
  cr_expect(is_accepted(before + "X: z" + after));
}

// Guards against a body that is not the server's: the field that names the coding stays behind.
Test(broken_answer, one_with_a_transfer_coding_that_cannot_be_decoded_is_no_answer) {
  const std::string chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  for (const char* coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "xchunked", "chunkedx", "chunked, chunked",
        "chunked\r\nTransfer-Encoding: gzip", "gzip\r\nTransfer-Encoding: chunked", ""}) {
    cr_expect_not(
        is_accepted("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) + chunks), "%s",
        coding);
  }
  cr_expect(is_accepted("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + chunks));
  cr_expect(is_accepted("HTTP/1.1 200 OK\r\ntransfer-encoding:  Chunked " + chunks));
}
