//! Requests of callers and operators.

use {
    crate::{
        control::{batch::Batch, replica::Result},
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

/// Queue and team of a request.
struct Place {
    queue: Arc<str>,
    team: Option<Arc<str>>,
}

impl Batch {
    pub(super) async fn ask(&self, caller: &Caller, ask: JobRequest) -> Result<Reply> {
        self.replica.read().await?;
        let place = match self.place(caller) {
            Ok(place) => place,
            Err(denial) => return Ok(Reply::Denied(denial)),
        };
        match ask {
            JobRequest::Submit(spec) => self.submit(*spec, place).await,
            JobRequest::State(id) => Ok(self.job_state(id)),
            JobRequest::Cancel(id) => self.cancel(id).await,
            JobRequest::Pending => {
                let pending = self.replica.state().batch().pending(&place.queue);
                Ok(Reply::Pending(pending as u64))
            }
        }
    }

    /// Queue and team by the configuration in force.
    fn place(&self, caller: &Caller) -> std::result::Result<Place, Denial> {
        let state = self.replica.state();
        let config = state.batch().config().ok_or(Denial::NoConfig)?;
        let queue = config.route(&caller.host, &caller.path).ok_or(Denial::NoQueue)?;
        let known = caller.key.as_deref().map(|k| config.key_owner(k));
        let team = match known {
            Some(config::KeyOwner::Team(team)) => Some(team),
            _ if queue.public => None,
            _ => return Err(Denial::NoKey),
        };
        Ok(Place { queue: queue.name.clone(), team })
    }

    async fn submit(&self, spec: JobSpec, place: Place) -> Result<Reply> {
        if self.replica.state().batch().job(spec.id).is_some() {
            return Ok(Reply::Done);
        }
        let id = spec.id;
        let spec = JobSpec { queue: place.queue, team: place.team, ..spec };
        if let Err(error) = spec.check() {
            event::JobRefused { job: id, error: error.to_string() }.emit();
            return Ok(Reply::Denied(Denial::Invalid));
        }
        let verdict = self.propose_one(Event::Submitted(Arc::new(spec))).await?;
        self.kick.notify_one();
        Ok(match verdict {
            EventOutcome::Applied | EventOutcome::Known => Reply::Done,
            EventOutcome::Stale => Reply::Denied(Denial::NoQueue),
        })
    }

    fn job_state(&self, id: JobId) -> Reply {
        let state = self.replica.state();
        let job = state.batch().job(id);
        job.map_or(Reply::Denied(Denial::NoJob), |j| Reply::State(j.phase))
    }

    async fn cancel(&self, id: JobId) -> Result<Reply> {
        let phase = self.replica.state().batch().job(id).map(|j| j.phase);
        match phase {
            None => return Ok(Reply::Denied(Denial::NoJob)),
            Some(phase) if !phase.is_active() => return Ok(Reply::Done),
            Some(_) => {}
        }
        let verdict = self.propose_one(Event::Cancelled(id)).await?;
        self.kick.notify_one();
        Ok(match verdict {
            EventOutcome::Applied | EventOutcome::Known => Reply::Done,
            EventOutcome::Stale => Reply::Denied(Denial::NoJob),
        })
    }

    /// Puts a configuration in force; one that is not newer is noted and changes nothing.
    pub(super) async fn configure(&self, config: Arc<Config>) -> Result<Reply> {
        if let Err(error) = config.check() {
            return Err(Refusal::new(Code::ConfigInvalid, error.to_string()));
        }
        self.replica.read().await?;
        let held = self.replica.state().batch().config().map(|c| c.version);
        if held.is_some_and(|v| v >= config.version) {
            return Ok(Reply::Done);
        }
        self.propose_one(Event::Configured(config)).await?;
        self.kick.notify_one();
        Ok(Reply::Done)
    }

    pub(super) async fn read_config(&self) -> Result<Reply> {
        self.replica.read().await?;
        let state = self.replica.state();
        Ok(Reply::Config(state.batch().config().map(|c| c.document.clone())))
    }
}
