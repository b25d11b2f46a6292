#include "proxy/link_codec.h"

#include <capnp/message.h>
#include <capnp/orphan.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <limits>
#include <utility>

#include "proxy/generated/link.capnp.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

// Thrown for a value outside the range of its type.
class OutOfRange {};

constexpr double kPermille = 1000;

// Converts a number to an enum; throws OutOfRange when it is greater than the
// last value.
template <typename Enum>
Enum CheckedEnum(std::uint8_t value, Enum last) {
  if (value > static_cast<std::uint8_t>(last)) {
    throw OutOfRange();
  }
  return static_cast<Enum>(value);
}

// Converts a number to an unsigned type, clamped to the range of that type.
template <typename Target, typename Value>
Target Saturated(Value value) {
  constexpr auto kMax = std::numeric_limits<Target>::max();
  if (value < Value{0}) {
    return 0;
  }
  return static_cast<std::uint64_t>(value) > kMax ? kMax
                                                  : static_cast<Target>(value);
}

template <typename Reader>
std::string ToStdString(const Reader& reader) {
  return {reinterpret_cast<const char*>(reader.begin()), reader.size()};
}

// A body of this size or more is not copied into its encoded message.
constexpr std::size_t kMinSharedBytes = MemoryAccount::kMaxSmallBytes;
constexpr std::size_t kWordBytes = 8;
// One run of packed words: a tag, a word, a count and up to 255 more words.
constexpr std::size_t kRunWords = 256;
constexpr unsigned kFullTag = 0xff;
// Segments of a valid message; the encoder makes a few.
constexpr std::size_t kMaxSegments = 512;
constexpr capnp::uint kFirstSegmentWords = 1024;

// Where the body of a decoded message lies.
struct BodyPlace {
  const unsigned char* begin = nullptr;
  std::size_t size = 0;
  // The body has not been kept.
  bool is_dropped = false;
};

// How bodies are put into an encoded message. A shared body becomes the last
// segment, which must not be read through the library, because its last word
// may be longer than the body.
enum class BodyMode : std::uint8_t { kShared, kCopied };

capnp::Data::Reader ToData(const std::string& text) {
  return {reinterpret_cast<const capnp::byte*>(text.data()), text.size()};
}

void Encode(const OfferId& id, link::Id::Builder out) {
  out.setIncarnation(id.incarnation);
  out.setSequence(id.sequence);
}

OfferId Decode(link::Id::Reader in) {
  return {in.getIncarnation(), in.getSequence()};
}

void Encode(const Hash128& hash, link::Digest::Builder out) {
  out.setHigh(hash.high);
  out.setLow(hash.low);
}

Hash128 Decode(link::Digest::Reader in) {
  return {in.getHigh(), in.getLow()};
}

void Encode(const OwnerLoad& load, link::Load::Builder out) {
  out.setSlots(Saturated<std::uint16_t>(load.slots));
  out.setInUse(Saturated<std::uint16_t>(load.in_use));
  out.setWaiting(Saturated<std::uint16_t>(load.waiting));
  out.setFailurePermille(
      Saturated<std::uint16_t>(load.failure_probability * kPermille));
  out.setExpectedWaitMs(Saturated<std::uint32_t>(load.expected_wait.count()));
  out.setIsLeaving(load.is_leaving);
  out.setLeavingStartedAtMs(load.leaving_started_at.count());
  out.setIsServiceInTrouble(load.is_service_in_trouble);
}

OwnerLoad Decode(link::Load::Reader in) {
  OwnerLoad load;
  load.slots = in.getSlots();
  load.in_use = in.getInUse();
  load.waiting = in.getWaiting();
  load.failure_probability = in.getFailurePermille() / kPermille;
  load.expected_wait = milliseconds(in.getExpectedWaitMs());
  load.is_leaving = in.getIsLeaving();
  load.leaving_started_at = milliseconds(in.getLeavingStartedAtMs());
  load.is_service_in_trouble = in.getIsServiceInTrouble();
  return load;
}

void Encode(const std::vector<HttpHeader>& headers,
            capnp::List<link::Field>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setName(headers[i].name);
    out[i].setValue(headers[i].value);
  }
}

std::vector<HttpHeader> Decode(capnp::List<link::Field>::Reader in) {
  std::vector<HttpHeader> headers;
  headers.reserve(in.size());
  for (const auto field : in) {
    headers.push_back(
        {ToStdString(field.getName()), ToStdString(field.getValue())});
  }
  return headers;
}

