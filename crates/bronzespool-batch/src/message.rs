//! Messages between entries, agents, control instances and the leader.

use {
    crate::{
        cold::ColdReport,
        config::Config,
        crash::Crash,
        departure::DepartureReport,
        id::{JobId, RunId, StepId, WorkerIncarnation},
        ledger::{CenterState, Phase, RunEnd, WaveSpec, WorkerSpec},
        spec::JobSpec,
    },
    bronzespool_core::{Instance, trailing},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// A running task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The run.
    pub run: RunId,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress in percent as the worker reports it.
    pub percent: u32,
    /// Tail latency in milliseconds for a latency-sensitive run, else the processor usage.
    pub usage: u64,
}

/// Identifies a poll: the process of the agent that sent it, and its position among that process's
/// polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollId(u64);

impl PollId {
    /// Creates an identifier; `process` is a random number of the agent's process.
    pub const fn new(process: u32, position: u32) -> Self {
        Self((process as u64) << u32::BITS | position as u64)
    }

    /// Returns the random number of the agent's process.
    pub const fn process(self) -> u32 {
        (self.0 >> u32::BITS) as u32
    }

    /// Whether the same process sent this poll after another one.
    pub const fn follows(self, other: Self) -> bool {
        self.process() == other.process() && self.0 > other.0
    }
}

/// An agent's report on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Instance of the agent.
    pub agent: Instance,
    /// Identifier, by which a poll that was held up on its way is recognised.
    pub id: PollId,
    /// Address at which the agent relays the calls of others.
    pub relay: Option<SocketAddr>,
    /// The worker's current incarnation, if it is known and the worker answers.
    pub worker: Option<WorkerSpec>,
    /// Incarnations whose runs have certainly ended.
    pub gone: Vec<WorkerIncarnation>,
    /// Runs that the worker lists as running.
    pub running: Vec<RunStatus>,
    /// Ended runs that the worker lists, by rising number.
    pub ends: Vec<RunEnd>,
    /// Runs that the worker has not started and will never start.
    pub refused: Vec<RunId>,
    /// Runs for which a call to the worker is in flight.
    pub in_flight: Vec<RunId>,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The run.
    pub run: RunId,
    /// Payload for the task.
    pub text: Arc<str>,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Permit of the advice service.
    pub permit: Option<Arc<str>>,
}

/// Quality-of-service class of a run on a shared worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QosClass {
    /// The run serves users, with this bound on its tail latency in milliseconds.
    LatencySensitive(u64),
    /// The run uses left-over processor time and disturbs latency-sensitive runs on its worker.
    BestEffort,
}

/// The leader's orders for an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Fencing token of the leader.
    pub epoch: u64,
    /// Worker incarnation that the orders are for.
    pub incarnation: Option<WorkerIncarnation>,
    /// Number of the last ended run that is recorded.
    pub cursor: u64,
    /// Milliseconds for which the worker's leases may be extended, counted from the time at which
    /// the agent sent its poll.
    pub lease: u64,
    /// Runs to start.
    pub starts: Vec<Start>,
    /// Runs to stop.
    pub stops: Vec<RunId>,
    /// Runs of the worker that are latency-sensitive or best-effort.
    pub classes: Vec<(RunId, QosClass)>,
}

/// Credentials and route of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// Host name of the request.
    pub host: Arc<str>,
    /// Path of the request.
    pub path: Arc<str>,
    /// API key, if there is one.
    pub key: Option<Arc<str>>,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Submits a job; the leader fills in its queue and team.
    Submit(Box<JobSpec>),
    /// Reads the state of a job.
    State(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Counts the jobs of the queue of which no task has started.
    Pending,
}

/// A question to the advice service: which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// Workers, by the names that they report.
    pub workers: Vec<Arc<str>>,
    /// Milliseconds that the service has for its answer; zero for [`Question::WAIT`]. A process of a
    /// former version reads no question with another value.
    #[serde(
        deserialize_with = "trailing::read_or_default",
        skip_serializing_if = "trailing::is_default"
    )]
    wait: u64,
}

impl Question {
    /// Time that the service has for its answer where the question does not say it.
    pub const WAIT: Duration = Duration::from_secs(3);

    /// A question whose answer is waited for as long as `wait`.
    pub fn new(step: StepId, workers: Vec<Arc<str>>, wait: Duration) -> Self {
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Self { step, workers, wait: if wait == Self::WAIT { 0 } else { millis } }
    }

    /// Time that the service has for its answer.
    pub const fn wait(&self) -> Duration {
        if self.wait == 0 { Self::WAIT } else { Duration::from_millis(self.wait) }
    }
}

/// The advice service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permitted {
    /// The step.
    pub step: StepId,
    /// Workers that may run the step, each with the permit to send with a start.
    pub tickets: Vec<(Arc<str>, Arc<str>)>,
    /// Milliseconds for which the permits are valid, from now on.
    pub valid: u64,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// The machine runs its worker.
    Up,
    /// The machine is being moved to another pool.
    Moving,
    /// The machine is down for maintenance.
    Maintenance,
    /// The machine is off or lost.
    Down,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine.
    pub name: Arc<str>,
    /// State of the machine.
    pub state: MachineState,
    /// Worker on the machine, by the name that it reports.
    pub worker: Option<Arc<str>>,
}

