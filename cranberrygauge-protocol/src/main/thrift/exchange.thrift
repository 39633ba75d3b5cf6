// The exchange between gateways. Regenerate: thrift --gen java:private_members,generated_annotations=suppress -out src/main/java src/main/thrift/exchange.thrift
namespace java org.cranberrygauge.protocol.generated

// What one gateway says of itself, every few hundred milliseconds.
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

// A part of the log, for a gateway that cannot read it.
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
  // Takes a report and answers with the report of the called gateway.
  GatewayReport exchange(1: GatewayReport report)
  // Returns the report of the called gateway, for operators.
  GatewayReport status()
  // Returns the entries after an offset, as far as the called gateway still has them.
  LogSlice readLog(1: i64 afterOffset, 2: i32 limit)
}
