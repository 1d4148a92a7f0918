#include "arbutuslb/runtime/http/client.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <map>
#include <set>
#include <stdexcept>
#include <sys/ioctl.h>
#include <vector>

namespace arbutuslb::runtime::http {
namespace {

using asio::ip::tcp;
using steady = std::chrono::steady_clock;

constexpr std::size_t read_buffer_size = std::size_t{64} * 1024;
// Other connections are served after this many reads.
constexpr std::size_t max_reads_per_wakeup = 4;
// Size limits of answers. They are independent of the limits for the requests of callers. A daemon
// has 64 MB for everything (docs/CAPACITY.md).
constexpr read_limits answer_limits{std::size_t{64} * 1024, std::size_t{16} * 1024 * 1024};
// Answers to other requests that may precede the one to a request.
constexpr int max_dropped_answers = 8;
// Idle connections are closed after this time, or earlier if the server announces a shorter
// keep-alive time.
constexpr std::chrono::seconds max_keep_alive_time{6};
// Idle connections are closed this long before the announced keep-alive time ends.
constexpr std::chrono::seconds keep_alive_margin{1};

std::array<char, read_buffer_size> read_buffer;

// Returns whether bytes were written that the peer has not acknowledged; true on errors.
bool has_unacknowledged_bytes(tcp::socket& socket) {
  int size = 0;
  return ioctl(socket.native_handle(), SIOCOUTQ, &size) != 0 || size > 0;
}

} // namespace

struct client::state : std::enable_shared_from_this<client::state> {
  state(asio::io_context& io_loop, std::shared_ptr<memory_budget> bodies)
      : loop(io_loop), budget(std::move(bodies)) {}

  asio::io_context& loop;
  std::shared_ptr<memory_budget> budget;
  std::uint64_t last_exchange = 0;
  std::uint64_t connections_opened = 0;
  std::map<std::uint64_t, std::shared_ptr<connection>> connections_by_exchange;
  std::map<tcp::endpoint, std::vector<std::shared_ptr<connection>>> idle; // most recently used last
  std::map<tcp::endpoint, steady::time_point> answered_at; // time of the newest answer, by server
};

class client::connection : public std::enable_shared_from_this<client::connection> {
public:
  connection(state& owner, const tcp::endpoint& address)
      : owner_(owner.weak_from_this()), address_(address), socket_(owner.loop),
        reader_(message_kind::response, answer_limits, owner.budget) {}

  void begin(std::uint64_t exchange, std::string request_bytes, bool has_no_body,
             send_options options, completion_handler on_end) {
    exchange_ = exchange;
    options_ = std::move(options);
    on_end_ = std::move(on_end);
    request_bytes_ = std::move(request_bytes);
    started_at_ = steady::now();
    has_no_body_ = has_no_body;
    reader_.expect_no_body(has_no_body_);
    if (is_connected_) {
      write();
    } else {
      connect();
    }
  }

  void open(std::uint64_t exchange, core::duration timeout,
            std::function<void(connect_outcome)> on_opened) {
    exchange_ = exchange;
    options_.connect_timeout = timeout;
    on_opened_ = std::move(on_opened);
    started_at_ = steady::now();
    connect();
  }

  core::duration idle_time() const {
    return std::chrono::duration_cast<core::duration>(steady::now() - idle_since_);
  }
  bool is_closed() const { return is_closed_; }

  // Returns whether the exchange exceeded its connect or answer timeout.
  bool is_overdue() const {
    const steady::duration elapsed = steady::now() - started_at_;
    if (!is_connected_) {
      return elapsed >= options_.connect_timeout;
    }
    return options_.answer_timeout > core::duration::zero() && elapsed >= options_.answer_timeout;
  }
  // Returns whether nothing has come from the server since the request was sent.
  bool is_server_silent() const {
    const std::shared_ptr<state> owner = owner_.lock();
    return has_sent_ && owner && owner->answered_at[address_] < started_at_;
  }
  const tcp::endpoint& address() const { return address_; }
  bool is_idle_too_long() const { return idle_time() >= keep_alive_time_; }

  void close() {
    if (is_closed_) {
      return;
    }
    is_closed_ = true;
    std::error_code ignored; // the connection may be closed already
    socket_.close(ignored);
  }

