//! Runs requests that the admission lets through.

use {
    crate::{
        agent::state::State,
        http::Connection,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Refusal, Time},
        flow::{
            admit::{Attempt, AttemptId, AttemptStatus, ConnectionSource, StartDecision},
            claim::Completion,
        },
        wire::message::{Call, RunMode, RunReply, RunRequest, StatusReply},
    },
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time for which the agent still waits for the endpoint after the caller's deadline, so that a
/// late answer is kept for the caller who asks again.
const LINGER: Duration = Duration::from_secs(60);
/// Longest wait for one report of an outcome.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Pause between two reports of one outcome.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
/// Longest time in which an outcome is reported.
const REPORTS: u32 = 600;
/// Longest wait for the configuration's revision that a request names.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Pause between two looks at the own revision.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(5);

impl State {
    /// Runs a request, if it is admitted, and waits for its completion.
    pub(super) async fn run(self: &Rc<Self>, run: RunRequest, body: Bytes) -> RunReply {
        let result = match self.check(&run).await {
            Ok(()) => self.admitted(run, body).await,
            Err(code) => Err(self.refused(&run, code).into()),
        };
        RunReply { state: self.brief(), result }
    }

    /// What is known of an attempt.
    pub(super) fn ask(&self, name: &AttemptId) -> StatusReply {
        let admission = self.admission.borrow();
        let now = self.clock.now();
        let status = admission.as_ref().map_or(AttemptStatus::Forgotten, |a| a.status(now, name));
        StatusReply { state: self.brief(), status }
    }