void Encode(const Hello& hello, link::Message::Builder out) {
  auto builder = out.initHello();
  builder.setIncarnation(hello.incarnation);
  builder.setConfigVersion(hello.config_version);
}

Hello Decode(link::Hello::Reader in) {
  return {in.getIncarnation(), in.getConfigVersion()};
}

void Encode(const Offer& offer, link::Message::Builder out) {
  auto builder = out.initOffer();
  Encode(offer.id, builder.initId());
  builder.setServer(offer.server);
  builder.setRoute(offer.route);
  builder.setPriority(offer.priority);
  builder.setIsIdempotent(offer.is_idempotent);
  builder.setMayWait(offer.may_wait);
  builder.setCopies(Saturated<std::uint8_t>(offer.copies));
  builder.setPatienceMs(Saturated<std::uint32_t>(offer.max_wait.count()));
  builder.setIsLate(offer.is_late);
  builder.setIsRepeat(offer.is_repeat);
  builder.setAcceptsSuspect(offer.accepts_suspect);
  builder.setMayTest(offer.may_test);
  builder.setTimeLeftMs(Saturated<std::uint32_t>(offer.time_left.count()));
  Encode(offer.fingerprint, builder.initFingerprint());
  builder.setConfigVersion(offer.config_version);
  builder.setCustomer(offer.customer);
  builder.setIsCall(offer.is_call);
  builder.setIsContinued(offer.is_continued);
  builder.setIsServiceInTrouble(offer.is_service_in_trouble);
  builder.setRecentlyServed(static_cast<float>(offer.tally.served));
  builder.setRecentlyUnserved(static_cast<float>(offer.tally.unserved));
}

Offer Decode(link::Offer::Reader in) {
  Offer offer;
  offer.id = Decode(in.getId());
  offer.server = ToStdString(in.getServer());
  offer.route = ToStdString(in.getRoute());
  offer.priority = in.getPriority();
  offer.is_idempotent = in.getIsIdempotent();
  offer.may_wait = in.getMayWait();
  offer.copies = in.getCopies();
  offer.max_wait = milliseconds(in.getPatienceMs());
  offer.is_late = in.getIsLate();
  offer.is_repeat = in.getIsRepeat();
  offer.accepts_suspect = in.getAcceptsSuspect();
  offer.may_test = in.getMayTest();
  offer.time_left = milliseconds(in.getTimeLeftMs());
  offer.fingerprint = Decode(in.getFingerprint());
  offer.config_version = in.getConfigVersion();
  offer.customer = in.getCustomer();
  offer.is_call = in.getIsCall();
  offer.is_continued = in.getIsContinued();
  offer.is_service_in_trouble = in.getIsServiceInTrouble();
  offer.tally = {in.getRecentlyServed(), in.getRecentlyUnserved()};
  return offer;
}

void Encode(const Grant& grant, link::Message::Builder out) {
  auto builder = out.initGrant();
  Encode(grant.id, builder.initId());
  Encode(grant.load, builder.initLoad());
  builder.setConfigVersion(grant.config_version);
}

Grant Decode(link::Grant::Reader in) {
  return {Decode(in.getId()), Decode(in.getLoad()), in.getConfigVersion()};
}

void Encode(const Deny& deny, link::Message::Builder out) {
  auto builder = out.initDeny();
  Encode(deny.id, builder.initId());
  builder.setReason(static_cast<std::uint8_t>(deny.reason));
  Encode(deny.load, builder.initLoad());
  builder.setConfigVersion(deny.config_version);
}

Deny Decode(link::Deny::Reader in) {
  return {Decode(in.getId()),
          CheckedEnum(in.getReason(), DenyReason::kRepeatLimit),
          Decode(in.getLoad()), in.getConfigVersion()};
}

void Encode(const Withdraw& withdraw, link::Message::Builder out) {
  Encode(withdraw.id, out.initWithdraw());
}

void Encode(const CancelRun& cancel, link::Message::Builder out) {
  Encode(cancel.id, out.initCancelRun());
}

template <typename Builder>
void EncodeBody(const Body& body, BodyMode mode, Builder builder) {
  if (mode == BodyMode::kShared && body.size() >= kMinSharedBytes) {
    builder.adoptBody(capnp::Orphanage::getForMessageContaining(builder)
                          .referenceExternalData(ToData(body)));
  } else {
    builder.setBody(ToData(body));
  }
}

