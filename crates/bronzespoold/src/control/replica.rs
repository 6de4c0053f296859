//! Drives the replicated log and applies what it commits.

use {
    crate::{
        clock::Clock,
        control::{
            peers::Peers,
            state::{Applied, Command, Effect, State, view_log},
            storage::Writer,
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
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
/// Longest wait for another replica to take over at a planned stop.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);
/// Pause between two tries to hand over.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait for a commit.
const COMMIT_TIME: Duration = Duration::from_secs(5);
/// Longest wait for a read.
const READ_TIME: Duration = Duration::from_secs(2);

/// Result of a call to the replica.
pub(super) type Result<T> = std::result::Result<T, Refusal>;

struct Waiting {
    term: Term,
    done: oneshot::Sender<Option<Effect>>,
}

/// What has changed since a watcher last looked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Epoch {
    /// Index of the last entry applied.
    pub(super) index: u64,
    /// Rises with each change of the view.
    pub(super) view: u64,
    /// Rises with each change of the schedule.
    pub(super) schedule: u64,
}

/// One replica with its state machine.
pub(super) struct Replica {
    clock: Clock,
    node: RefCell<Node>,
    state: RefCell<State>,
    view: RefCell<view::DeltaLog>,
    epoch: watch::Sender<Epoch>,
    kick: Notify,
    proposals: RefCell<BTreeMap<Index, Waiting>>,
    reads: RefCell<BTreeMap<u64, oneshot::Sender<bool>>>,
    read_serial: Cell<u64>,
    log_clock: Cell<LogClock>,
    standing: RefCell<Option<Standing>>,
}

/// What a replica knows of its cluster, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Standing {
    role: Role,
    term: Term,
    leader: Option<Instance>,
    voters: Vec<(Instance, ReplicaId)>,
    learners: Vec<(Instance, ReplicaId)>,
    joint: bool,
}

impl From<&Status> for Standing {
    fn from(status: &Status) -> Self {
        let list = |voter: bool| {
            let members = status.members.iter().filter(|m| m.voter == voter);
            members.map(|m| (m.name.clone(), m.id)).collect()
        };
        Self {
            role: status.role,
            term: status.term,
            leader: status.leader.clone(),
            voters: list(true),
            learners: list(false),
            joint: status.joint,
        }
    }
}

impl Replica {
    pub(super) fn new(clock: Clock, node: Node, span: Duration) -> Rc<Self> {
        let state = State::new(span);
        let view = RefCell::new(view_log(&state));
        Rc::new(Self {
            clock,
            node: RefCell::new(node),
            state: RefCell::new(state),
            view,
            epoch: watch::Sender::default(),
            kick: Notify::new(),
            proposals: RefCell::default(),
            reads: RefCell::default(),
            read_serial: Cell::new(0),
            log_clock: Cell::default(),
            standing: RefCell::default(),
        })
    }

    /// The state as applied here.
    pub(super) fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    /// Recent changes of the view.
    pub(super) fn view(&self) -> Ref<'_, view::DeltaLog> {
        self.view.borrow()
    }

    /// Tells when the state changes.
    pub(super) fn watch(&self) -> watch::Receiver<Epoch> {
        self.epoch.subscribe()
    }

    /// State of the log.
    pub(super) fn status(&self) -> Status {
        self.node.borrow().status()
    }

    /// Whether this replica leads and no other one can.
    pub(super) fn leads(&self) -> bool {
        self.node.borrow().has_lease(self.clock.now())
    }

    /// The leader, where known.
    pub(super) fn leader(&self) -> Option<Instance> {
        self.node.borrow().leader().cloned()
    }

    /// Log time at the leader.
    pub(super) fn log_time(&self) -> Time {
        let term = self.node.borrow().term();
        let mut clock = self.log_clock.get();
        let time = clock.read(term, self.clock.now(), self.state().clock());
        self.log_clock.set(clock);
        time
    }

    /// Hands leadership over before a planned stop, so that no election time passes without a
    /// leader. Without another replica to take it, the stop goes on all the same.
    pub(super) async fn hand_over(&self) {
        let alone = self.status().members.len() < 2;
        if alone || !self.node.borrow().is_leader() {
            return;
        }
        let end = self.clock.now() + HAND_OVER_TIME;
        while self.clock.now() < end {
            // Refused until a successor holds the whole log, and once the leadership has gone.
            let result = self.node.borrow_mut().transfer_leadership(self.clock.now());
            if let Ok(successor) = result {
                event::HandedOver { successor: successor.to_string() }.tell();
            }
            self.kick.notify_one();
            sleep(HAND_OVER_PAUSE).await;
            if !self.node.borrow().is_leader() && self.leader().is_some() {
                return;
            }
        }
    }

    /// Takes a message of another replica.
    pub(super) fn receive(&self, from: &Instance, bytes: &[u8]) -> std::result::Result<(), Error> {
        let message = Message::decode(bytes)?;
        self.node.borrow_mut().receive(self.clock.now(), from, message);
        self.kick.notify_one();
        Ok(())
    }

    /// Proposes a command and waits until it is applied.
    pub(super) async fn propose(&self, command: &Command) -> Result<Effect> {
        let done = self.push(command)?;
        self.kick.notify_one();
        match timeout(COMMIT_TIME, done).await {
            Ok(Ok(Some(effect))) => Ok(effect),
            _ => Err(Code::CommitUnknown.into()),
        }
    }

    fn push(&self, command: &Command) -> Result<oneshot::Receiver<Option<Effect>>> {
        let mut node = self.node.borrow_mut();
        let index = node
            .propose(self.clock.now(), frame::encode(command))
            .map_err(|error| refused(&error))?;
        let (done, wait) = oneshot::channel();
        let waiting = Waiting { term: node.term(), done };
        self.proposals.borrow_mut().insert(index, waiting);
        Ok(wait)
    }

    /// Waits until the state here is current, which only the leader can tell.
    pub(super) async fn read(&self) -> Result<()> {
        let ctx = self.read_serial.get() + 1;
        self.read_serial.set(ctx);
        let (done, wait) = oneshot::channel();
        self.reads.borrow_mut().insert(ctx, done);
        let asked = self.node.borrow_mut().read(self.clock.now(), ctx);
        if let Err(error) = asked {
            self.reads.borrow_mut().remove(&ctx);
            return Err(refused(&error));
        }
        self.kick.notify_one();
        match timeout(READ_TIME, wait).await {
            Ok(Ok(true)) => Ok(()),
            _ => {
                self.reads.borrow_mut().remove(&ctx);
                Err(Code::NoLeader.into())
            }
        }
    }

    /// Waits until the entry `index` is applied here.
    pub(super) async fn applied(&self, index: u64, time: Duration) -> Result<()> {
        let mut watch = self.watch();
        match timeout(time, watch.wait_for(|e| e.index >= index)).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Refusal::new(Code::NoLeader, "this replica is behind")),
        }
    }

    /// Drives the log until storage fails, or until this identity is left out of the set if that
    /// `ends_retired`; the error is the reason to stop this process.
    pub(super) async fn run(
        self: Rc<Self>,
        mut writer: Writer,
        peers: Peers,
        ends_retired: bool,
    ) -> Error {
        loop {
            self.step(&writer, &peers);
            if ends_retired && self.status().role == Role::Retired {
                return Error::fault(Code::ReplicaUnknown, "another identity has taken its place");
            }
            let now = self.clock.now();
            let wake = self.node.borrow().next_tick().since(now).min(SLEEP_MAX);
            tokio::select! {
                () = self.kick.notified() => {}
                () = sleep(wake) => {}
                synced = writer.synced() => match synced {
                    Some(Ok(ticket)) => self.node.borrow_mut().synced(self.clock.now(), ticket),
                    Some(Err(error)) => return error,
                    None => return Error::fault(Code::StorageFailed, "the writer has ended"),
                },
            }
        }
    }

    fn step(&self, writer: &Writer, peers: &Peers) {
        let now = self.clock.now();
        let ready = {
            let mut node = self.node.borrow_mut();
            if node.next_tick() <= now {
                node.tick(now);
            }
            node.ready()
        };
        self.take(ready, writer, peers);
        self.snapshot();
        self.note_standing();
    }

    /// Logs a change of leadership or membership.
    fn note_standing(&self) {
        let status = self.status();
        let now = Standing::from(&status);
        let mut standing = self.standing.borrow_mut();
        if standing.as_ref() == Some(&now) {
            return;
        }
        let voters = list(&now.voters);
        let learners = list(&now.learners);
        if standing.as_ref().is_none_or(|s| s.role != now.role) {
            let role = format!("{:?}", now.role).to_lowercase();
            metrics::counter!("bronzespool_standings_total", "role" => role).increment(1);
        }
        event::StandingChanged {
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
        .tell();
        *standing = Some(now);
    }

    fn take(&self, ready: Ready, writer: &Writer, peers: &Peers) {
        for (to, message) in &ready.messages {
            peers.send(to, message);
        }
        if !ready.writes.is_empty() {
            writer.write(ready.writes, ready.batch_id);
        }
        if let Some(snapshot) = &ready.snapshot {
            self.install(snapshot);
        }
        if !ready.committed.is_empty() {
            self.commit(&ready.committed);
        }
        self.answer_reads(&ready.reads);
        if !self.node.borrow().is_leader() {
            self.fail_waiting();
        }
    }

    fn install(&self, snapshot: &Snapshot) {
        match frame::decode::<State>(&snapshot.state) {
            Ok(state) => {
                let mut epoch = *self.epoch.borrow();
                epoch.index = state.index();
                epoch.view += 1;
                epoch.schedule += 1;
                *self.view.borrow_mut() = view_log(&state);
                *self.state.borrow_mut() = state;
                self.epoch.send_replace(epoch);
            }
            Err(error) => {
                // The snapshot's own checksum has held: another version wrote it.
                let code = error.code().number();
                event::SnapshotUnread { code, error: error.to_string() }.tell();
                std::process::exit(1);
            }
        }
    }

    fn commit(&self, entries: &[Entry]) {
        let mut epoch = *self.epoch.borrow();
        for entry in entries {
            let applied = self.apply(entry);
            epoch.index = entry.index;
            epoch.view += u64::from(applied.as_ref().is_some_and(|a| a.change.is_some()));
            epoch.schedule += u64::from(applied.as_ref().is_some_and(|a| a.scheduled));
            self.finish(entry, applied);
        }
        self.epoch.send_replace(epoch);
    }

    fn apply(&self, entry: &Entry) -> Option<Applied> {
        let mut state = self.state.borrow_mut();
        let Some(data) = entry.command() else {
            state.skip(entry.index);
            return None;
        };
        match frame::decode::<Command>(data) {
            Ok(command) => Some(state.apply(entry.index, &command)),
            Err(error) => {
                // A record is never skipped: a newer version wrote it, so this replica stops.
                let code = error.code().number();
                event::RecordUnread { code, error: error.to_string() }.tell();
                std::process::exit(1);
            }
        }
    }

    fn finish(&self, entry: &Entry, applied: Option<Applied>) {
        let (effect, change) = match applied {
            Some(applied) => (Some(applied.effect), applied.change),
            None => (None, None),
        };
        if let Some(change) = change {
            self.view.borrow_mut().push(entry.index, change);
        }
        if let Some(waiting) = self.proposals.borrow_mut().remove(&entry.index) {
            let own = waiting.term == entry.term;
            let _ = waiting.done.send(if own { effect } else { None });
        }
    }

    fn answer_reads(&self, reads: &[ReadResult]) {
        for read in reads {
            if let Some(done) = self.reads.borrow_mut().remove(&read.request_id) {
                let _ = done.send(read.index.is_some());
            }
        }
    }

    /// Without leadership the outcome of a proposal is not known here.
    fn fail_waiting(&self) {
        self.proposals.borrow_mut().clear();
        self.reads.borrow_mut().clear();
    }

    fn snapshot(&self) {
        if !self.node.borrow().is_snapshot_due() {
            return;
        }
        let state = self.state.borrow();
        let bytes = frame::encode(&*state);
        self.node.borrow_mut().compact(state.index(), bytes);
        self.kick.notify_one();
    }
}

fn list(members: &[(Instance, ReplicaId)]) -> String {
    let each = members.iter().map(|(name, id)| format!("{name}/{id}"));
    each.collect::<Vec<_>>().join(" ")
}

fn refused(error: &Error) -> Refusal {
    Refusal::new(error.code(), error.to_string())
}
