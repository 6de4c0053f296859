//! Runs agents, workers and the leader on a queue of happenings in virtual time.

use {
    crate::size::{
        Options, Planted,
        agent::{Agent, CHECK_IN_INTERVAL, LIST_PAUSE, LIST_WAIT},
        counts::Counts,
        decision_figures::DecisionFigures,
        happening::{After, CallAnswer, Happening},
        leader::{Answer, Leader, WaitingPoll, encoded_len},
        load::{Load, STREAM_START, WORKER_ACCELERATORS, config, worker_spec},
        model_run::ModelRun,
        site::{Site, Timer},
        worker::OpenList,
    },
    bronzespool::{
        batch::{
            Event, Record,
            agent::{Action, ListRequest, Listing, StopOutcome},
            exchange::poll_events,
            message::{Orders, Poll},
        },
        core::Time,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        sync::Arc,
        time::Duration,
    },
};

/// Time of a message between an agent and the leader.
const LEADER_DELAY: Duration = Duration::from_millis(1);
/// Time of a message between an agent and its worker.
const WORKER_DELAY: Duration = Duration::from_micros(500);
/// Time from the proposal of a record to its application.
const COMMIT_TIME: Duration = Duration::from_millis(3);
/// Longest time between two plans, as the leader of the daemon has it.
const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(100);
/// Shortest time between two plans, as the leader of the daemon has it.
const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(3);
/// Longest time for which a poll waits for orders, as the leader of the daemon has it.
const ORDERS_WAIT: Duration = Duration::from_millis(400);

/// Runs the model.
pub fn run(options: &Options) -> ModelRun {
    let mut model = Model::new(options);
    model.run();
    model.result()
}

struct Model {
    options: Options,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    serial: u64,
    load: Load,
    agents: Vec<Agent>,
    site: Site,
    leader: Leader,
    counts: Counts,
    /// Whether the planner waits for a change.
    planner_waits: bool,
    /// Whether there was a change since the last plan began.
    planner_notified: bool,
    /// Number of waits of the planner.
    planner_waited: u64,
    plan_count: u64,
    jobs_left: usize,
    /// Runs that had started when the stream began.
    started_before: usize,
    /// Accelerators times the seconds for which they were held while jobs arrived.
    held: f64,
    /// Time up to which these are summed.
    held_at: Time,
    result: ModelRun,
}

impl Model {
    fn new(options: &Options) -> Self {
        let load = Load::new(options);
        let jobs_left = load.jobs.len();
        let mut model = Self {
            options: *options,
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            serial: 0,
            agents: (0..options.workers).map(Agent::new).collect(),
            site: Site::new(options.workers, load.clone()),
            load,
            leader: Leader::new(options.workers),
            counts: Counts::default(),
            planner_waits: true,
            planner_notified: false,
            planner_waited: 0,
            plan_count: 0,
            jobs_left,
            started_before: 0,
            held: 0.0,
            held_at: Time::ZERO,
            result: ModelRun::default(),
        };
        model.prepare();
        model
    }

    /// Queues what happens by itself.
    fn prepare(&mut self) {
        self.propose(vec![Event::Configured(Arc::new(config(&self.options)))], After::Nothing);
        for agent in 0..self.options.workers {
            let part = CHECK_IN_INTERVAL * agent as u32 / self.options.workers as u32;
            self.at(Time::ZERO + part, Happening::CheckIn(agent));
            let first_list = Time::ZERO + part + WORKER_DELAY;
            self.at(first_list, Happening::ListLoop(agent));
        }
        for i in 0..self.load.jobs.len() {
            self.at(self.load.jobs[i].submit, Happening::Submit(i));
        }
        self.at(STREAM_START, Happening::StreamBegins);
        if !self.options.stream.is_zero() {
            self.at(STREAM_START + self.options.stream, Happening::StreamEnds);
        }
    }