  void fail(bool is_timeout = false) {
    const exchange_outcome outcome =
        has_sent_ ? exchange_outcome::broken : exchange_outcome::not_connected;
    if (is_timeout && options_.resets_when_overdue) {
      std::error_code ignored; // the connection may be closed already
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    close();
    finish({outcome, {}, is_timeout && has_sent_});
  }

private:
  void connect() {
    std::error_code error;
    socket_.open(tcp::v4(), error);
    if (error) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->fail(); });
      return;
    }
    socket_.non_blocking(true, error);
    socket_.set_option(tcp::no_delay(true), error);
    socket_.async_connect(address_, [self = shared_from_this()](std::error_code result) {
      if (self->is_closed_) {
        return;
      }
      if (result) {
        self->is_refused_ = result == asio::error::connection_refused;
        self->fail();
        return;
      }
      self->is_connected_ = true;
      if (self->on_opened_ != nullptr) {
        self->add_to_idle();
        self->wait_for_bytes();
        self->finish({});
      } else {
        self->write();
      }
    });
  }

  void write() {
    has_sent_ = true;
    wait_for_bytes();
    is_writing_ = true;
    asio::async_write(socket_, asio::buffer(request_bytes_),
                      [self = shared_from_this()](std::error_code error, std::size_t) {
                        self->is_writing_ = false;
                        if (!self->is_closed_) {
                          self->on_write_ended(error);
                        }
                      });
  }

  void on_write_ended(std::error_code error) {
    // After an error the answer is still read: a server may answer before it has read the whole
    // request.
    if (error) {
      has_write_failed_ = true;
    } else {
      request_bytes_ = {};
      report_written();
    }
    if (has_stream_ended_ && !is_closed_) {
      on_end_of_stream();
    }
  }

  void report_written() {
    const std::function<void()> on_written = std::exchange(options_.on_written, nullptr);
    if (on_written && on_end_ != nullptr) {
      on_written();
    }
  }

  void wait_for_bytes() {
    if (is_waiting_ || is_closed_) {
      return;
    }
    is_waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
      self->is_waiting_ = false;
      if (self->is_closed_) {
        return;
      }
      if (error) {
        self->on_connection_closed(false);
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
        on_connection_closed(error == asio::error::eof);
        return;
      }
      if (on_end_ == nullptr) {
        drop_idle(); // the bytes belong to no request
        return;
      }
      parse(std::string_view(read_buffer.data(), size));
      if (size < read_buffer.size()) {
        break;
      }
    }
    wait_for_bytes();
  }

  void parse(std::string_view bytes) {
    while (!bytes.empty() && !is_closed_ && on_end_ != nullptr) {
      bytes.remove_prefix(reader_.consume(bytes));
      if (reader_.state() == read_state::failed) {
        fail();
        return;
      }
      if (reader_.state() == read_state::complete) {
        on_answer(bytes.empty());
        if (on_end_ == nullptr) {
          return;
        }
      }
    }
  }

  // `is_last`: no bytes were received after the answer.
  void on_answer(bool is_last) {
    if (const std::shared_ptr<state> server = owner_.lock()) {
      server->answered_at[address_] = steady::now();
    }
    const bool is_persistent = reader_.keeps_connection();
    if (const std::optional<core::duration> time = reader_.keep_alive_time()) {
      keep_alive_time_ = std::min<core::duration>(max_keep_alive_time, *time - keep_alive_margin);
    }
    core::http_response answer = reader_.take_response();
    const answer_owner owner =
        options_.owner_of ? options_.owner_of(answer) : answer_owner::this_request;
    if (owner != answer_owner::this_request) {
      if (owner == answer_owner::unidentified || !is_persistent ||
          ++dropped_answers_ > max_dropped_answers) {
        fail();
      }
      reader_.expect_no_body(has_no_body_);
      return;
    }
    dropped_answers_ = 0;
    const bool is_reusable = is_persistent && is_last && !is_writing_ && !has_write_failed_ &&
                             !is_closed_ && keep_alive_time_ > core::duration::zero();
    if (is_reusable) {
      add_to_idle();
    } else {
      close();
    }
    finish({exchange_outcome::answered, std::move(answer), false});
  }

  void add_to_idle() {
    idle_since_ = steady::now();
    if (const std::shared_ptr<state> owner = owner_.lock()) {
      owner->idle[address_].push_back(shared_from_this());
    }
  }

  void on_connection_closed(bool is_orderly) {
    if (on_end_ == nullptr) {
      drop_idle();
      return;
    }
    if (is_orderly && reader_.has_headers()) {
      has_stream_ended_ = true;
      on_end_of_stream();
    } else {
      fail();
    }
  }

  // Ends an exchange whose answer may be delimited by the end of the stream. That end says nothing
  // of the answer while the server has not received the whole request: it may stand for a reset,
  // whose error a failed write has taken from the socket.
  void on_end_of_stream() {
    const bool is_early = has_write_failed_ || has_unacknowledged_bytes(socket_);
    if (is_writing_ && !is_early) {
      return; // decided when the write has ended
    }
    if (!is_early) {
      reader_.end_of_stream();
    }
    if (reader_.state() == read_state::complete) {
      on_answer(true);
    } else {
      fail();
    }
  }

  void drop_idle() {
    close();
    if (const std::shared_ptr<state> owner = owner_.lock()) {
      std::erase(owner->idle[address_], shared_from_this());
    }
  }

  void finish(exchange_result end) {
    if (const std::shared_ptr<state> owner = owner_.lock()) {
      owner->connections_by_exchange.erase(exchange_);
    }
    if (on_opened_ != nullptr) {
      const connect_outcome outcome = is_connected_ ? connect_outcome::connected
                                      : is_refused_ ? connect_outcome::refused
                                                    : connect_outcome::failed;
      std::exchange(on_opened_, nullptr)(outcome);
    }
    if (on_end_ != nullptr) {
      const completion_handler handler = std::exchange(on_end_, nullptr);
      handler(std::move(end));
    }
  }

  std::weak_ptr<state> owner_;
  tcp::endpoint address_;
  tcp::socket socket_;
  message_reader reader_;
  std::uint64_t exchange_ = 0;
  send_options options_;
  completion_handler on_end_;
  std::function<void(connect_outcome)> on_opened_; // set while it is opened without a request
  std::string request_bytes_;
  steady::time_point started_at_{};
  steady::time_point idle_since_{};
  core::duration keep_alive_time_ = max_keep_alive_time;
  bool has_no_body_ = false; // the answer to this exchange
  int dropped_answers_ = 0;  // since the last answer that belonged to its request
  bool is_connected_ = false;
  bool is_refused_ = false;
  bool has_sent_ = false;
  bool is_writing_ = false;
  bool has_write_failed_ = false;
  bool has_stream_ended_ = false; // in order
  bool is_waiting_ = false;
  bool is_closed_ = false;
};

