#include "arbutuslb/soak/raw_caller.h"

#include <asio/write.hpp>

namespace arbutuslb::soak {
namespace {

namespace http = runtime::http;
using asio::ip::tcp;

constexpr std::size_t read_size = std::size_t{16} * 1024;

} // namespace

raw_caller::raw_caller(asio::io_context& loop, std::vector<caller_write> writes, end_handler on_end)
    : socket_(loop), write_timer_(loop), limit_(loop), writes_(std::move(writes)),
      reader_(http::message_kind::response, {}), buffer_(read_size, '\0'),
      on_end_(std::move(on_end)) {}

void raw_caller::start(asio::io_context& loop, const tcp::endpoint& address,
                       std::vector<caller_write> writes, core::duration time_limit,
                       end_handler on_end) {
  const std::shared_ptr<raw_caller> self(
      new raw_caller(loop, std::move(writes), std::move(on_end)));
  self->limit_.expires_after(time_limit);
  self->limit_.async_wait([self](std::error_code error) {
    if (!error) {
      self->end();
    }
  });
  self->socket_.async_connect(address, [self](std::error_code error) {
    if (error) {
      self->end();
      return;
    }
    std::error_code ignored; // the next write reports a connection that has ended
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->read();
    self->write_next();
  });
}

void raw_caller::write_next() {
  if (has_ended_ || next_write_ == writes_.size()) {
    return;
  }
  write_timer_.expires_after(writes_[next_write_].after);
  write_timer_.async_wait([self = shared_from_this()](std::error_code error) {
    if (error || self->has_ended_) {
      return;
    }
    const caller_write& write = self->writes_[self->next_write_];
    asio::async_write(self->socket_, asio::buffer(write.bytes),
                      [self](std::error_code failure, std::size_t) {
                        if (failure || self->has_ended_) {
                          return; // the read reports it
                        }
                        for (const std::string& id : self->writes_[self->next_write_].completed) {
                          self->sent_.push_back({id, std::chrono::steady_clock::now()});
                        }
                        ++self->next_write_;
                        self->write_next();
                      });
  });
}

void raw_caller::read() {
  socket_.async_read_some(
      asio::buffer(buffer_), [self = shared_from_this()](std::error_code error, std::size_t size) {
        std::string_view bytes(self->buffer_.data(), size);
        while (!self->has_ended_ && !bytes.empty()) {
          bytes.remove_prefix(self->reader_.consume(bytes));
          if (self->reader_.state() == http::read_state::failed) {
            break;
          }
          if (self->reader_.state() == http::read_state::complete) {
            if (self->answered_ == self->sent_.size()) {
              self->end(); // an answer to a request that is still being written
              return;
            }
            const std::string id = self->sent_[self->answered_++].id;
            self->on_end_({id, self->reader_.take_response(), {}});
          }
        }
        const bool is_done =
            self->answered_ == self->sent_.size() && self->next_write_ == self->writes_.size();
        if (error || is_done || self->reader_.state() == http::read_state::failed) {
          self->end();
        } else if (!self->has_ended_) {
          self->read();
        }
      });
}

void raw_caller::end() {
  if (std::exchange(has_ended_, true)) {
    return;
  }
  std::error_code ignored; // the connection may have ended already
  socket_.close(ignored);
  write_timer_.cancel();
  limit_.cancel();
  for (; answered_ < sent_.size(); ++answered_) {
    const sent_request& request = sent_[answered_];
    on_end_({request.id, std::nullopt,
             std::chrono::duration_cast<core::duration>(std::chrono::steady_clock::now() -
                                                        request.at)});
  }
}

} // namespace arbutuslb::soak
