//! Drives the replicated log and applies committed entries.

use {
    crate::{
        clock::Clock,
        control::{
            batch::Wakes,
            state::{Command, CommandResult, Effect, State, empty_view_log},
            transport::Transport,
            writer::Writer,
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::Withdrawals,
        consensus::{
            Entry, Error, Index, LogClock, Message, Node, ReadResult, Ready, ReplicaId, Role,
            Snapshot, Status, Term,
        },
        core::{Code, Instance, Refusal, Time},
        flow::view,
        wire::frame,
    },
    std::{
        cell::{Cell, Ref, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot, watch},
        time::{sleep, timeout},
    },
};

/// Longest sleep of the driver.
const SLEEP_MAX: Duration = Duration::from_secs(1);
/// Longest wait for a leadership transfer at a planned stop.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two attempts to transfer leadership.
const TRANSFER_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Longest wait for a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a read barrier.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of a call to the replica.
pub(super) type Result<T> = std::result::Result<T, Refusal>;

struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<Option<Effect>>,
}

/// Counters by which a watcher sees what has changed since it last looked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StateVersion {
    /// Index of the last entry applied.
    pub(super) index: u64,
    /// Increases with each change of the view.
    pub(super) view: u64,
    /// Increases with each change of the schedule.
    pub(super) schedule: u64,
}

/// One replica with its state machine.
pub(super) struct Replica {
    clock: Clock,
    node: RefCell<Node>,
    state: RefCell<State>,
    view_log: RefCell<view::DeltaLog>,
    version: watch::Sender<StateVersion>,
    driver_notify: Notify,
    pending_proposals: RefCell<BTreeMap<Index, PendingProposal>>,
    pending_reads: RefCell<BTreeMap<u64, oneshot::Sender<bool>>>,
    last_read_id: Cell<u64>,
    log_clock: Cell<LogClock>,
    logged_status: RefCell<Option<RoleStatus>>,
    batch_wakes: Wakes,
    withdrawals: RefCell<Withdrawals>,
}

/// A command on its way into the log.
pub(super) struct Proposal {
    result: oneshot::Receiver<Option<Effect>>,
}

impl Proposal {
    /// Waits until the command is applied.
    pub(super) async fn applied(self) -> Result<Effect> {
        match timeout(COMMIT_TIMEOUT, self.result).await {
            Ok(Ok(Some(effect))) => Ok(effect),
            _ => Err(Code::CommitUnknown.into()),
        }
    }
}

/// Role and membership of a replica, as last written to the process's log.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RoleStatus {
    role: Role,
    term: Term,
    leader: Option<Instance>,
    voters: Vec<(Instance, ReplicaId)>,
    learners: Vec<(Instance, ReplicaId)>,
    joint: bool,
}

impl From<&Status> for RoleStatus {
    fn from(status: &Status) -> Self {
        let members_by = |voter: bool| {
            let members = status.members.iter().filter(|m| m.voter == voter);
            members.map(|m| (m.name.clone(), m.id)).collect()
        };
        Self {
            role: status.role,
            term: status.term,
            leader: status.leader.clone(),
            voters: members_by(true),
            learners: members_by(false),
            joint: status.joint,
        }
    }
}

impl Replica {
    pub(super) fn new(clock: Clock, node: Node, session_timeout: Duration) -> Rc<Self> {
        let state = State::new(session_timeout);
        let view_log = RefCell::new(empty_view_log(&state));
        Rc::new(Self {
            clock,
            node: RefCell::new(node),
            state: RefCell::new(state),
            view_log,
            version: watch::Sender::default(),
            driver_notify: Notify::new(),
            pending_proposals: RefCell::default(),
            pending_reads: RefCell::default(),
            last_read_id: Cell::new(0),
            log_clock: Cell::default(),
            logged_status: RefCell::default(),
            batch_wakes: Wakes::default(),
            withdrawals: RefCell::default(),
        })
    }

