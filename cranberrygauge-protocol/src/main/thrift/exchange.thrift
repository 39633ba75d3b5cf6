// The exchange between gateways. Regenerate: thrift --gen java:private_members,generated_annotations=suppress -out src/main/java src/main/thrift/exchange.thrift
namespace java org.cranberrygauge.protocol.generated

// The periodic status report of a gateway, sent every few hundred milliseconds.
struct GatewayReport {
  1: required string gateway
  2: required string host
  3: required i64 configurationVersion
  4: required i64 logOffset
  5: required i64 logAgeMillis
  6: required map<string, i32> inFlight
  7: required map<string, i32> waiting
  8: required bool draining
  9: optional list<string> quarantined
  10: optional binary usageCopy
  11: optional map<string, double> signals
}

// A range of the log, for a gateway that cannot read the log itself.
struct LogSlice {
  1: required list<LogSliceEntry> entries
  2: required i64 logOffset
  3: required i64 logAgeMillis
}

struct LogSliceEntry {
  1: required i64 offset
  2: required i64 appendedAtMillis
  3: required string payload
}

service GatewayExchange {
  // Processes the report of the calling gateway and returns that of the called gateway.
  GatewayReport exchange(1: GatewayReport report)
  // Returns the report of the called gateway, for operators.
  GatewayReport status()
  // Returns the entries after an offset that the called gateway still retains.
  LogSlice readLog(1: i64 afterOffset, 2: i32 limit)
}
