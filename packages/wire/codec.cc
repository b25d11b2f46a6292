#include "wire/codec.h"

#include <cstdint>
#include <string>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Thrown when a received value is outside the range of its type.
class OutOfRange {};

// Converts a received number to the enum whose last value is max_value.
template <typename Enum>
Enum CheckedEnum(std::uint8_t value, Enum max_value) {
  if (value > static_cast<std::uint8_t>(max_value)) {
    throw OutOfRange();
  }
  return static_cast<Enum>(value);
}

std::string ToStdString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string ToStdString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader ToData(const std::string& text) {
  return {reinterpret_cast<const capnp::byte*>(text.data()), text.size()};
}

void Put(const Hash128& hash, wire::Hash::Builder builder) {
  builder.setHigh(hash.high);
  builder.setLow(hash.low);
}

Hash128 Get(wire::Hash::Reader reader) {
  return {reader.getHigh(), reader.getLow()};
}

void Put(const AttemptId& id, wire::AttemptId::Builder builder) {
  builder.setIncarnation(id.incarnation);
  builder.setSequence(id.sequence);
}

AttemptId Get(wire::AttemptId::Reader reader) {
  return {reader.getIncarnation(), reader.getSequence()};
}

void Put(const std::vector<HttpHeader>& headers,
         capnp::List<wire::Header>::Builder list) {
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setName(headers[i].name);
    list[i].setValue(headers[i].value);
  }
}

std::vector<HttpHeader> Get(capnp::List<wire::Header>::Reader list) {
  std::vector<HttpHeader> headers;
  headers.reserve(list.size());
  for (auto header : list) {
    headers.push_back(
        {ToStdString(header.getName()), ToStdString(header.getValue())});
  }
  return headers;
}

void Put(const RunRequest& run, wire::RunRequest::Builder builder) {
  builder.setService(run.service);
  builder.setBackendServer(run.backend_server);
  builder.setTenant(run.customer);
  builder.setRequestClass(run.request_class);
  builder.setMethod(run.request.method);
  builder.setTarget(run.request.target);
  Put(run.request.headers, builder.initHeaders(run.request.headers.size()));
  builder.setBody(ToData(run.request.body));
  builder.setIdempotent(run.idempotent);
  builder.setHasKey(run.key.has_value());
  if (run.key) {
    Put(*run.key, builder.initKey());
  }
  Put(run.fingerprint, builder.initFingerprint());
  builder.setTimeLeftMs(run.time_left.count());
  builder.setServiceNumber(run.service_number);
  builder.setKeyTimeMs(run.key_time.count());
  builder.setIsCrashSuspect(run.is_crash_suspect);
}

RunRequest Get(wire::RunRequest::Reader reader) {
  RunRequest run;
  run.service = ToStdString(reader.getService());
  run.backend_server = ToStdString(reader.getBackendServer());
  run.customer = ToStdString(reader.getTenant());
  run.request_class = ToStdString(reader.getRequestClass());
  run.request.method = ToStdString(reader.getMethod());
  run.request.target = ToStdString(reader.getTarget());
  run.request.headers = Get(reader.getHeaders());
  run.request.body = ToStdString(reader.getBody());
  run.idempotent = reader.getIdempotent();
  if (reader.getHasKey()) {
    run.key = Get(reader.getKey());
  }
  run.fingerprint = Get(reader.getFingerprint());
  run.time_left = milliseconds(reader.getTimeLeftMs());
  run.service_number = reader.getServiceNumber();
  run.key_time = milliseconds(reader.getKeyTimeMs());
  run.is_crash_suspect = reader.getIsCrashSuspect();
  return run;
}

void Put(const RunReply& reply, wire::RunReply::Builder builder) {
  builder.setOutcome(static_cast<std::uint8_t>(reply.outcome));
  builder.setReason(static_cast<std::uint8_t>(reply.reason));
  builder.setStatus(reply.response.status);
  Put(reply.response.headers,
      builder.initHeaders(reply.response.headers.size()));
  builder.setBody(ToData(reply.response.body));
  auto load = builder.initLoad();
  load.setSlots(reply.load.slots);
  load.setInUse(reply.load.in_use);
  load.setWaiting(reply.load.waiting);
  load.setState(static_cast<std::uint8_t>(reply.load.state));
}

