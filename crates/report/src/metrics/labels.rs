//! Values of the labels of metrics.

/// Outcome of a call to the client, as the label `outcome`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream answered without a failure.
    Answered,
    /// The upstream answered with a failure.
    Failed,
    /// The call was refused and did not run.
    NotRun,
    /// The call may or may not have run.
    Unknown,
    /// The client left before the final answer.
    ClientLeft,
}

impl CallOutcome {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::ClientLeft => "client-left",
        }
    }
}

/// Decision on a request of a customer with a usage cap, as the label `outcome`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapOutcome {
    /// It got a token.
    Granted,
    /// The customer has spent its cap.
    OverCap,
    /// No allocator answered in time.
    NoAllocator,
}

impl CapOutcome {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::OverCap => "over-cap",
            Self::NoAllocator => "no-allocator",
        }
    }
}

/// Answer to an upstream that says that it leaves, as the label `outcome`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureOutcome {
    /// It was acknowledged.
    Acknowledged,
    /// The store did not take it in time.
    Refused,
}

impl DepartureOutcome {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Acknowledged => "acknowledged",
            Self::Refused => "refused",
        }
    }
}

/// Direction of control-plane traffic, as the label `direction`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Sent by this daemon.
    Sent,
    /// Received by this daemon.
    Received,
}

impl Direction {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Purpose of control-plane traffic, as the label `purpose`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Membership protocol.
    Probe,
    /// Records, leases and facts exchanged between daemons.
    Feed,
    /// Evidence sent to the controller.
    Evidence,
    /// Requests to the log service.
    Log,
}

impl Purpose {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Feed => "feed",
            Self::Evidence => "evidence",
            Self::Log => "log",
        }
    }
}

/// Kind of a request to the log service, as the label `kind`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogRequest {
    /// Appends a record.
    Append,
    /// Reads records.
    Read,
}

impl LogRequest {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Append => "append",
            Self::Read => "read",
        }
    }
}
