//! Follows changes of the seed addresses in the settings while a process runs.

use {
    crate::telemetry::{Event, event},
    std::{fmt::Display, net::SocketAddr, time::Duration},
    tokio::{signal::unix::Signal, time::timeout},
};

/// Interval at which the settings are read, since they may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings at each `reload` signal and at a fixed interval, and reports seed addresses
/// that have changed. Never returns. Settings that cannot be read change nothing.
pub async fn follow_seeds<E: Display>(
    mut reload: Signal,
    mut current: Vec<SocketAddr>,
    load: impl Fn() -> Result<Vec<SocketAddr>, E>,
    report: impl Fn(Vec<SocketAddr>),
) {
    loop {
        let signalled = timeout(RELOAD_INTERVAL, reload.recv()).await.is_ok();
        match load() {
            Ok(seeds) if seeds != current => {
                event::SettingsChanged { seeds: seeds.clone(), signalled }.emit();
                current.clone_from(&seeds);
                report(seeds);
            }
            Ok(_) if signalled => event::SettingsUnchanged {}.emit(),
            Ok(_) => {}
            Err(error) => event::SettingsRefused { error: error.to_string() }.emit(),
        }
    }
}
