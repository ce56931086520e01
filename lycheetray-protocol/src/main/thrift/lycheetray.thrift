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

/** A configuration version and the digest of its manifest, in hexadecimal. */
struct ConfigVersionRef {
  1: i64 version
  2: string digest
}

/** What a VM knows of the configuration. */
struct ConfigState {
  1: string vm
  2: i64 incarnation
  3: string dataCentre
  4: optional ConfigVersionRef accepted
  5: optional ConfigVersionRef pending
  /** Age of the evidence that nothing above confirmedBound was accepted; missing if there is none. */
  6: optional i64 confirmedAgeMicros
  7: i64 confirmedBound
  8: bool voter
  9: i32 dataCentres
}

/** Asks for the peer's state and tells the own one. */
struct ConfigProbe {
  1: ConfigState sender
}

/** Asks for part of a manifest's canonical JSON. */
struct ManifestRequest {
  1: ConfigVersionRef ref
  2: i32 offset
}

/** Part of a manifest; total is 0 if the peer does not have it. */
struct ManifestPart {
  1: i32 total
  2: binary content
}

/** Names a loan: the process that asked for it and a number that it counts up. */
struct LoanId {
  1: string vm
  2: i64 incarnation
  3: i64 number
}

/** Asks for tokens (micro-tokens) and rate (micro-tokens per second) of a client account. */
struct LoanRequest {
  1: i64 tokens
  2: i64 rate
  3: bool urgent
}

/** What is lent; nothing if all amounts are zero. */
struct LoanAnswer {
  1: i64 rate
  2: i64 burst
  3: i64 tokens
  4: i64 spare
  5: optional string largestBorrower
}

struct LoanExtend {
  1: i64 number
}

struct LoanExtended {
  1: i64 number
}

/** The borrower uses the loan no longer and hands back the tokens left. */
struct LoanReturn {
  1: i64 tokens
}

union LoanBody {
  1: LoanRequest request
  2: LoanAnswer answer
  3: LoanExtend extend
  4: LoanExtended extended
  5: LoanReturn giveBack
}

struct Loan {
  1: LoanId id
  2: string account
  3: LoanBody body
}

/** Loan messages in order; answers to them travel as a batch of their own. */
struct LoanBatch {
  1: list<Loan> loans
}

