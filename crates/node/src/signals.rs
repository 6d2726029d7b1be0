//! Signal handling.

use crate::Error;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::thread;

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Graceful stop, by SIGTERM or SIGINT.
    Stop,
    /// Reload of the settings, by SIGHUP.
    Reload,
}

/// Calls `f` for each signal, on a separate thread.
///
/// # Errors
///
/// [`Error::Signals`] if the signal handlers can't be installed.
pub fn watch_signals<F>(f: F) -> Result<(), Error>
where
    F: Fn(Signal) + Send + 'static,
{
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::Signals)?;
    thread::spawn(move || {
        for signal in signals.forever() {
            log::info!(signal = signal; "received a signal");
            f(if signal == SIGHUP { Signal::Reload } else { Signal::Stop });
        }
    });
    Ok(())
}