template <typename Reader>
void FindBody(Reader in, BodyPlace* place) {
  if (!place->is_dropped) {
    const auto data = in.getBody();
    place->begin = data.begin();
    place->size = data.size();
  }
}

void Encode(const Run& run, BodyMode mode, link::Message::Builder out) {
  auto builder = out.initRun();
  Encode(run.id, builder.initId());
  builder.setRequestId(run.request_id);
  builder.setMethod(run.request.method);
  builder.setTarget(run.request.target);
  Encode(run.request.headers, builder.initHeaders(Saturated<std::uint32_t>(
                                  run.request.headers.size())));
  builder.setTimeLeftMs(Saturated<std::uint32_t>(run.time_left.count()));
  builder.setIsRepeat(run.is_repeat);
  builder.setCustomer(run.customer);
  EncodeBody(run.request.body, mode, builder);
}

Run Decode(link::Run::Reader in, BodyPlace* body) {
  Run run;
  run.id = Decode(in.getId());
  run.request_id = ToStdString(in.getRequestId());
  run.request.method = ToStdString(in.getMethod());
  run.request.target = ToStdString(in.getTarget());
  run.request.headers = Decode(in.getHeaders());
  FindBody(in, body);
  run.time_left = milliseconds(in.getTimeLeftMs());
  run.is_repeat = in.getIsRepeat();
  run.customer = ToStdString(in.getCustomer());
  return run;
}

void Encode(const RunResult& result,
            BodyMode mode,
            link::Message::Builder out) {
  auto builder = out.initRunResult();
  Encode(result.id, builder.initId());
  builder.setEnd(static_cast<std::uint8_t>(result.end));
  builder.setReason(static_cast<std::uint8_t>(result.reason));
  builder.setHasArrived(result.has_arrived);
  builder.setStatus(Saturated<std::uint16_t>(result.response.status));
  Encode(result.response.headers, builder.initHeaders(Saturated<std::uint32_t>(
                                      result.response.headers.size())));
  builder.setWorkTimeMs(Saturated<std::uint32_t>(result.work_time.count()));
  Encode(result.load, builder.initLoad());
  builder.setConfigVersion(result.config_version);
  EncodeBody(result.response.body, mode, builder);
}

RunResult Decode(link::RunResult::Reader in, BodyPlace* body) {
  RunResult result;
  result.id = Decode(in.getId());
  result.end = CheckedEnum(in.getEnd(), RunEnd::kUnknown);
  result.reason = CheckedEnum(in.getReason(), Reason::kOverLimit);
  result.has_arrived = in.getHasArrived();
  result.response.status = in.getStatus();
  result.response.headers = Decode(in.getHeaders());
  FindBody(in, body);
  result.work_time = milliseconds(in.getWorkTimeMs());
  result.load = Decode(in.getLoad());
  result.config_version = in.getConfigVersion();
  return result;
}

void Encode(const Resume& resume, link::Message::Builder out) {
  auto ids = out.initResume(Saturated<std::uint32_t>(resume.ids.size()));
  for (unsigned i = 0; i < ids.size(); ++i) {
    Encode(resume.ids[i], ids[i]);
  }
}

Resume Decode(capnp::List<link::Id>::Reader in) {
  Resume resume;
  for (const auto id : in) {
    resume.ids.push_back(Decode(id));
  }
  return resume;
}

void Encode(const ConfigWanted& /*wanted*/, link::Message::Builder out) {
  out.setConfigWanted();
}

void Encode(const ConfigText& config, link::Message::Builder out) {
  auto builder = out.initConfigText();
  builder.setVersion(config.version);
  builder.setText(ToData(config.text));
}

void Encode(const CrashNotice& notice, link::Message::Builder out) {
  auto builder = out.initCrashNotice();
  builder.setService(notice.service);
  Encode(notice.fingerprint, builder.initFingerprint());
  builder.setAlone(notice.alone);
}

void Encode(const Ping& /*ping*/, link::Message::Builder out) {
  out.setPing();
}

void Encode(const Pong& /*pong*/, link::Message::Builder out) {
  out.setPong();
}