    /// Makes sure that an attempt which has not started never will.
    pub(super) fn fence(&self, name: &AttemptId) -> StatusReply {
        let now = self.clock.now();
        let status = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.fence(now, name),
            None => AttemptStatus::Forgotten,
        };
        StatusReply { state: self.brief(), status }
    }

    async fn check(&self, run: &RunRequest) -> Result<(), Code> {
        let own = self.admission.borrow().as_ref().map(|a| a.incarnation().number);
        match own {
            None => return Err(Code::NoSession),
            Some(number) if number != run.incarnation => return Err(Code::IncarnationGone),
            Some(_) => {}
        }
        let end = self.clock.now() + CATCH_UP;
        while self.revision() < run.revision && self.clock.now() < end {
            sleep(CATCH_UP_PAUSE).await;
        }
        if self.revision() == run.revision { Ok(()) } else { Err(Code::RevisionBehind) }
    }

    /// The code of a refusal. For a protected request it says that the attempt never runs, so no
    /// other copy may either; if one has started already, its outcome must be asked for.
    fn refused(&self, run: &RunRequest, code: Code) -> Code {
        let RunMode::Protected(name) = &run.mode else {
            return code;
        };
        match self.fence(name).status {
            AttemptStatus::Started | AttemptStatus::Finished(_) => Code::InProgress,
            AttemptStatus::Unseen | AttemptStatus::Fenced | AttemptStatus::Forgotten => code,
        }
    }

    async fn admitted(
        self: &Rc<Self>,
        run: RunRequest,
        body: Bytes,
    ) -> Result<Completion, Refusal> {
        match run.mode.clone() {
            RunMode::Protected(name) => self.protected(name, run, body).await,
            RunMode::Idempotent => self.idempotent(run, body).await,
        }
    }

    async fn idempotent(
        self: &Rc<Self>,
        run: RunRequest,
        body: Bytes,
    ) -> Result<Completion, Refusal> {
        let now = self.clock.now();
        let slots = run.slots;
        let lane = self.enter(now, slots)?;
        let idle = self.endpoint.take(lane);
        let state = Rc::clone(self);
        // A task of its own: the slot stays taken for as long as the endpoint works.
        let work = spawn_local(async move {
            let time = Duration::from_millis(run.timeout_millis);
            let served = state.endpoint.serve(idle, &run, body, time).await;
            if let Some(admission) = state.admission.borrow_mut().as_mut() {
                admission.finish_unprotected(slots, served.connection.is_some());
                served.connection.into_iter().for_each(|c| state.endpoint.keep(c));
            }
            served.completion
        });
        work.await.map_err(|_| Refusal::from(Code::Internal))
    }

    fn enter(&self, now: Time, slots: u32) -> Result<ConnectionSource, Refusal> {
        self.trim();
        let mut admission = self.admission.borrow_mut();
        let admission = admission.as_mut().ok_or(Code::NoSession)?;
        Ok(admission.admit_unprotected(now, slots)?)
    }

    async fn protected(
        self: &Rc<Self>,
        name: AttemptId,
        run: RunRequest,
        body: Bytes,
    ) -> Result<Completion, Refusal> {
        let time = Duration::from_millis(run.timeout_millis);
        match self.start(&name, &run)? {
            StartDecision::Run(lane) => {
                // A protected request takes a new connection, in the place of an idle one.
                drop(self.endpoint.take(lane));
                spawn_local(Rc::clone(self).work(name.clone(), run, body));
            }
            StartDecision::Refused(code) => return Err(code.into()),
            StartDecision::Duplicate(AttemptStatus::Fenced) => return Err(Code::Fenced.into()),
            StartDecision::Duplicate(_) => {}
        }
        timeout(time, self.completion(&name)).await.unwrap_or_else(|_| Err(Code::InProgress.into()))
    }

    fn start(&self, name: &AttemptId, run: &RunRequest) -> Result<StartDecision, Refusal> {
        self.trim();
        let mut admission = self.admission.borrow_mut();
        let admission = admission.as_mut().ok_or(Code::NoSession)?;
        let attempt = Attempt { id: name.clone(), digest: run.digest, slots: run.slots };
        Ok(admission.start(self.clock.now(), &attempt))
    }

    /// Waits until the attempt has ended.
    async fn completion(&self, name: &AttemptId) -> Result<Completion, Refusal> {
        loop {
            let finished = self.finished.notified();
            match self.ask(name).status {
                AttemptStatus::Finished(completion) => return Ok(completion),
                AttemptStatus::Started => finished.await,
                AttemptStatus::Fenced | AttemptStatus::Unseen => return Err(Code::Fenced.into()),
                AttemptStatus::Forgotten => return Err(Code::Sealed.into()),
            }
        }
    }

    /// Runs a started attempt to its end, keeps its outcome and reports it.
    async fn work(self: Rc<Self>, name: AttemptId, run: RunRequest, body: Bytes) {
        let time = Duration::from_millis(run.timeout_millis) + LINGER;
        let served = self.endpoint.serve(None, &run, body, time).await;
        self.finish(&name, run.slots, &served.completion, served.connection);
        self.finished.notify_waiters();
        self.reports.set(self.reports.get() + 1);
        self.report(name, served.completion).await;
        self.reports.set(self.reports.get() - 1);
    }

    /// Notes the outcome and keeps the connection if there is one.
    fn finish(
        &self,
        name: &AttemptId,
        slots: u32,
        completion: &Completion,
        connection: Option<Connection>,
    ) {
        let now = self.clock.now();
        let reuse = connection.is_some();
        let mut admission = self.admission.borrow_mut();
        let finished = admission
            .as_mut()
            .is_some_and(|a| a.finish(now, &name.claim, name.attempt, slots, reuse, completion));
        connection.into_iter().filter(|_| finished).for_each(|c| self.endpoint.keep(c));
    }

    /// Reports an outcome to control until control has noted it.
    async fn report(&self, name: AttemptId, completion: Completion) {
        let call = Call::Complete { id: name.claim, attempt: name.attempt, completion };
        for _ in 0..REPORTS {
            let Some(session_client) = self.session_client() else {
                return;
            };
            match session_client.call(&call, REPORT_TIME).await {
                Ok(_) => return,
                Err(refusal) => event::OutcomeReportFailed { refusal: refusal.to_string() }.emit(),
            }
            sleep(REPORT_PAUSE).await;
        }
    }
}
