//! The sidecar process: connects the decision module of the library to clients, upstreams and discovery.

mod net;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

use net::client::{self, Frontend, ShutdownPhase};
use net::config::Config;
use net::descriptors::{Descriptors, is_out_of_descriptors};
use net::driver::{Driver, DriverEvent};
use net::log;
use net::memory_budget::MessageMemory;
use net::request_head::NameTable;

/// How long new client connections are expected after SIGTERM. Clients may connect for up to 0.4 s after it, and
/// connections that are still in the accept queue then must be served as well.
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(550);
/// The minimum drain time, during which pending requests are completed; a longer request deadline extends it. SIGKILL
/// follows SIGTERM no earlier than 0.7 s after the end of this time.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Requests that are still pending this long after the drain time are answered at once, before SIGKILL is sent.
const DRAIN_MARGIN: Duration = Duration::from_millis(600);
/// How long the process waits for these final responses to be written.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);
/// The first wait before a configuration that failed to load is read again: the file may be only partly written. The
/// wait doubles after each failure.
const INITIAL_RELOAD_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait between two reads, so that a corrected configuration is in use within 4 s of SIGHUP.
const MAX_RELOAD_BACKOFF: Duration = Duration::from_secs(1);

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
    runtime.block_on(run_sidecar(config))
}

/// Runs the sidecar until it is told to stop and the graceful shutdown is complete.
async fn run_sidecar(config: Config) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot install the SIGINT handler")?;
    // An unhandled SIGHUP would end the process, so the handler is installed before the process is reachable.
    let hangup = signal(SignalKind::hangup()).context("cannot install the SIGHUP handler")?;
    let listener = client::listen(config.listen)?;
    let address = listener.local_addr().context("cannot read the address of the listener")?;
    log::line(format!("listening on {address}"));
    let (phase_sender, phase_receiver) = watch::channel(ShutdownPhase::Serving);
    let (event_sender, event_receiver) = mpsc::unbounded_channel();
    let connections_per_side = config.limits.connections_per_side();
    let descriptors = Arc::new(Descriptors::new(connections_per_side));
    let memory = Arc::new(MessageMemory::new(config.limits.memory_bytes(), connections_per_side));
    // Reloads stay possible during shutdown, so that discovery updates reach the requests still being served.
    tokio::spawn(reload_on_hangup(hangup, address, event_sender.clone(), descriptors.clone()));
    let shutdown_event_sender = event_sender.clone();
    let seed = config.seed();
    let longest_deadline = Duration::from_secs_f64(config.settings.longest_deadline_ms() / 1e3);
    let names = NameTable { classes: config.settings.classes(), tenants: config.settings.tenant_names() };
    let frontend = Arc::new(Frontend::new(names, phase_receiver, event_sender, memory.requests.clone()));
    let driver = Driver::new(
        config.settings,
        seed,
        config.discovery,
        frontend.clone(),
        event_receiver,
        descriptors.clone(),
        memory,
    );
    let mut driver_task = tokio::spawn(driver.run(config.saved_list));
    let mut serve_task = tokio::spawn(client::serve(listener, frontend, descriptors));

    tokio::select! {
        _ = terminate.recv() => log::line("SIGTERM: graceful shutdown started"),
        _ = interrupt.recv() => log::line("SIGINT: graceful shutdown started"),
        // Without the driver no request is answered: exit, so that the process is restarted.
        _ = &mut driver_task => bail!("the driver task ended unexpectedly"),
    }
    let shutdown_deadline = Instant::now() + longest_deadline.max(MIN_DRAIN_TIME) + DRAIN_MARGIN;
    phase_sender.send_replace(ShutdownPhase::Draining);
    sleep(ACCEPT_GRACE_PERIOD).await;
    phase_sender.send_replace(ShutdownPhase::Closing);
    if timeout_at(shutdown_deadline, &mut serve_task).await.is_err() {
        log::line("graceful shutdown timed out: answering pending requests before exit");
        // Fails only if the driver has ended: then no response can be sent.
        let _ = shutdown_event_sender.send(DriverEvent::ShutdownDeadline);
        let _ = timeout_at(shutdown_deadline + FINAL_RESPONSE_TIMEOUT, serve_task).await;
    }
    Ok(())
}

/// Reloads the configuration on SIGHUP. One that cannot be loaded is read again with backoff until it is valid;
/// meanwhile the old configuration stays in use.
async fn reload_on_hangup(
    mut hangup: Signal,
    listen_address: SocketAddr,
    event_sender: mpsc::UnboundedSender<DriverEvent>,
    descriptors: Arc<Descriptors>,
) {
    while hangup.recv().await.is_some() {
        let mut backoff = INITIAL_RELOAD_BACKOFF;
        let mut error_logged = false;
        while let Err(error) = reload_config(listen_address, &event_sender) {
            if error.chain().filter_map(|cause| cause.downcast_ref()).any(is_out_of_descriptors) {
                descriptors.report_exhausted();
            }
            if !std::mem::replace(&mut error_logged, true) {
                log::line(format!("SIGHUP: the old configuration stays: {error:#}"));
            }
            tokio::select! {
                () = sleep(backoff) => backoff = (backoff * 2).min(MAX_RELOAD_BACKOFF),
                signal = hangup.recv() => match signal {
                    Some(()) => (backoff, error_logged) = (INITIAL_RELOAD_BACKOFF, false),
                    None => return,
                },
            }
        }
    }
}

/// Reads the configuration and applies the address of discovery, the only part that can be changed at run time. An
/// invalid configuration changes nothing.
fn reload_config(
    listen_address: SocketAddr,
    event_sender: &mpsc::UnboundedSender<DriverEvent>,
) -> Result<()> {
    let config = Config::from_env()?;
    log::line(format!("SIGHUP: configuration reloaded, discovery at {}", config.discovery));
    if config.listen.port() != 0 && config.listen != listen_address {
        log::line(format!("SIGHUP: listening on {} requires a restart", config.listen));
    }
    // Fails only if the driver has ended: then the process is about to exit.
    let _ = event_sender.send(DriverEvent::ConfigReloaded { discovery: config.discovery });
    Ok(())
}
