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
    /// Time before requests are counted.
    pub warm: Duration,
    /// Time in which arrivals are counted.
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
    while let Some((at, counted)) = arrivals.recv().await {
        number += 1;
        let Some(item) = mix.pick(&mut rng) else {
            break;
        };
        let key = item.protected.then(|| format!("load-{run:x}-{number}"));
        let wish = Wish { item: item.clone(), number, key };
        let (target, tally) = (Rc::clone(target), Rc::clone(&tally));
        tasks.spawn_local(async move {
            let lag = at.elapsed();
            let class = target.send(&wish).await;
            if counted {
                let item = &wish.item;
                let group = (item.kind.as_str(), item.team.as_str());
                tally.borrow_mut().note(group, class, at.elapsed(), lag, item.deadline);
            }
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    drop(tasks);
    Rc::unwrap_or_clone(tally).into_inner()
}

/// Sends the time of each arrival when it has come. A thread of its own sleeps more exactly than
/// the timer of the runtime, whose step is a millisecond.
fn pace(load: &Load) -> UnboundedReceiver<(Instant, bool)> {
    let (sender, receiver) = unbounded_channel();
    let load = *load;
    thread::spawn(move || {
        let begin = Instant::now();
        let end = load.warm + load.span;
        for at in Arrivals::new(load.seed, load.rate).take_while(|at| *at < end) {
            thread::sleep((begin + at).saturating_duration_since(Instant::now()));
            if sender.send((begin + at, at >= load.warm)).is_err() {
                return;
            }
        }
    });
    receiver
}
