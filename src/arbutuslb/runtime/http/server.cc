#include "arbutuslb/runtime/http/server.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <map>
#include <set>
#include <span>

namespace arbutuslb::runtime::http {
namespace {

using asio::ip::tcp;

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_headers_too_large = 431;
constexpr int status_unavailable = 503;
constexpr std::size_t read_buffer_size = std::size_t{32} * 1024;
constexpr std::size_t small_read_buffer_size = std::size_t{16} * 1024;
constexpr std::size_t max_reads_per_wakeup = 4;
constexpr std::size_t reserved_tokens = 8;
// An accept that has failed, usually for want of descriptors, is repeated after this time.
constexpr std::chrono::milliseconds accept_retry_delay{50};
// How long the server waits for the caller to close the connection after the last answer. Allows
// for several round trips.
constexpr std::chrono::seconds linger_time{1};

// A request that is being executed is held this many times: by the server's user, and on its way to
// its upstream.
constexpr std::size_t copies_in_execution = 4;
// While memory is scarce, a request of which nothing has arrived for this time is refused, and an
// answer of which nothing has been read is given up, if it holds more than is guaranteed.
constexpr std::chrono::seconds stall_time{2};
// Requests behind unread answers are taken only while these have at most this size.
constexpr std::size_t max_unread_answers = std::size_t{256} * 1024;
// When a refused caller may try again.
constexpr const char* out_of_memory_retry_after = "1";

// Shared by all connections: the loop has one thread, and bytes are parsed or copied directly after
// each read.
std::array<char, read_buffer_size> read_buffer;

int status_of(read_fault fault) {
  switch (fault) {
  case read_fault::headers_too_large:
    return status_headers_too_large;
  case read_fault::body_too_large:
    return status_body_too_large;
  case read_fault::over_budget:
    return status_unavailable;
  default:
    return status_bad_request;
  }
}

} // namespace

struct server::state : std::enable_shared_from_this<server::state> {
  state(asio::io_context& io_loop, const tcp::endpoint& address, server_handlers callbacks,
        std::shared_ptr<memory_budget> memory)
      : loop(io_loop), acceptor(io_loop, address), accept_timer(io_loop),
        handlers(std::move(callbacks)), budget(std::move(memory)) {}

  void accept();
  void add(tcp::socket socket);
  // Accepts the connections that callers have already established.
  void accept_established();
  // Closes the connections that hold the largest unread answers until the budget has room for
  // `size` bytes, or none is left that holds more than is guaranteed.
  void make_room(std::size_t size);
  void report_out_of_memory(std::size_t bytes) const {
    if (handlers.on_out_of_memory) {
      handlers.on_out_of_memory(bytes);
    }
  }

  asio::io_context& loop;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  server_handlers handlers;
  std::shared_ptr<memory_budget> budget;
  server_options options;
  bool closes_after_answers = false;
  bool is_stopped = false; // by `stop_reading`
  std::uint64_t last_token = reserved_tokens;
  std::set<std::shared_ptr<connection>> connections;
  std::map<std::uint64_t, std::shared_ptr<connection>> connections_by_token;
};

class server::connection : public std::enable_shared_from_this<server::connection> {
public:
  connection(state& owner, tcp::socket socket)
      : owner_(owner.weak_from_this()), socket_(std::move(socket)),
        reader_(message_kind::request, owner.options.limits, owner.budget), share_(owner.budget) {}

  void start() { wait_for_bytes(); }

