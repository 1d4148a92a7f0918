#include "arbutuslb/runtime/wire/codec.h"

#include "arbutuslb/runtime/wire/evidence_codec.h"
#include "arbutuslb/runtime/wire/peer.pb.h"

#include <algorithm>

namespace arbutuslb::runtime::wire {
namespace {

namespace protocol = core::protocol;
using core::duration;
using core::incarnation;
using core::member_id;
using core::membership::bucket_hashes;
using core::membership::member;
using core::membership::member_status;

constexpr std::uint32_t max_port = 65535;

void to_proto(const member& from, Member& to) {
  to.set_id(from.id.value);
  to.set_name(from.name);
  to.mutable_address()->set_host(from.address.host);
  to.mutable_address()->set_datagram_port(from.address.datagram_port);
  to.mutable_address()->set_stream_port(from.address.stream_port);
  to.set_domain(from.domain);
  to.set_service(from.service);
  to.set_version(from.version);
  to.set_boot(from.process_epoch.value);
  to.set_life(from.incarnation_number.value);
  to.set_status(static_cast<std::uint32_t>(from.status));
}

template <typename Enum>
Enum to_enum(std::uint32_t value, Enum max_value) {
  if (value > static_cast<std::uint32_t>(max_value)) {
    throw codec_error("enum value out of range");
  }
  return static_cast<Enum>(value);
}

member from_proto(const Member& from) {
  if (from.name().empty() || from.address().datagram_port() > max_port ||
      from.address().stream_port() > max_port) {
    throw codec_error("member without a name or with a port out of range");
  }
  member to;
  to.id.value = from.id();
  to.name = from.name();
  to.address.host = from.address().host();
  to.address.datagram_port = static_cast<std::uint16_t>(from.address().datagram_port());
  to.address.stream_port = static_cast<std::uint16_t>(from.address().stream_port());
  to.domain = from.domain();
  to.service = from.service();
  to.version = from.version();
  to.process_epoch.value = from.boot();
  to.incarnation_number.value = from.life();
  to.status = to_enum(from.status(), member_status::dead);
  return to;
}

template <typename Repeated>
void buckets_to_proto(const bucket_hashes& from, Repeated* to) {
  to->Add(from.begin(), from.end());
}

template <typename Repeated>
bucket_hashes buckets_from_proto(const Repeated& from) {
  if (from.size() != static_cast<int>(core::membership::bucket_count)) {
    throw codec_error("wrong number of membership bucket hashes");
  }
  bucket_hashes to;
  std::copy(from.begin(), from.end(), to.begin());
  return to;
}

void to_proto(const core::call_id& from, CallId& to) {
  to.set_caller(from.caller.value);
  to.set_caller_boot(from.caller_epoch.value);
  to.set_sequence(from.sequence);
}

core::call_id from_proto(const CallId& from) {
  return {member_id{from.caller()}, incarnation{from.caller_boot()}, from.sequence()};
}

void to_proto(const protocol::call_content& from, CallContent& to) {
  to.set_method(from.method);
  to.set_path(from.path);
  to.set_content_type(from.content_type);
  to.set_body(from.body);
  to.set_key(from.key);
  to.set_depth(from.depth);
}

protocol::call_content from_proto(const CallContent& from) {
  if (from.body().size() > protocol::max_body_bytes) {
    throw codec_error("call body exceeds the size limit");
  }
  return {from.method(), from.path(), from.content_type(), from.body(), from.key(), from.depth()};
}

void to_proto(const protocol::call_answer& from, CallAnswer& to) {
  to.set_status(from.status);
  to.set_content_type(from.content_type);
  to.set_body(from.body);
}

protocol::call_answer from_proto(const CallAnswer& from) {
  return {from.status(), from.content_type(), from.body()};
}

protocol::call_outcome to_outcome(std::uint32_t value) {
  return to_enum(value, protocol::call_outcome::unknown);
}

// --- message bodies to protobuf ---

struct body_writer {
  Envelope& out;

