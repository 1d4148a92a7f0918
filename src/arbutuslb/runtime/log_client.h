// The client of the platform's append-only log.
//
// `log_client` is a concept, since the platform's own protocol is not given yet; the one
// implementation speaks HTTP:
//   GET  /streams/NAME/records?from=N|latest&wait_ms=W   -> {"oldest":1,"next":8,"records":[...]}
//   POST /streams/NAME/records   (the record as the body) -> {"offset":7}
// A status of 503 means that the log has not taken the record.
#pragma once

#include "arbutuslb/core/engine/actions.h"
#include "arbutuslb/core/engine/events.h"
#include "arbutuslb/runtime/settings.h"

#include <concepts>
#include <functional>
#include <memory>

namespace arbutuslb::runtime {

template <typename Client>
concept log_client = requires(Client client, const core::engine::read_log& read,
                              const core::engine::append_log& append) {
  client.read(read);
  client.append(append);
};

// Thread-safe. Each call gives one `log_read` or `log_appended` to the receiver.
class http_log_client {
public:
  using receiver = std::function<void(core::engine::event)>;
  http_log_client(const endpoint& server, receiver on_event);
  // Waits for the requests that run.
  ~http_log_client();

  void read(const core::engine::read_log& action);
  void append(const core::engine::append_log& action);

private:
  struct state;
  std::unique_ptr<state> state_;
};

static_assert(log_client<http_log_client>);

} // namespace arbutuslb::runtime
