//! Signals that a process answers.

use crate::Error;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::thread;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Stop in order.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Calls `f` for each signal, on a thread of its own.
pub fn watch_signals<F>(f: F) -> Result<(), Error>
where
    F: Fn(Signal) + Send + 'static,
{
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::Signals)?;
    thread::spawn(move || {
        for signal in signals.forever() {
            log::info!(signal = signal; "signal");
            f(if signal == SIGHUP { Signal::Reload } else { Signal::Stop });
        }
    });
    Ok(())
}