void Encode(const ConfigConfirmed& confirmed, link::Message::Builder out) {
  auto builder = out.initConfigConfirmed();
  builder.setVersion(confirmed.version);
  builder.setAgeMs(Saturated<std::uint32_t>(confirmed.age.count()));
  builder.setEra(confirmed.revision.era);
  builder.setRevision(confirmed.revision.number);
  if (confirmed.asked_at) {
    builder.setAskedAtMs(Saturated<std::uint64_t>(confirmed.asked_at->count()));
  }
}

ConfigConfirmed Decode(link::ConfigConfirmed::Reader in) {
  ConfigConfirmed confirmed{in.getVersion(),
                            milliseconds(in.getAgeMs()),
                            {in.getEra(), in.getRevision()},
                            std::nullopt};
  if (in.getAskedAtMs() > 0) {
    confirmed.asked_at = milliseconds(in.getAskedAtMs());
  }
  return confirmed;
}

void Encode(const ConfirmationWanted& wanted, link::Message::Builder out) {
  out.setConfirmationWanted(Saturated<std::uint64_t>(wanted.asked_at.count()));
}

void Encode(const ServerLeaving& leaving, link::Message::Builder out) {
  out.initServerLeaving().setServer(leaving.server);
}

void Encode(const CreditRequest& request, link::Message::Builder out) {
  auto builder = out.initCreditRequest();
  builder.setLimit(request.limit);
  builder.setSequence(request.sequence);
  builder.setWaiting(request.waiting);
  builder.setAdvance(request.advance);
  builder.setConfigVersion(request.config_version);
}

CreditRequest Decode(link::CreditRequest::Reader in) {
  return {ToStdString(in.getLimit()), in.getSequence(), in.getWaiting(),
          in.getAdvance(), in.getConfigVersion()};
}

void Encode(const CreditReply& reply, link::Message::Builder out) {
  auto builder = out.initCreditReply();
  builder.setLimit(reply.limit);
  builder.setSequence(reply.sequence);
  builder.setGranted(reply.granted);
  builder.setRetryAfterMs(Saturated<std::uint32_t>(reply.retry_after.count()));
  builder.setIsDeclined(reply.is_declined);
  builder.setConfigVersion(reply.config_version);
}

CreditReply Decode(link::CreditReply::Reader in) {
  return {ToStdString(in.getLimit()),
          in.getSequence(),
          in.getGranted(),
          milliseconds(in.getRetryAfterMs()),
          in.getIsDeclined(),
          in.getConfigVersion()};
}

std::optional<LinkMessage> Decode(link::Message::Reader in, BodyPlace* body) {
  switch (in.which()) {
    case link::Message::HELLO:
      return Decode(in.getHello());
    case link::Message::OFFER:
      return Decode(in.getOffer());
    case link::Message::GRANT:
      return Decode(in.getGrant());
    case link::Message::DENY:
      return Decode(in.getDeny());
    case link::Message::WITHDRAW:
      return Withdraw{Decode(in.getWithdraw())};
    case link::Message::RUN:
      return Decode(in.getRun(), body);
    case link::Message::RUN_RESULT:
      return Decode(in.getRunResult(), body);
    case link::Message::CANCEL_RUN:
      return CancelRun{Decode(in.getCancelRun())};
    case link::Message::RESUME:
      return Decode(in.getResume());
    case link::Message::CONFIG_WANTED:
      return ConfigWanted{};
    case link::Message::CONFIG_TEXT:
      return ConfigText{in.getConfigText().getVersion(),
                        ToStdString(in.getConfigText().getText())};
    case link::Message::CRASH_NOTICE: {
      const auto notice = in.getCrashNotice();
      return CrashNotice{ToStdString(notice.getService()),
                         Decode(notice.getFingerprint()), notice.getAlone()};
    }
    case link::Message::PING:
      return Ping{};
    case link::Message::PONG:
      return Pong{};
    case link::Message::CONFIG_CONFIRMED:
      return Decode(in.getConfigConfirmed());
    case link::Message::CONFIRMATION_WANTED:
      return ConfirmationWanted{milliseconds(in.getConfirmationWanted())};
    case link::Message::SERVER_LEAVING:
      return ServerLeaving{ToStdString(in.getServerLeaving().getServer())};
    case link::Message::CREDIT_REQUEST:
      return Decode(in.getCreditRequest());
    case link::Message::CREDIT_REPLY:
      return Decode(in.getCreditReply());
  }
  return std::nullopt;
}

