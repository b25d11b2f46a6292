@0xb5c3f0f2a1d94e77;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanillafall::wire");

# The protocol between daemons. The fields are documented at the C++ structs of
# the same names in message/peer.h. The suffix of a duration gives its unit.

struct Hash { high @0 :UInt64; low @1 :UInt64; }
struct Header { name @0 :Text; value @1 :Text; }

struct LoadReport {
  slots @0 :UInt32;
  inUse @1 :UInt32;
  waiting @2 :UInt32;
  state @3 :UInt8;
}

struct RunRequest {
  service @0 :Text;
  backendServer @1 :Text;
  tenant @2 :Text;
  requestClass @3 :Text;
  method @4 :Text;
  target @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  idempotent @8 :Bool;
  hasKey @9 :Bool;
  key @10 :Hash;
  fingerprint @11 :Hash;
  timeLeftMs @12 :Int64;
  serviceNumber @13 :UInt64;
  keyTimeMs @14 :Int64;
  isCrashSuspect @15 :Bool;
}

struct RunReply {
  outcome @0 :UInt8;
  reason @1 :UInt8;
  status @2 :Int32;
  headers @3 :List(Header);
  body @4 :Data;
  load @5 :LoadReport;
}

struct AttemptId { incarnation @0 :UInt64; sequence @1 :UInt64; }

struct VoteRequest {
  service @0 :Text;
  key @1 :Hash;
  fingerprint @2 :Hash;
  attempt @3 :AttemptId;
  owner @4 :Text;
  serviceNumber @5 :UInt64;
  keyTimeMs @6 :Int64;
}

struct VoteReply {
  result @0 :UInt8;
  holder @1 :AttemptId;
  holderOwner @2 :Text;
  isSettled @3 :Bool;
  settled @4 :UInt8;
  serviceNumber @5 :UInt64;
  serviceNumberAgeMs @6 :Int64;
}

struct SettleNotice {
  service @0 :Text;
  key @1 :Hash;
  attempt @2 :AttemptId;
  outcome @3 :UInt8;
}

struct RecallRequest {
  service @0 :Text;
  key @1 :Hash;
  attempt @2 :AttemptId;
}

struct RecallReply { hasReply @0 :Bool; reply @1 :RunReply; }

struct ClassLatency {
  requestClass @0 :Text;
  medianUs @1 :Int64;
  samples @2 :UInt32;
}

struct HealthDigest {
  samples @0 :UInt32;
  failureRatio @1 :Float64;
  latencies @2 :List(ClassLatency);
}

struct LeaseRequest {
  service @0 :Text;
  ejector @1 :Text;
  backendServers @2 :List(Text);
  durationMs @3 :Int64;
}

struct LeaseGrant {
  backendServer @0 :Text;
  granted @1 :Bool;
  digest @2 :HealthDigest;
}

struct LeaseReply { grants @0 :List(LeaseGrant); }

struct CrashNotice {
  service @0 :Text;
  fingerprint @1 :Hash;
  alone @2 :Bool;
}

struct ConfigVersion { number @0 :UInt64; digest @1 :Hash; }

struct ConfigProbe {
  version @0 :ConfigVersion;
  sender @1 :Text;
  incarnation @2 :UInt64;
  dataCentre @3 :Text;
}

struct ConfigProbeReply {
  version @0 :ConfigVersion;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  isPlatformReached @3 :Bool;
}

struct DocumentRequest { name @0 :Text; digest @1 :Hash; }
struct DocumentReply { hasBody @0 :Bool; body @1 :Data; }

struct PeerRequest {
  union {
    run @0 :RunRequest;
    vote @1 :VoteRequest;
    settle @2 :SettleNotice;
    recall @3 :RecallRequest;
    lease @4 :LeaseRequest;
    crash @5 :CrashNotice;
    configProbe @6 :ConfigProbe;
    document @7 :DocumentRequest;
  }
}

struct PeerReply {
  union {
    run @0 :RunReply;
    vote @1 :VoteReply;
    settle @2 :Void;
    recall @3 :RecallReply;
    lease @4 :LeaseReply;
    crash @5 :Void;
    configProbe @6 :ConfigProbeReply;
    document @7 :DocumentReply;
  }
}

interface Peer {
  ask @0 (request :PeerRequest) -> (reply :PeerReply);
}
