//! Modes of a relay.

use std::time::Duration;

/// Treatment of bytes and connections by a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Keeps old and new connections open and forwards no byte until another mode is set.
    Freeze,
    /// Closes all open connections and every new one.
    Cut,
    /// Forwards each chunk of bytes after this time.
    Delay(Duration),
}