  void respond(std::uint64_t token, const core::http_response& response) {
    for (answer_slot& slot : slots_) {
      if (slot.token == token) {
        hold_answer(slot, response);
        if (is_closed_) {
          return;
        }
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
    if (is_stalled(now)) {
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

  // Takes what has been received. Then closes the connection, at once or after the last answer.
  void stop_reading() {
    receive_now();
    is_stopped_ = true;
    if (!is_closed_ && !is_lingering_ && !is_refusing_ && !is_writing_ && !is_owed()) {
      close();
    }
  }

  // Returns true if a request is being read, or has been read and is not passed on yet.
  bool has_input() const {
    return !closes_after_slots_ && !is_refusing_ && !is_lingering_ &&
           (reader_.has_begun() || !pending_input_.empty());
  }

  bool has_unsent_answers() const { return is_writing_ || is_lingering_ || !output_.empty(); }
  // Returns the size of the answers that the caller has not read.
  std::size_t unread_bytes() const {
    std::size_t size = output_.size() + write_buffer_.size();
    for (const answer_slot& slot : slots_) {
      size += slot.is_ready ? slot.held : 0;
    }
    return size;
  }
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
    report_dropped_input(*owner);
    for (const answer_slot& slot : std::exchange(slots_, {})) {
      if (owner->connections_by_token.erase(slot.token) > 0) {
        owner->handlers.on_disconnected(slot.token);
      }
    }
    owner->connections.erase(self);
  }

private:
  struct answer_slot {
    std::uint64_t token = 0;
    bool is_ready = false;
    bool closes_connection = false;
    std::size_t held = 0; // bytes taken from the budget for the request, then for the answer
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
        self->has_caller_left_ = true;
        self->close();
      } else {
        self->read();
      }
    });
  }

  // Returns true if an answer is owed, or a request is being read.
  bool is_owed() const { return !slots_.empty() || has_input(); }

  void read() {
    receive(read_buffer);
    if (pending_input_.size() < read_buffer_size) {
      wait_for_bytes();
    }
  }

  // Takes what the socket has received, as far as there is room. May be called while another
  // connection parses the shared buffer.
  void receive_now() {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init): only what was read is used
    std::array<char, small_read_buffer_size> buffer;
    receive(buffer);
  }

  void receive(std::span<char> buffer) {
    for (std::size_t i = 0; i < max_reads_per_wakeup && !is_closed_; ++i) {
      if (pending_input_.size() >= read_buffer_size) {
        return;
      }
      std::error_code error;
      const std::size_t size = socket_.read_some(asio::buffer(buffer.data(), buffer.size()), error);
      if (error == asio::error::would_block) {
        return;
      }
      if (error) {
        has_caller_left_ = true;
        close();
        return;
      }
      has_activity_ = true;
      if (is_refusing_ || is_lingering_ || closes_after_slots_) {
        dropped_bytes_ += size; // behind the last request to be answered
      } else if (pending_input_.empty()) {
        parse(std::string_view(buffer.data(), size));
      } else {
        pending_input_.append(buffer.data(), size);
        parse_pending_input();
      }
      if (size < buffer.size()) {
        return;
      }
    }
  }

  void parse_pending_input() {
    const std::string bytes = std::exchange(pending_input_, {});
    parse(bytes);
  }

  void parse(std::string_view bytes) {
    // An answer must not close the connection over requests that follow in `bytes`.
    is_parsing_ = true;
    take_requests(bytes);
    is_parsing_ = false;
    flush();
  }

