#include "arbutuslb/soak/ledger.h"

#include "arbutuslb/soak/upstream_stand_in.h"

namespace arbutuslb::soak {
namespace {

constexpr int first_success = 200;
constexpr int first_redirect = 300;

// These say that the request has not run and never will.
bool is_refusal(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void ledger::on_sent(const std::string& id, bool is_unsafe, const std::string& body) {
  ++totals_.sent;
  attempts_[id] = {is_unsafe, false, 0, body};
}

void ledger::on_run(const std::string& id) {
  ++totals_.runs;
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    report_("ran what nobody sent", id);
    return;
  }
  attempt& value = found->second;
  ++value.runs;
  if (value.is_unsafe && value.runs > 1) {
    report_("ran twice", id);
  }
  if (value.is_unsafe && value.is_refused) {
    report_("ran after it was refused as not run", id);
  }
}

void ledger::on_answer(const std::string& id, const core::http_response& answer) {
  attempt& value = attempts_.at(id);
  if (answer.status >= first_success && answer.status < first_redirect) {
    ++totals_.answered;
    const std::string* signature = core::find_header(answer.headers, "X-Response-Signature");
    if (signature == nullptr || *signature != signature_of(id)) {
      report_("a success without its signature", id);
    }
    if (answer.body != id + ":" + value.body) {
      report_("a success with another body", id);
    }
    if (value.runs == 0) {
      report_("a success of what never ran", id);
    }
    return;
  }
  if (!is_refusal(answer.status)) {
    ++totals_.unknown;
    return;
  }
  ++totals_.refused;
  value.is_refused = true;
  if (value.is_unsafe && value.runs > 0) {
    report_("refused as not run though it has run", id);
  }
}

void ledger::on_no_answer(const std::string& id) {
  ++totals_.unknown;
  attempts_.at(id).is_refused = false;
}

} // namespace arbutuslb::soak
