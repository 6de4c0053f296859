//! Events of sessions, requests to endpoints, reports to control and the scheduler.

use {bronzespool_core::Instance, std::net::SocketAddr};

super::events! {
    /// A role of the process has started.
    RoleStarted: Info, Process, "the part is up" {
        /// The role.
        role: &'static str,
        /// Instance of the process.
        instance: Instance,
    }
    /// Requests are still in flight at the end of the grace period.
    GraceExceeded: Warn, Process, "requests still run at the end of the grace time" {
        /// Role of the process.
        role: &'static str,
    }
    /// A request has received its final answer.
    RequestAnswered: Info, Entry, "a request was answered" {
        /// The request.
        request: String,
        /// Service of the request.
        service: String,
        /// Kind of the request.
        kind: String,
        /// Team of the caller.
        team: String,
        /// Result code.
        code: u16,
        /// Whether the request ran.
        outcome: String,
        /// Microseconds since the request was read.
        took_us: u64,
    }
    /// An attempt has no answer: the agent is queried for its outcome.
    OutcomeQueried: Info, Entry, "the attempt's outcome is asked for" {
        /// The request.
        request: String,
        /// Why there is no answer.
        error: String,
    }
    /// Control has not recorded the release of a claim: the claim ends with its lease.
    ReleaseFailed: Warn, Entry, "a release was not noted" {
        /// The claim.
        claim: String,
        /// The refusal.
        refusal: String,
    }
    /// An agent does not answer: it receives no new requests.
    AgentSilent: Info, Entry, "an agent does not answer" {
        /// Address of the agent.
        agent: SocketAddr,
        /// The error.
        error: String,
    }
    /// A report of answers to control has failed: it is sent again.
    AnswerReportFailed: Info, Entry, "control was not told of the answers" {
        /// The refusal.
        refusal: String,
    }
    /// Control's answer is not of the type that answers a demand report.
    SharesMismatched: Error, Entry, "control answered a report of demands with something else" {}
    /// The shares of limits were not renewed: the old ones are valid until they expire.
    ShareRenewalFailed: Info, Entry, "the shares were not renewed" {
        /// The refusal.
        refusal: String,
    }
    /// An endpoint fails more often than others: it receives no requests of a kind for a while.
    EndpointEjected: Warn, Entry, "an endpoint is ejected" {
        /// Instance of the endpoint.
        instance: Instance,
        /// The kind.
        kind: String,
    }
    /// The endpoint has not answered a request.
    EndpointSilent: Warn, Agent, "the endpoint gave no answer" {
        /// The request.
        request: String,
        /// The error.
        error: String,
    }
    /// The endpoint's answer names another request: it is not passed to a caller.
    EndpointAnswerMismatched: Error, Agent, "the endpoint answered another request" {
        /// The request.
        request: String,
    }
    /// A report of an outcome to control has failed: it is sent again.
    OutcomeReportFailed: Warn, Agent, "an outcome was not reported yet" {
        /// The refusal.
        refusal: String,
    }
    /// Control was not told that this agent is leaving: it learns so when the agent's session ends.
    DrainReportFailed: Warn, Agent, "control was not told of the drain" {
        /// The refusal.
        refusal: String,
    }
    /// The data centre of this agent was drained or restored: with a drain it refuses new requests.
    CenterDrainSeen: Info, Agent, "the drain of this data centre has changed" {
        /// The data centre.
        center: String,
        /// Whether nothing new starts there.
        drained: bool,
    }
    /// A planned stop of this agent was not confirmed by control, or requests were still running:
    /// open claims of the agent are sealed when it starts again.
    LeaveReportFailed: Warn, Agent, "control has not released the agent's claims" {
        /// Why they are not released.
        refusal: String,
    }
    /// The worker's resource usage could not be read.
    UsageReadFailed: Warn, Agent, "the worker's usage was not read" {
        /// The error.
        failure: String,
    }
    /// A report of resource usage to control has failed: it is sent again.
    UsageReportFailed: Warn, Agent, "usage was not reported" {
        /// The refusal.
        refusal: String,
    }
    /// The worker's tasks could not be updated: the update is repeated.
    TaskUpdateFailed: Warn, Agent, "the worker's tasks were not brought up to date" {
        /// The error.
        failure: String,
    }
    /// A report of task events to control has failed: it is sent again.
    TaskEventReportFailed: Warn, Agent, "task events were not reported yet" {
        /// The refusal.
        refusal: String,
    }
    /// A hub has refused to open a session: another hub is tried.
    SessionRefused: Info, Process, "the hub opens no session" {
        /// The hub.
        hub: SocketAddr,
        /// The refusal.
        refusal: String,
    }
    /// A hub cannot be reached: another hub is tried.
    SessionUnopened: Info, Process, "cannot open a session" {
        /// The hub.
        hub: SocketAddr,
        /// The error.
        error: String,
    }
    /// The renewal of a session has failed: a new session is opened.
    SessionLost: Info, Process, "the session's renewal failed" {
        /// The hub.
        hub: SocketAddr,
        /// The error.
        error: String,
    }
    /// A session has ended.
    SessionEnded: Info, Control, "a session has ended" {
        /// Instance of the holder.
        instance: Instance,
    }
    /// A push of changes over a session has failed: the session is not renewed.
    PushFailed: Info, Control, "a push failed, the session is not renewed" {
        /// Instance of the holder.
        instance: Instance,
    }
    /// The holder of a session has not acknowledged all changes.
    SessionUnconfirmed: Info, Control, "a session was not confirmed" {
        /// Instance of the holder.
        instance: Instance,
    }
    /// The holder of a session has a newer incarnation than the session.
    SessionSuperseded: Info, Control, "a session belongs to a former incarnation and is not renewed" {
        /// Instance of the holder.
        instance: Instance,
    }
    /// The leader has refused this hub a lease, so it cannot renew sessions.
    HubLeaseRefused: Error, Control, "the leader grants this hub no lease" {
        /// The refusal.
        refusal: String,
    }
    /// A message from another replica cannot be read.
    MessageRefused: Warn, Control, "a message was refused" {
        /// Result code.
        code: u16,
        /// The error.
        error: String,
    }
    /// A message to another replica cannot be encoded.
    MessageUnwritten: Error, Control, "a message cannot be written" {
        /// The error.
        error: String,
    }
    /// The scheduler has refused a record that the state machine accepted.
    ScheduleRefused: Error, Control, "the schedule refused a record of the state machine" {
        /// The error.
        error: String,
    }
    /// An agent was announced.
    AgentAnnounced: Info, Leader, "an agent was announced" {
        /// Instance of the agent.
        instance: Instance,
        /// Incarnation of the agent.
        incarnation: u64,
    }
    /// An agent has stopped as planned: its open claims are released, since none of them has started.
    AgentLeft: Info, Leader, "an agent has left" {
        /// Instance of the agent.
        instance: Instance,
        /// Number of claims released.
        released: u64,
    }
    /// An agent has become available, is draining or has gone down.
    PresenceChanged: Info, Leader, "an agent's presence has changed" {
        /// Instance of the agent.
        instance: Instance,
        /// The new presence.
        presence: String,
    }
    /// An operator has drained or restored a data centre.
    CenterDrainChanged: Info, Leader, "the drain of a data centre has changed" {
        /// The data centre.
        center: String,
        /// Whether nothing new starts there from now on.
        drained: bool,
        /// Index of the log entry that made the change.
        revision: u64,
    }
    /// The log has not accepted a scheduling decision: it is made again.
    DecisionNotCommitted: Info, Leader, "a decision was not committed" {
        /// The refusal.
        refusal: String,
    }
    /// The log has not accepted a controller's change: it is made again.
    ControllerChangeNotCommitted: Info, Leader, "a controller's change was not committed" {
        /// The refusal.
        refusal: String,
    }
}