    /// The state as applied here.
    pub(super) fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    /// Recent changes of the view.
    pub(super) fn view_log(&self) -> Ref<'_, view::DeltaLog> {
        self.view_log.borrow()
    }

    /// Notifies of changes of the state.
    pub(super) fn watch(&self) -> watch::Receiver<StateVersion> {
        self.version.subscribe()
    }

    /// Waiting polls of agents, and whether a plan of batch jobs is due.
    pub(super) const fn batch_wakes(&self) -> &Wakes {
        &self.batch_wakes
    }

    /// Status of the consensus node.
    pub(super) fn status(&self) -> Status {
        self.node.borrow().status()
    }

    /// Term of the consensus node.
    pub(super) fn term(&self) -> Term {
        self.node.borrow().term()
    }

    /// Whether this replica leads and holds the leader lease, so that no other replica can lead.
    pub(super) fn leads(&self) -> bool {
        self.node.borrow().has_lease(self.clock.now())
    }

    /// The leader, if known.
    pub(super) fn leader(&self) -> Option<Instance> {
        self.node.borrow().leader().cloned()
    }

    /// Log time: the leader's timestamp for new records. After a change of leader it continues from
    /// the latest time in the log.
    pub(super) fn log_time(&self) -> Time {
        let term = self.node.borrow().term();
        let mut clock = self.log_clock.get();
        let time = clock.read(term, self.clock.now(), self.state().last_time());
        self.log_clock.set(clock);
        time
    }

    /// Transfers leadership before a planned stop, so that no election timeout passes without a
    /// leader. The stop continues even if no other replica can take over.
    pub(super) async fn transfer_leadership(&self) {
        let alone = self.status().members.len() < 2;
        if alone || !self.node.borrow().is_leader() {
            return;
        }
        let end = self.clock.now() + TRANSFER_TIMEOUT;
        while self.clock.now() < end {
            // Refused until a successor holds the whole log, and once the leadership is gone.
            let result = self.node.borrow_mut().transfer_leadership(self.clock.now());
            if let Ok(successor) = result {
                event::LeadershipTransferred { successor: successor.to_string() }.emit();
            }
            self.driver_notify.notify_one();
            sleep(TRANSFER_RETRY_DELAY).await;
            if !self.node.borrow().is_leader() && self.leader().is_some() {
                return;
            }
        }
    }

    /// Handles a message from another replica.
    pub(super) fn receive(&self, from: &Instance, bytes: &[u8]) -> std::result::Result<(), Error> {
        let message = Message::decode(bytes)?;
        self.node.borrow_mut().receive(self.clock.now(), from, message);
        self.driver_notify.notify_one();
        Ok(())
    }

    /// What records that are proposed here and not applied take from agents.
    pub(super) fn withdrawals(&self) -> Ref<'_, Withdrawals> {
        self.withdrawals.borrow()
    }

    /// Proposes a command and waits until it is applied.
    pub(super) async fn propose(&self, command: &Command) -> Result<Effect> {
        self.start_proposal(command)?.applied().await
    }

    /// Appends a command to the leader's log.
    pub(super) fn start_proposal(&self, command: &Command) -> Result<Proposal> {
        let mut node = self.node.borrow_mut();
        let index = node
            .propose(self.clock.now(), frame::encode(command))
            .map_err(|error| refusal(&error))?;
        let (reply, result) = oneshot::channel();
        let pending = PendingProposal { term: node.term(), reply };
        self.pending_proposals.borrow_mut().insert(index, pending);
        if let Command::Batch(record) = command {
            self.withdrawals.borrow_mut().begin(&record.events);
        }
        self.driver_notify.notify_one();
        Ok(Proposal { result })
    }

    /// Waits until the state here is current, which only the leader can confirm.
    pub(super) async fn read_barrier(&self) -> Result<()> {
        let read_id = self.last_read_id.get() + 1;
        self.last_read_id.set(read_id);
        let (reply, wait) = oneshot::channel();
        self.pending_reads.borrow_mut().insert(read_id, reply);
        let asked = self.node.borrow_mut().read(self.clock.now(), read_id);
        if let Err(error) = asked {
            self.pending_reads.borrow_mut().remove(&read_id);
            return Err(refusal(&error));
        }
        self.driver_notify.notify_one();
        match timeout(READ_TIMEOUT, wait).await {
            Ok(Ok(true)) => Ok(()),
            _ => {
                self.pending_reads.borrow_mut().remove(&read_id);
                Err(Code::NoLeader.into())
            }
        }
    }

    /// Waits until the entry `index` is applied here.
    pub(super) async fn wait_applied(&self, index: u64, limit: Duration) -> Result<()> {
        let mut watch = self.watch();
        match timeout(limit, watch.wait_for(|e| e.index >= index)).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Refusal::new(Code::NoLeader, "this replica is behind")),
        }
    }

    /// Drives the log until storage fails or, with `stop_retired`, until this replica is no longer
    /// a member. Returns the error that stops this process.
    pub(super) async fn run(
        self: Rc<Self>,
        mut writer: Writer,
        transport: Transport,
        stop_retired: bool,
    ) -> Error {
        loop {
            self.step(&writer, &transport);
            if stop_retired && self.status().role == Role::Retired {
                return Error::fault(
                    Code::ReplicaUnknown,
                    "this replica was replaced by another identity",
                );
            }
            let now = self.clock.now();
            let delay = self.node.borrow().next_tick().since(now).min(SLEEP_MAX);
            tokio::select! {
                () = self.driver_notify.notified() => {}
                () = sleep(delay) => {}
                synced = writer.synced() => match synced {
                    Some(Ok(batch_id)) => self.node.borrow_mut().synced(self.clock.now(), batch_id),
                    Some(Err(error)) => return error,
                    None => return Error::fault(Code::StorageFailed, "the writer thread has ended"),
                },
            }
        }
    }

    fn step(&self, writer: &Writer, transport: &Transport) {
        let now = self.clock.now();
        let ready = {
            let mut node = self.node.borrow_mut();
            if node.next_tick() <= now {
                node.tick(now);
            }
            node.ready()
        };
        self.process_ready(ready, writer, transport);
        self.compact_if_due();
        self.log_status_change();
    }

    /// Logs a change of leadership or membership.
    fn log_status_change(&self) {
        let status = self.status();
        let now = RoleStatus::from(&status);
        let mut logged_status = self.logged_status.borrow_mut();
        if logged_status.as_ref() == Some(&now) {
            return;
        }
        let voters = format_members(&now.voters);
        let learners = format_members(&now.learners);
        if logged_status.as_ref().is_none_or(|s| s.role != now.role) {
            let role = format!("{:?}", now.role).to_lowercase();
            metrics::counter!("bronzespool_standings_total", "role" => role).increment(1);
        }
        event::ReplicaStateChanged {
            role: format!("{:?}", now.role),
            term: now.term,
            leader: now.leader.as_ref().map(ToString::to_string),
            voters,
            learners,
            joint: now.joint,
            id: status.id.to_string(),
            commit: status.commit,
            last: status.last,
        }
        .emit();
        *logged_status = Some(now);
        self.batch_wakes.wake_all();
    }

    fn process_ready(&self, ready: Ready, writer: &Writer, transport: &Transport) {
        for (to, message) in &ready.messages {
            transport.send(to, message);
        }
        if !ready.writes.is_empty() {
            writer.write(ready.writes, ready.batch_id);
        }
        if let Some(snapshot) = &ready.snapshot {
            self.install(snapshot);
        }
        if !ready.committed.is_empty() {
            self.apply_committed(&ready.committed);
        }
        self.answer_reads(&ready.reads);
        if !self.node.borrow().is_leader() {
            self.drop_pending();
        }
    }

    fn install(&self, snapshot: &Snapshot) {
        match State::from_snapshot(&snapshot.state) {
            Ok(state) => {
                let mut version = *self.version.borrow();
                version.index = state.index();
                version.view += 1;
                version.schedule += 1;
                *self.view_log.borrow_mut() = empty_view_log(&state);
                *self.state.borrow_mut() = state;
                self.version.send_replace(version);
                self.batch_wakes.wake_all();
            }
            Err(error) => {
                // The snapshot's checksum is valid, so another version of the program wrote it.
                let code = error.code().number();
                event::SnapshotUnread { code, error: error.to_string() }.emit();
                std::process::exit(1);
            }
        }
    }

    fn apply_committed(&self, entries: &[Entry]) {
        let mut version = *self.version.borrow();
        for entry in entries {
            let applied = self.apply(entry);
            version.index = entry.index;
            version.view += u64::from(applied.as_ref().is_some_and(|a| a.view_change.is_some()));
            version.schedule += u64::from(applied.as_ref().is_some_and(|a| a.schedule_changed));
            self.publish_result(entry, applied);
        }
        self.version.send_replace(version);
    }

    fn apply(&self, entry: &Entry) -> Option<CommandResult> {
        let mut state = self.state.borrow_mut();
        let Some(data) = entry.command() else {
            state.skip_entry(entry.index);
            return None;
        };
        match frame::decode::<Command>(data) {
            Ok(command) => Some(self.apply_command(&mut state, entry.index, &command)),
            Err(error) => {
                // A newer version of the program wrote this record. Records are never skipped, so
                // this replica stops.
                let code = error.code().number();
                event::RecordUnread { code, error: error.to_string() }.emit();
                std::process::exit(1);
            }
        }
    }

    fn apply_command(&self, state: &mut State, index: Index, command: &Command) -> CommandResult {
        let Command::Batch(record) = command else { return state.apply(index, command) };
        let scope = self.batch_wakes.scope(state.batch(), record);
        let result = state.apply(index, command);
        self.withdrawals.borrow_mut().end(&record.events);
        self.batch_wakes.record_applied(scope, state.batch(), record, &result.effect);
        result
    }

    fn publish_result(&self, entry: &Entry, applied: Option<CommandResult>) {
        let (effect, change) = match applied {
            Some(applied) => (Some(applied.effect), applied.view_change),
            None => (None, None),
        };
        if let Some(change) = change {
            self.view_log.borrow_mut().push(entry.index, change);
        }
        if let Some(pending) = self.pending_proposals.borrow_mut().remove(&entry.index) {
            let own = pending.term == entry.term;
            let _ = pending.reply.send(if own { effect } else { None });
        }
    }

    fn answer_reads(&self, reads: &[ReadResult]) {
        for read in reads {
            if let Some(reply) = self.pending_reads.borrow_mut().remove(&read.request_id) {
                let _ = reply.send(read.index.is_some());
            }
        }
    }

    /// Drops pending proposals and reads: without leadership their outcome is not known here.
    fn drop_pending(&self) {
        self.pending_proposals.borrow_mut().clear();
        self.withdrawals.borrow_mut().clear();
        self.pending_reads.borrow_mut().clear();
    }

    fn compact_if_due(&self) {
        if !self.node.borrow().is_snapshot_due() {
            return;
        }
        let state = self.state.borrow();
        let bytes = frame::encode(&*state);
        self.node.borrow_mut().compact(state.index(), bytes);
        self.driver_notify.notify_one();
    }
}

fn format_members(members: &[(Instance, ReplicaId)]) -> String {
    let each = members.iter().map(|(name, id)| format!("{name}/{id}"));
    each.collect::<Vec<_>>().join(" ")
}

fn refusal(error: &Error) -> Refusal {
    Refusal::new(error.code(), error.to_string())
}
