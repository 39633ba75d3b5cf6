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
  7: required string dataCentre
  8: required bool readsLog
}

// Asks a host that reads the shared log for the records of a topic from an offset on.
struct TopicQuestion {
  1: required i64 number
  2: required string topic
  3: required i64 fromOffset
}

// The records that were asked for, and how long ago the read was sent after which there were no others. If not all of them
// are in the answer, the next question asks for the rest.
struct TopicAnswer {
  1: required i64 number
  2: required bool known
  3: required bool complete
  4: required i64 ageMillis
  5: required list<binary> records
}

// The requests that began in one window at one start of a host so far.
struct UsageCounted {
  1: required string incarnation
  2: required i64 window
  3: required map<string, i64> byCustomer
}

// Counts of several hosts and windows, as one host hands them to another and as they are kept in the shared log.
struct UsageBatch {
  1: required list<UsageCounted> counts
}

// What one host sends to another in a datagram.
union HostMessage {
  1: HostReport report
  2: TopicQuestion question
  3: TopicAnswer answer
  4: UsageBatch usage
}

// Where a host takes reports.
struct HostAddress {
  1: required string address
  2: required i32 port
  3: required i64 startedAtMillis
}


// The figures of a window, fixed before they are reported.
struct UsageDecided {
  1: required i64 window
  2: required map<string, i64> byCustomer
}
