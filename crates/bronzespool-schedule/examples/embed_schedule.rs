//! Embeds the scheduler in another program. A team reclaims guaranteed cells from a borrower.
//!
//! The program stands in for the replicated log, by applying records immediately, and for the
//! workers, whose members prepare immediately and stop on request.
//!
//! Run it with `cargo run -p bronzespool-schedule --example embed_schedule`.

use {
    bronzespool_core::{Capacity, Level, Need, Place, Shape, Time, name},
    bronzespool_schedule::{
        Event, JobSpec, MemberOutcome, Planner, Record, SchedulerState, admit, explain, summarize,
    },
};

/// Applies an event, all decisions that follow from it, and the reports of the workers on these.
fn apply_all(state: &mut SchedulerState, planner: &mut Planner, now: Time, event: Event) {
    let mut input = vec![Record::new(now, event)];
    while !input.is_empty() {
        for record in std::mem::take(&mut input) {
            state.apply(&record).expect("decisions are valid records");
            println!("{}", truncated(&record.event));
            input.extend(worker_reports(&record.event).map(|event| Record::new(now, event)));
        }
        if input.is_empty() {
            input = planner.decide(state, now);
        }
    }
}

/// Report that the worker of a one-member job sends in response to an event, if any.
fn worker_reports(event: &Event) -> impl Iterator<Item = Event> {
    let (member, outcome) = (0, MemberOutcome::Stopped);
    let answer = match event.clone() {
        Event::Granted { job, attempt, .. } => Some(Event::Prepared { job, attempt, member }),
        Event::Stopping { job, attempt, .. } => {
            Some(Event::Stopped { job, attempt, member, outcome })
        }
        _ => None,
    };
    answer.into_iter()
}

fn truncated(event: &Event) -> String {
    let full = format!("{event:?}");
    full.chars().take(100).collect()
}

fn spec(name: &str, team: &str) -> Result<JobSpec, name::Error> {
    let need = Need { slots: 0, cores: 8_000, memory: 16_384, accels: 8 };
    let kind = ("flight-desk".try_into()?, "reconstruction".try_into()?);
    Ok(JobSpec::new(name.try_into()?, team.try_into()?, kind.0, kind.1)
        .need(need)
        .adjacent(Level::Worker)
        .restartable(true))
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut state = SchedulerState::default();
    let mut planner = Planner::default();
    let place = Place {
        region: "trinidad".try_into()?,
        center: "arima".try_into()?,
        rack: "r1".try_into()?,
        instance: "w1".try_into()?,
    };
    let capacity = Capacity { cores: 32, memory: 65_536, accels: 8, ..Capacity::default() };
    let now = Time::ZERO;
    apply_all(&mut state, &mut planner, now, Event::WorkerUp { place, capacity, incarnation: 1 });
    let shapes = vec![("arima-flyers".try_into()?, vec![Shape::new(Level::Worker, 1)])];
    apply_all(&mut state, &mut planner, now, Event::Guarantees(shapes));
    for (name, team) in [("guest", "couva-wings"), ("owner", "arima-flyers")] {
        let spec = spec(name, team)?;
        admit(&state, &spec)?;
        apply_all(&mut state, &mut planner, now, Event::Submitted(spec));
    }
    println!("{:?}", explain(&state, &"guest".try_into()?, now).map(|found| found.reason));
    println!("utilisation {:.2}", summarize(&state).utilisation);
    Ok(())
}