client::client(asio::io_context& loop, std::shared_ptr<memory_budget> budget)
    : state_(std::make_shared<state>(loop, std::move(budget))) {}

client::~client() {
  for (const auto& [exchange, item] : state_->connections_by_exchange) {
    item->close();
  }
  for (const auto& [address, items] : state_->idle) {
    for (const std::shared_ptr<connection>& item : items) {
      item->close();
    }
  }
}

std::uint64_t client::send(const tcp::endpoint& address, const core::http_request& request,
                           send_options options, completion_handler on_end) {
  const std::uint64_t exchange = ++state_->last_exchange;
  std::vector<std::shared_ptr<connection>>& idle_connections = state_->idle[address];
  std::shared_ptr<connection> chosen;
  if (!idle_connections.empty() && idle_connections.back()->idle_time() < options.max_idle) {
    chosen = idle_connections.back();
    idle_connections.pop_back();
  } else {
    chosen = std::make_shared<connection>(*state_, address);
    ++state_->connections_opened;
  }
  state_->connections_by_exchange.emplace(exchange, chosen);
  chosen->begin(exchange, serialize(request), request.method == "HEAD", std::move(options),
                std::move(on_end));
  return exchange;
}

void client::connect(const tcp::endpoint& address, core::duration timeout,
                     std::function<void(connect_outcome)> on_end) {
  const std::uint64_t exchange = ++state_->last_exchange;
  const std::shared_ptr<connection> opened = std::make_shared<connection>(*state_, address);
  ++state_->connections_opened;
  state_->connections_by_exchange.emplace(exchange, opened);
  opened->open(exchange, timeout, std::move(on_end));
}

void client::cancel(std::uint64_t exchange) {
  const auto found = state_->connections_by_exchange.find(exchange);
  if (found != state_->connections_by_exchange.end()) {
    found->second->close();
    state_->connections_by_exchange.erase(found);
  }
}

void client::sweep(core::time_point) {
  std::vector<std::shared_ptr<connection>> overdue;
  for (const auto& [exchange, item] : state_->connections_by_exchange) {
    if (item->is_overdue()) {
      overdue.push_back(item);
    }
  }
  for (const std::shared_ptr<connection>& item : overdue) {
    if (item->is_server_silent()) {
      close_idle(item->address()); // they may have gone silent as well
    }
    item->fail(true);
  }
  for (auto& [address, items] : state_->idle) {
    std::erase_if(items, [](const std::shared_ptr<connection>& item) {
      const bool is_old = item->is_idle_too_long();
      if (is_old) {
        item->close();
      }
      return is_old || item->is_closed();
    });
  }
}

void client::close_idle(const tcp::endpoint& address) {
  for (const std::shared_ptr<connection>& item : std::exchange(state_->idle[address], {})) {
    item->close();
  }
}

std::uint64_t client::connections_opened() const {
  return state_->connections_opened;
}

tcp::endpoint parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon != std::string_view::npos) {
    const std::string_view digits = text.substr(colon + 1);
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    std::error_code error;
    const asio::ip::address_v4 host =
        asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    if (parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size() && !error) {
      return {host, port};
    }
  }
  throw std::invalid_argument("not an IPv4 address and port (HOST:PORT): " + std::string(text));
}

} // namespace arbutuslb::runtime::http
