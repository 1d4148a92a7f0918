#include "arbutuslb/soak/faulty_upstream.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/write.hpp>

namespace arbutuslb::soak {
namespace {

using asio::ip::tcp;
namespace http = runtime::http;

// Bounds the work of one answer that nobody gives up.
constexpr std::size_t max_answer_bytes = std::size_t{1024} * 1024 * 1024;

std::string fields_of(const core::http_request& request) {
  const std::string* id = core::find_header(request.headers, "X-Attempt-Identifier");
  return "X-Attempt-Identifier: " + (id == nullptr ? "" : *id) + "\r\nX-Response-Signature: s\r\n";
}

} // namespace

class faulty_upstream::connection : public std::enable_shared_from_this<connection> {
public:
  connection(tcp::socket socket, const endless_answer& answer)
      : socket_(std::move(socket)), answer_(answer),
        reader_(http::message_kind::request, http::read_limits{}) {}

  void read() {
    socket_.async_read_some(asio::buffer(input_),
                            [self = shared_from_this()](std::error_code error, std::size_t size) {
                              if (!error) {
                                self->parse(std::string_view(self->input_.data(), size));
                              }
                            });
  }

private:
  // The daemon sends its next request on a connection only after the answer to the one before.
  void parse(std::string_view bytes) {
    reader_.consume(bytes);
    if (reader_.state() == http::read_state::failed) {
      return;
    }
    if (reader_.state() == http::read_state::reading) {
      read();
      return;
    }
    respond(reader_.take_request());
  }

  void respond(const core::http_request& request) {
    is_endless_ = request.target == trouble_target;
    output_ = "HTTP/1.1 200 OK\r\n" + fields_of(request) + "Content-Length: 2\r\n\r\nok";
    if (is_endless_) {
      output_ = answer_.begin;
      const std::size_t at = output_.find(answer_fields);
      if (at != std::string::npos) {
        output_.replace(at, std::string_view(answer_fields).size(), fields_of(request));
      }
    }
    sent_ = 0;
    write(output_);
  }

  void write(const std::string& bytes) {
    asio::async_write(socket_, asio::buffer(bytes),
                      [self = shared_from_this()](std::error_code error, std::size_t size) {
                        self->sent_ += size;
                        if (error || self->sent_ >= max_answer_bytes) {
                          return; // closes the connection
                        }
                        if (self->is_endless_) {
                          self->write(self->answer_.piece);
                        } else {
                          self->read();
                        }
                      });
  }

  tcp::socket socket_;
  const endless_answer& answer_;
  http::message_reader reader_;
  std::array<char, 16384> input_{};
  std::string output_;
  std::size_t sent_ = 0;
  bool is_endless_ = false;
};

faulty_upstream::faulty_upstream(asio::io_context& loop, const tcp::endpoint& address,
                                 endless_answer answer)
    : acceptor_(loop, address), answer_(std::move(answer)) {
  accept();
}

void faulty_upstream::accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (!error) {
      std::make_shared<connection>(std::move(socket), answer_)->read();
      accept();
    }
  });
}

} // namespace arbutuslb::soak