// The large body of a message, which is shared; null when there is none.
const Body* FindSharedBody(const LinkMessage& message) {
  const Body* body = nullptr;
  if (const Run* run = std::get_if<Run>(&message)) {
    body = &run->request.body;
  } else if (const auto* result = std::get_if<RunResult>(&message)) {
    body = &result->response.body;
  }
  return body != nullptr && body->size() >= kMinSharedBytes ? body : nullptr;
}

void SetBody(LinkMessage* message, Body body) {
  if (Run* run = std::get_if<Run>(message)) {
    run->request.body = std::move(body);
  } else if (auto* result = std::get_if<RunResult>(message)) {
    result->response.body = std::move(body);
  }
}

void EncodeInto(const LinkMessage& message,
                BodyMode mode,
                capnp::MessageBuilder& builder) {
  const auto root = builder.initRoot<link::Message>();
  std::visit(
      [&root, mode](const auto& each) {
        if constexpr (requires { Encode(each, mode, root); }) {
          Encode(each, mode, root);
        } else {
          Encode(each, root);
        }
      },
      message);
}

void AppendLength(std::size_t length, std::string* out) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>((length >> shift) & 0xff));
  }
}

// The table of segment sizes that precedes the segments.
std::string MakeTable(
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  std::string table;
  const auto append = [&table](std::size_t number) {
    for (int shift = 0; shift < 32; shift += 8) {
      table.push_back(static_cast<char>((number >> shift) & 0xff));
    }
  };
  append(segments.size() - 1);
  for (const auto& segment : segments) {
    append(segment.size());
  }
  table.resize((table.size() + kWordBytes - 1) / kWordBytes * kWordBytes);
  return table;
}

std::string ToFramed(kj::ArrayPtr<kj::byte> bytes, std::size_t body_bytes) {
  std::string framed;
  framed.reserve(kLinkLengthBytes + bytes.size());
  AppendLength(bytes.size() + body_bytes, &framed);
  framed.append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
  return framed;
}

}  // namespace

std::size_t LinkFrame::PackedSize(std::size_t body_bytes) {
  const std::size_t words = body_bytes / kWordBytes;
  const std::size_t runs = (words + kRunWords - 1) / kRunWords;
  const bool has_tail = body_bytes % kWordBytes > 0;
  return words * kWordBytes + 2 * runs + (has_tail ? kWordBytes + 2 : 0);
}

bool LinkFrame::AppendNextPart(std::string* out, std::size_t max_bytes) {
  const char* data = body_.data();
  const std::size_t size = body_.size();
  const std::size_t end = out->size() + max_bytes;
  while (packed_bytes_ < size && out->size() < end) {
    const std::size_t words =
        std::min((size - packed_bytes_) / kWordBytes, kRunWords);
    out->push_back(static_cast<char>(kFullTag));
    if (words == 0) {
      // The last word, filled with zeros.
      out->append(data + packed_bytes_, size - packed_bytes_);
      out->append(kWordBytes - (size - packed_bytes_), '\0');
      out->push_back('\0');
      packed_bytes_ = size;
      break;
    }
    out->append(data + packed_bytes_, kWordBytes);
    out->push_back(static_cast<char>(words - 1));
    out->append(data + packed_bytes_ + kWordBytes, (words - 1) * kWordBytes);
    packed_bytes_ += words * kWordBytes;
  }
  return packed_bytes_ < size;
}

LinkFrame EncodeLinkFrame(const LinkMessage& message) {
  if (const Body* body = FindSharedBody(message)) {
    capnp::MallocMessageBuilder builder(kFirstSegmentWords);
    EncodeInto(message, BodyMode::kShared, builder);
    const auto segments = builder.getSegmentsForOutput();
    const auto* begin = reinterpret_cast<const char*>(segments.back().begin());
    if (begin == body->data()) {
      const std::string table = MakeTable(segments);
      kj::VectorOutputStream out;
      capnp::_::PackedOutputStream packed(out);
      packed.write(table.data(), table.size());
      for (const auto& segment : segments.slice(0, segments.size() - 1)) {
        packed.write(segment.begin(), segment.size() * kWordBytes);
      }
      return {ToFramed(out.getArray(), LinkFrame::PackedSize(body->size())),
              *body};
    }
    // The head was so large that a part of it follows the body.
  }
  capnp::MallocMessageBuilder builder;
  EncodeInto(message, BodyMode::kCopied, builder);
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, builder);
  return {ToFramed(out.getArray(), 0), Body()};
}

