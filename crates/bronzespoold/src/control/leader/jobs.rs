//! Submission of jobs, and the view of jobs that callers get.

use {
    crate::control::{
        leader::calls::Leader,
        replica::Result,
        state::{Command, Effect},
    },
    bronzespool::{
        core::{Code, Digest, Job, Refusal, Time},
        schedule::{Event, JobOutcome, JobPhase, JobSpec, JobState, Record},
        wire::message::{CallResult, JobView, Reply},
    },
};

impl Leader {
    /// Submits a job. If its name was submitted before, the reply shows the existing job.
    pub(super) async fn submit(&self, spec: JobSpec, digest: Option<Digest>) -> CallResult {
        self.replica.read_barrier().await?;
        let job = spec.job.clone();
        let exists = self.replica.state().job_exists(&job, digest)?;
        if !exists {
            self.check_feasible(&spec)?;
            self.commit_job(spec, digest).await?;
        }
        self.job_reply(&job)
    }

    async fn commit_job(&self, spec: JobSpec, digest: Option<Digest>) -> Result<()> {
        let at = self.replica.log_time();
        let command = Command::Submit { at, spec, digest, key_retention: self.retention.key_time };
        match self.replica.propose(&command).await? {
            Effect::Schedule(Ok(())) => Ok(()),
            Effect::Refused(code) => Err(code.into()),
            Effect::Schedule(Err(error)) => Err(Refusal::new(Code::Conflict, error)),
            _ => Err(Code::Internal.into()),
        }
    }

    pub(super) async fn job(&self, job: &Job) -> CallResult {
        self.replica.read_barrier().await?;
        self.job_reply(job)
    }

    pub(super) async fn jobs(&self) -> CallResult {
        self.replica.read_barrier().await?;
        let now = self.replica.log_time();
        let state = self.replica.state();
        Ok(Reply::Jobs(state.scheduler().jobs().map(|j| job_view(j, now)).collect()))
    }

    pub(super) async fn commit_events(&self, events: Vec<Event>) -> Result<()> {
        let at = self.replica.log_time();
        let records = events.into_iter().map(|event| Record::new(at, event)).collect();
        self.commit_records(records).await
    }

    pub(super) async fn commit_records(&self, records: Vec<Record>) -> Result<()> {
        match self.replica.propose(&Command::Schedule(records)).await? {
            Effect::Schedule(Ok(())) => Ok(()),
            Effect::Schedule(Err(error)) => Err(Refusal::new(Code::Conflict, error)),
            _ => Err(Code::Internal.into()),
        }
    }

    fn job_reply(&self, job: &Job) -> CallResult {
        let now = self.replica.log_time();
        let state = self.replica.state();
        let Some(job_state) = state.scheduler().job(job) else {
            return Err(Refusal::new(Code::UnknownJob, format!("no job {job}")));
        };
        Ok(Reply::Job(Box::new(job_view(job_state, now))))
    }
}

fn job_view(job: &JobState, now: Time) -> JobView {
    let outcome = match &job.phase {
        JobPhase::Ended { outcome, .. } => Some(*outcome),
        _ => None,
    };
    let cells = job.attempt().map(|a| a.cells.as_slice()).unwrap_or_default();
    JobView {
        job: job.spec.job.clone(),
        team: job.spec.team.clone(),
        service: job.spec.service.clone(),
        kind: job.spec.kind.clone(),
        phase: phase_name(&job.phase).to_owned(),
        outcome: outcome.map(|o| outcome_name(o).to_owned()),
        code: outcome.map_or(Code::Accepted, outcome_code).number(),
        attempts: job.attempts,
        members: job.spec.members,
        instances: cells.iter().map(|c| c.instance.to_string()).collect(),
        age_ms: u64::try_from(now.since(job.submitted).as_millis()).unwrap_or(u64::MAX),
    }
}

const fn phase_name(phase: &JobPhase) -> &'static str {
    match phase {
        JobPhase::Waiting { .. } => "waiting",
        JobPhase::Reserved { .. } => "reserved",
        JobPhase::Active(attempt) if attempt.stop.is_some() => "stopping",
        JobPhase::Active(attempt) if attempt.started.is_none() => "preparing",
        JobPhase::Active(_) => "running",
        JobPhase::Ended { .. } => "ended",
    }
}

const fn outcome_name(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Done => "done",
        JobOutcome::Failed => "failed",
        JobOutcome::Cancelled => "cancelled",
        JobOutcome::Refused(_) => "refused",
        JobOutcome::Unknown => "unknown",
    }
}

const fn outcome_code(outcome: JobOutcome) -> Code {
    match outcome {
        JobOutcome::Done => Code::Done,
        JobOutcome::Cancelled => Code::Cancelled,
        JobOutcome::Refused(code) => code,
        JobOutcome::Failed => Code::JobRefused,
        JobOutcome::Unknown => Code::Sealed,
    }
}
