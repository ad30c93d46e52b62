//! The sidecar: one program on real sockets round the decision module of the library.

mod net;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

use net::client::{self, Frontend, NameTable, ShutdownPhase};
use net::config::Config;
use net::descriptors::{Descriptors, is_out_of_descriptors};
use net::driver::{Driver, DriverEvent};
use net::log;

/// Clients connect for up to 0.4 s after SIGTERM; what waits in the accept queue counts as taken.
const STILL_COMING: Duration = Duration::from_millis(550);
/// SIGKILL comes no earlier than the longest deadline after SIGTERM, which is taken as this where it is shorter,
/// and 0.7 s.
const LEAST_DEADLINE: Duration = Duration::from_secs(3);
/// So long after that deadline whatever is still open is answered: by SIGKILL it would be lost.
const LAST_MARGIN: Duration = Duration::from_millis(600);
/// The last answers have this long to get out.
const LAST_WORDS: Duration = Duration::from_millis(60);
/// A configuration that cannot be read may be only half written. It is read again after the first of these waits,
/// then after longer ones up to the second: what it says counts 4 s after SIGHUP.
const READ_AGAIN: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::line(format!("{error:#}"));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(sidecar(config))
}

async fn sidecar(config: Config) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    // Unhandled it would end the program; so it is taken before anyone can know that the program runs.
    let hangup = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    let listener = client::listen(config.listen)?;
    let address = listener.local_addr().context("the listener has no address")?;
    log::line(format!("listening on {address}"));
    let (phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (events, inbox) = mpsc::unbounded_channel();
    // Until the end of the program: who is told of a drain must keep it to the last request.
    let descriptors = Arc::new(Descriptors::new(config.limits.connections_per_side()));
    tokio::spawn(reload(hangup, address, events.clone(), descriptors.clone()));
    let at_last = events.clone();
    let seed = config.seed();
    let longest = Duration::from_secs_f64(config.settings.longest_deadline_ms() / 1e3);
    let names = NameTable { classes: config.settings.classes(), tenants: config.settings.tenant_names() };
    let frontend = Arc::new(Frontend::new(names, phases, events));
    let driver =
        Driver::new(config.settings, seed, config.discovery, frontend.clone(), inbox, descriptors.clone());
    let mut driver = tokio::spawn(driver.run(config.known));
    let mut serving = tokio::spawn(client::serve(listener, frontend, descriptors));

    tokio::select! {
        _ = terminate.recv() => log::line("SIGTERM: finishing what is held"),
        _ = interrupt.recv() => log::line("SIGINT: finishing what is held"),
        // It never ends by itself. Without it nothing is answered: better to be started anew.
        _ = &mut driver => bail!("the driver has failed"),
    }
    let last = Instant::now() + longest.max(LEAST_DEADLINE) + LAST_MARGIN;
    phase.send_replace(ShutdownPhase::Draining);
    sleep(STILL_COMING).await;
    phase.send_replace(ShutdownPhase::Closing);
    if timeout_at(last, &mut serving).await.is_err() {
        log::line("some clients have not let go in time");
        // The driver goes before the program does, and then nothing is left to be answered.
        let _ = at_last.send(DriverEvent::ShutdownDeadline);
        let _ = timeout_at(last + LAST_WORDS, serving).await;
    }
    Ok(())
}

/// Waits for SIGHUP and then reads the configuration until it is sound. Meanwhile the old one stays.
async fn reload(
    mut hangup: Signal,
    listening: SocketAddr,
    events: mpsc::UnboundedSender<DriverEvent>,
    descriptors: Arc<Descriptors>,
) {
    while hangup.recv().await.is_some() {
        let mut wait = READ_AGAIN[0];
        let mut told = false;
        while let Err(error) = read_again(listening, &events) {
            if error.chain().filter_map(|cause| cause.downcast_ref()).any(is_out_of_descriptors) {
                descriptors.report_exhausted();
            }
            if !std::mem::replace(&mut told, true) {
                log::line(format!("SIGHUP: the old configuration stays: {error:#}"));
            }
            tokio::select! {
                () = sleep(wait) => wait = (wait * 2).min(READ_AGAIN[1]),
                signal = hangup.recv() => match signal {
                    Some(()) => (wait, told) = (READ_AGAIN[0], false),
                    None => return,
                },
            }
        }
    }
}

/// Reads the configuration again. One that is not sound changes nothing.
fn read_again(listening: SocketAddr, events: &mpsc::UnboundedSender<DriverEvent>) -> Result<()> {
    let config = Config::from_env()?;
    log::line(format!("SIGHUP: discovery is at {}", config.discovery));
    if config.listen.port() != 0 && config.listen != listening {
        log::line(format!("SIGHUP: listening on {} takes a restart", config.listen));
    }
    // The driver goes before the program does, and then nothing is left to be told.
    let _ = events.send(DriverEvent::ConfigReloaded { discovery: config.discovery });
    Ok(())
}
