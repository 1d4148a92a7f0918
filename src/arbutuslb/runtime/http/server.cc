#include "arbutuslb/runtime/http/server.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <map>
#include <set>

namespace arbutuslb::runtime::http {
namespace {

using asio::ip::tcp;

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_headers_too_large = 431;
constexpr std::size_t read_buffer_size = std::size_t{32} * 1024;
constexpr std::size_t max_reads_per_wakeup = 4;
constexpr std::size_t reserved_tokens = 8;
// An accept that has failed, usually for want of descriptors, is repeated after this time.
constexpr std::chrono::milliseconds accept_retry_delay{50};
// How long the server waits for the caller to close the connection after the last answer. Allows
// for several round trips.
constexpr std::chrono::seconds linger_time{1};

// Shared by all connections: the loop has one thread, and bytes are parsed or copied directly after
// each read.
std::array<char, read_buffer_size> read_buffer;

int status_of(read_fault fault) {
  switch (fault) {
  case read_fault::headers_too_large:
    return status_headers_too_large;
  case read_fault::body_too_large:
    return status_body_too_large;
  default:
    return status_bad_request;
  }
}

} // namespace

struct server::state : std::enable_shared_from_this<server::state> {
  state(asio::io_context& io_loop, const tcp::endpoint& address, server_handlers callbacks)
      : loop(io_loop), acceptor(io_loop, address), accept_timer(io_loop),
        handlers(std::move(callbacks)) {}

  void accept();

  asio::io_context& loop;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  server_handlers handlers;
  server_options options;
  bool closes_after_answers = false;
  std::uint64_t last_token = reserved_tokens;
  std::set<std::shared_ptr<connection>> connections;
  std::map<std::uint64_t, std::shared_ptr<connection>> connections_by_token;
};

class server::connection : public std::enable_shared_from_this<server::connection> {
public:
  connection(state& owner, tcp::socket socket)
      : owner_(owner.weak_from_this()), socket_(std::move(socket)),
        reader_(message_kind::request, owner.options.limits) {}

  void start() { wait_for_bytes(); }

  void respond(std::uint64_t token, const core::http_response& response) {
    for (answer_slot& slot : slots_) {
      if (slot.token == token) {
        slot.is_ready = true;
        slot.answer = response;
        break;
      }
    }
    flush();
  }

  void sweep(core::time_point now, const server_options& options) {
    if (is_lingering_) {
      lingers_since_ = lingers_since_ == core::time_point{} ? now : lingers_since_;
      if (now - lingers_since_ >= linger_time) {
        close();
      }
      return;
    }
    if (!has_swept_ || has_activity_) {
      inactive_since_ = now;
    }
    if (!has_swept_ || !reader_.has_begun() || is_next_request_) {
      request_started_at_ = now;
    }
    has_swept_ = true;
    has_activity_ = false;
    is_next_request_ = false;
    if (is_refusing_) {
      return;
    }
    if (!reader_.has_begun()) {
      if (is_idle() && now - inactive_since_ >= options.idle_timeout) {
        close();
      }
      return;
    }
    const core::duration limit =
        reader_.has_headers() ? options.body_timeout : options.header_timeout;
    if (now - request_started_at_ >= limit) {
      refuse(status_timeout);
    }
  }

  // Closes the connection at once, or after the answers to the requests that were already read.
  void stop_reading() {
    closes_after_slots_ = true;
    if (!slots_.empty()) {
      slots_.back().closes_connection = true;
    } else if (is_writing_) {
      closes_after_write_ = true;
    } else if (!is_lingering_) {
      close();
    }
  }

  bool has_unsent_answers() const { return is_writing_ || is_lingering_ || !output_.empty(); }
  bool is_idle() const { return slots_.empty() && !is_writing_ && !reader_.has_begun(); }

  void close() {
    if (is_closed_) {
      return;
    }
    is_closed_ = true;
    std::error_code ignored; // the connection may be closed already
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    const std::shared_ptr<state> owner = owner_.lock();
    if (!owner) {
      return;
    }
    const std::shared_ptr<connection> self = shared_from_this();
    for (const answer_slot& slot : slots_) {
      if (owner->connections_by_token.erase(slot.token) > 0) {
        owner->handlers.on_disconnected(slot.token);
      }
    }
    slots_.clear();
    owner->connections.erase(self);
  }

private:
  struct answer_slot {
    std::uint64_t token = 0;
    bool is_ready = false;
    bool closes_connection = false;
    core::http_response answer;
  };

