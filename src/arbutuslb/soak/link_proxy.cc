#include "arbutuslb/soak/link_proxy.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace arbutuslb::soak {
namespace {

using asio::ip::tcp;

constexpr std::size_t buffer_size = std::size_t{16} * 1024;

} // namespace

struct link_proxy::state : std::enable_shared_from_this<link_proxy::state> {
  state(asio::io_context& io_loop, const tcp::endpoint& listen, const tcp::endpoint& to)
      : loop(io_loop), address(listen), acceptor(io_loop, listen), target(to) {}
  void accept();

  asio::io_context& loop;
  tcp::endpoint address;
  tcp::acceptor acceptor;
  tcp::endpoint target;
  link_fault fault;
  std::set<std::shared_ptr<session>> sessions;
};

class link_proxy::session : public std::enable_shared_from_this<link_proxy::session> {
public:
  session(state& owner, tcp::socket caller)
      : owner_(owner.weak_from_this()), caller_(std::move(caller)), target_(owner.loop) {}

  void start(const tcp::endpoint& target) {
    target_.async_connect(target, [self = shared_from_this()](std::error_code error) {
      if (error) {
        self->close(false);
        return;
      }
      std::error_code ignored; // if the socket is closed already, its first read fails
      self->caller_.set_option(tcp::no_delay(true), ignored);
      self->target_.set_option(tcp::no_delay(true), ignored);
      self->read_next(true);
      self->read_next(false);
    });
  }

  void silence() { is_silent_ = true; }

  void close(bool by_reset) {
    const std::shared_ptr<session> self = shared_from_this();
    for (tcp::socket* socket : {&caller_, &target_}) {
      std::error_code ignored; // either peer may have closed its connection
      if (by_reset) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
      }
      socket->close(ignored);
    }
    if (const std::shared_ptr<state> owner = owner_.lock()) {
      owner->sessions.erase(self);
    }
  }

private:
  void read_next(bool is_to_target) {
    tcp::socket& from = is_to_target ? caller_ : target_;
    std::array<char, buffer_size>& buffer = buffers_[is_to_target ? 1 : 0];
    from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), is_to_target](
                                                   std::error_code error, std::size_t size) {
      if (error) {
        self->half_close(is_to_target);
      } else {
        self->forward(is_to_target, size);
      }
    });
  }

  void forward(bool is_to_target, std::size_t size) {
    const std::shared_ptr<state> owner = owner_.lock();
    if (!owner) {
      return;
    }
    if (is_silent_ ||
        (is_to_target ? owner->fault.drops_to_target : owner->fault.drops_to_caller)) {
      is_silent_ = true; // a stream does not go on behind bytes that were lost
      read_next(is_to_target);
      return;
    }
    if (owner->fault.delay == core::duration::zero()) {
      write(is_to_target, size);
      return;
    }
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(owner->loop, owner->fault.delay);
    timer->async_wait([self = shared_from_this(), timer, is_to_target, size](std::error_code) {
      self->write(is_to_target, size);
    });
  }

  void write(bool is_to_target, std::size_t size) {
    tcp::socket& to = is_to_target ? target_ : caller_;
    asio::async_write(
        to, asio::buffer(buffers_[is_to_target ? 1 : 0].data(), size),
        [self = shared_from_this(), is_to_target](std::error_code error, std::size_t) {
          if (error) {
            self->close(false);
          } else {
            self->read_next(is_to_target);
          }
        });
  }

  // Handles the end of one direction. The other direction may continue.
  void half_close(bool is_to_target) {
    if (is_silent_) {
      return; // the other side does not see it
    }
    if (++closed_directions_ == 2) {
      close(false);
      return;
    }
    std::error_code ignored; // the receiver may have closed its connection
    (is_to_target ? target_ : caller_).shutdown(tcp::socket::shutdown_send, ignored);
  }

  std::weak_ptr<state> owner_;
  tcp::socket caller_;
  tcp::socket target_;
  std::array<std::array<char, buffer_size>, 2> buffers_{};
  int closed_directions_ = 0;
  bool is_silent_ = false;
};

void link_proxy::state::accept() {
  acceptor.async_accept([self = shared_from_this()](std::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error && !self->fault.refuses) {
      const std::shared_ptr<session> created = std::make_shared<session>(*self, std::move(socket));
      self->sessions.insert(created);
      created->start(self->target);
    }
    self->accept();
  });
}

link_proxy::link_proxy(asio::io_context& loop, const tcp::endpoint& listen,
                       const tcp::endpoint& target)
    : state_(std::make_shared<state>(loop, listen, target)) {
  state_->accept();
}

link_proxy::~link_proxy() {
  std::error_code ignored;
  state_->acceptor.close(ignored);
  reset_all();
}

void link_proxy::set_fault(const link_fault& fault) {
  state_->fault = fault;
}

void link_proxy::reset_all() {
  for (const std::shared_ptr<session>& item : std::set(state_->sessions)) {
    item->close(true);
  }
}

void link_proxy::silence_open() {
  for (const std::shared_ptr<session>& item : state_->sessions) {
    item->silence();
  }
}

void link_proxy::set_listening(bool is_listening) {
  if (is_listening && !state_->acceptor.is_open()) {
    state_->acceptor = tcp::acceptor(state_->loop, state_->address);
    state_->accept();
  } else if (!is_listening) {
    std::error_code ignored; // it may be closed already
    state_->acceptor.close(ignored);
    reset_all();
  }
}

} // namespace arbutuslb::soak
