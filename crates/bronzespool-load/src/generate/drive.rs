//! Open-loop load driver: sends requests on schedule, whether or not earlier ones are answered.

use {
    crate::generate::{Arrivals, LoadRequest, RequestMix, RequestStats, Target},
    std::{
        cell::RefCell,
        rc::Rc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc::{UnboundedReceiver, unbounded_channel},
        task::JoinSet,
    },
};

/// Parameters of one phase of load.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    /// Requests per second.
    pub rate: f64,
    /// Time before anything is counted. It should be the longest wait of a caller, so that queues
    /// have reached their full length.
    pub warmup: Duration,
    /// Length of the window after the warm-up in which requests are counted: by their arrival, and
    /// separately by their response.
    pub duration: Duration,
    /// Seed of the arrival schedule and of the choice of requests.
    pub seed: u64,
}

/// Runs a phase and waits for the last response. Must run inside a [`tokio::task::LocalSet`].
pub async fn drive<T: Target>(target: &Rc<T>, mix: &RequestMix, load: &LoadPhase) -> RequestStats {
    let stats = Rc::new(RefCell::new(RequestStats::default()));
    // The choice of requests uses another seed than the arrival schedule.
    let mut rng = fastrand::Rng::with_seed(load.seed ^ 0x6d69_7800);
    let run_id = fastrand::u64(..);
    let mut arrivals = schedule_arrivals(load);
    let mut tasks = JoinSet::new();
    let mut number = 0;
    let window = load.warmup..load.warmup + load.duration;
    while let Some((at, offset)) = arrivals.recv().await {
        number += 1;
        let Some(template) = mix.pick(&mut rng) else {
            break;
        };
        let key = template.protected.then(|| format!("load-{run_id:x}-{number}"));
        let request = LoadRequest { template: template.clone(), number, key };
        let (target, stats, window) = (Rc::clone(target), Rc::clone(&stats), window.clone());
        tasks.spawn_local(async move {
            let lag = at.elapsed();
            let class = target.send(&request).await;
            let (template, took) = (&request.template, at.elapsed());
            let mut stats = stats.borrow_mut();
            if window.contains(&offset) {
                let group = (template.kind.as_str(), template.team.as_str());
                stats.record(group, class, took, lag, template.deadline);
            }
            if window.contains(&(offset + took)) {
                stats.record_completion(class, took, template.deadline);
            }
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    drop(tasks);
    Rc::unwrap_or_clone(stats).into_inner()
}

/// Sends each arrival when it is due: as an instant and as the time since the start of the
/// schedule. The schedule runs on a thread of its own, which sleeps more precisely than the timer
/// of the runtime with its resolution of 1 ms.
fn schedule_arrivals(load: &LoadPhase) -> UnboundedReceiver<(Instant, Duration)> {
    let (sender, receiver) = unbounded_channel();
    let load = *load;
    thread::spawn(move || {
        let start = Instant::now();
        let end = load.warmup + load.duration;
        for at in Arrivals::new(load.seed, load.rate).take_while(|at| *at < end) {
            thread::sleep((start + at).saturating_duration_since(Instant::now()));
            if sender.send((start + at, at)).is_err() {
                return;
            }
        }
    });
    receiver
}