std::string EncodeLinkMessage(const LinkMessage& message) {
  LinkFrame frame = EncodeLinkFrame(message);
  std::string framed = frame.head();
  frame.AppendNextPart(&framed, frame.size());
  return framed;
}

std::size_t ReadLinkLength(const unsigned char* bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLinkLengthBytes; ++i) {
    length = length << 8 | bytes[i];
  }
  return length;
}

std::optional<LinkMessage> DecodeLinkMessage(
    std::span<const unsigned char> bytes) {
  const MemoryAccount account(2 * kMaxLinkMessageBytes);
  LinkUnpacker unpacker(bytes.size(), account);
  if (unpacker.Unpack(&bytes) != LinkUnpacker::Result::kDone) {
    return std::nullopt;
  }
  auto decoded = unpacker.Take();
  if (!decoded) {
    return std::nullopt;
  }
  return std::move(decoded->message);
}

LinkUnpacker::LinkUnpacker(std::size_t length, const MemoryAccount& account)
    : account_(account),
      share_(account, MemoryAccount::Stage::kLinkInput),
      left_(length) {}

void LinkUnpacker::Append(const unsigned char* bytes, std::size_t count) {
  if (!has_table() || position_ < kept_bytes_) {
    const std::size_t most =
        has_table() ? std::min(count, kept_bytes_ - position_) : count;
    text_.append(reinterpret_cast<const char*>(bytes), most);
  }
  position_ += count;
}

void LinkUnpacker::AppendZeros(std::size_t count) {
  if (!has_table() || position_ < kept_bytes_) {
    const std::size_t most =
        has_table() ? std::min(count, kept_bytes_ - position_) : count;
    text_.append(most, '\0');
  }
  position_ += count;
}

bool LinkUnpacker::ReadTable() {
  const auto number_at = [this](std::size_t at) {
    std::uint32_t number = 0;
    for (int i = 3; i >= 0; --i) {
      number = number << 8 | static_cast<unsigned char>(text_[at + i]);
    }
    return number;
  };
  constexpr std::size_t kNumberBytes = 4;
  if (table_bytes_ == 0) {
    if (text_.size() < kWordBytes) {
      return true;
    }
    const std::size_t count = std::size_t{number_at(0)} + 1;
    if (count > kMaxSegments) {
      return false;
    }
    table_bytes_ =
        (kNumberBytes * (count + 1) + kWordBytes - 1) / kWordBytes * kWordBytes;
    segment_bytes_.resize(count);
  }
  if (text_.size() < table_bytes_) {
    return true;
  }
  std::size_t total = table_bytes_;
  for (std::size_t i = 0; i < segment_bytes_.size(); ++i) {
    segment_bytes_[i] = number_at(kNumberBytes * (i + 1)) * kWordBytes;
    total += segment_bytes_[i];
  }
  if (total > kMaxLinkMessageBytes || position_ > total) {
    return false;
  }
  total_bytes_ = total;
  kept_bytes_ = total;
  return true;
}

LinkUnpacker::State LinkUnpacker::StateAfterWord() const {
  if (tag_ == 0) {
    return State::kZeroCount;
  }
  return tag_ == kFullTag ? State::kLiteralCount : State::kTag;
}