  void operator()(const protocol::ping& from) const {
    out.mutable_ping()->set_sequence(from.sequence);
    out.mutable_ping()->set_requester(from.requester.value);
  }
  void operator()(const protocol::ping_request& from) const {
    out.mutable_ping_request()->set_sequence(from.sequence);
    out.mutable_ping_request()->set_target(from.target.value);
  }
  void operator()(const protocol::ack& from) const {
    out.mutable_ack()->set_sequence(from.sequence);
    out.mutable_ack()->set_requester(from.requester.value);
  }
  void operator()(const protocol::membership_request&) const { out.mutable_membership_request(); }
  void operator()(const protocol::membership_compare& from) const {
    MembershipCompare& to = *out.mutable_membership_compare();
    to.set_domain(from.domain);
    buckets_to_proto(from.buckets, to.mutable_buckets());
  }
  void operator()(const protocol::membership_entries& from) const {
    MembershipEntries& to = *out.mutable_membership_entries();
    to.set_domain(from.domain);
    for (const member& entry : from.entries) {
      to_proto(entry, *to.add_entries());
    }
    to.set_wants_reply(from.reply_requested);
    buckets_to_proto(from.buckets, to.mutable_buckets());
  }
  void operator()(const protocol::domain_summary& from) const {
    for (const protocol::domain_summary::item& item : from.domains) {
      DomainSummary::Item& to = *out.mutable_domain_summary()->add_domains();
      to.set_domain(item.domain);
      to.set_hash(item.hash);
    }
    out.mutable_domain_summary();
  }
  void operator()(const protocol::config_push& from) const {
    out.mutable_config_push()->set_first_version(from.first_version);
    for (const std::string& record : from.records) {
      out.mutable_config_push()->add_records(record);
    }
  }
  void operator()(const protocol::config_pull& from) const {
    out.mutable_config_pull()->set_from_version(from.from_version);
  }
  void operator()(const protocol::config_snapshot& from) const {
    out.mutable_config_snapshot()->set_content(from.bytes);
  }
  void operator()(const protocol::config_busy& from) const {
    out.mutable_config_busy()->set_retry_after(from.retry_after.count());
  }
  void operator()(const protocol::version_report&) const { out.mutable_version_report(); }
  void operator()(const protocol::reader_heartbeat&) const { out.mutable_reader_heartbeat(); }
  void operator()(const protocol::config_announcement&) const { out.mutable_config_announcement(); }
  void operator()(const protocol::status_query& from) const {
    out.mutable_status_query()->set_token(from.token);
    out.mutable_status_query()->set_version(from.version);
  }
  void operator()(const protocol::status_reply& from) const {
    StatusReply& to = *out.mutable_status_reply();
    to.set_token(from.token);
    to.set_domain(from.domain);
    to.set_members(from.members);
    to.set_reached(from.members_at_version);
    to.set_lowest_version(from.lowest_version);
    for (const std::string& name : from.lagging_members) {
      to.add_laggards(name);
    }
  }
  void operator()(const protocol::call_request& from) const {
    CallRequest& to = *out.mutable_call_request();
    to_proto(from.id, *to.mutable_id());
    to.set_target_boot(from.target_epoch.value);
    to.set_service(from.service);
    to.set_route(from.route);
    to.set_version(from.version);
    to.set_priority(static_cast<std::uint32_t>(from.priority));
    to.set_idempotent(from.idempotent);
    to.set_remaining(from.remaining.count());
    to.set_fingerprint(from.fingerprint);
    to_proto(from.content, *to.mutable_content());
  }
  void operator()(const protocol::call_reply& from) const {
    CallReply& to = *out.mutable_call_reply();
    to_proto(from.id, *to.mutable_id());
    to.set_outcome(static_cast<std::uint32_t>(from.outcome));
    to.set_upstream_died(from.upstream_died);
    to.set_reason(from.reason);
    to_proto(from.answer, *to.mutable_answer());
    to.set_limit(from.load.limit);
    to.set_in_flight(from.load.in_flight);
    to.set_queued(from.load.queued);
  }
  void operator()(const protocol::call_cancel& from) const {
    to_proto(from.id, *out.mutable_call_cancel()->mutable_id());
  }
  void operator()(const protocol::keyed_request& from) const {
    KeyedRequest& to = *out.mutable_keyed_request();
    to.set_token(from.token);
    to.set_remaining(from.remaining.count());
    to_proto(from.content, *to.mutable_content());
  }
  void operator()(const protocol::keyed_reply& from) const {
    KeyedReply& to = *out.mutable_keyed_reply();
    to.set_token(from.token);
    to.set_outcome(static_cast<std::uint32_t>(from.outcome));
    to.set_reason(from.reason);
    to_proto(from.answer, *to.mutable_answer());
  }
  void operator()(const protocol::evidence_report& from) const {
    to_proto(from, *out.mutable_evidence_report());
  }
  void operator()(const protocol::brake& from) const {
    out.mutable_brake()->set_move_id(from.move_id);
    out.mutable_brake()->set_reason(from.reason);
  }
  void operator()(const protocol::explain_query& from) const {
    out.mutable_explain_query()->set_token(from.token);
    out.mutable_explain_query()->set_move_id(from.move_id);
  }
  void operator()(const protocol::explain_reply& from) const {
    out.mutable_explain_reply()->set_token(from.token);
    out.mutable_explain_reply()->set_text(from.text);
  }
  void operator()(const protocol::poison_report& from) const {
    out.mutable_poison_report()->set_fingerprint(from.fingerprint);
    out.mutable_poison_report()->set_deaths(from.deaths);
  }
};

// --- message bodies from protobuf ---

protocol::membership_entries from_proto(const MembershipEntries& from) {
  protocol::membership_entries to;
  to.domain = from.domain();
  for (const Member& entry : from.entries()) {
    to.entries.push_back(from_proto(entry));
  }
  to.reply_requested = from.wants_reply();
  to.buckets = buckets_from_proto(from.buckets());
  return to;
}

protocol::domain_summary from_proto(const DomainSummary& from) {
  protocol::domain_summary to;
  for (const DomainSummary::Item& item : from.domains()) {
    to.domains.push_back({item.domain(), item.hash()});
  }
  return to;
}

protocol::status_reply from_proto(const StatusReply& from) {
  return {from.token(),   from.domain(),         from.members(),
          from.reached(), from.lowest_version(), {from.laggards().begin(), from.laggards().end()}};
}

protocol::call_request from_proto(const CallRequest& from) {
  protocol::call_request to;
  to.id = from_proto(from.id());
  to.target_epoch = incarnation{from.target_boot()};
  to.service = from.service();
  to.route = from.route();
  to.version = from.version();
  to.priority = to_enum(from.priority(), core::config::request_class::deferrable);
  to.idempotent = from.idempotent();
  to.remaining = duration{from.remaining()};
  to.fingerprint = from.fingerprint();
  to.content = from_proto(from.content());
  return to;
}

protocol::call_reply from_proto(const CallReply& from) {
  return {from_proto(from.id()),     to_outcome(from.outcome()),
          from.upstream_died(),      from.reason(),
          from_proto(from.answer()), {from.limit(), from.in_flight(), from.queued()}};
}

protocol::message_body body_from_proto(const Envelope& from) {
  switch (from.body_case()) {
  case Envelope::kPing:
    return protocol::ping{from.ping().sequence(), member_id{from.ping().requester()}};
  case Envelope::kPingRequest:
    return protocol::ping_request{from.ping_request().sequence(),
                                  member_id{from.ping_request().target()}};
  case Envelope::kAck:
    return protocol::ack{from.ack().sequence(), member_id{from.ack().requester()}};
  case Envelope::kMembershipRequest:
    return protocol::membership_request{};
  case Envelope::kMembershipCompare:
    return protocol::membership_compare{from.membership_compare().domain(),
                                        buckets_from_proto(from.membership_compare().buckets())};
  case Envelope::kMembershipEntries:
    return from_proto(from.membership_entries());
  case Envelope::kDomainSummary:
    return from_proto(from.domain_summary());
  case Envelope::kConfigPush:
    return protocol::config_push{
        from.config_push().first_version(),
        {from.config_push().records().begin(), from.config_push().records().end()}};
  case Envelope::kConfigPull:
    return protocol::config_pull{from.config_pull().from_version()};
  case Envelope::kConfigSnapshot:
    return protocol::config_snapshot{from.config_snapshot().content()};
  case Envelope::kConfigBusy:
    return protocol::config_busy{duration{from.config_busy().retry_after()}};
  case Envelope::kVersionReport:
    return protocol::version_report{};
  case Envelope::kReaderHeartbeat:
    return protocol::reader_heartbeat{};
  case Envelope::kConfigAnnouncement:
    return protocol::config_announcement{};
  case Envelope::kStatusQuery:
    return protocol::status_query{from.status_query().token(), from.status_query().version()};
  case Envelope::kStatusReply:
    return from_proto(from.status_reply());
  case Envelope::kCallRequest:
    return from_proto(from.call_request());
  case Envelope::kCallReply:
    return from_proto(from.call_reply());
  case Envelope::kCallCancel:
    return protocol::call_cancel{from_proto(from.call_cancel().id())};
  case Envelope::kKeyedRequest:
    return protocol::keyed_request{from.keyed_request().token(),
                                   duration{from.keyed_request().remaining()},
                                   from_proto(from.keyed_request().content())};
  case Envelope::kKeyedReply:
    return protocol::keyed_reply{
        from.keyed_reply().token(), to_outcome(from.keyed_reply().outcome()),
        from.keyed_reply().reason(), from_proto(from.keyed_reply().answer())};
  case Envelope::kEvidenceReport:
    return from_proto(from.evidence_report());
  case Envelope::kBrake:
    return protocol::brake{from.brake().move_id(), from.brake().reason()};
  case Envelope::kExplainQuery:
    return protocol::explain_query{from.explain_query().token(), from.explain_query().move_id()};
  case Envelope::kExplainReply:
    return protocol::explain_reply{from.explain_reply().token(), from.explain_reply().text()};
  case Envelope::kPoisonReport:
    return protocol::poison_report{from.poison_report().fingerprint(),
                                   from.poison_report().deaths()};
  case Envelope::BODY_NOT_SET:
    break;
  }
  throw codec_error("message body is missing or of an unknown type");
}

} // namespace

std::string encode(const protocol::message& value) {
  Envelope out;
  out.set_protocol(protocol_version);
  to_proto(value.sender, *out.mutable_sender());
  out.mutable_held()->set_version(value.sender_digest.version);
  out.mutable_held()->set_state_hash(value.sender_digest.state_hash);
  out.mutable_held()->set_log_age(value.sender_digest.log_confirmed_age.count());
  out.mutable_held()->set_fleet_hash(value.sender_digest.fleet_hash);
  for (const protocol::domain_contact_age& contact : value.sender_digest.domains) {
    DomainAge& to = *out.mutable_held()->add_domains();
    to.set_domain_hash(contact.domain_hash);
    to.set_age(contact.age.count());
  }
  for (const member& update : value.updates) {
    to_proto(update, *out.add_updates());
  }
  std::visit(body_writer{out}, value.body);
  return out.SerializeAsString();
}

protocol::message decode(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() > max_bytes) {
    throw codec_error("message exceeds the size limit");
  }
  Envelope in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    throw codec_error("message is not valid protobuf");
  }
  if (in.protocol() != protocol_version) {
    throw codec_error("unsupported protocol version " + std::to_string(in.protocol()));
  }
  protocol::message value;
  value.sender = from_proto(in.sender());
  value.sender_digest = {in.held().version(),
                         in.held().state_hash(),
                         duration{in.held().log_age()},
                         in.held().fleet_hash(),
                         {}};
  for (const DomainAge& contact : in.held().domains()) {
    value.sender_digest.domains.push_back({contact.domain_hash(), duration{contact.age()}});
  }
  for (const Member& update : in.updates()) {
    value.updates.push_back(from_proto(update));
  }
  value.body = body_from_proto(in);
  return value;
}

} // namespace arbutuslb::runtime::wire