RunReply Get(wire::RunReply::Reader reader) {
  RunReply reply;
  reply.outcome = CheckedEnum(reader.getOutcome(), Outcome::kUnknown);
  reply.reason = CheckedEnum(reader.getReason(), Reason::kOverLimit);
  reply.response.status = reader.getStatus();
  reply.response.headers = Get(reader.getHeaders());
  reply.response.body = ToStdString(reader.getBody());
  auto load = reader.getLoad();
  reply.load.slots = load.getSlots();
  reply.load.in_use = load.getInUse();
  reply.load.waiting = load.getWaiting();
  reply.load.state = CheckedEnum(load.getState(), ServingState::kDraining);
  return reply;
}

void Put(const VoteRequest& vote, wire::VoteRequest::Builder builder) {
  builder.setService(vote.service);
  Put(vote.key, builder.initKey());
  Put(vote.fingerprint, builder.initFingerprint());
  Put(vote.attempt, builder.initAttempt());
  builder.setOwner(vote.owner);
  builder.setServiceNumber(vote.service_number);
  builder.setKeyTimeMs(vote.key_time.count());
}

VoteRequest Get(wire::VoteRequest::Reader reader) {
  VoteRequest vote;
  vote.service = ToStdString(reader.getService());
  vote.key = Get(reader.getKey());
  vote.fingerprint = Get(reader.getFingerprint());
  vote.attempt = Get(reader.getAttempt());
  vote.owner = ToStdString(reader.getOwner());
  vote.service_number = reader.getServiceNumber();
  vote.key_time = milliseconds(reader.getKeyTimeMs());
  return vote;
}

void Put(const VoteReply& reply, wire::VoteReply::Builder builder) {
  builder.setResult(static_cast<std::uint8_t>(reply.result));
  Put(reply.holder, builder.initHolder());
  builder.setHolderOwner(reply.holder_owner);
  builder.setIsSettled(reply.settled.has_value());
  if (reply.settled) {
    builder.setSettled(static_cast<std::uint8_t>(*reply.settled));
  }
  builder.setServiceNumber(reply.service_number);
  builder.setServiceNumberAgeMs(reply.service_number_age.count());
}

VoteReply Get(wire::VoteReply::Reader reader) {
  VoteReply reply;
  reply.result = CheckedEnum(reader.getResult(), VoteResult::kTableFull);
  reply.holder = Get(reader.getHolder());
  reply.holder_owner = ToStdString(reader.getHolderOwner());
  if (reader.getIsSettled()) {
    reply.settled = CheckedEnum(reader.getSettled(), Outcome::kUnknown);
  }
  reply.service_number = reader.getServiceNumber();
  reply.service_number_age = milliseconds(reader.getServiceNumberAgeMs());
  return reply;
}

void Put(const SettleNotice& notice, wire::SettleNotice::Builder builder) {
  builder.setService(notice.service);
  Put(notice.key, builder.initKey());
  Put(notice.attempt, builder.initAttempt());
  builder.setOutcome(static_cast<std::uint8_t>(notice.outcome));
}

SettleNotice Get(wire::SettleNotice::Reader reader) {
  return {ToStdString(reader.getService()), Get(reader.getKey()),
          Get(reader.getAttempt()),
          CheckedEnum(reader.getOutcome(), Outcome::kUnknown)};
}

void Put(const RecallRequest& recall, wire::RecallRequest::Builder builder) {
  builder.setService(recall.service);
  Put(recall.key, builder.initKey());
  Put(recall.attempt, builder.initAttempt());
}

RecallRequest Get(wire::RecallRequest::Reader reader) {
  return {ToStdString(reader.getService()), Get(reader.getKey()),
          Get(reader.getAttempt())};
}

void Put(const HealthDigest& digest, wire::HealthDigest::Builder builder) {
  builder.setSamples(digest.samples);
  builder.setFailureRatio(digest.failure_ratio);
  auto list = builder.initLatencies(digest.latencies.size());
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setRequestClass(digest.latencies[i].request_class);
    list[i].setMedianUs(digest.latencies[i].median.count());
    list[i].setSamples(digest.latencies[i].samples);
  }
}