/// The platform's answer to an order to take a machine down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakedownResult {
    /// The machine goes down, or has done so before.
    Done,
    /// The machine cannot go down now.
    Busy,
    /// Another instance has used a higher fencing token.
    Fenced,
    /// The machine does not exist or is not part of the wave.
    Foreign,
    /// No answer: the order may have been carried out.
    Unknown,
}

/// A call to an external service, which a process beside a control instance makes for the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExternalCall {
    /// Ask the advice service.
    Ask(Question),
    /// List the machines.
    List,
    /// Take a machine down for maintenance.
    TakeDown {
        /// Number of the wave.
        wave: u64,
        /// The machine.
        machine: Arc<str>,
        /// Fencing token.
        epoch: u64,
    },
}

/// Result of a call to an external service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExternalResult {
    /// The advice service's answer.
    Permitted(Permitted),
    /// All machines.
    Listed(Vec<Machine>),
    /// The platform's answer to an order to take a machine down.
    TakenDown {
        /// Number of the wave.
        wave: u64,
        /// The machine.
        machine: Arc<str>,
        /// The answer.
        word: TakedownResult,
    },
    /// The platform has refused an order to take a machine down, because another instance has used
    /// a higher fencing token.
    Fenced {
        /// Fencing token of the order.
        epoch: u64,
    },
}

/// Which external calls a process makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExternalCallKind {
    /// Questions to the advice service; any process may ask them.
    Questions,
    /// Orders for machines. Only the leader's process gives them, so that no two processes do so at
    /// the same time.
    Machines,
}

/// A process's request for the next external call, with the result of its last one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExternalCallRequest {
    /// Address of the control instance that the process runs.
    pub control: SocketAddr,
    /// Which external calls the process makes.
    pub kind: ExternalCallKind,
    /// Result of the last external call.
    pub result: Option<ExternalResult>,
}

/// A call to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller's request.
    Job(Caller, JobRequest),
    /// An agent's report; answered as soon as there are orders.
    Poll(Box<Poll>),
    /// Puts an operator's configuration in force.
    Configure(Arc<Config>),
    /// Reads the configuration.
    ReadConfig,
    /// Orders a maintenance wave for an operator.
    OrderWave(Arc<WaveSpec>),
    /// Reads whether all machines of a wave have begun their maintenance.
    ReadWave(u64),
    /// A process's request for an external call.
    External(Box<ExternalCallRequest>),
    /// Asks whether the leader serves requests, and reports the address at which the sender relays
    /// calls.
    Ping(Option<SocketAddr>),
    /// An agent's report of a crash of its worker.
    Crash(Box<Crash>),
    /// Asks why a job is in its phase.
    Explain(JobId),
    /// Reads the state of a data centre.
    ReadCenter(Arc<str>),
    /// Drains a data centre, or revokes its drain.
    SetCenter(CenterCommand),
    /// An agent's report that its worker is slow for a while.
    ReportCold(ColdReport),
    /// An agent's report that its worker ends soon.
    ReportDeparture(DepartureReport),
}

/// An operator's command for a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CenterCommand {
    /// The data centre.
    pub center: Arc<str>,
    /// Whether nothing more is started there from now on.
    pub drained: bool,
    /// Revision of the data centre's state that the command is based on.
    pub base: u64,
}

/// Why a call was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// No configuration is in force yet.
    NoConfig,
    /// No queue matches the host and path.
    NoQueue,
    /// No team has this API key.
    NoKey,
    /// No such job.
    NoJob,
    /// No such maintenance wave.
    NoWave,
    /// The job contradicts itself or cannot fit any worker.
    Invalid,
    /// The job could not be served in time; holds the seconds after which to submit it again.
    Overloaded(u32),
}

/// The leader's reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The call was carried out.
    Done,
    /// State of a job.
    State(Phase),
    /// Number of jobs of which no task has started.
    Pending(u64),
    /// Orders for an agent.
    Orders(Box<Orders>),
    /// The configuration as the operator sent it, if there is one.
    Config(Option<Arc<[u8]>>),
    /// Whether all machines of the wave have begun their maintenance.
    Wave(bool),
    /// The next external call; if there is none, whether another may follow soon.
    External(std::result::Result<ExternalCall, bool>),
    /// The call was rejected and will never be carried out.
    Denied(Denial),
    /// Why a job is in its phase, as text.
    Explained(String),
    /// State of a data centre.
    Center {
        /// The state.
        state: CenterState,
        /// Whether a worker or an earlier command has named the data centre.
        known: bool,
    },
}

/// Addresses of the control instances, as one of them knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMap {
    /// The leader, if it is known.
    pub leader: Option<SocketAddr>,
    /// Term of the instance that sends this.
    pub term: u64,
    /// All control instances.
    pub members: Vec<SocketAddr>,
    /// Processes that relay calls to the leader, as far as the leader knows.
    pub relays: Vec<SocketAddr>,
}
