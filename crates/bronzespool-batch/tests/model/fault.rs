//! Faults: those of the environment that a history may contain, and those of the code that the
//! model injects to show that its invariants can fail.

/// A kind of fault of the environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// A message is lost, or its sender learns of no outcome.
    Message,
    /// A call to the worker arrives twice.
    DoubleCall,
    /// The worker refuses a call with nothing done.
    Refusal,
    /// The agent's process is replaced.
    Agent,
    /// Another replica leads.
    Leader,
    /// A proposal counts as failed, and its record is applied later.
    Record,
    /// A poll is late, doubled or out of order.
    Poll,
    /// The worker is replaced by one with another name.
    Replacement,
    /// The worker is replaced by one with another name that looks older, since the clock was set back.
    ClockSetBack,
    /// The worker starts again under its name, and its check-ins may be late.
    Restart,
    /// The worker's answers and check-ins do not reach the agent for a while.
    Silence,
    /// The worker accepts no new tasks any more.
    Drain,
    /// The worker's data centre is drained, or the drain is revoked.
    CenterDrain,
    /// The agent's process does nothing for a while, and no time passes for its timeouts.
    Freeze,
    /// A job is cancelled.
    Cancel,
}

impl FaultKind {
    /// All kinds, apart from calls that arrive twice, clocks that are set back, draining workers and
    /// data centres, and frozen agents.
    pub(crate) const ALL: &[Self] = &[
        Self::Message,
        Self::Refusal,
        Self::Agent,
        Self::Leader,
        Self::Record,
        Self::Poll,
        Self::Replacement,
        Self::Restart,
        Self::Silence,
        Self::Cancel,
    ];
}

/// A fault of the code that the model injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    None,
    /// The agent takes a start without an answer for a refused one.
    UnknownIsRefused,
    /// The agent takes a run for refused if any call for it was refused.
    RefusedIsFinal,
    /// The agent extends leases by orders that name no incarnation.
    UnnamedGrant,
    /// The leader considers leases as expired too soon.
    ShortLease,
    /// The agent counts leases from the arrival of orders instead of from when it sent its poll.
    LateGrant,
    /// The leader lets the worker forget an ended run that is not recorded.
    EarlyCursor,
    /// The agent starts runs by orders for an incarnation that has ended.
    FormerIncarnation,
    /// The leader gives the room of cancelled runs to others at once.
    EarlyRelease,
    /// The agent does not report runs that the worker has refused.
    SilentRefusal,
    /// A new leader answers before it has applied its log.
    UnappliedLog,
}