  void wait_for_bytes() {
    if (is_waiting_ || is_closed_ || (is_refusing_ && !is_lingering_)) {
      return;
    }
    is_waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
      self->is_waiting_ = false;
      if (error) {
        self->close();
      } else {
        self->read();
      }
    });
  }

  void read() {
    for (std::size_t i = 0; i < max_reads_per_wakeup && !is_closed_; ++i) {
      std::error_code error;
      const std::size_t size = socket_.read_some(asio::buffer(read_buffer), error);
      if (error == asio::error::would_block) {
        break;
      }
      if (error) {
        close();
        return;
      }
      has_activity_ = true;
      if (is_refusing_ || is_lingering_) {
        continue; // bytes after the last request to be answered are dropped
      }
      if (pending_input_.empty()) {
        parse(std::string_view(read_buffer.data(), size));
      } else {
        pending_input_.append(read_buffer.data(), size);
        parse_pending_input();
      }
      if (size < read_buffer.size()) {
        break;
      }
    }
    if (pending_input_.size() < read_buffer_size) {
      wait_for_bytes();
    }
  }

  void parse_pending_input() {
    const std::string bytes = std::exchange(pending_input_, {});
    parse(bytes);
  }

  void parse(std::string_view bytes) {
    const std::shared_ptr<state> owner = owner_.lock();
    while (owner && !bytes.empty() && !is_closed_ && !is_refusing_) {
      if (slots_.size() >= owner->options.max_pipelined || closes_after_slots_) {
        pending_input_.append(bytes);
        return;
      }
      bytes.remove_prefix(reader_.consume(bytes));
      if (reader_.state() == read_state::failed) {
        refuse(status_of(reader_.fault()));
        return;
      }
      if (reader_.state() == read_state::complete) {
        take_request(*owner);
      } else if (reader_.has_headers() && reader_.expects_continue() && !has_sent_continue_) {
        has_sent_continue_ = true;
        write_now("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
  }

  void take_request(state& owner) {
    has_sent_continue_ = false;
    is_next_request_ = true;
    answer_slot slot;
    slot.token = ++owner.last_token;
    slot.closes_connection = !reader_.keeps_connection() || owner.closes_after_answers;
    closes_after_slots_ = slot.closes_connection;
    const std::uint64_t token = slot.token;
    slots_.push_back(std::move(slot));
    owner.connections_by_token.emplace(token, shared_from_this());
    owner.handlers.on_request(token, reader_.take_request());
  }

  // Answers an unreadable or overdue request with an error status after all pending answers, then
  // closes the connection.
  void refuse(int status) {
    is_refusing_ = true;
    answer_slot slot;
    slot.is_ready = true;
    slot.closes_connection = true;
    slot.answer.status = status;
    slots_.push_back(std::move(slot));
    flush();
  }

  void write_now(std::string bytes) {
    output_ += bytes;
    write();
  }

  void flush() {
    const std::shared_ptr<state> owner = owner_.lock();
    while (!slots_.empty() && slots_.front().is_ready && !closes_after_write_) {
      answer_slot& slot = slots_.front();
      // In a planned stop, the connection is closed only after the last pending answer.
      const bool is_last = slots_.size() == 1;
      slot.closes_connection =
          slot.closes_connection || (is_last && owner && owner->closes_after_answers);
      output_ += serialize(slot.answer, slot.closes_connection);
      closes_after_write_ = slot.closes_connection;
      if (owner) {
        owner->connections_by_token.erase(slot.token);
      }
      slots_.pop_front();
    }
    write();
  }

  void write() {
    if (is_writing_ || is_closed_ || output_.empty()) {
      return;
    }
    is_writing_ = true;
    write_buffer_ = std::exchange(output_, {});
    asio::async_write(socket_, asio::buffer(write_buffer_),
                      [self = shared_from_this()](std::error_code error, std::size_t) {
                        self->on_written(error);
                      });
  }

  void on_written(std::error_code error) {
    is_writing_ = false;
    has_activity_ = true;
    write_buffer_ = {};
    if (error) {
      close();
      return;
    }
    if (!output_.empty()) {
      write();
      return;
    }
    if (closes_after_write_) {
      linger();
      return;
    }
    if (!pending_input_.empty()) {
      parse_pending_input();
    }
    wait_for_bytes();
  }

  // Shuts down the sending direction and drops received bytes until the caller has closed the
  // connection. Closing a socket with unread bytes resets the connection, and the caller could lose
  // the answer.
  void linger() {
    is_lingering_ = true;
    pending_input_ = {};
    std::error_code ignored; // the caller may have closed already; the next read reports it
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    wait_for_bytes();
  }

  std::weak_ptr<state> owner_;
  tcp::socket socket_;
  message_reader reader_;
  std::deque<answer_slot> slots_; // in request order
  std::string pending_input_;
  std::string output_;
  std::string write_buffer_;
  bool is_waiting_ = false;
  bool is_writing_ = false;
  bool is_closed_ = false;
  bool is_refusing_ = false;
  bool is_lingering_ = false;
  bool closes_after_write_ = false;
  bool closes_after_slots_ = false;
  bool has_sent_continue_ = false;
  bool has_activity_ = false;
  bool has_swept_ = false;
  bool is_next_request_ = false; // a request was complete since the last sweep
  core::time_point inactive_since_{};
  core::time_point request_started_at_{};
  core::time_point lingers_since_{};
};

void server::state::accept() {
  acceptor.async_accept([self = shared_from_this()](std::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      // The connection remains in the queue, so that the next attempt would fail at once.
      if (self->handlers.on_accept_failed) {
        self->handlers.on_accept_failed(error.message());
      }
      self->accept_timer.expires_after(accept_retry_delay);
      self->accept_timer.async_wait([self](std::error_code cancelled) {
        if (!cancelled) {
          self->accept();
        }
      });
      return;
    }
    std::error_code ignored; // the first read reports a socket that is closed already
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    const std::shared_ptr<connection> accepted =
        std::make_shared<connection>(*self, std::move(socket));
    self->connections.insert(accepted);
    accepted->start();
    self->accept();
  });
}

server::server(asio::io_context& loop, const tcp::endpoint& address, server_handlers handlers)
    : state_(std::make_shared<state>(loop, address, std::move(handlers))) {
  state_->accept();
}

server::~server() {
  std::error_code ignored;
  state_->acceptor.close(ignored);
  state_->accept_timer.cancel();
  state_->handlers.on_disconnected = [](std::uint64_t) {};
  for (const std::shared_ptr<connection>& item : std::set(state_->connections)) {
    item->close();
  }
}

void server::set_options(const server_options& options) {
  state_->options = options;
}

void server::respond(std::uint64_t token, const core::http_response& response) {
  const auto found = state_->connections_by_token.find(token);
  if (found != state_->connections_by_token.end()) {
    const std::shared_ptr<connection> target = found->second;
    target->respond(token, response);
  }
}

void server::sweep(core::time_point now) {
  const std::vector<std::shared_ptr<connection>> all(state_->connections.begin(),
                                                     state_->connections.end());
  for (const std::shared_ptr<connection>& item : all) {
    item->sweep(now, state_->options);
  }
}

void server::close_after_answers() {
  state_->closes_after_answers = true;
}

void server::stop_reading() {
  std::error_code ignored; // the listener may be closed already
  state_->acceptor.close(ignored);
  state_->accept_timer.cancel();
  const std::vector<std::shared_ptr<connection>> all(state_->connections.begin(),
                                                     state_->connections.end());
  for (const std::shared_ptr<connection>& item : all) {
    item->stop_reading();
  }
}

bool server::has_unsent_answers() const {
  return std::any_of(state_->connections.begin(), state_->connections.end(),
                     [](const auto& item) { return item->has_unsent_answers(); });
}

std::size_t server::connection_count() const {
  return state_->connections.size();
}

} // namespace arbutuslb::runtime::http
