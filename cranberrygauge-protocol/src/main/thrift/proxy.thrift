// What the hosts of the proxy tell each other and keep in the shared log. Regenerate: thrift --gen java:private_members,generated_annotations=suppress -out src/main/java src/main/thrift/proxy.thrift
namespace java org.cranberrygauge.protocol.generated

// The requests that one host has in flight at one backend server.
struct BackendWork {
  1: required i32 running
  2: required i64 unreadTokens
  3: required i64 heldTokens
  4: required i32 shortRunning
}

// How often a request has crashed the backend server that ran it, as one host saw it.
struct CrashCount {
  1: required i64 fingerprint
  2: required i32 crashes
}

// A prompt part that one host has sent to an engine, which caches it.
struct PartPlaced {
  1: required string incarnation
  2: required string part
  3: required i64 tokens
}

// What one host says of itself to the others, several times a second.
struct HostReport {
  1: required string host
  2: required i64 startedAtMillis
  3: required i64 sequence
  4: required map<string, BackendWork> work
  5: required list<CrashCount> crashes
  6: required list<PartPlaced> placed
  7: required bool takesRequests
  8: required i64 sentAtWallMillis
}

// Where a host takes reports.
struct HostAddress {
  1: required string address
  2: required i32 port
  3: required i64 startedAtMillis
}

// The requests that began in one window at one start of a host, up to the time of the record.
struct UsageCounted {
  1: required string incarnation
  2: required i64 window
  3: required map<string, i64> byCustomer
}

// The figures of a window, fixed before they are reported.
struct UsageDecided {
  1: required i64 window
  2: required map<string, i64> byCustomer
}