HealthDigest Get(wire::HealthDigest::Reader reader) {
  HealthDigest digest;
  digest.samples = reader.getSamples();
  digest.failure_ratio = reader.getFailureRatio();
  for (auto latency : reader.getLatencies()) {
    digest.latencies.push_back({ToStdString(latency.getRequestClass()),
                                microseconds(latency.getMedianUs()),
                                latency.getSamples()});
  }
  return digest;
}

void Put(const LeaseRequest& lease, wire::LeaseRequest::Builder builder) {
  builder.setService(lease.service);
  builder.setEjector(lease.ejector);
  auto list = builder.initBackendServers(lease.backend_servers.size());
  for (unsigned i = 0; i < list.size(); ++i) {
    list.set(i, lease.backend_servers[i]);
  }
  builder.setDurationMs(lease.duration.count());
}

LeaseRequest Get(wire::LeaseRequest::Reader reader) {
  LeaseRequest lease;
  lease.service = ToStdString(reader.getService());
  lease.ejector = ToStdString(reader.getEjector());
  for (auto name : reader.getBackendServers()) {
    lease.backend_servers.push_back(ToStdString(name));
  }
  lease.duration = milliseconds(reader.getDurationMs());
  return lease;
}

void Put(const LeaseReply& reply, wire::LeaseReply::Builder builder) {
  auto list = builder.initGrants(reply.grants.size());
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setBackendServer(reply.grants[i].backend_server);
    list[i].setGranted(reply.grants[i].granted);
    Put(reply.grants[i].digest, list[i].initDigest());
  }
}

LeaseReply Get(wire::LeaseReply::Reader reader) {
  LeaseReply reply;
  for (auto grant : reader.getGrants()) {
    reply.grants.push_back({ToStdString(grant.getBackendServer()),
                            grant.getGranted(), Get(grant.getDigest())});
  }
  return reply;
}

void Put(const ConfigVersion& version, wire::ConfigVersion::Builder builder) {
  builder.setNumber(version.number);
  Put(version.digest, builder.initDigest());
}

ConfigVersion Get(wire::ConfigVersion::Reader reader) {
  return {reader.getNumber(), Get(reader.getDigest())};
}

void Put(const ConfigProbe& probe, wire::ConfigProbe::Builder builder) {
  Put(probe.version, builder.initVersion());
  builder.setSender(probe.sender);
  builder.setIncarnation(probe.incarnation);
  builder.setDataCentre(probe.data_centre);
}

ConfigProbe Get(wire::ConfigProbe::Reader reader) {
  return {Get(reader.getVersion()), ToStdString(reader.getSender()),
          reader.getIncarnation(), ToStdString(reader.getDataCentre())};
}

void Put(const ConfigProbeReply& reply,
         wire::ConfigProbeReply::Builder builder) {
  Put(reply.version, builder.initVersion());
  builder.setIncarnation(reply.incarnation);
  builder.setDataCentre(reply.data_centre);
  builder.setIsPlatformReached(reply.is_platform_reached);
}

ConfigProbeReply Get(wire::ConfigProbeReply::Reader reader) {
  return {Get(reader.getVersion()), reader.getIncarnation(),
          ToStdString(reader.getDataCentre()), reader.getIsPlatformReached()};
}

// Visitor that writes any alternative of PeerRequest.
class RequestWriter {
 public:
  explicit RequestWriter(wire::PeerRequest::Builder builder)
      : builder_(builder) {}

  void operator()(const RunRequest& m) { Put(m, builder_.initRun()); }
  void operator()(const VoteRequest& m) { Put(m, builder_.initVote()); }
  void operator()(const SettleNotice& m) { Put(m, builder_.initSettle()); }
  void operator()(const RecallRequest& m) { Put(m, builder_.initRecall()); }
  void operator()(const LeaseRequest& m) { Put(m, builder_.initLease()); }
  void operator()(const CrashNotice& m) {
    auto crash = builder_.initCrash();
    crash.setService(m.service);
    Put(m.fingerprint, crash.initFingerprint());
    crash.setAlone(m.alone);
  }
  void operator()(const ConfigProbe& m) { Put(m, builder_.initConfigProbe()); }
  void operator()(const DocumentRequest& m) {
    auto document = builder_.initDocument();
    document.setName(m.name);
    Put(m.digest, document.initDigest());
  }

 private:
  wire::PeerRequest::Builder builder_;
};

