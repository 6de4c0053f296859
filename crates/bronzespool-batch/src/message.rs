//! Messages between callers' entries, agents and the leader.

use {
    crate::{
        config::Config,
        id::{JobId, RunId, StepId, WorkerIncarnation},
        ledger::{Phase, RunEnd, WaveSpec, WorkerSpec},
        spec::JobSpec,
    },
    bronzespool_core::Instance,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The run.
    pub run: RunId,
    /// Last checkpoint, empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent, as the worker reports it.
    pub percent: u32,
    /// Tail latency in milliseconds of a run that serves, else the processor in use.
    pub usage: u64,
}

/// What an agent knows of its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Instance of the agent.
    pub agent: Instance,
    /// Random number of the agent's start.
    pub nonce: u64,
    /// Address at which it passes on calls of others.
    pub relay: Option<SocketAddr>,
    /// The worker's present life, if it is known and answers.
    pub worker: Option<WorkerSpec>,
    /// Lives whose runs have surely ended.
    pub gone: Vec<WorkerIncarnation>,
    /// Runs that the worker lists.
    pub running: Vec<RunStatus>,
    /// Ends that the worker lists, by rising number.
    pub ends: Vec<RunEnd>,
    /// Runs that the worker has not started and will not start.
    pub refused: Vec<RunId>,
    /// Runs for which a call to the worker is under way.
    pub in_flight: Vec<RunId>,
}

/// A run to be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The run.
    pub run: RunId,
    /// Text for the task.
    pub text: Arc<str>,
    /// Checkpoint to go on from, empty for none.
    pub checkpoint: Arc<str>,
    /// Permit of the service that names workers.
    pub permit: Option<Arc<str>>,
}

/// What a run is to others on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QosClass {
    /// It serves its own users, with this bound on its tail latency in milliseconds.
    LatencySensitive(u64),
    /// It lives on processor time that others leave, and disturbs those that serve.
    BestEffort,
}

/// What the leader wants of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Fencing token of the leader.
    pub epoch: u64,
    /// Life that the orders are for.
    pub incarnation: Option<WorkerIncarnation>,
    /// Number of the last end that is recorded.
    pub cursor: u64,
    /// Milliseconds for which the worker's leases may be extended, from the time at which the
    /// agent sent its poll.
    pub lease: u64,
    /// Runs to start.
    pub starts: Vec<Start>,
    /// Runs to stop.
    pub stops: Vec<RunId>,
    /// Runs of the worker that serve or fill.
    pub classes: Vec<(RunId, QosClass)>,
}

/// Credentials and place of a call of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// Host that the caller named.
    pub host: Arc<str>,
    /// Path.
    pub path: Arc<str>,
    /// Key, if any.
    pub key: Option<Arc<str>>,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Submits the job; its queue and team are filled in by the leader.
    Submit(Box<JobSpec>),
    /// The state of a job.
    State(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Jobs of the queue of which nothing has started.
    Pending,
}

/// A question to the service that names the workers which may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// Workers, by the names that they give themselves.
    pub workers: Vec<Arc<str>>,
}

/// The service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permitted {
    /// The step.
    pub step: StepId,
    /// Workers that may run it, each with the permit that a start carries.
    pub tickets: Vec<(Arc<str>, Arc<str>)>,
    /// Milliseconds for which the permits last from now.
    pub valid: u64,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// It runs its worker.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is down for maintenance.
    Maintenance,
    /// It is off or lost.
    Down,
}

/// A machine, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name.
    pub name: Arc<str>,
    /// What it does.
    pub state: MachineState,
    /// Worker on it, by the name that it gives itself.
    pub worker: Option<Arc<str>>,
}

/// What the platform said to an order for a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakedownResult {
    /// The machine goes down, or did so before.
    Done,
    /// Not now.
    Busy,
    /// Another instance has used a higher fencing token.
    Fenced,
    /// There is no such machine, or it is not part of that wave.
    Foreign,
    /// No answer: it may have been carried out.
    Unknown,
}

/// Something that a process beside a control instance does for the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExternalCall {
    /// Ask the service that names workers.
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

/// What came of a chore.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExternalResult {
    /// The service's answer.
    Permitted(Permitted),
    /// All machines.
    Listed(Vec<Machine>),
    /// What the platform said.
    TakenDown {
        /// Number of the wave.
        wave: u64,
        /// The machine.
        machine: Arc<str>,
        /// Its word.
        word: TakedownResult,
    },
}

/// Chores that a process is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExternalCallKind {
    /// Questions; any process may ask them.
    Questions,
    /// Machines; only the process of the leader orders them, so that one holder does at a time.
    Machines,
}

/// A process's report on its last chore, and its wish for the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExternalCallRequest {
    /// Address of the control instance that the process runs.
    pub control: SocketAddr,
    /// Chores that it is there for.
    pub kind: ExternalCallKind,
    /// What came of the last one.
    pub result: Option<ExternalResult>,
}

/// A call to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller's request.
    Job(Caller, JobRequest),
    /// An agent's report; answered when there are orders.
    Poll(Box<Poll>),
    /// An operator's configuration.
    Configure(Arc<Config>),
    /// Reads the configuration.
    ReadConfig,
    /// An operator's wave of maintenance.
    OrderWave(Arc<WaveSpec>),
    /// Whether all machines of a wave have begun.
    ReadWave(u64),
    /// A process's wish for a chore.
    External(Box<ExternalCallRequest>),
    /// Asks whether the leader serves; tells the address at which the caller passes on calls.
    Ping(Option<SocketAddr>),
}

/// Why a call was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// No configuration is in force yet.
    NoConfig,
    /// No queue has this place.
    NoQueue,
    /// No team has this key.
    NoKey,
    /// No such job.
    NoJob,
    /// No such wave of maintenance.
    NoWave,
    /// The job contradicts itself or cannot fit any worker.
    Invalid,
}

/// A reply of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Carried out.
    Done,
    /// State of a job.
    State(Phase),
    /// Jobs of which nothing has started.
    Pending(u64),
    /// Orders for an agent.
    Orders(Box<Orders>),
    /// The configuration as it was sent, if there is one.
    Config(Option<Arc<[u8]>>),
    /// Whether all machines of the wave have begun.
    Wave(bool),
    /// The next chore; without one, whether another may come soon.
    External(std::result::Result<ExternalCall, bool>),
    /// Not carried out, and it never will be.
    Denied(Denial),
}

/// Where control is, as a control instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMap {
    /// The leader, where known.
    pub leader: Option<SocketAddr>,
    /// Term of the instance that answers.
    pub term: u64,
    /// All control instances.
    pub members: Vec<SocketAddr>,
    /// Processes that pass on calls to the leader, as the leader knows them.
    pub relays: Vec<SocketAddr>,
}