    fn at(&mut self, at: Time, happening: Happening) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.happenings.insert(self.serial, happening);
    }

    fn after(&mut self, delay: Duration, happening: Happening) {
        self.at(self.now + delay, happening);
    }

    /// Runs until all jobs have ended, or the time for it is over.
    fn run(&mut self) {
        let end = STREAM_START + self.options.stream + self.options.drain_max;
        let stream_end = STREAM_START + self.options.stream;
        while let Some(Reverse((at, serial))) = self.queue.pop() {
            let over = self.jobs_left == 0 && !self.load.jobs.is_empty() && at > stream_end;
            if at > end || over {
                break;
            }
            self.now = at;
            if let Some(happening) = self.happenings.remove(&serial) {
                self.happen(happening);
            }
        }
        if self.options.stream.is_zero() {
            self.now = end;
            self.close_counts();
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::StreamBegins => self.stream_begins(),
            Happening::StreamEnds => self.close_counts(),
            Happening::Submit(i) => {
                let spec = Arc::clone(&self.load.jobs[i].spec);
                self.propose(vec![Event::Submitted(spec)], After::Nothing);
            }
            Happening::CheckIn(agent) => self.check_in(agent),
            Happening::PollArrives(agent, sent, poll) => self.poll_arrives(agent, sent, poll),
            Happening::WaitEnds(agent, serial) => {
                let answer = self.leader.end_wait(agent, serial);
                self.send_answers(answer);
            }
            Happening::OrdersArrive(agent, sent, poll, orders) => {
                self.orders_arrive(agent, sent, &poll, *orders);
            }
            Happening::Commit(events, after) => self.commit(events, after),
            Happening::ListLoop(agent) => self.request_list(agent, true),
            Happening::ListArrives(agent, request, looped) => {
                self.list_arrives(agent, request, looped);
            }
            Happening::ListWaitEnds(agent, serial) => {
                let open = &self.site.workers[agent].open_list;
                if open.as_ref().is_some_and(|o| o.request.serial == serial) {
                    self.answer_open_list(agent);
                }
            }
            Happening::ListAnswered(agent, request, listing, looped) => {
                self.list_answered(agent, &request, *listing, looped);
            }
            Happening::CallArrives(agent, action) => self.call_arrives(agent, action),
            Happening::CallAnswered(agent, action, answer) => {
                self.call_answered(agent, &action, answer);
            }
            Happening::RunEnds(timer) => self.run_ends(&timer),
            Happening::Plan => self.plan(),
            Happening::PlanDue(waited) => {
                if self.planner_waits && self.planner_waited == waited {
                    self.begin_plan();
                }
            }
        }
    }

    fn stream_begins(&mut self) {
        self.counts = Counts::default();
        self.started_before = self.site.tally.started;
    }

    /// Closes the time in which events are counted.
    fn close_counts(&mut self) {
        self.add_held();
        self.result.counts = self.counts;
        self.result.runs = self.site.tally.started - self.started_before;
        self.result.length = self.now.since(STREAM_START);
        let accelerators = self.options.workers as f64 * WORKER_ACCELERATORS as f64;
        self.result.decisions.utilisation =
            self.held / accelerators / self.result.length.as_secs_f64();
    }

    /// Adds the accelerators held since the last change of the workers' runs.
    fn add_held(&mut self) {
        let since = self.now.since(self.held_at).as_secs_f64();
        if self.now <= STREAM_START + self.options.stream {
            self.held += self.site.accelerators() as f64 * since;
        }
        self.held_at = self.now;
    }

    fn propose(&mut self, events: Vec<Event>, after: After) {
        self.after(COMMIT_TIME, Happening::Commit(events, after));
    }

    fn commit(&mut self, events: Vec<Event>, after: After) {
        let ended = events.iter().any(|e| matches!(e, Event::Ended { .. }));
        let record = Record { at: self.now, events };
        let answers = self.leader.apply(&record, &mut self.counts);
        if self.options.planted == Planted::OrdersToAll {
            self.plant_orders(&answers);
        }
        self.send_answers(answers);
        if ended {
            let jobs = self.load.jobs.iter();
            self.jobs_left = jobs.filter(|j| !self.leader.has_ended(j)).count();
            if self.options.planted == Planted::RecordsForAll {
                self.plant_records();
            }
        }
        match after {
            After::Nothing => self.notify_planner(),
            After::Answer(agent, poll) => {
                let answer = self.leader.answer(agent, poll);
                self.send_answers([answer]);
                self.notify_planner();
            }
            After::Plan => {
                self.planner_notified = true;
                self.plan_done();
            }
        }
    }

    /// Sends orders to all agents whose polls wait. Agents ignore those for other workers.
    fn plant_orders(&mut self, answers: &[Answer]) {
        let Some((_, _, orders)) = answers.first() else { return };
        let others = self.leader.wake_all();
        let copies = others.into_iter().map(|(agent, poll, _)| (agent, poll, orders.clone()));
        self.send_answers(copies.collect::<Vec<_>>());
    }

    /// Makes all other agents call their workers to stop a run that these do not hold.
    fn plant_calls(&mut self, agent: usize, action: &Action) {
        let (run, epoch) = match action {
            Action::Start { start, epoch, .. } => (start.run, *epoch),
            Action::Stop { run, epoch, .. } | Action::Pace { run, epoch, .. } => (*run, *epoch),
        };
        for other in (0..self.options.workers).filter(|other| *other != agent) {
            let incarnation = worker_spec(other).incarnation;
            let stop = Box::new(Action::Stop { run, epoch, incarnation });
            self.counts.calls += 1;
            self.after(WORKER_DELAY, Happening::CallArrives(other, stop));
        }
    }

    fn plant_records(&mut self) {
        for worker in 0..self.options.workers {
            let event = Event::WorkerUp(Box::new(worker_spec(worker)));
            self.propose(vec![event], After::Nothing);
        }
    }

    fn notify_planner(&mut self) {
        if self.planner_waits {
            self.begin_plan();
        } else {
            self.planner_notified = true;
        }
    }

    fn begin_plan(&mut self) {
        (self.planner_waits, self.planner_notified) = (false, false);
        self.after(PLAN_INTERVAL_MIN + self.options.plan_time, Happening::Plan);
    }

    fn plan(&mut self) {
        self.counts.plans += 1;
        self.plan_count += 1;
        let events = self.leader.plan(self.now);
        if events.is_empty() {
            self.plan_done();
        } else {
            self.propose(events, After::Plan);
        }
    }

    fn plan_done(&mut self) {
        if self.planner_notified {
            return self.begin_plan();
        }
        self.planner_waits = true;
        self.planner_waited += 1;
        self.after(PLAN_INTERVAL_MAX, Happening::PlanDue(self.planner_waited));
    }

    fn check_in(&mut self, agent: usize) {
        self.counts.check_ins += 1;
        self.agents[agent].check_in(self.now);
        if self.options.planted == Planted::CheckInsToAll {
            let answers = self.leader.wake_all();
            self.send_answers(answers);
        }
        self.after(CHECK_IN_INTERVAL, Happening::CheckIn(agent));
    }

    /// Sends the polls that an agent makes now.
    fn send_polls(&mut self, agent: usize) {
        while self.agents[agent].takes_poll() {
            let poll = Box::new(self.agents[agent].poll(self.now));
            self.agents[agent].in_flight += 1;
            self.counts.polls += 1;
            self.counts.poll_bytes += encoded_len(&*poll);
            self.after(LEADER_DELAY, Happening::PollArrives(agent, self.now, poll));
        }
    }

    fn wake_agent(&mut self, agent: usize) {
        self.counts.agent_wakes += 1;
        self.agents[agent].notified = true;
        self.send_polls(agent);
    }

    fn poll_arrives(&mut self, agent: usize, sent: Time, poll: Box<Poll>) {
        let serial = self.leader.record_poll(agent, &poll);
        let events = poll_events(self.now, &self.leader.ledger, &self.leader.grants, &poll);
        let waiting = WaitingPoll { serial, sent, poll };
        if !events.is_empty() {
            return self.propose(events, After::Answer(agent, waiting));
        }
        let answer = self.leader.answer_or_wait(agent, waiting);
        if answer.is_none() {
            self.after(ORDERS_WAIT, Happening::WaitEnds(agent, serial));
        }
        self.send_answers(answer);
    }

    fn send_answers(&mut self, answers: impl IntoIterator<Item = Answer>) {
        for (agent, waiting, orders) in answers {
            self.counts.orders += (orders.starts.len() + orders.stops.len()) as u64;
            self.counts.order_bytes += encoded_len(&*orders);
            let WaitingPoll { sent, poll, .. } = waiting;
            if let Some(incarnation) = &orders.incarnation {
                self.leader.grants.record(self.now, incarnation, poll.id);
            }
            self.after(LEADER_DELAY, Happening::OrdersArrive(agent, sent, poll, orders));
        }
    }

    fn orders_arrive(&mut self, agent: usize, sent: Time, poll: &Poll, orders: Orders) {
        let here = &mut self.agents[agent];
        here.in_flight -= 1;
        here.reconciler.receive_orders(sent, poll, orders);
        let actions = here.reconciler.actions(self.now);
        for action in actions {
            self.counts.calls += 1;
            if self.options.planted == Planted::CallsByAll {
                self.plant_calls(agent, &action);
            }
            self.after(WORKER_DELAY, Happening::CallArrives(agent, Box::new(action)));
        }
        self.send_polls(agent);
    }

    fn request_list(&mut self, agent: usize, looped: bool) {
        let Some(request) = self.agents[agent].reconciler.list_request(self.now) else { return };
        self.counts.lists += 1;
        self.after(WORKER_DELAY, Happening::ListArrives(agent, request, looped));
    }

    fn list_arrives(&mut self, agent: usize, request: ListRequest, looped: bool) {
        let worker = &mut self.site.workers[agent];
        if looped && !worker.has_news(&request) {
            let serial = request.serial;
            worker.open_list = Some(OpenList { request });
            return self.after(LIST_WAIT, Happening::ListWaitEnds(agent, serial));
        }
        self.answer_list(agent, request, looped);
    }

    fn answer_open_list(&mut self, agent: usize) {
        if let Some(open) = self.site.workers[agent].open_list.take() {
            self.answer_list(agent, open.request, true);
        }
    }

    fn answer_list(&mut self, agent: usize, request: ListRequest, looped: bool) {
        let listing = Box::new(self.site.workers[agent].list(self.now, &request));
        let answered = Happening::ListAnswered(agent, request, listing, looped);
        self.after(WORKER_DELAY, answered);
    }

    fn list_answered(
        &mut self,
        agent: usize,
        request: &ListRequest,
        listing: Listing,
        looped: bool,
    ) {
        let news = self.agents[agent].reconciler.receive_listing(self.now, request, listing);
        if news || !looped {
            self.wake_agent(agent);
        } else {
            self.send_polls(agent);
        }
        if looped {
            self.after(LIST_PAUSE, Happening::ListLoop(agent));
        }
    }

    fn call_arrives(&mut self, agent: usize, action: Box<Action>) {
        self.add_held();
        let answer = match &*action {
            Action::Start { start, .. } => {
                CallAnswer::Start(self.site.start(self.now, agent, start))
            }
            Action::Stop { run, .. } => CallAnswer::Stop(self.site.stop(self.now, agent, *run)),
            Action::Pace { .. } => CallAnswer::Stop(StopOutcome::Noted),
        };
        self.set_timers();
        self.after(WORKER_DELAY, Happening::CallAnswered(agent, action, answer));
    }

    fn set_timers(&mut self) {
        for timer in std::mem::take(&mut self.site.timers) {
            self.at(timer.at, Happening::RunEnds(timer));
        }
    }

    fn call_answered(&mut self, agent: usize, action: &Action, answer: CallAnswer) {
        let (now, reconciler) = (self.now, &mut self.agents[agent].reconciler);
        match (action, answer) {
            (Action::Start { start, incarnation, .. }, CallAnswer::Start(outcome)) => {
                reconciler.start_answered(now, incarnation, start.run, outcome);
            }
            (Action::Stop { run, incarnation, .. }, CallAnswer::Stop(outcome)) => {
                reconciler.stop_answered(now, incarnation, *run, outcome);
            }
            _ => {}
        }
        self.request_list(agent, false);
        if self.options.planted == Planted::ListsByAll {
            (0..self.options.workers).for_each(|other| self.request_list(other, false));
        }
    }

    fn run_ends(&mut self, timer: &Timer) {
        self.add_held();
        if self.site.timer(self.now, timer) {
            self.set_timers();
            self.answer_open_list(timer.worker);
        }
    }

    fn result(mut self) -> ModelRun {
        self.result.plan_time = self.leader.plan_time;
        self.result.plan_count = self.plan_count;
        let utilisation = self.result.decisions.utilisation;
        self.site.tally.violations.partial_gangs += self.site.partly_done_gangs();
        let figures = DecisionFigures::collect(&self.load, &self.leader, &self.site.tally);
        let length = self.now.since(STREAM_START).as_secs_f64();
        self.result.decisions = DecisionFigures { utilisation, length, ..figures };
        self.result
    }
}
