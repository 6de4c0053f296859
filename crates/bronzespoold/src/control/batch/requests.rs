//! Requests of callers, and the configuration that operators send.

use {
    crate::{
        control::{batch::BatchController, replica::Result},
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{
            Config, Event, EventOutcome, JobId, config,
            message::{Caller, Denial, JobRequest, Reply},
            spec::JobSpec,
        },
        core::{Code, Refusal},
    },
    std::sync::Arc,
};

/// Time after which to repeat a cancelling of an unknown job, of which there are too many.
const CANCEL_RETRY_SECONDS: u32 = 5;

/// Queue and team of a request.
struct RequestScope {
    queue: Arc<str>,
    team: Option<Arc<str>>,
}

impl BatchController {
    pub(super) async fn job_request(&self, caller: &Caller, request: JobRequest) -> Result<Reply> {
        self.replica.read_barrier().await?;
        let scope = match self.resolve_scope(caller) {
            Ok(scope) => scope,
            Err(denial) => return Ok(Reply::Denied(denial)),
        };
        match request {
            JobRequest::Submit(spec) => self.submit(*spec, scope).await,
            JobRequest::State(id) => Ok(self.job_state(id)),
            JobRequest::Cancel(id) => self.cancel(id).await,
            JobRequest::Pending => {
                let pending = self.replica.state().batch().pending(&scope.queue);
                Ok(Reply::Pending(pending as u64))
            }
        }
    }

    /// Finds the queue and team by the configuration in force.
    fn resolve_scope(&self, caller: &Caller) -> std::result::Result<RequestScope, Denial> {
        let state = self.replica.state();
        let config = state.batch().config().ok_or(Denial::NoConfig)?;
        let queue = config.route(&caller.host, &caller.path).ok_or(Denial::NoQueue)?;
        let identity = caller.key.as_deref().map(|k| config.key_owner(k));
        let team = match identity {
            Some(config::KeyOwner::Team(team)) => Some(team),
            _ if queue.public => None,
            _ => return Err(Denial::NoKey),
        };
        Ok(RequestScope { queue: queue.name.clone(), team })
    }

    async fn submit(&self, spec: JobSpec, scope: RequestScope) -> Result<Reply> {
        if self.replica.state().batch().job(spec.id).is_some() {
            return Ok(Reply::Done);
        }
        let id = spec.id;
        let spec = JobSpec { queue: scope.queue, team: scope.team, ..spec };
        if let Err(error) = spec.check() {
            event::JobRefused { job: id, error: error.to_string() }.emit();
            return Ok(Reply::Denied(Denial::Invalid));
        }
        if self.is_cancelled_early(id) {
            return Ok(early_cancel_denial(id));
        }
        if let Err(denial) = self.admit(&spec) {
            return Ok(Reply::Denied(denial));
        }
        let _room = match self.take_job_storage(&spec) {
            Ok(room) => room,
            Err(denial) => return Ok(Reply::Denied(denial)),
        };
        let outcome = self.propose_one(Event::Submitted(Arc::new(spec))).await?;
        Ok(match outcome {
            EventOutcome::Applied | EventOutcome::Known => Reply::Done,
            EventOutcome::Stale if self.is_cancelled_early(id) => early_cancel_denial(id),
            EventOutcome::Stale => Reply::Denied(Denial::NoQueue),
        })
    }

    /// Whether a job was cancelled before it was submitted.
    fn is_cancelled_early(&self, id: JobId) -> bool {
        self.replica.state().batch().early_cancels().contains(id)
    }

    /// Tells why a job is in its phase.
    pub(super) async fn explain(&self, id: JobId) -> Result<Reply> {
        self.replica.read_barrier().await?;
        let term = self.replica.term();
        let overload = self.explain_overload(id);
        let wait = self.explain_wait(id);
        let state = self.replica.state();
        let explained = state.batch().job(id).zip(state.batch().explain(id));
        let run_times = self.run_times.borrow();
        let text =
            explained.map(|(job, e)| run_times.explain(term, job, format!("{e}{wait}{overload}")));
        Ok(text.map_or(Reply::Denied(Denial::NoJob), Reply::Explained))
    }

    fn job_state(&self, id: JobId) -> Reply {
        let state = self.replica.state();
        let job = state.batch().job(id);
        job.map_or(Reply::Denied(Denial::NoJob), |j| Reply::State(j.phase))
    }

    /// Cancels a job. That there is no such job is in the log before its caller is told: the
    /// submission may still be on its way.
    async fn cancel(&self, id: JobId) -> Result<Reply> {
        let phase = self.replica.state().batch().job(id).map(|j| j.phase);
        match phase {
            None if self.is_cancelled_early(id) => return Ok(Reply::Denied(Denial::NoJob)),
            None if !self.has_room_for_cancel() => {
                event::CancelRefused { job: id }.emit();
                return Ok(Reply::Denied(Denial::Overloaded(CANCEL_RETRY_SECONDS)));
            }
            Some(phase) if !phase.is_active() => return Ok(Reply::Done),
            _ => {}
        }
        let outcome = self.propose_one(Event::Cancelled(id)).await?;
        Ok(match outcome {
            EventOutcome::Applied | EventOutcome::Known => Reply::Done,
            EventOutcome::Stale => Reply::Denied(Denial::NoJob),
        })
    }

    fn has_room_for_cancel(&self) -> bool {
        self.replica.state().batch().early_cancels().has_room(self.replica.log_time())
    }

    /// Puts a configuration in force. A configuration that is not newer than the one in force is
    /// acknowledged and changes nothing.
    pub(super) async fn configure(&self, config: Arc<Config>) -> Result<Reply> {
        if let Err(error) = config.check() {
            return Err(Refusal::new(Code::ConfigInvalid, error.to_string()));
        }
        self.replica.read_barrier().await?;
        let current = self.replica.state().batch().config().map(|c| c.version);
        if current.is_some_and(|v| v >= config.version) {
            return Ok(Reply::Done);
        }
        self.propose_one(Event::Configured(config)).await?;
        Ok(Reply::Done)
    }

    pub(super) async fn read_config(&self) -> Result<Reply> {
        self.replica.read_barrier().await?;
        let state = self.replica.state();
        Ok(Reply::Config(state.batch().config().map(|c| c.document.clone())))
    }
}

/// Denies a submission that comes after the cancelling of its job.
fn early_cancel_denial(id: JobId) -> Reply {
    event::JobRefused { job: id, error: "cancelled before it was submitted".into() }.emit();
    Reply::Denied(Denial::NoJob)
}
