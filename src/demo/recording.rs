//! Records a demo as a trace that can be replayed.

use std::time::Duration;

use super::{
    GROUP_COUNT, MAX_TOKENS, Options, SAMPLES_PER_GROUP, SWAP_INTERVAL, TRAIN_TIME, WARM_UP,
    WEIGHT_INTERVAL,
    cluster::{Cluster, HOST_COUNT, ROWS},
    fault::Fault,
    report::Report,
};
use crate::{
    entry::collect,
    ids::UpstreamId,
    observe::trace::{
        Event, FORMAT, Figure, Header, InitialEngine, InitialHost, InitialState, Outcome, Record,
        TimedEvent, Trace,
    },
    table::row::Row,
};

/// The number of tokens in each prompt of the stand-in trainers.
const PROMPT_TOKENS: u32 = 32;

/// Returns the trace of a demo: the external events, the expected outcomes, and
/// the decisions and burn windows that the hosts recorded.
pub async fn build_trace(cluster: &Cluster, options: &Options, report: &Report) -> Trace {
    let duration = WARM_UP + options.duration;
    let mut events = train_events();
    events.extend(weight_events(cluster, duration));
    for fault in &options.faults {
        let at = WARM_UP + options.duration / 4;
        let injected = fault_events(*fault, cluster);
        events.extend(injected.into_iter().map(|event| TimedEvent { at, event }));
    }
    events.sort_by_key(|timed| timed.at);
    Trace {
        header: Header {
            format: FORMAT.to_owned(),
            title: "recorded by the demo".to_owned(),
            promise: "what the demo promises of samples and the table".to_owned(),
            seed: options.seed,
            duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
            settings: world(cluster),
            outcomes: outcomes(),
        },
        events,
        records: records(cluster, report).await,
    }
}

fn train_events() -> Vec<TimedEvent> {
    let train = |(row, _): &(&str, f64)| TimedEvent {
        at: WARM_UP,
        event: Event::Train {
            trainer: (*row).into(),
            group_count: GROUP_COUNT,
            samples_per_group: SAMPLES_PER_GROUP,
            max_tokens: MAX_TOKENS,
            prompt_tokens: PROMPT_TOKENS,
            train_ms: u64::try_from(TRAIN_TIME.as_millis()).unwrap_or(u64::MAX),
            ahead: true,
            until_ms: 0,
        },
    };
    ROWS.iter().map(train).collect()
}

/// Returns the events of new weight versions and of the engines' swaps to them,
/// one after the other.
fn weight_events(cluster: &Cluster, duration: Duration) -> Vec<TimedEvent> {
    let mut events = Vec::new();
    let mut at = WARM_UP + WEIGHT_INTERVAL;
    let mut version = 1;
    while at < duration {
        version += 1;
        events.push(TimedEvent {
            at,
            event: Event::NewWeights { version },
        });
        for index in 0..cluster.engines.len() {
            let engine = engine_id(index);
            events.push(TimedEvent {
                at: at + SWAP_INTERVAL * u32::try_from(index).unwrap_or(0),
                event: Event::Swap { engine, version },
            });
        }
        at += WEIGHT_INTERVAL;
    }
    events
}

fn engine_id(index: usize) -> UpstreamId {
    format!("engine-{}", index + 1).into()
}

fn host_id(index: usize) -> crate::ids::HostId {
    format!("entry-{}", index + 1).into()
}

/// Returns the events that represent a fault. Faults of leases and operators
/// have none.
fn fault_events(fault: Fault, cluster: &Cluster) -> Vec<Event> {
    let engines = (0..cluster.engines.len()).map(engine_id);
    match fault {
        Fault::HostKill => vec![Event::HostKill {
            host: host_id(0),
            for_ms: 1_500,
        }],
        Fault::HostPause => vec![Event::HostPause {
            host: host_id(1),
            for_ms: 3_000,
        }],
        Fault::EngineCrash => engines
            .map(|engine| Event::EngineCrash { engine, for_ms: 0 })
            .collect(),
        Fault::SwapPartial => engines
            .map(|engine| Event::SwapPartial {
                engine,
                version: 3,
                for_ms: 120,
            })
            .collect(),
        Fault::StoreDown => vec![Event::StoreDown { for_ms: 2_500 }],
        Fault::StoreLostAnswer => vec![Event::StoreLoseAnswers { count: 40 }],
        Fault::SilentConnections => engines
            .map(|engine| Event::EngineSilent {
                engine,
                for_ms: 1_000,
            })
            .collect(),
        Fault::RollingReplace => vec![Event::HostDrain {
            host: host_id(0),
            replace_after_ms: 500,
        }],
        Fault::LeaseLapse | Fault::TwoEditors => Vec::new(),
    }
}

fn world(cluster: &Cluster) -> InitialState {
    let hosts = (0..HOST_COUNT).map(|index| InitialHost {
        id: host_id(index),
        failure_domain: super::cluster::failure_domain(index).into(),
        region: "demo".into(),
    });
    let engines = cluster.engines.iter().enumerate();
    let engines = engines.map(|(index, engine)| InitialEngine {
        id: engine_id(index),
        failure_domain: super::cluster::failure_domain(index).into(),
        slots: engine.config().slots,
        token_time_us: u64::try_from(engine.config().token_time.as_micros()).unwrap_or(u64::MAX),
        weight_version: 1,
        report_lag_ms: 0,
    });
    let rows = ROWS.iter().map(|(row, weight_ratio)| Row {
        weight_ratio: *weight_ratio,
        ..Row::new(*row)
    });
    InitialState {
        hosts: hosts.collect(),
        engines: engines.collect(),
        rows: rows.collect(),
        delay_ms: 1,
        ..InitialState::default()
    }
}

fn outcomes() -> Vec<Outcome> {
    let expect_zero = |figure| Outcome {
        figure,
        row: None,
        min: None,
        max: Some(0.0),
    };
    let figures = [
        Figure::MisreportedSampleCount,
        Figure::DuplicateSampleCount,
        Figure::StaleSampleCount,
        Figure::RevertCount,
    ];
    figures.into_iter().map(expect_zero).collect()
}

/// Collects the decisions and burn windows of the hosts that run at the end of
/// the demo.
async fn records(cluster: &Cluster, report: &Report) -> Vec<Record> {
    let mut records = Vec::new();
    for host in cluster.shared() {
        for decision in collect::own_records(&host, String::new()).await {
            records.push(Record {
                at_ms: decision.at_ms,
                decision: Some(decision),
                burn: None,
            });
        }
        records.push(Record {
            at_ms: report
                .trainers
                .values()
                .map(|tally| tally.elapsed_ms)
                .max()
                .unwrap_or(0),
            decision: None,
            burn: Some(host.burn.export()),
        });
    }
    records.sort_by_key(|record| record.at_ms);
    records
}
