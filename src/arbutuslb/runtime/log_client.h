// Client of the platform's append-only log.
//
// `log_client` is a concept, because the platform's protocol is not specified yet; the only
// implementation uses HTTP:
//   GET  /streams/NAME/records?from=N|latest&wait_ms=W   -> {"oldest":1,"next":8,"records":[...]}
//   POST /streams/NAME/records   (the record as the body) -> {"offset":7}
// Status 503 means that the log has not appended the record.
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

// Thread-safe. Each call passes one `log_read` or `log_appended` event to the receiver.
class http_log_client {
public:
  using receiver = std::function<void(core::engine::event)>;
  http_log_client(const endpoint& server, receiver on_event);
  // Waits for the pending requests.
  ~http_log_client();

  void read(const core::engine::read_log& action);
  void append(const core::engine::append_log& action);

private:
  struct state;
  std::unique_ptr<state> state_;
};

static_assert(log_client<http_log_client>);

} // namespace arbutuslb::runtime
