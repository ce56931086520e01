/*
 * Messages between entry VMs. Field numbers are never reused; a reader ignores fields that it does not know.
 * Times are durations in milliseconds: points of one VM's clock mean nothing to another.
 */
namespace java org.lycheetray.protocol.generated

/** First message in each direction of a connection, not authenticated by itself. */
struct Hello {
  1: i32 protocolVersion
  2: string vm
  3: i64 incarnation
  /** Fresh random bytes from which both ends derive the keys of this connection. */
  4: binary nonce
}

/** Asks whether the connection still carries messages. */
struct Ping {
}

struct Pong {
}

/** The peer could not handle a request. */
struct Failure {
  1: string step
  2: string message
}

/** Asks the process that holds a claim what became of an attempt; answered when that is known. */
struct ClaimQuestion {
  1: string attempt
}

/** What became of an attempt, as the JSON text of claim rows. */
struct ClaimAnswer {
  1: string result
}

/** Requests that were in flight as backend servers crashed, as the JSON texts of their rows. */
struct SuspectNews {
  1: list<string> records
}

struct SuspectsNoted {
}

union Request {
  20: ClaimQuestion claimQuestion
  21: SuspectNews suspectNews
  1: Ping ping
}

union Reply {
  20: ClaimAnswer claimAnswer
  21: SuspectsNoted suspectsNoted
  1: Pong pong
  2: Failure failure
}

/** What a frame carries after the greeting: a request or the reply with the same correlation number. */
struct Envelope {
  1: i64 correlation
  2: optional Request request
  3: optional Reply reply
}
