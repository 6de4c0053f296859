//! Urgency of waiting jobs whose declared durations are far off.

mod common;

use {
    bronzespool_batch::{Step, StepId, ledger::RunOutcome, sampling::step_key},
    bronzespool_core::{Instance, Time},
    bronzespool_estimate::{Kind, Model, Sample},
    common::{Cluster, QUEUES, SECOND, run, step},
    std::time::Duration,
};

/// Lets the cluster's view know how long the tasks of a job's first step take.
fn learn(cluster: &mut Cluster, job: u64, declared: Duration, observed: Duration) {
    let id = StepId { job: bronzespool_batch::JobId(job), occurrence: 0, step: 0 };
    let mut model = Model::new();
    for run in 0..8 {
        model.record(Sample {
            run,
            step: step_key(id),
            kind: Kind { queue: QUEUES[0].into(), image: None },
            instance: Instance::try_from(format!("side-{run}")).unwrap(),
            declared,
            observed,
            complete: true,
            at: Time::from_secs(1),
        });
    }
    model.refit(Time::from_secs(2));
    cluster.view.estimates = model.estimates();
}

/// A busy worker, for which an urgent job of two tasks that declares a tenth of its duration and a job
/// of the lowest priority have waited for two seconds. Returns the job that starts when it is free.
fn next_job(learned: bool) -> u64 {
    let declared = Duration::from_millis(250);
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 8)]);
    cluster.plan();
    cluster.submit(2, 0, vec![Step { estimate: declared.as_millis() as u64, ..step(2, 8) }]);
    cluster.submit(3, 2, vec![Step { estimate: 20_000, ..step(1, 8) }]);
    if learned {
        learn(&mut cluster, 2, declared, declared * 10);
    }
    cluster.pass(SECOND * 2);
    cluster.end(run(1, 0, 0, 1), RunOutcome::Done);
    cluster.started()[0].run.task.step.job.0
}

/// Guards against a job that is taken for lost, and put behind all others, by a declared duration that
/// is too low although other runs have shown it.
#[test]
fn plan_job_with_low_declaration_keeps_its_place() {
    assert_eq!(next_job(true), 2);
}

#[test]
fn plan_job_past_its_cutoff_goes_last() {
    assert_eq!(next_job(false), 3);
}
