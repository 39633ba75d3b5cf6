// The messages exchanged by the hosts of the proxy and the records of the shared log. Regenerate: thrift --gen java:private_members,generated_annotations=suppress -out src/main/java src/main/thrift/proxy.thrift
namespace java org.cranberrygauge.protocol.generated

// The requests that one host has in flight at one backend server.
struct BackendWork {
  1: required i32 running
  2: required i64 unreadTokens
  3: required i64 heldTokens
  4: required i32 shortRunning
}

// Unused; part of the reports of earlier releases.
struct CrashCount {
  1: required i64 fingerprint
  2: required i32 crashes
}

// A part of a prompt that one host has sent to an engine, which caches it.
struct PartPlaced {
  1: required string incarnation
  2: required string part
  3: required i64 tokens
}

// What a backend server stated of itself: that it leaves, and its limit on the requests of all hosts together. The age is
// set if it ever stated a limit; without a rate it takes any by now.
struct BackendStated {
  1: required string incarnation
  2: required bool leaving
  3: optional i64 limitAgeMillis
  4: optional double perSecond
}

// The uncached prompt tokens of recent requests with short and with long prompts, older ones counting less.
struct PrefillWork {
  1: required i64 shortTokens
  2: required i64 longTokens
}

// The periodic status report of a host, sent to the others several times per second. The list of crashes is always empty;
// hosts of earlier releases require it.
struct HostReport {
  1: required string host
  2: required i64 startedAtMillis
  3: required i64 sequence
  4: required map<string, BackendWork> work
  5: required list<CrashCount> crashes
  6: required list<PartPlaced> placed
  7: required string dataCentre
  8: required bool readsLog
  9: optional list<BackendStated> stated
  10: optional i64 era
  11: optional i64 configurationVersion
  12: optional bool reachesBackends
  // The tokens that customers were given lately, by customer; only those with the most.
  13: optional map<string, i64> customerUse
  // The observed time of backend servers in percent of their pool's, by incarnation; only those that differ.
  14: optional map<string, i32> serverSpeedPercent
  // The smoothed delay of the event loop that serves requests.
  15: optional i32 loopDelayMillis
  // The recent prefill work of this host, by pool.
  16: optional map<string, PrefillWork> prefill
  // The time for which the shared log has answered without an outage, as far as this host has read it by itself or through
  // others; unset while it may be away.
  17: optional i64 logAvailableMillis
}

// Requests the records of a topic, starting at an offset, from a host that reads the shared log.
struct TopicQuestion {
  1: required i64 number
  2: required string topic
  3: required i64 fromOffset
}

// The requested records, the era of the log in which they were read, and the time since the read was sent that found no
// further records. If the answer is not complete, the next question requests the remainder.
struct TopicAnswer {
  1: required i64 number
  2: required bool known
  3: required bool complete
  4: required i64 ageMillis
  5: required list<binary> records
  6: optional i64 era
}

// The number of requests that have begun in one window so far, at one incarnation of a host.
struct UsageCounted {
  1: required string incarnation
  2: required i64 window
  3: required map<string, i64> byCustomer
}

// The counts of several hosts and windows, as relayed from one host to another and as stored in the shared log.
struct UsageBatch {
  1: required list<UsageCounted> counts
}

// Requests permits to send requests to a backend server that states a limit, from the host that issues them.
struct PermitQuestion {
  1: required i64 number
  2: required string incarnation
  3: required i32 count
}

// The number of permits that were issued.
struct PermitAnswer {
  1: required i64 number
  2: required i32 issued
}

// The software version of the backend server at which a stream began, for hosts that keep a copy.
struct StreamBegan {
  1: required string request
  2: required string pool
  3: required string version
}

// Asks where a stream began, by the request that brought its first event.
struct StreamQuestion {
  1: required i64 number
  2: required string request
}

// Where a stream began; without pool and version if the host doesn't know it.
struct StreamAnswer {
  1: required i64 number
  2: optional string pool
  3: optional string version
}

// A part of a prompt that ran on a crashed backend server, and its position in the prompt.
struct PartSuspected {
  1: required i64 part
  2: required i32 position
}

// The crash of a backend server, and the parts of the prompts that ran there.
struct CrashSeen {
  1: required string incarnation
  2: required i64 ageMillis
  3: required list<PartSuspected> parts
}

// The time since a request with a part of a prompt last completed.
struct PartCompleted {
  1: required i64 part
  2: required i64 ageMillis
}

// What hosts saw of crashes of backend servers. The receiver answers with what it knows if the sender asks.
struct CrashReport {
  1: required list<CrashSeen> crashes
  2: required list<PartCompleted> completed
  3: required bool asks
}

// The crashes for which parts of prompts were blocked, as stored in the shared log, and the time in milliseconds since the
// epoch to which their ages refer.
struct CrashesStored {
  1: required i64 storedAtMillis
  2: required CrashReport report
}

// The content of a datagram from one host to another.
union HostMessage {
  1: HostReport report
  2: TopicQuestion question
  3: TopicAnswer answer
  4: UsageBatch usage
  5: PermitQuestion permitQuestion
  6: PermitAnswer permitAnswer
  7: StreamBegan streamBegan
  8: StreamQuestion streamQuestion
  9: StreamAnswer streamAnswer
  10: CrashReport crashes
}

// The address at which a host receives reports.
struct HostAddress {
  1: required string address
  2: required i32 port
  3: required i64 startedAtMillis
}

// A version of a pool's backend servers at which streams may have begun, as stored in the shared log. The host and the time
// tell apart two records of the same version.
struct OriginStored {
  1: required string pool
  2: required string version
  3: required string host
  4: required i64 storedAtMillis
}

// States that, in one era of the shared log, every version is stored at which a stream that callers may still resume began.
struct OriginsComplete {
  1: required i64 era
}

// The final figures of a window, decided before they are reported, and the era of the log in which that was stored.
struct UsageDecided {
  1: required i64 window
  2: required map<string, i64> byCustomer
  3: optional i64 era
}
