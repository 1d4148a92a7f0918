// Records what callers and upstreams see of each attempt, and checks the promised guarantees: a
// successful answer comes from an execution, and an unsafe attempt is executed at most once, and
// not at all if it was refused.
//
//   ledger attempts(report);
//   attempts.on_sent("a-1", true, "body");
//   attempts.on_execution("a-1");
//   attempts.on_answer("a-1", answer);
#pragma once

#include "arbutuslb/core/base/http_message.h"

#include <functional>
#include <map>
#include <string>

namespace arbutuslb::soak {

struct ledger_totals {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;   // with a status 2xx
  std::uint64_t refused = 0;    // with a status that means "not executed"
  std::uint64_t unknown = 0;    // without an answer, or with any other status
  std::uint64_t executions = 0; // executions at upstreams
};

// Not thread-safe.
class ledger {
public:
  // Calls `report` for each broken promise, with the id of the attempt.
  explicit ledger(std::function<void(const std::string& promise, const std::string& id)> report)
      : report_(std::move(report)) {}

  void on_sent(const std::string& id, bool is_unsafe, const std::string& body);
  void on_execution(const std::string& id);
  void on_answer(const std::string& id, const core::http_response& answer);
  void on_no_answer(const std::string& id);
  bool was_executed(const std::string& id) const;

  const ledger_totals& totals() const noexcept { return totals_; }

private:
  struct attempt {
    bool is_unsafe = false;
    bool is_refused = false;
    int executions = 0;
    std::string body;
  };
  std::function<void(const std::string&, const std::string&)> report_;
  std::map<std::string, attempt> attempts_;
  ledger_totals totals_;
};

} // namespace arbutuslb::soak
