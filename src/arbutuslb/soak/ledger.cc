#include "arbutuslb/soak/ledger.h"

#include "arbutuslb/soak/upstream_stand_in.h"

namespace arbutuslb::soak {
namespace {

constexpr int first_success = 200;
constexpr int first_redirect = 300;

// Returns whether the status guarantees that the request was not executed and will not be.
bool is_refusal(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void ledger::on_sent(const std::string& id, bool is_unsafe, const std::string& body) {
  ++totals_.sent;
  attempts_[id] = {is_unsafe, false, 0, body};
}

void ledger::on_execution(const std::string& id) {
  ++totals_.executions;
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    report_("an upstream executed an attempt that no caller sent", id);
    return;
  }
  attempt& value = found->second;
  ++value.executions;
  if (value.is_unsafe && value.executions > 1) {
    report_("an unsafe attempt was executed more than once", id);
  }
  if (value.is_unsafe && value.is_refused) {
    report_("an unsafe attempt was executed after it was answered as not executed", id);
  }
}

void ledger::on_answer(const std::string& id, const core::http_response& answer) {
  attempt& value = attempts_.at(id);
  if (answer.status >= first_success && answer.status < first_redirect) {
    ++totals_.answered;
    const std::string* signature = core::find_header(answer.headers, "X-Response-Signature");
    if (signature == nullptr || *signature != signature_of(id)) {
      report_("a successful answer has a missing or wrong signature", id);
    }
    if (answer.body != id + ":" + value.body) {
      report_("a successful answer has a wrong body", id);
    }
    if (value.executions == 0) {
      report_("a successful answer to an attempt that was not executed", id);
    }
    return;
  }
  if (!is_refusal(answer.status)) {
    ++totals_.unknown;
    return;
  }
  ++totals_.refused;
  value.is_refused = true;
  if (value.is_unsafe && value.executions > 0) {
    report_("an unsafe attempt was answered as not executed after its execution", id);
  }
}

void ledger::on_no_answer(const std::string& id) {
  ++totals_.unknown;
  attempts_.at(id).is_refused = false;
}

bool ledger::was_executed(const std::string& id) const {
  const auto found = attempts_.find(id);
  return found != attempts_.end() && found->second.executions > 0;
}

} // namespace arbutuslb::soak
