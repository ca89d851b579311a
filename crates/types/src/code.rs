//! Result codes of requests, commands, the administration API and dropped packets.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::newtype::ParseValueError;

/// Whether the upstream executed the work of a request, as far as its result code shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// The work was executed.
    Yes,
    /// The work was not executed and never will be.
    No,
    /// The work may have been executed, partly or completely.
    Unknown,
    /// The code is not the result of a request.
    NotApplicable,
}

/// Whether a caller should retry a request, depending on its result code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// Any request may be retried unchanged.
    Yes,
    /// Only idempotent work may be retried, because it may have been executed.
    IdempotentOnly,
    /// Retrying is useless or unsafe.
    No,
}

macro_rules! result_codes {
    ($($number:literal $name:ident $text:literal $ran:ident $retry:ident $meaning:literal;)*) => {
        /// Result of a request, command or packet. Numbers are stable across releases; commands exit
        /// with them.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "u8", try_from = "u8")]
        #[repr(u8)]
        pub enum ResultCode {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl ResultCode {
            /// All codes, sorted by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Stable number, also the exit code of commands.
            pub const fn number(self) -> u8 {
                self as u8
            }

            /// Stable short name, shown in logs and reports.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Sentence that explains the code to operators.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }

            /// Whether the work of a request with this result was executed.
            pub const fn ran(self) -> Ran {
                match self { $(Self::$name => Ran::$ran,)* }
            }

            /// Whether a caller should retry a request with this result.
            pub const fn retry(self) -> Retry {
                match self { $(Self::$name => Retry::$retry,)* }
            }
        }
    };
}

result_codes! {
    0 Ok "ok" Yes No "The work was done and the answer is complete.";
    1 Failure "failure" NotApplicable No "The command failed for a reason without a specific code.";
    2 Usage "usage" NotApplicable No "The command line is not valid.";
    10 NotRunDeadline "not-run-deadline" No Yes "The deadline cannot be met; the work was not started.";
    11 NotRunQueueWait "not-run-queue-wait" No Yes "The request waited longer than its profile allows.";
    12 NotRunLimited "not-run-limited" No Yes "The limit on new flows or waiting requests was reached.";
    13 NotRunDraining "not-run-draining" No Yes "The endpoint accepts no new work because it is draining.";
    14 NotRunCancelled "not-run-cancelled" No No "The caller cancelled the request before it was started.";
    15 NotRunBadRequest "not-run-bad-request" No No "The request is malformed or incomplete.";
    16 NotRunNoProfile "not-run-no-profile" No No "The service has no profile that covers this kind of work.";
    17 NotRunNoUpstream "not-run-no-upstream" No Yes "The upstream could not be reached; no work was sent to it.";
    18 NotRunShed "not-run-shed" No Yes "The upstream refused the work before starting it.";
    20 UnknownUpstreamLost "unknown-upstream-lost" Unknown IdempotentOnly "The connection to the upstream was lost after the work was sent to it.";
    21 UnknownAgentGone "unknown-agent-gone" Unknown IdempotentOnly "The connection to the agent that handled the request was lost.";
    22 UnknownCancelled "unknown-cancelled" Unknown No "The caller cancelled the request after the work was sent to the upstream.";
    23 UnknownDeadline "unknown-deadline" Unknown IdempotentOnly "The deadline passed after the work was sent to the upstream.";
    24 UnknownTooOld "unknown-too-old" Unknown No "The sequence number of the request is older than those that the agent still remembers.";
    25 UpstreamFailed "upstream-failed" Yes IdempotentOnly "The upstream ran the work and reported a failure.";
    26 AnswerCut "answer-cut" Unknown IdempotentOnly "The answer ended before it was complete.";
    27 InProgress "in-progress" Unknown No "The same request is already running; its answer goes to the first call.";
    28 Unreachable "unreachable" Unknown IdempotentOnly "The caller could not reach the service in time.";
    40 SettingsInvalid "settings-invalid" NotApplicable No "A settings file has an unknown field or a value out of range.";
    41 SettingsUnreadable "settings-unreadable" NotApplicable No "A settings file cannot be read or is not JSON with comments.";
    42 KeyFileExposed "key-file-exposed" NotApplicable No "A key file can be read by other users.";
    43 AddressInUse "address-in-use" NotApplicable Yes "An address in the settings cannot be bound.";
    50 Unauthenticated "unauthenticated" No No "The token is missing or not known.";
    51 Forbidden "forbidden" No No "The token does not cover this service.";
    52 Conflict "conflict" No No "The object has a newer version; both versions are given.";
    53 NotFound "not-found" No No "The object does not exist.";
    54 NotAccepted "not-accepted" No Yes "The store is not available; the change was not accepted.";
    55 OutcomeOpen "outcome-open" Unknown No "The change may have been accepted; ask again with the write id.";
    56 InvalidField "invalid-field" No No "A field is missing, unknown or out of range.";
    57 ProfileFollowed "profile-followed" No No "The profile is used by a service and cannot be deleted.";
    58 TooLarge "too-large" No No "The body or a header is larger than accepted.";
    59 NotConfirmed "not-confirmed" Yes No "The change was accepted, but not every balancer has confirmed it.";
    60 MethodNotAllowed "method-not-allowed" No No "The path exists but does not support the method.";
    70 PacketMalformed "packet-malformed" NotApplicable No "A packet or message cannot be decoded.";
    71 PacketOversized "packet-oversized" NotApplicable No "A packet or message is larger than accepted.";
    72 MessageForged "message-forged" NotApplicable No "A control message has an invalid authentication tag.";
    73 MessageReplayed "message-replayed" NotApplicable No "A control message was received before or is too old.";
    74 ClusterForeign "cluster-foreign" NotApplicable No "A control message belongs to another cluster.";
    75 ServiceMismatch "service-mismatch" NotApplicable No "A packet names an endpoint of another service.";
    76 EndpointUnknown "endpoint-unknown" NotApplicable No "A packet names an unknown endpoint.";
    77 NoEndpoint "no-endpoint" NotApplicable Yes "The service has no endpoint that accepts new flows.";
    78 OpeningLimited "opening-limited" NotApplicable Yes "The limit on new flows was reached at the balancer.";
    79 HopLimit "hop-limit" NotApplicable No "A packet has reached the limit on relay hops.";
    80 SourceUnknown "source-unknown" NotApplicable No "A packet came from a process that is not a member of the cluster.";
    81 Overloaded "overloaded" NotApplicable Yes "No upstream of the service can serve a new flow in time.";
    100 PromiseBroken "promise-broken" NotApplicable No "A trial or check found that a guarantee was violated.";
}

impl std::fmt::Display for ResultCode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

impl FromStr for ResultCode {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let matches_text = |code: &&Self| code.name() == text || code.number().to_string() == text;
        let Some(code) = Self::ALL.iter().find(matches_text) else {
            return Err(ParseValueError {
                text: text.chars().take(80).collect(),
                expected: "result code (number or name)".to_owned(),
            });
        };
        Ok(*code)
    }
}

impl From<ResultCode> for u8 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}

impl TryFrom<u8> for ResultCode {
    type Error = ParseValueError;

    fn try_from(number: u8) -> Result<Self, Self::Error> {
        number.to_string().parse()
    }
}
