// What callers and upstreams saw of each request, held against what the answers promise.
//
//   ledger seen(report);
//   seen.on_sent("a-1", true, "body");
//   seen.on_run("a-1");
//   seen.on_answer("a-1", answer);
#pragma once

#include "arbutuslb/core/base/http_message.h"

#include <functional>
#include <map>
#include <string>

namespace arbutuslb::soak {

struct ledger_totals {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0; // with the upstream's own answer
  std::uint64_t refused = 0;  // as not run
  std::uint64_t unknown = 0;
  std::uint64_t runs = 0;
};

// Not thread-safe.
class ledger {
public:
  // `report` is told each broken promise and the request.
  explicit ledger(std::function<void(const std::string& promise, const std::string& id)> report)
      : report_(std::move(report)) {}

  void on_sent(const std::string& id, bool is_unsafe, const std::string& body);
  void on_run(const std::string& id);
  void on_answer(const std::string& id, const core::http_response& answer);
  void on_no_answer(const std::string& id);

  const ledger_totals& totals() const noexcept { return totals_; }

private:
  struct attempt {
    bool is_unsafe = false;
    bool is_refused = false;
    int runs = 0;
    std::string body;
  };
  std::function<void(const std::string&, const std::string&)> report_;
  std::map<std::string, attempt> attempts_;
  ledger_totals totals_;
};

} // namespace arbutuslb::soak
