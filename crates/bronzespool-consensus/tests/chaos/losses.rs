//! Faults of several machines at once: power losses with lost disks, suspensions, removals,
//! replacements at other addresses, and messages that arrive late.

use {
    super::simulation::{ROUND_TIME, Simulation, name},
    arbtest::arbitrary::{Result, Unstructured},
    bronzespool_consensus::{
        Entry, EntryPayload, Index, Membership, MessageBody, Node, ReplicaId, Role, Storage,
        StorageWrite, Term,
    },
    std::time::Duration,
};

/// Longest wait for the start of a membership change, in rounds.
const CHANGE_ROUNDS: usize = 60;
/// Longest wait for the replacement of a lost disk, in rounds.
const REPAIR_ROUNDS: usize = 120;
/// Longest time in milliseconds for which timers do not fire after a suspension.
const TIMER_DELAY_MAX_MS: u64 = 300;
/// Simulated time between two deliveries while a leader is cut off.
const SHORT_STEP: Duration = Duration::from_millis(10);
/// Longest time until a leader is lost or another one is elected, in short steps.
const STEPS_MAX: usize = 80;
/// Smallest set from which a member is removed.
const REMOVE_VOTERS_MIN: usize = 3;

impl Simulation {
    /// Injects a random fault of several machines, or one that follows from such a fault.
    pub(super) fn inject_loss(&mut self, i: usize, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=19)? {
            0..=2 => self.lose_power(u),
            3 => self.lose_power_while_joint(u),
            4 => self.lose_power_while_compacting(u),
            5 => self.lose_disk_of_others_while_cut(i, u),
            6 => self.lose_second_disk_after_repair(i, u),
            7 => self.replace_machine(i),
            8 => self.remove_member(i),
            9 => self.lose_machine(i, u),
            10..=11 => self.suspend(i, u),
            12..=14 => self.cut_leader(u),
            15 => self.churn_leaders(u),
            _ => self.deliver_late(u),
        }
    }

    /// All machines lose power, and some their disks. Some stay dark.
    fn lose_power(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let lost = self.choose_lost(u)?;
        for i in 0..self.replicas.len() {
            self.lose_unsynced(i, u)?;
        }
        lost.iter().for_each(|i| self.wipe(*i));
        let first = u.choose_index(self.replicas.len())?;
        for k in 0..self.replicas.len() {
            if !u.ratio(1, 4)? {
                self.start((first + k) % self.replicas.len());
            }
        }
        Ok(())
    }

    fn lose_power_while_joint(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let is_joint = |n: &Node| n.status().joint;
        self.run_until(CHANGE_ROUNDS, |s| {
            s.replicas.iter().filter_map(|r| r.node.as_ref()).any(is_joint)
        });
        self.lose_power(u)
    }

    fn lose_power_while_compacting(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for i in 0..self.replicas.len() {
            self.replicas[i].stalled = u.arbitrary()?;
        }
        self.propose();
        self.round();
        (0..self.replicas.len()).for_each(|i| self.compact(i));
        if u.arbitrary()? {
            self.round();
        }
        self.lose_power(u)
    }

    /// A replica misses changes while it is cut off. Then another one loses its disk, the rest is
    /// dark, and only these two are in touch.
    fn lose_disk_of_others_while_cut(&mut self, i: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let lost = (i + u.int_in_range(1..=2)?) % self.replicas.len();
        self.replicas[i].cut = true;
        for _ in 0..u.int_in_range(1..=30)? {
            self.propose();
            self.round();
        }
        if lost != i && self.tolerates(&[lost]) {
            for k in (0..self.replicas.len()).filter(|k| *k != i) {
                self.lose_unsynced(k, u)?;
            }
            self.wipe(lost);
        }
        self.replicas[i].cut = false;
        self.start(lost);
        for _ in 0..u.int_in_range(1..=60)? {
            self.propose();
            self.round();
        }
        (0..self.replicas.len()).for_each(|k| self.start(k));
        Ok(())
    }

    /// Another disk is lost as soon as the loss of the first one is repaired.
    fn lose_second_disk_after_repair(&mut self, i: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.tolerates(&[i]) {
            return Ok(());
        }
        self.lose_unsynced(i, u)?;
        self.wipe(i);
        self.start(i);
        let next = (i + u.int_in_range(1..=2)?) % self.replicas.len();
        self.propose();
        if self.run_until(REPAIR_ROUNDS, |s| s.tolerates(&[next])) {
            self.lose_unsynced(next, u)?;
            self.wipe(next);
            self.start(next);
        }
        Ok(())
    }

    fn lose_machine(&mut self, i: usize, u: &mut Unstructured<'_>) -> Result<()> {
        if self.tolerates(&[i]) {
            self.lose_unsynced(i, u)?;
            self.wipe(i);
            self.start(i);
        }
        Ok(())
    }

    /// Removes a machine for good and starts a spare one with an empty disk.
    fn replace_machine(&mut self, i: usize) -> Result<()> {
        let in_store =
            (self.faults.count..self.replicas.len()).find(|k| self.replicas[*k].is_in_store());
        let Some(spare) = in_store else { return Ok(()) };
        if self.replicas[i].in_use && self.tolerates(&[i]) {
            self.crash(i, 0);
            self.wipe(i);
            self.replicas[i].in_use = false;
            self.replicas[spare].in_use = true;
            self.start(spare);
        }
        Ok(())
    }

    /// The leader is asked to remove a member, while no disk of a voter is lost.
    fn remove_member(&mut self, i: usize) -> Result<()> {
        let is_whole = self.memberships().iter().all(|m| {
            let voters = m.members.iter().filter(|member| member.voter);
            let is_kept = |id| (0..self.replicas.len()).any(|k| self.identity(k) == Some(id));
            voters.clone().count() >= REMOVE_VOTERS_MIN
                && voters.map(|member| member.id).all(is_kept)
        });
        if self.faults.spares == 0 || !is_whole {
            return Ok(());
        }
        for k in 0..self.replicas.len() {
            let replica = &mut self.replicas[k];
            let now = replica.clock;
            if let Some(node) = replica.node.as_mut().filter(|_| !replica.suspended) {
                let _ = node.remove(now, &name(i));
            }
            self.pump(k);
        }
        Ok(())
    }

    /// Cuts off the leader for a while. The others may restart at that moment, or one of them does
    /// not hear the leader before.
    fn cut_leader(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(leader) = self.newest_leader() else { return Ok(()) };
        let others = (0..self.replicas.len()).filter(|i| *i != leader);
        match u.int_in_range(0..=2)? {
            0 => {}
            1 => {
                for i in others {
                    self.lose_unsynced(i, u)?;
                    self.start(i);
                }
            }
            _ => {
                let deaf = others.clone().nth(u.choose_index(others.count())?).unwrap_or(leader);
                self.cut_link(leader, deaf, true);
                self.run_steps(STEPS_MAX, |s| s.newest_leader() != Some(leader));
                self.cut_link(leader, deaf, true);
            }
        }
        self.replicas[leader].cut = true;
        self.run_steps(u.int_in_range(1..=STEPS_MAX)?, |_| false);
        self.replicas[leader].cut = false;
        Ok(())
    }

    /// One leader after the other fails shortly after its election, with another part of the
    /// replicas cut off each time.
    fn churn_leaders(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=8)? {
            let cut = u.choose_index(self.replicas.len())?;
            self.replicas[cut].cut = true;
            let term = self.newest_term();
            self.run_steps(STEPS_MAX, |s| s.newest_term() > term && s.newest_leader().is_some());
            // More than one message holds, so that a part of an earlier term is replicated first.
            for _ in 0..u.int_in_range(1..=24)? {
                self.propose();
            }
            self.run_steps(u.int_in_range(0..=8)?, |_| false);
            if let Some(leader) = self.newest_leader() {
                self.lose_unsynced(leader, u)?;
            }
            self.replicas[cut].cut = false;
            let back = u.choose_index(self.replicas.len())?;
            self.start(back);
        }
        (0..self.replicas.len()).for_each(|i| self.start(i));
        Ok(())
    }

    /// The leader of the newest term.
    fn newest_leader(&self) -> Option<usize> {
        let term = |i: usize| {
            let node = self.replicas[i].node.as_ref()?;
            node.is_leader().then(|| node.term())
        };
        (0..self.replicas.len()).filter_map(|i| Some((term(i)?, i))).max().map(|(_, i)| i)
    }

    fn newest_term(&self) -> Term {
        self.replicas.iter().filter_map(|r| r.node.as_ref()).map(Node::term).max().unwrap_or(0)
    }

    /// Runs short steps, each of which delivers all messages, until a condition holds.
    fn run_steps(&mut self, steps: usize, holds: impl Fn(&Self) -> bool) {
        for _ in 0..steps {
            if holds(self) {
                return;
            }
            self.advance(SHORT_STEP);
            self.sync_all();
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                self.deliver(from, to, message);
            }
        }
    }

    /// Suspends a machine or resumes it. Its timers may fire late after that.
    fn suspend(&mut self, i: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let delay = Duration::from_millis(u.int_in_range(0..=TIMER_DELAY_MAX_MS)?);
        let replica = &mut self.replicas[i];
        replica.suspended = !replica.suspended && replica.node.is_some();
        if !replica.suspended {
            replica.timers_due = replica.clock + delay;
        }
        Ok(())
    }

    /// Messages of any age arrive, most of them not for the first time.
    fn deliver_late(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=8)? {
            if self.late.len() > 0 {
                let (from, to, message) = self.late.get(u.choose_index(self.late.len())?);
                self.deliver(from, to, message);
            }
        }
        Ok(())
    }

    /// Ends a process by a loss of power. Of what was not synced, a prefix is kept, or a new
    /// snapshot beside the old log.
    fn lose_unsynced(&mut self, i: usize, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=5)? {
            kept @ 0..=3 => self.crash(i, kept),
            4 => self.crash(i, usize::MAX),
            _ => {
                self.stop(i);
                self.replicas[i].disk.crash_after_snapshot();
            }
        }
        Ok(())
    }

    fn wipe(&mut self, i: usize) {
        self.replicas[i].disk.wipe();
        self.replicas[i].was_wiped = true;
    }

    /// Disks to lose, as many as are tolerated at most.
    fn choose_lost(&self, u: &mut Unstructured<'_>) -> Result<Vec<usize>> {
        let mut lost = Vec::new();
        for _ in 0..u.int_in_range(0..=self.faults.count / 2)? {
            let i = u.choose_index(self.replicas.len())?;
            lost.push(i);
            if !self.tolerates(&lost) {
                lost.pop();
            }
        }
        Ok(lost)
    }

    /// Whether every set of voters that is in effect on any disk, or may come into effect, keeps a
    /// majority without these disks.
    fn tolerates(&self, lost: &[usize]) -> bool {
        let kept = (0..self.replicas.len()).filter(|i| !lost.contains(i));
        let identities: Vec<ReplicaId> = kept.filter_map(|i| self.identity(i)).collect();
        let keeps_majority = |voters: &[ReplicaId]| {
            let kept = voters.iter().filter(|id| identities.contains(id)).count();
            kept * 2 > voters.len()
        };
        let keeps_majorities = |m: &Membership| {
            let voters = m.members.iter().filter(|member| member.voter);
            let voters: Vec<_> = voters.map(|member| member.id).collect();
            keeps_majority(&voters) && (!m.is_joint() || keeps_majority(&m.outgoing))
        };
        // A learner may be promoted at any moment, even if it has just been lost.
        let promotions = |m: &Membership| -> Vec<Membership> {
            let learners = m.members.iter().filter(|l| !l.voter && !m.outgoing.contains(&l.id));
            learners.map(|l| m.with_voter(l.id)).collect()
        };
        let sets = self.memberships();
        !sets.is_empty()
            && sets.iter().all(keeps_majorities)
            && sets.iter().flat_map(promotions).all(|m| keeps_majorities(&m))
    }

    /// Identity of a replica's disk, if it is durable.
    fn identity(&self, i: usize) -> Option<ReplicaId> {
        let state = self.replicas[i].disk.clone().load().unwrap();
        state.hard_state.map(|h| h.id)
    }

    fn durable_term(&self, i: usize) -> Term {
        let state = self.replicas[i].disk.clone().load().unwrap();
        state.hard_state.map_or(0, |h| h.term)
    }

    /// The committed membership and all later ones that a replica holds, durable or not, or may
    /// still receive.
    fn memberships(&self) -> Vec<Membership> {
        let Some((commit, committed)) = self.oracle.last_membership() else { return Vec::new() };
        let mut memberships = vec![committed.clone()];
        let mut add = |entries: &[Entry]| {
            memberships.extend(entries.iter().filter_map(|e| later_membership(e, commit)));
        };
        for replica in &self.replicas {
            add(&replica.disk.clone().load().unwrap().entries);
            for write in replica.queue.iter().flat_map(|(_, writes)| writes) {
                if let StorageWrite::Append(entries) = write {
                    add(entries);
                }
            }
        }
        for (_, to, message) in self.in_flight.iter().chain(self.late.iter()) {
            if let MessageBody::Append { entries, .. } = &message.body
                && message.term >= self.durable_term(*to)
            {
                add(entries);
            }
        }
        memberships
    }

    /// Runs rounds until a condition holds, which is checked after each message. Returns whether it
    /// holds.
    fn run_until(&mut self, rounds: usize, holds: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..rounds {
            self.advance(ROUND_TIME);
            self.sync_all();
            for _ in 0..self.in_flight.len() {
                // The messages that are not delivered yet stay in flight for the condition.
                if self.in_flight.is_empty() {
                    break;
                }
                let (from, to, message) = self.in_flight.remove(0);
                let is_response = matches!(message.body, MessageBody::HeartbeatResponse { .. });
                self.deliver(from, to, message);
                if !is_response && holds(self) {
                    return true;
                }
            }
            self.check();
        }
        false
    }

    /// Restarts replicas that have stopped for good under a new identity. The daemon does so where
    /// replicas outside the settings may join, elsewhere an operator does.
    pub(super) fn restart_retired(&mut self) {
        for i in 0..self.replicas.len() {
            let Some(node) = &self.replicas[i].node else { continue };
            if node.status().role != Role::Retired {
                continue;
            }
            self.oracle.check_retired(node.id());
            if self.faults.losses {
                self.crash(i, 0);
                self.wipe(i);
                self.start(i);
            }
        }
    }
}

fn later_membership(entry: &Entry, after: Index) -> Option<Membership> {
    match &entry.payload {
        EntryPayload::Membership(membership) if entry.index > after => Some(membership.clone()),
        _ => None,
    }
}
