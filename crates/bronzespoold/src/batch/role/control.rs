//! A control instance: the replicated log, the decisions, operators.

use {
    super::{Error, Frame, HEAD_TIME, Result, Signals, bind},
    crate::{
        batch::{Finder, Outside, follow_seeds, run_helper},
        clock::Clock,
        control,
        http::{Handle, serve},
        telemetry::{Event, event},
    },
    bronzespool::batch::message::ExternalCallKind,
    std::{net::SocketAddr, path::PathBuf, rc::Rc},
    tokio::{sync::watch, task::spawn_local, time::timeout},
};

/// Runs a control instance until a signal asks to stop; `founder` says whether it may found the
/// cluster with the seeds.
///
/// # Errors
///
/// If an address cannot be bound or the log fails.
pub async fn run_control<H: Handle, O: Outside>(
    frame: &Frame,
    clock: Clock,
    (data, founder): (PathBuf, bool),
    (listen, outside): (SocketAddr, O),
    mut signals: Signals,
    operators: impl FnOnce(Rc<Finder>) -> H,
) -> Result<()> {
    let options = control::Options::from_addresses(frame.own, &frame.seeds, data)
        .ok_or(Error::Address)?
        .may_bootstrap(founder)
        .listen(frame.bound);
    let own = frame.own;
    let with_own = move |mut seeds: Vec<SocketAddr>| {
        seeds.push(own);
        seeds
    };
    let finder = Rc::new(Finder::new(clock, with_own(frame.seeds.clone())));
    let (stop, stopped) = watch::channel(false);
    let listener = bind(listen).await?;
    let handler = Rc::new(operators(Rc::clone(&finder)));
    let served = spawn_local(serve(listener, handler, HEAD_TIME, stopped.clone()));
    let outside = Rc::new(outside);
    for duty in [ExternalCallKind::Questions, ExternalCallKind::Machines] {
        spawn_local(run_helper(Rc::clone(&finder), own, duty, Rc::clone(&outside)));
    }
    let (known, reread) = (frame.seeds.clone(), frame.reread);
    let report = move |seeds| finder.reseed(with_own(seeds));
    spawn_local(follow_seeds(signals.reload, known, reread, report));
    let control = control::run(options, clock, stopped);
    tokio::pin!(control);
    tokio::select! {
        result = control.as_mut() => return result.map_err(Error::Control),
        _ = signals.stop.recv() => {}
    }
    event::StopAsked { role: "control" }.emit();
    let _ = stop.send(true);
    if timeout(frame.grace, served).await.is_err() {
        event::GraceExceeded { role: "control" }.emit();
    }
    control.await.map_err(Error::Control)
}
