//! Sends requests on schedule.

use {
    crate::generate::{Arrivals, Mix, Tally, Target, Wish},
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

/// One phase of load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second.
    pub rate: f64,
    /// Time before anything is counted; the longest wait of a caller, so that queues are as long
    /// as they get.
    pub warm: Duration,
    /// Time in which arrivals, and separately answers, are counted.
    pub span: Duration,
    /// Seed of arrivals and mix.
    pub seed: u64,
}

/// Runs a phase and waits for the last answer. Must run inside a [`tokio::task::LocalSet`].
pub async fn drive<T: Target>(target: &Rc<T>, mix: &Mix, load: &Load) -> Tally {
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut rng = fastrand::Rng::with_seed(load.seed ^ 0x6d69_7800);
    let run = fastrand::u64(..);
    let mut arrivals = pace(load);
    let mut tasks = JoinSet::new();
    let mut number = 0;
    let window = load.warm..load.warm + load.span;
    while let Some((at, offset)) = arrivals.recv().await {
        number += 1;
        let Some(item) = mix.pick(&mut rng) else {
            break;
        };
        let key = item.protected.then(|| format!("load-{run:x}-{number}"));
        let wish = Wish { item: item.clone(), number, key };
        let (target, tally, window) = (Rc::clone(target), Rc::clone(&tally), window.clone());
        tasks.spawn_local(async move {
            let lag = at.elapsed();
            let class = target.send(&wish).await;
            let (item, took) = (&wish.item, at.elapsed());
            let mut tally = tally.borrow_mut();
            if window.contains(&offset) {
                let group = (item.kind.as_str(), item.team.as_str());
                tally.note(group, class, took, lag, item.deadline);
            }
            if window.contains(&(offset + took)) {
                tally.ended(class, took, item.deadline);
            }
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    drop(tasks);
    Rc::unwrap_or_clone(tally).into_inner()
}

/// Sends the time of each arrival, also counted from the first one's, when it has come. A thread of its own sleeps more exactly than
/// the timer of the runtime, whose step is a millisecond.
fn pace(load: &Load) -> UnboundedReceiver<(Instant, Duration)> {
    let (sender, receiver) = unbounded_channel();
    let load = *load;
    thread::spawn(move || {
        let begin = Instant::now();
        let end = load.warm + load.span;
        for at in Arrivals::new(load.seed, load.rate).take_while(|at| *at < end) {
            thread::sleep((begin + at).saturating_duration_since(Instant::now()));
            if sender.send((begin + at, at)).is_err() {
                return;
            }
        }
    });
    receiver
}
