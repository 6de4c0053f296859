//! Runs requests that pass admission and reports their outcomes to control.

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

/// Time for which the agent waits for the endpoint past the caller's deadline. A late answer is
/// kept for a caller that repeats the request.
const COMPLETION_GRACE: Duration = Duration::from_secs(60);
/// Timeout of one call that reports an outcome.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before an outcome is reported again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of attempts to report one outcome.
const REPORT_ATTEMPTS_MAX: u32 = 600;
/// Longest wait until the local view has the configuration revision that a request names.
const REVISION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks of the local revision.
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl State {
    /// Runs a request if it is admitted, and waits for its completion.
    pub(super) async fn run_request(self: &Rc<Self>, request: RunRequest, body: Bytes) -> RunReply {
        let result = match self.check_session(&request).await {
            Ok(()) => self.run_by_mode(request, body).await,
            Err(code) => Err(self.refusal_code(&request, code).into()),
        };
        RunReply { state: self.agent_state(), result }
    }

    /// Status of an attempt.
    pub(super) fn query_attempt(&self, id: &AttemptId) -> StatusReply {
        let admission = self.admission.borrow();
        let now = self.clock.now();
        let status = admission.as_ref().map_or(AttemptStatus::Forgotten, |a| a.status(now, id));
        StatusReply { state: self.agent_state(), status }
    }

    /// Fences an attempt: if it has not started yet, it never will. Returns its status.
    pub(super) fn fence_attempt(&self, id: &AttemptId) -> StatusReply {
        let now = self.clock.now();
        let status = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.fence(now, id),
            None => AttemptStatus::Forgotten,
        };
        StatusReply { state: self.agent_state(), status }
    }

    /// Checks that a request is for this incarnation and for the local configuration revision.
    async fn check_session(&self, request: &RunRequest) -> Result<(), Code> {
        let own = self.admission.borrow().as_ref().map(|a| a.incarnation().number);
        match own {
            None => return Err(Code::NoSession),
            Some(number) if number != request.incarnation => return Err(Code::IncarnationGone),
            Some(_) => {}
        }
        let end = self.clock.now() + REVISION_TIMEOUT;
        while self.revision() < request.revision && self.clock.now() < end {
            sleep(REVISION_POLL_INTERVAL).await;
        }
        if self.revision() == request.revision { Ok(()) } else { Err(Code::RevisionBehind) }
    }

    /// Result code of a refusal. The code tells the entry that the attempt never runs, so for a
    /// protected request the attempt is fenced first: no duplicate may run either. If a duplicate
    /// has already started, the code tells the entry to query its outcome.
    fn refusal_code(&self, request: &RunRequest, code: Code) -> Code {
        let RunMode::Protected(id) = &request.mode else {
            return code;
        };
        match self.fence_attempt(id).status {
            AttemptStatus::Started | AttemptStatus::Finished(_) => Code::InProgress,
            AttemptStatus::Unseen | AttemptStatus::Fenced | AttemptStatus::Forgotten => code,
        }
    }

    async fn run_by_mode(
        self: &Rc<Self>,
        request: RunRequest,
        body: Bytes,
    ) -> Result<Completion, Refusal> {
        match request.mode.clone() {
            RunMode::Protected(id) => self.run_protected(id, request, body).await,
            RunMode::Idempotent => self.run_idempotent(request, body).await,
        }
    }

    async fn run_idempotent(
        self: &Rc<Self>,
        request: RunRequest,
        body: Bytes,
    ) -> Result<Completion, Refusal> {
        let now = self.clock.now();
        let slots = request.slots;
        let source = self.admit_unprotected(now, slots)?;
        let idle = self.endpoint.take_idle(source);
        let state = Rc::clone(self);
        // Runs as a separate task: the slot stays occupied while the endpoint works, also if the
        // entry drops the call.
        let task = spawn_local(async move {
            let limit = Duration::from_millis(request.timeout_millis);
            let outcome = state.endpoint.send(idle, &request, body, limit).await;
            if let Some(admission) = state.admission.borrow_mut().as_mut() {
                admission.finish_unprotected(slots, outcome.connection.is_some());
                outcome.connection.into_iter().for_each(|c| state.endpoint.keep_idle(c));
            }
            outcome.completion
        });
        task.await.map_err(|_| Refusal::from(Code::Internal))
    }

    fn admit_unprotected(&self, now: Time, slots: u32) -> Result<ConnectionSource, Refusal> {
        self.trim_connections();
        let mut admission = self.admission.borrow_mut();
        let admission = admission.as_mut().ok_or(Code::NoSession)?;
        Ok(admission.admit_unprotected(now, slots)?)
    }

    async fn run_protected(
        self: &Rc<Self>,
        id: AttemptId,
        request: RunRequest,
        body: Bytes,
    ) -> Result<Completion, Refusal> {
        let limit = Duration::from_millis(request.timeout_millis);
        match self.start_attempt(&id, &request)? {
            StartDecision::Run(source) => {
                // A protected request always uses a new connection. If admission assigned an idle
                // one, that is closed to make room for the new one.
                drop(self.endpoint.take_idle(source));
                spawn_local(Rc::clone(self).execute_attempt(id.clone(), request, body));
            }
            StartDecision::Refused(code) => return Err(code.into()),
            StartDecision::Duplicate(AttemptStatus::Fenced) => return Err(Code::Fenced.into()),
            StartDecision::Duplicate(_) => {}
        }
        timeout(limit, self.wait_completion(&id))
            .await
            .unwrap_or_else(|_| Err(Code::InProgress.into()))
    }

    fn start_attempt(
        &self,
        id: &AttemptId,
        request: &RunRequest,
    ) -> Result<StartDecision, Refusal> {
        self.trim_connections();
        let mut admission = self.admission.borrow_mut();
        let admission = admission.as_mut().ok_or(Code::NoSession)?;
        let attempt = Attempt { id: id.clone(), digest: request.digest, slots: request.slots };
        Ok(admission.start(self.clock.now(), &attempt))
    }

    /// Waits until the attempt has finished and returns its completion.
    async fn wait_completion(&self, id: &AttemptId) -> Result<Completion, Refusal> {
        loop {
            let finished = self.attempt_finished.notified();
            match self.query_attempt(id).status {
                AttemptStatus::Finished(completion) => return Ok(completion),
                AttemptStatus::Started => finished.await,
                AttemptStatus::Fenced | AttemptStatus::Unseen => return Err(Code::Fenced.into()),
                AttemptStatus::Forgotten => return Err(Code::Sealed.into()),
            }
        }
    }

    /// Sends a started attempt to the endpoint, records its outcome and reports it to control.
    async fn execute_attempt(self: Rc<Self>, id: AttemptId, request: RunRequest, body: Bytes) {
        let limit = Duration::from_millis(request.timeout_millis) + COMPLETION_GRACE;
        let outcome = self.endpoint.send(None, &request, body, limit).await;
        self.record_completion(&id, request.slots, &outcome.completion, outcome.connection);
        self.attempt_finished.notify_waiters();
        self.open_reports.set(self.open_reports.get() + 1);
        self.report_completion(id, outcome.completion).await;
        self.open_reports.set(self.open_reports.get() - 1);
    }

    /// Records the outcome with admission and keeps the connection, if there is one, for reuse.
    fn record_completion(
        &self,
        id: &AttemptId,
        slots: u32,
        completion: &Completion,
        connection: Option<Connection>,
    ) {
        let now = self.clock.now();
        let reuse = connection.is_some();
        let mut admission = self.admission.borrow_mut();
        let finished = admission
            .as_mut()
            .is_some_and(|a| a.finish(now, &id.claim, id.attempt, slots, reuse, completion));
        connection.into_iter().filter(|_| finished).for_each(|c| self.endpoint.keep_idle(c));
    }

    /// Reports an outcome to control until control acknowledges it.
    async fn report_completion(&self, id: AttemptId, completion: Completion) {
        let call = Call::Complete { id: id.claim, attempt: id.attempt, completion };
        for _ in 0..REPORT_ATTEMPTS_MAX {
            let Some(session_client) = self.session_client() else {
                break;
            };
            match session_client.call(&call, REPORT_TIMEOUT).await {
                Ok(_) => return,
                Err(refusal) => event::OutcomeReportFailed { refusal: refusal.to_string() }.emit(),
            }
            sleep(REPORT_RETRY_DELAY).await;
        }
        self.lost_reports.set(self.lost_reports.get() + 1);
    }
}
