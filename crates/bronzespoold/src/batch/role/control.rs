//! The control role: runs a control instance with the replicated log and the scheduler, calls
//! external services, and serves operators.

use {
    super::{Error, HEAD_TIMEOUT, ProcessOptions, Result, Signals, bind},
    crate::{
        batch::{
            ExternalServices, LeaderClient, explain::WithExplain, follow_seeds, run_external_calls,
        },
        clock::Clock,
        control,
        http::{Handler, serve_bounded},
        limits::Listener,
        telemetry::{Event, event},
    },
    bronzespool::{batch::message::ExternalCallKind, core::settings::JobPolicy},
    std::{net::SocketAddr, path::PathBuf, rc::Rc},
    tokio::{sync::watch, task::spawn_local, time::timeout},
};

/// Options of a control instance.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Folder of the log.
    pub data: PathBuf,
    /// Whether the instance may bootstrap the cluster with the seeds.
    pub may_bootstrap: bool,
    /// How jobs of steps are scheduled.
    pub policy: JobPolicy,
}

/// Runs a control instance until a signal asks the process to stop.
///
/// # Errors
///
/// If an address cannot be bound or the log fails.
pub async fn run_control<H: Handler, O: ExternalServices>(
    options: &ProcessOptions,
    clock: Clock,
    control: ControlOptions,
    (listen, services): (SocketAddr, O),
    mut signals: Signals,
    operators: impl FnOnce(Rc<LeaderClient>) -> H,
) -> Result<()> {
    let control_options =
        control::Options::from_addresses(options.advertised, &options.seeds, control.data)
            .ok_or(Error::Address)?
            .may_bootstrap(control.may_bootstrap)
            .policy(control.policy)
            .listen(options.listen);
    let own = options.advertised;
    let with_own = move |mut seeds: Vec<SocketAddr>| {
        seeds.push(own);
        seeds
    };
    let leader_client = Rc::new(LeaderClient::new(clock, with_own(options.seeds.clone())));
    let (stop, stopped) = watch::channel(false);
    let listener = bind(listen).await?;
    let operators = operators(Rc::clone(&leader_client));
    let handler = Rc::new(WithExplain::new(operators, Rc::clone(&leader_client)));
    let bound = Listener::Local.bound();
    let server =
        spawn_local(serve_bounded(listener, handler, HEAD_TIMEOUT, stopped.clone(), bound));
    let services = Rc::new(services);
    for kind in [ExternalCallKind::Questions, ExternalCallKind::Machines] {
        spawn_local(run_external_calls(Rc::clone(&leader_client), own, kind, Rc::clone(&services)));
    }
    let (seeds, load_seeds) = (options.seeds.clone(), options.load_seeds);
    let report = move |seeds| leader_client.set_seeds(with_own(seeds));
    spawn_local(follow_seeds(signals.reload, seeds, load_seeds, report));
    let control = control::run(control_options, clock, stopped);
    tokio::pin!(control);
    tokio::select! {
        result = control.as_mut() => return result.map_err(Error::Control),
        _ = signals.stop.recv() => {}
    }
    event::StopAsked { role: "control" }.emit();
    let _ = stop.send(true);
    if timeout(options.grace, server).await.is_err() {
        event::GraceExceeded { role: "control" }.emit();
    }
    control.await.map_err(Error::Control)
}