/** A one-way message has arrived. */
struct Received {
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

/** Sign of life of the sender; the greeting tells its incarnation. */
struct HeartbeatNews {
  1: bool leaving
  /** Term of the lead lease, -1 if the sender does not act as lead. */
  2: i64 leadTerm
  3: i64 viewsDigest
  4: list<string> unreachable
}

struct MemberInfo {
  1: string vm
  2: i64 incarnation
  3: string state
}

/** Members of one data centre as its lead sees them. */
struct ViewInfo {
  1: string dataCentre
  2: i64 version
  3: string authorVm
  4: i64 authorIncarnation
  5: list<MemberInfo> members
}

struct ViewsNews {
  1: list<ViewInfo> views
}

/** Versions of the views that the sender knows, by data centre. */
struct VersionsNews {
  1: map<string, i64> versions
}

struct Noted {
}

/** Asks the owner of a service's slots for one. */
struct SlotQuestion {
  1: i64 number
  2: string serviceName
  3: string account
  4: i32 weight
  5: i64 timeLeftMillis
  6: string mode
  7: list<string> avoid
}

struct SlotAnswer {
  /** Set if a slot is granted. */
  1: optional string server
  2: i64 validityMillis
  3: i64 generation
  /** Set if no slot is granted. */
  4: optional string refusal
  5: i32 slots
  6: i32 inFlight
  7: i32 waiting
}

/** Gives a slot back, or withdraws a question that was not answered yet. */
struct SlotRelease {
  1: i64 number
  2: string serviceName
}

/** Asks how loaded the slots of a service are. */
struct LoadQuestion {
  1: string serviceName
}

/** A new owner asks what its predecessors granted; grants of theirs that arrive later are not used. */
struct HoldingsQuestion {
  1: string serviceName
  2: i64 generation
}

struct HeldSlot {
  1: i64 number
  2: string server
  3: i64 timeLeftMillis
}

struct Holdings {
  1: list<HeldSlot> held
  /** Set if an owner of this later generation has asked already; nothing is reported then. */
  2: optional i64 laterGeneration
}

union Request {
  60: HeartbeatNews heartbeat
  61: ViewsNews views
  62: VersionsNews versions
  63: SlotQuestion slotQuestion
  64: SlotRelease slotRelease
  65: HoldingsQuestion holdingsQuestion
  66: LoadQuestion loadQuestion
  20: ClaimQuestion claimQuestion
  21: SuspectNews suspectNews
  40: LoanBatch loanBatch
  1: Ping ping
  30: ConfigProbe configProbe
  31: ManifestRequest manifest
}

union Reply {
  60: Noted noted
  63: SlotAnswer slotAnswer
  65: Holdings holdings
  20: ClaimAnswer claimAnswer
  21: SuspectsNoted suspectsNoted
  40: Received received
  1: Pong pong
  2: Failure failure
  30: ConfigState configState
  31: ManifestPart manifestPart
}

/** What a frame carries after the greeting: a request or the reply with the same correlation number. */
struct Envelope {
  1: i64 correlation
  2: optional Request request
  3: optional Reply reply
}

/** Requests of one client account that a VM has admitted since its start. */
struct AccountTotal {
  1: string account
  2: i64 admitted
}

/** The rate of requests to which a backend server has limited the fleet, from one of its answers. */
struct ServerLimit {
  1: string server
  2: i64 incarnation
  /** Requests per second from all VMs together; not set if the limit has ended. */
  3: optional double perSecond
  /** Time since the answer. */
  4: i64 ageMillis
}

/** A crash of a backend server while a request was in flight there. */
struct SuspectCrash {
  1: string server
  2: i64 incarnation
  /** Time since the crash. */
  3: i64 ageMillis
}

/** A request that was in flight when backend servers crashed. */
struct SuspectRequest {
  /** Cheap hash of everything but the body's content. */
  1: i32 hash
  /** SHA-256 of the request, lower-case hexadecimal. */
  2: string digest
  /** Crashes since the last answer. */
  3: list<SuspectCrash> crashes
  /** Time since a server answered the request; not set if none is known to have. */
  4: optional i64 answerAgeMillis
  /** Time since a quarantined request was last sent as a trial; not set if it was not. */
  5: optional i64 trialAgeMillis
}

/**
 * What a VM tells the others several times a second, as one datagram. It holds totals and states only, so that a lost,
 * repeated or reordered report does no harm.
 */
struct VmReport {
  1: string vm
  2: i64 incarnation
  /** Grows with each report of an incarnation. */
  3: i64 sequence
  /** Set in whole reports only, like the two addresses. */
  4: optional string dataCentre
  /** Address for callers, host:port. */
  5: optional string callers
  /** Address for reports, host:port. */
  6: optional string reports
  /** True if look-ups may name the VM. */
  7: bool serving
  /** All totals in a whole report, otherwise those that changed lately. */
  8: list<AccountTotal> admitted
  9: i64 configVersion
  /** Version of the store at the last change of backend servers that the VM has seen. */
  10: i64 serversVersion
  /** True if nothing is left out. */
  11: bool whole
  /** Reports of VMs in other regions, passed on within the region. */
  12: optional list<VmReport> relayed
  /** Limits that changed, or that no VM has reported lately. */
  13: optional list<ServerLimit> limits
  /** Number of times that the store was restored from an older copy; serversVersion is comparable within it only. */
  14: optional i64 storeEra
  /** Requests that were in flight at crashes, a few in each report. */
  15: optional list<SuspectRequest> suspects
  /** False while the VM has lost its paths to the backend servers; not set by VMs that do not relay requests. */
  16: optional bool reachesServers
}

struct HeaderField {
  1: string name
  2: string value
}

/** Asks another VM to send a request to a backend server, which the sender can't reach; its body follows. */
struct RelayRequest {
  1: string vm
  2: i64 incarnation
  /** The VM that is asked; any other rejects the message. */
  3: string recipient
  4: i64 recipientIncarnation
  5: string server
  6: i64 serverIncarnation
  7: string requestId
  8: string method
  9: string uri
  10: list<HeaderField> headers
  11: optional string account
  /** Time left until the deadline. */
  12: i64 remainingMillis
  13: i32 bodyBytes
}

/** Part of a body, not empty. */
struct BodyPart {
  1: binary content
}

/** The server's complete answer; its body follows. */
struct RelayAnswer {
  1: i32 status
  2: list<HeaderField> headers
  3: i32 bodyBytes
}

/** The request has not run and never will. */
struct RelayNotRun {
  1: string reason
  /** Set if the server has said that it leaves. */
  2: optional bool leaving
  /** Set if the server has requested a pause: the time left of it. */
  3: optional i64 pauseMillis
}

/** The request may have run. */
struct RelayUnknown {
  1: string cause
  /** True if the path to the server failed, which says nothing about the server. */
  2: bool pathLost
  /** True if the server has crashed. */
  3: bool crashed
}

/** What a frame of a connection for relayed requests carries. */
union RelayMessage {
  1: RelayRequest request
  2: BodyPart body
  3: RelayAnswer answer
  4: RelayNotRun notRun
  5: RelayUnknown unknown
}
