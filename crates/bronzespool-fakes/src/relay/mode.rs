//! What a relay does with bytes and connections.

use std::time::Duration;

/// What a relay does with bytes and connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Keeps connections open, old and new ones, and passes no byte on until another mode is set.
    Freeze,
    /// Closes all connections and every new one.
    Cut,
    /// Passes each chunk of bytes on after this time.
    Delay(Duration),
}
