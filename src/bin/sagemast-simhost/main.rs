//! Adapter between the simulator and the decision module: runs one isolated [`Balancer`] per simulated sidecar and
//! exchanges events and actions with the simulator as JSON lines on standard input and output.

mod wire;

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::process::ExitCode;

use sagemast::Balancer;
use sagemast::api::*;
use sagemast::settings::{ReportColumn, report_from_values};
use wire::*;

/// The decision module of one sidecar, and the column order of its load reports.
struct Instance {
    balancer: Balancer,
    report_columns: Vec<ReportColumn>,
}

/// All instances by name of the sidecar, and the server lists that sync events refer to by number.
#[derive(Default)]
struct Adapter {
    instances: HashMap<String, Instance>,
    server_lists: BTreeMap<u64, Vec<UpstreamRow>>,
}

impl Adapter {
    /// Handles one line of input and returns the reply.
    fn handle_batch(&mut self, line: &str) -> Result<Reply, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|error| error.to_string())?;
        let mut reply = Reply { turn: batch.turn, parts: Vec::new() };
        for part in batch.parts {
            let mut actions = Vec::new();
            for event in part.events {
                self.handle_event(batch.now, &part.sidecar, event, &mut actions)?;
            }
            if !actions.is_empty() {
                let actions = actions.into_iter().map(WireAction::from).collect();
                reply.parts.push(Outbox { sidecar: part.sidecar, actions });
            }
        }
        Ok(reply)
    }

    /// Handles one event of a sidecar and appends the resulting actions.
    fn handle_event(
        &mut self,
        now: f64,
        sidecar: &str,
        event: WireEvent,
        actions: &mut Vec<Action>,
    ) -> Result<(), String> {
        match event {
            WireEvent::Start { seed, config } => {
                let balancer = Balancer::new(config.to_settings(), seed);
                let instance = Instance { balancer, report_columns: config.columns() };
                self.instances.insert(sidecar.to_owned(), instance);
                return Ok(());
            }
            WireEvent::DefineList { list_number, rows } => {
                self.server_lists.insert(list_number, rows);
                return Ok(());
            }
            WireEvent::Killed => {
                // Actions that the killed instance returned earlier in this batch must not take effect.
                actions.clear();
                self.instances.remove(sidecar);
                return Ok(());
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(sidecar)
            .ok_or_else(|| format!("received an event for sidecar {sidecar}, which is not running"))?;
        if let Some(event) = to_module_event(event, &instance.report_columns, &self.server_lists)? {
            instance.balancer.handle(now, event, actions);
        }
        Ok(())
    }
}

/// Converts a wire event into an event of the decision module; `None` for events that it does not use.
fn to_module_event(
    event: WireEvent,
    report_columns: &[ReportColumn],
    server_lists: &BTreeMap<u64, Vec<UpstreamRow>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match event {
        WireEvent::Sync { mode, list_number } => {
            let records = || -> Result<Vec<UpstreamRecord>, String> {
                let list_number = list_number.ok_or("sync event has no server list number")?;
                let rows = server_lists.get(&list_number).ok_or_else(|| {
                    format!("sync event refers to server list {list_number}, which is not defined")
                })?;
                Ok(rows.iter().map(UpstreamRecord::from).collect())
            };
            Event::DiscoveryUpdated(match mode {
                SyncMode::Delta => DiscoveryUpdate::Delta(records()?),
                SyncMode::Snapshot => DiscoveryUpdate::Snapshot(records()?),
                SyncMode::Restored => DiscoveryUpdate::Restored(records()?),
                SyncMode::Unavailable => DiscoveryUpdate::Unavailable,
            })
        }
        WireEvent::RequestArrived { request, tenant, time_left, class, flags, cost } => {
            Event::RequestArrived {
                request: RequestId(request.0),
                class: ClassId(class),
                tenant: TenantId(tenant),
                time_left,
                cost: cost.filter(|_| flags & FLAG_COST_VALID != 0),
            }
        }
        WireEvent::ProbeFinished { upstream, outcome, report } => Event::ProbeFinished {
            upstream: UpstreamId(upstream),
            answered: Outcome::from(outcome) == Outcome::Ok,
            report: report.map(|values| report_from_values(report_columns, &values)),
        },
        WireEvent::TimerFired { token } => Event::TimerFired(token),
        WireEvent::RequestAbandoned { request } => Event::RequestAbandoned(RequestId(request.0)),
        WireEvent::AttemptFinished {
            request,
            request_completed,
            upstream,
            attempt,
            latency,
            outcome,
            report,
        } => Event::AttemptFinished(AttemptFinished {
            request: RequestId(request.0),
            attempt: AttemptNo(attempt),
            upstream: UpstreamId(upstream),
            outcome: outcome.into(),
            latency,
            request_completed,
            report: report.map(|values| report_from_values(report_columns, &values)),
        }),
        WireEvent::PeerMessage {} | WireEvent::AttemptStarted {} => return Ok(None),
        WireEvent::Start { .. } | WireEvent::DefineList { .. } | WireEvent::Killed => return Ok(None),
    }))
}

fn run() -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut line = String::new();
    for line_number in 1.. {
        line.clear();
        let bytes_read =
            input.read_line(&mut line).map_err(|error| format!("line {line_number}: {error}"))?;
        if bytes_read == 0 {
            break;
        }
        let reply = adapter.handle_batch(&line).map_err(|error| format!("line {line_number}: {error}"))?;
        serde_json::to_writer(&mut output, &reply).map_err(|error| error.to_string())?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sagemast-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