  void take_requests(std::string_view bytes) {
    const std::shared_ptr<state> owner = owner_.lock();
    while (owner && !bytes.empty() && !is_closed_ && !is_refusing_) {
      if (closes_after_slots_) {
        dropped_bytes_ += bytes.size();
        return;
      }
      if (slots_.size() >= owner->options.max_pipelined || unread_bytes() > max_unread_answers) {
        pending_input_.append(bytes);
        return;
      }
      bytes.remove_prefix(reader_.consume(bytes));
      if (reader_.state() == read_state::failed) {
        dropped_bytes_ += bytes.size();
        if (reader_.fault() == read_fault::over_budget) {
          owner->report_out_of_memory(reader_.held_bytes());
        }
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
    const std::size_t size = reader_.held_bytes() * copies_in_execution;
    if (!share_.grow(size)) {
      owner.report_out_of_memory(reader_.held_bytes());
      refuse(status_unavailable);
      return;
    }
    answer_slot slot;
    slot.held = size;
    slot.token = ++owner.last_token;
    slot.closes_connection = !reader_.keeps_connection();
    closes_after_slots_ = slot.closes_connection;
    const std::uint64_t token = slot.token;
    slots_.push_back(std::move(slot));
    owner.connections_by_token.emplace(token, shared_from_this());
    try {
      owner.handlers.on_request(token, reader_.take_request());
    } catch (...) {
      close(); // nobody will answer the request
      throw;
    }
  }

  // Answers an unreadable or overdue request with an error status after all pending answers, then
  // closes the connection.
  void refuse(int status) {
    is_refusing_ = true;
    answer_slot slot;
    slot.is_ready = true;
    slot.closes_connection = true;
    slot.answer.status = status;
    if (status == status_unavailable) {
      slot.answer.headers.emplace_back("Retry-After", out_of_memory_retry_after);
    }
    slots_.push_back(std::move(slot));
    flush();
  }

  // Keeps the answer until it can be written, in place of the request.
  void hold_answer(answer_slot& slot, const core::http_response& response) {
    share_.shrink(slot.held);
    slot.held = response.body.size();
    for (const auto& [name, value] : response.headers) {
      slot.held += name.size() + value.size();
    }
    if (!share_.grow(slot.held)) {
      share_.force(slot.held);
      slot.is_ready = true;
      if (const std::shared_ptr<state> owner = owner_.lock()) {
        owner->make_room(0); // may close this connection
      }
      if (is_closed_) {
        return;
      }
    }
    slot.is_ready = true;
    slot.answer = response;
  }

  // While memory is scarce, ends a connection that keeps much of it and makes no progress. Returns
  // true if it has.
  bool is_stalled(core::time_point now) {
    const std::shared_ptr<state> owner = owner_.lock();
    if (!owner || !owner->budget || !owner->budget->is_scarce() ||
        now - inactive_since_ < stall_time) {
      return false;
    }
    const std::size_t guaranteed = owner->budget->guaranteed();
    if (is_writing_ && unread_bytes() > guaranteed) {
      owner->report_out_of_memory(unread_bytes());
      close();
      return true;
    }
    if (reader_.has_begun() && reader_.held_bytes() > guaranteed) {
      owner->report_out_of_memory(reader_.held_bytes());
      refuse(status_timeout);
      return true;
    }
    return false;
  }

  void write_now(std::string bytes) {
    output_ += bytes;
    write();
  }

  // Writes the answers that are ready. In a planned stop, the connection is closed only after an
  // answer behind which nothing has been received.
  void flush() {
    if (is_parsing_ || is_flushing_) {
      return; // continues where it was called
    }
    is_flushing_ = true;
    const std::shared_ptr<state> owner = owner_.lock();
    while (!slots_.empty() && slots_.front().is_ready && !closes_after_write_) {
      const bool is_stopping = is_stopped_ || (owner && owner->closes_after_answers);
      if (is_stopping && slots_.size() == 1) {
        receive_now();
        if (is_closed_) {
          break; // by the caller
        }
      }
      answer_slot slot = std::move(slots_.front());
      slots_.pop_front();
      closes_after_write_ = slot.closes_connection || (is_stopping && !is_owed());
      std::string bytes = serialize(slot.answer, closes_after_write_);
      slot.answer.body = {}; // a large answer is held once
      output_ = output_.empty() ? std::move(bytes) : std::move(output_) + bytes;
      written_held_ += slot.held;
      if (owner) {
        owner->connections_by_token.erase(slot.token);
      }
    }
    is_flushing_ = false;
    write();
  }

  void write() {
    if (is_writing_ || is_closed_ || output_.empty()) {
      return;
    }
    is_writing_ = true;
    writing_held_ = std::exchange(written_held_, 0);
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
    share_.shrink(std::exchange(writing_held_, 0));
    if (error) {
      close();
      return;
    }
    if (!output_.empty()) {
      write();
      return;
    }
    if (!closes_after_write_ && !pending_input_.empty()) {
      parse_pending_input();
    }
    if (closes_after_write_ || (is_stopped_ && !is_owed())) {
      if (!is_writing_) {
        linger();
      }
      return;
    }
    wait_for_bytes();
  }

  // Shuts down the sending direction and drops received bytes until the caller has closed the
  // connection. Closing a socket with unread bytes resets the connection, and the caller could lose
  // the answer.
  void linger() {
    is_lingering_ = true;
    dropped_bytes_ += std::exchange(pending_input_, {}).size();
    std::error_code ignored; // the caller may have closed already; the next read reports it
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    wait_for_bytes();
  }

  void report_dropped_input(state& owner) {
    dropped_bytes_ += pending_input_.size();
    const bool is_cut = reader_.has_begun() && !is_refusing_ && !has_caller_left_;
    if ((dropped_bytes_ > 0 || is_cut) && owner.handlers.on_input_dropped) {
      owner.handlers.on_input_dropped({dropped_bytes_, is_cut, slots_.size()});
    }
  }

  std::weak_ptr<state> owner_;
  tcp::socket socket_;
  message_reader reader_;
  std::deque<answer_slot> slots_; // in request order
  std::string pending_input_;     // received, and waits until there is room for its requests
  std::size_t dropped_bytes_ = 0; // received, and not read as a request
  budget_share share_;            // requests in execution, and answers
  std::size_t written_held_ = 0;  // for the answers in `output_`
  std::size_t writing_held_ = 0;  // for those in `write_buffer_`
  std::string output_;
  std::string write_buffer_;
  bool is_waiting_ = false;
  bool is_writing_ = false;
  bool is_closed_ = false;
  bool is_refusing_ = false;
  bool is_lingering_ = false;
  bool is_parsing_ = false;
  bool is_flushing_ = false;
  bool has_caller_left_ = false;
  bool is_stopped_ = false; // closes when nothing is owed
  bool closes_after_write_ = false;
  bool closes_after_slots_ = false; // the caller sends no further request
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
    self->add(std::move(socket));
    self->accept();
  });
}

