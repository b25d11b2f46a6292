@0xc1d2a7780e5b3f19;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanillafall::link");

# Messages between entries and owners. The structs in dispatch/link_message.h
# explain the fields; proxy/link_codec.cc converts between the two. The suffix
# of a duration names its unit.

struct Id { incarnation @0 :UInt64; sequence @1 :UInt64; }
struct Digest { high @0 :UInt64; low @1 :UInt64; }
struct Field { name @0 :Text; value @1 :Text; }

struct Load {
  slots @0 :UInt16;
  inUse @1 :UInt16;
  waiting @2 :UInt16;
  failurePermille @3 :UInt16;
  expectedWaitMs @4 :UInt32;
  isLeaving @5 :Bool;
  leavingStartedAtMs @6 :Int64;
  isServiceInTrouble @7 :Bool;
}

struct Hello { incarnation @0 :UInt64; configVersion @1 :UInt64; }

struct Offer {
  id @0 :Id;
  server @1 :Text;
  route @2 :Text;
  priority @3 :UInt32;
  isIdempotent @4 :Bool;
  mayWait @5 :Bool;
  acceptsSuspect @6 :Bool;
  timeLeftMs @7 :UInt32;
  fingerprint @8 :Digest;
  configVersion @9 :UInt64;
  copies @10 :UInt8;
  patienceMs @11 :UInt32;
  isLate @12 :Bool;
  mayTest @13 :Bool;
  isRepeat @14 :Bool;
  customer @15 :UInt64;
  isCall @16 :Bool;
  isContinued @17 :Bool;
  recentlyServed @18 :Float32;
  recentlyUnserved @19 :Float32;
  isServiceInTrouble @20 :Bool;
}

struct Grant { id @0 :Id; load @1 :Load; configVersion @2 :UInt64; }

struct Deny {
  id @0 :Id;
  reason @1 :UInt8;
  load @2 :Load;
  configVersion @3 :UInt64;
}

struct Run {
  id @0 :Id;
  requestId @1 :Text;
  method @2 :Text;
  target @3 :Text;
  headers @4 :List(Field);
  body @5 :Data;
  timeLeftMs @6 :UInt32;
  isRepeat @7 :Bool;
  customer @8 :Text;
}

struct RunResult {
  id @0 :Id;
  end @1 :UInt8;
  reason @2 :UInt8;
  hasArrived @3 :Bool;
  status @4 :UInt16;
  headers @5 :List(Field);
  body @6 :Data;
  workTimeMs @7 :UInt32;
  load @8 :Load;
  configVersion @9 :UInt64;
}

struct ConfigText { version @0 :UInt64; text @1 :Data; }

struct ConfigConfirmed {
  version @0 :UInt64;
  ageMs @1 :UInt32;
  era @2 :UInt64;
  revision @3 :UInt64;
  # 0 when nobody asked.
  askedAtMs @4 :UInt64;
}

struct ServerLeaving { server @0 :Text; }

struct CreditRequest {
  limit @0 :Text;
  sequence @1 :UInt64;
  waiting @2 :UInt32;
  advance @3 :UInt32;
  configVersion @4 :UInt64;
}

struct CreditReply {
  limit @0 :Text;
  sequence @1 :UInt64;
  granted @2 :UInt32;
  retryAfterMs @3 :UInt32;
  isDeclined @4 :Bool;
  configVersion @5 :UInt64;
}

struct CrashNotice { service @0 :Text; fingerprint @1 :Digest; alone @2 :Bool; }

struct Message {
  union {
    hello @0 :Hello;
    offer @1 :Offer;
    grant @2 :Grant;
    deny @3 :Deny;
    withdraw @4 :Id;
    run @5 :Run;
    runResult @6 :RunResult;
    cancelRun @7 :Id;
    resume @8 :List(Id);
    configWanted @9 :Void;
    configText @10 :ConfigText;
    crashNotice @11 :CrashNotice;
    ping @12 :Void;
    pong @13 :Void;
    configConfirmed @14 :ConfigConfirmed;
    serverLeaving @15 :ServerLeaving;
    creditRequest @16 :CreditRequest;
    creditReply @17 :CreditReply;
    # The time of the question, in milliseconds of the sender's clock.
    confirmationWanted @18 :UInt64;
  }
}