// Visitor that writes any alternative of PeerReply.
class ReplyWriter {
 public:
  explicit ReplyWriter(wire::PeerReply::Builder builder) : builder_(builder) {}

  void operator()(const RunReply& m) { Put(m, builder_.initRun()); }
  void operator()(const VoteReply& m) { Put(m, builder_.initVote()); }
  void operator()(const SettleReply&) { builder_.setSettle(); }
  void operator()(const RecallReply& m) {
    auto recall = builder_.initRecall();
    recall.setHasReply(m.reply.has_value());
    if (m.reply) {
      Put(*m.reply, recall.initReply());
    }
  }
  void operator()(const LeaseReply& m) { Put(m, builder_.initLease()); }
  void operator()(const CrashReply&) { builder_.setCrash(); }
  void operator()(const ConfigProbeReply& m) {
    Put(m, builder_.initConfigProbe());
  }
  void operator()(const DocumentReply& m) {
    auto document = builder_.initDocument();
    document.setHasBody(m.body.has_value());
    if (m.body) {
      document.setBody(ToData(*m.body));
    }
  }

 private:
  wire::PeerReply::Builder builder_;
};

RecallReply GetRecallReply(wire::RecallReply::Reader reader) {
  RecallReply reply;
  if (reader.getHasReply()) {
    reply.reply = Get(reader.getReply());
  }
  return reply;
}

DocumentReply GetDocumentReply(wire::DocumentReply::Reader reader) {
  DocumentReply reply;
  if (reader.getHasBody()) {
    reply.body = ToStdString(reader.getBody());
  }
  return reply;
}

// Throws OutOfRange on a malformed message.
PeerRequest DecodeOrThrow(wire::PeerRequest::Reader reader) {
  switch (reader.which()) {
    case wire::PeerRequest::RUN:
      return Get(reader.getRun());
    case wire::PeerRequest::VOTE:
      return Get(reader.getVote());
    case wire::PeerRequest::SETTLE:
      return Get(reader.getSettle());
    case wire::PeerRequest::RECALL:
      return Get(reader.getRecall());
    case wire::PeerRequest::LEASE:
      return Get(reader.getLease());
    case wire::PeerRequest::CRASH: {
      auto crash = reader.getCrash();
      return CrashNotice{ToStdString(crash.getService()),
                         Get(crash.getFingerprint()), crash.getAlone()};
    }
    case wire::PeerRequest::CONFIG_PROBE:
      return Get(reader.getConfigProbe());
    case wire::PeerRequest::DOCUMENT: {
      auto document = reader.getDocument();
      return DocumentRequest{ToStdString(document.getName()),
                             Get(document.getDigest())};
    }
  }
  throw OutOfRange();
}

PeerReply DecodeOrThrow(wire::PeerReply::Reader reader) {
  switch (reader.which()) {
    case wire::PeerReply::RUN:
      return Get(reader.getRun());
    case wire::PeerReply::VOTE:
      return Get(reader.getVote());
    case wire::PeerReply::SETTLE:
      return SettleReply{};
    case wire::PeerReply::RECALL:
      return GetRecallReply(reader.getRecall());
    case wire::PeerReply::LEASE:
      return Get(reader.getLease());
    case wire::PeerReply::CRASH:
      return CrashReply{};
    case wire::PeerReply::CONFIG_PROBE:
      return Get(reader.getConfigProbe());
    case wire::PeerReply::DOCUMENT:
      return GetDocumentReply(reader.getDocument());
  }
  throw OutOfRange();
}

}  // namespace

void Encode(const PeerRequest& request, wire::PeerRequest::Builder builder) {
  std::visit(RequestWriter(builder), request);
}

void Encode(const PeerReply& reply, wire::PeerReply::Builder builder) {
  std::visit(ReplyWriter(builder), reply);
}

std::optional<PeerRequest> Decode(wire::PeerRequest::Reader reader) {
  try {
    return DecodeOrThrow(reader);
  } catch (const OutOfRange&) {
    return std::nullopt;
  }
}

std::optional<PeerReply> Decode(wire::PeerReply::Reader reader) {
  try {
    return DecodeOrThrow(reader);
  } catch (const OutOfRange&) {
    return std::nullopt;
  }
}

}  // namespace vanillafall