void server::state::add(tcp::socket socket) {
  std::error_code ignored; // the first read reports a socket that is closed already
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  const std::shared_ptr<connection> accepted =
      std::make_shared<connection>(*this, std::move(socket));
  connections.insert(accepted);
  accepted->start();
}

void server::state::accept_established() {
  std::error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(loop);
    acceptor.accept(socket, error);
    if (!error) {
      add(std::move(socket));
    }
  }
}

void server::state::make_room(std::size_t size) {
  while (budget && budget->is_over(size)) {
    const auto largest = std::max_element(connections.begin(), connections.end(),
                                          [](const auto& one, const auto& other) {
                                            return one->unread_bytes() < other->unread_bytes();
                                          });
    if (largest == connections.end() || (*largest)->unread_bytes() <= budget->guaranteed()) {
      return;
    }
    report_out_of_memory((*largest)->unread_bytes());
    (*largest)->close(); // removes it from `connections`
  }
}

server::server(asio::io_context& loop, const tcp::endpoint& address, server_handlers handlers,
               std::shared_ptr<memory_budget> budget)
    : state_(std::make_shared<state>(loop, address, std::move(handlers), std::move(budget))) {
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
  if (std::exchange(state_->is_stopped, true)) {
    return;
  }
  state_->accept_established();
  std::error_code ignored; // the listener may be closed already
  state_->acceptor.close(ignored);
  state_->accept_timer.cancel();
  const std::vector<std::shared_ptr<connection>> all(state_->connections.begin(),
                                                     state_->connections.end());
  for (const std::shared_ptr<connection>& item : all) {
    item->stop_reading();
  }
}

bool server::is_reading() const {
  return !state_->is_stopped || std::any_of(state_->connections.begin(), state_->connections.end(),
                                            [](const auto& item) { return item->has_input(); });
}

bool server::has_unsent_answers() const {
  return std::any_of(state_->connections.begin(), state_->connections.end(),
                     [](const auto& item) { return item->has_unsent_answers(); });
}

std::size_t server::connection_count() const {
  return state_->connections.size();
}

} // namespace arbutuslb::runtime::http