LinkUnpacker::Result LinkUnpacker::Unpack(
    std::span<const unsigned char>* bytes) {
  std::span<const unsigned char> in =
      bytes->first(std::min(bytes->size(), left_));
  const std::size_t given = in.size();
  const auto finish = [&](Result result) {
    *bytes = bytes->subspan(given - in.size());
    left_ -= given - in.size();
    return result;
  };
  while (true) {
    if (has_table() && !has_room_) {
      if (!share_.TrySetSize(total_bytes_)) {
        return finish(Result::kNeedsRoom);
      }
      has_room_ = true;
      text_.reserve(total_bytes_);
    }
    if (has_table() && position_ > total_bytes_) {
      return finish(Result::kMalformed);
    }
    if (in.empty()) {
      break;
    }
    if (literal_bytes_ > 0) {
      // Word by word until the table is known, which bounds the rest.
      const std::size_t most =
          has_table() ? literal_bytes_ : kWordBytes - position_ % kWordBytes;
      const std::size_t count = std::min({most, literal_bytes_, in.size()});
      Append(in.data(), count);
      in = in.subspan(count);
      literal_bytes_ -= count;
    } else if (state_ == State::kTag && in.size() > kWordBytes) {
      // The whole word has arrived, as in nearly all messages.
      tag_ = in.front();
      std::array<unsigned char, kWordBytes> word{};
      std::size_t used = 1;
      for (std::size_t i = 0; i < kWordBytes; ++i) {
        if ((tag_ >> i & 1U) != 0) {
          word[i] = in[used++];
        }
      }
      Append(word.data(), kWordBytes);
      in = in.subspan(used);
      state_ = StateAfterWord();
    } else {
      const unsigned char byte = in.front();
      in = in.subspan(1);
      switch (state_) {
        case State::kTag:
          tag_ = byte;
          byte_ = 0;
          state_ = State::kWord;
          break;
        case State::kWord:
          Append(&byte, 1);
          ++byte_;
          break;
        case State::kZeroCount:
          AppendZeros(byte * kWordBytes);
          state_ = State::kTag;
          break;
        case State::kLiteralCount:
          literal_bytes_ = byte * kWordBytes;
          state_ = State::kTag;
          break;
      }
      if (state_ == State::kWord) {
        while (byte_ < kWordBytes && (tag_ >> byte_ & 1U) == 0) {
          AppendZeros(1);
          ++byte_;
        }
        if (byte_ == kWordBytes) {
          state_ = StateAfterWord();
        }
      }
    }
    if (!has_table() && position_ % kWordBytes == 0 && !ReadTable()) {
      return finish(Result::kMalformed);
    }
  }
  if (left_ > given) {
    return finish(Result::kNeedsBytes);
  }
  const bool is_whole = has_table() && position_ == total_bytes_ &&
                        state_ == State::kTag && literal_bytes_ == 0;
  return finish(is_whole ? Result::kDone : Result::kMalformed);
}

void LinkUnpacker::DropBody() {
  has_room_ = true;
  if (segment_bytes_.size() > 1) {
    kept_bytes_ = total_bytes_ - segment_bytes_.back();
  }
  // What is left is a head, or has no body that could be dropped.
  share_.SetSize(kept_bytes_);
  text_.reserve(kept_bytes_);
}

std::optional<LinkUnpacker::Message> LinkUnpacker::Take() {
  Message decoded;
  decoded.is_body_dropped = kept_bytes_ < total_bytes_;
  BodyPlace place;
  place.is_dropped = decoded.is_body_dropped;
  try {
    std::vector<kj::ArrayPtr<const capnp::word>> segments;
    std::size_t offset = table_bytes_;
    for (const std::size_t bytes : segment_bytes_) {
      // A string of this size is on the heap, which is aligned for words.
      const auto* begin =
          reinterpret_cast<const capnp::word*>(text_.data() + offset);
      const bool is_kept = offset + bytes <= kept_bytes_;
      segments.emplace_back(begin, is_kept ? bytes / kWordBytes : 0);
      offset += bytes;
    }
    capnp::ReaderOptions options;
    // The message's size is bounded already.
    options.traversalLimitInWords = std::numeric_limits<std::uint32_t>::max();
    capnp::SegmentArrayMessageReader reader(
        kj::arrayPtr(segments.data(), segments.size()), options);
    auto message = Decode(reader.getRoot<link::Message>(), &place);
    if (!message) {
      return std::nullopt;
    }
    decoded.message = std::move(*message);
  } catch (const kj::Exception&) {
    return std::nullopt;
  } catch (const OutOfRange&) {
    return std::nullopt;
  }
  if (place.size == 0) {
    return decoded;
  }
  if (place.size < kMinSharedBytes) {
    MemoryAccount::Share share(account_, MemoryAccount::Stage::kLinkInput);
    SetBody(
        &decoded.message,
        MemoryAccount::MakeBody(
            std::string(reinterpret_cast<const char*>(place.begin), place.size),
            std::move(share)));
    return decoded;
  }
  // The body stays where it is, without what precedes and follows it.
  text_.erase(
      0, static_cast<std::size_t>(reinterpret_cast<const char*>(place.begin) -
                                  text_.data()));
  text_.resize(place.size);
  SetBody(&decoded.message,
          MemoryAccount::MakeBody(std::move(text_), std::move(share_)));
  return decoded;
}

}  // namespace vanillafall
